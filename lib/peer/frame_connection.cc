#include "bamboorack/peer/frame_connection.h"

#include <Poco/Exception.h>

#include <array>

#include "bamboorack/core/socket_send.h"

namespace bamboorack::peer {
namespace {

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
// Bounds one read event, so that one busy connection does not starve others.
constexpr int kReadsPerEvent = 16;
// Room for one body of the largest size and the frames around it.
constexpr std::size_t kMaxOutputBytes = kMaxBodyBytes + (kMaxBodyBytes / 4);

}  // namespace

FrameConnection::FrameConnection(const Poco::Net::StreamSocket& stream)
    : socket(stream) {
  this->socket.setBlocking(false);
}

bool FrameConnection::Read() {
  std::array<char, kReadBytes> chunk;  // NOLINT(*-member-init): filled below
  try {
    for (int i = 0; i < kReadsPerEvent; ++i) {
      const int count =
          this->socket.receiveBytes(chunk.data(), static_cast<int>(kReadBytes));
      if (count == 0) return false;
      if (count < 0) return true;
      this->reader.Append({chunk.data(), static_cast<std::size_t>(count)});
      if (static_cast<std::size_t>(count) < kReadBytes) return true;
    }
  } catch (const Poco::Exception&) {
    return false;
  }
  return true;
}

tl::expected<std::string, FrameError> FrameConnection::NextMessage() {
  return this->reader.Next();
}

bool FrameConnection::Send(const Frame& frame, MonotonicTime now) {
  return this->SendEncoded(EncodeFrame(frame, now));
}

bool FrameConnection::SendEncoded(std::string_view frames) {
  const std::size_t waiting = this->output.size() - this->sent;
  if (waiting + frames.size() > kMaxOutputBytes) return false;
  this->output.append(frames);
  return true;
}

bool FrameConnection::Flush() {
  while (this->HasOutput()) {
    const auto count = SendAvailable(
        this->socket, std::string_view(this->output).substr(this->sent));
    if (!count) return false;
    if (*count == 0) break;
    this->sent += *count;
  }
  if (this->HasOutput()) return true;
  this->output.clear();
  this->sent = 0;
  return true;
}

void FrameConnection::Close() {
  try {
    this->socket.close();
  } catch (const Poco::Exception&) {
    // A failed close leaves nothing to release.
    return;
  }
}

}  // namespace bamboorack::peer
