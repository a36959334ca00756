#include "bamboorack/core/http_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "bamboorack/core/socket_send.h"

namespace bamboorack {
namespace {

constexpr std::size_t kReadSize = 65'536;
// Four full reads for each event bound the time that one fast sender takes
// from the other connections.
constexpr int kReadsPerEvent = 4;
// Up to this size the memory of the input is kept for the next message.
constexpr std::size_t kKeptInput = 4'096;

/// A head with its body behind it. Keeps the body itself, since its memory is
/// accounted for as long as somebody has it.
struct JoinedMessage {
  std::string bytes;
  Body body;
};

}  // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& stream)
    : socket(stream) {
  this->socket.setBlocking(false);
  this->socket.setNoDelay(true);
}

HttpConnection::IoStatus HttpConnection::Read(std::size_t max_input) {
  return this->Receive(&this->input, max_input);
}

HttpConnection::IoStatus HttpConnection::ReadAndDiscard() {
  return this->Receive(nullptr, kReadSize);
}

HttpConnection::IoStatus HttpConnection::Receive(std::string* target,
                                                 std::size_t max_input) {
  static thread_local std::array<char, kReadSize> buffer;
  for (int turn = 0; turn < kReadsPerEvent; ++turn) {
    const std::size_t held = target == nullptr ? 0 : target->size();
    if (held >= max_input) return IoStatus::kOk;
    const int wanted =
        static_cast<int>(std::min(buffer.size(), max_input - held));
    try {
      const int received = this->socket.receiveBytes(buffer.data(), wanted);
      if (received == 0) {
        return this->has_failed ? IoStatus::kFailed : IoStatus::kClosed;
      }
      if (received < 0) return IoStatus::kOk;
      this->bytes_read += static_cast<std::uint64_t>(received);
      if (target != nullptr) {
        target->append(buffer.data(), static_cast<std::size_t>(received));
      }
      if (received < wanted) return IoStatus::kOk;
    } catch (const Poco::Exception&) {
      return this->Fail();
    }
  }
  return IoStatus::kOk;
}

void HttpConnection::Queue(HttpBytes message) {
  const bool has_body = message.body != nullptr && !message.body->empty();
  const bool is_joined = has_body && message.body->size() <= kMaxJoinedBody;
  if (is_joined) message.head.append(*message.body);
  const auto first = std::make_shared<const JoinedMessage>(
      JoinedMessage{std::move(message.head), message.body});
  this->output.emplace_back(first, &first->bytes);
  if (has_body && !is_joined) this->output.push_back(std::move(message.body));
}

void HttpConnection::ReleaseSpareInput() {
  if (!this->input.empty() || this->input.capacity() <= kKeptInput) return;
  std::string().swap(this->input);
}

HttpConnection::IoStatus HttpConnection::Write() {
  bool is_blocked = false;
  while (!this->output.empty() && !is_blocked) {
    const IoStatus status = this->SendFront(is_blocked);
    if (status != IoStatus::kOk) return status;
  }
  return IoStatus::kOk;
}

void HttpConnection::ResetOnClose() {
  try {
    this->socket.setLinger(true, 0);
  } catch (const Poco::Exception&) {
    // The connection is broken already.
    return;
  }
}

void HttpConnection::CloseSend() {
  try {
    this->socket.shutdownSend();
  } catch (const Poco::Exception&) {
    // The peer has reset the connection; the next read reports it.
    return;
  }
}

bool HttpConnection::IsConnected() {
  int error = 0;
  this->socket.impl()->getOption(SOL_SOCKET, SO_ERROR, error);
  if (error != 0) this->Fail();
  return !this->has_failed;
}

HttpConnection::IoStatus HttpConnection::Fail() {
  this->has_failed = true;
  return IoStatus::kFailed;
}

HttpConnection::IoStatus HttpConnection::SendFront(bool& is_blocked) {
  const std::string& front = *this->output.front();
  const std::string_view left =
      std::string_view(front).substr(this->front_sent);
  const auto sent = SendAvailable(this->socket, left);
  if (!sent) return this->Fail();
  this->bytes_written += *sent;
  this->front_sent += *sent;
  is_blocked = *sent < left.size();
  if (this->front_sent == front.size()) {
    this->output.pop_front();
    this->front_sent = 0;
  }
  return IoStatus::kOk;
}

}  // namespace bamboorack
