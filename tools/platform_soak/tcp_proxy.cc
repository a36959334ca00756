#include "platform_soak/tcp_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <utility>

#include "common/small_windows.h"

namespace bamboorack::soak {
namespace {

using Poco::Net::StreamSocket;

constexpr std::chrono::milliseconds kDelay{150};
const Poco::Timespan kPollTime(0, 100'000);

// Bytes that the kernel holds for a server that does not read.
constexpr int kSendBuffer = 8'192;

/// Resets the connection. Keeps the descriptor, on which other threads wait.
void Reset(StreamSocket& socket) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  // Fails if the connection is closed already. A direct call, as the thread
  // sanitizer takes `connect` for the creation of the descriptor and reports a
  // race with the threads that wait on it.
  static_cast<void>(
      ::syscall(SYS_connect, socket.impl()->sockfd(), &none, sizeof(none)));
}

/// Returns whether a read of 0 bytes from `socket` was an orderly close. The
/// error of a reset is reported once, maybe to the other thread.
bool IsOrderlyClose(const StreamSocket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int status = ::getsockopt(socket.impl()->sockfd(), IPPROTO_TCP,
                                  TCP_INFO, &info, &size);
  return status == 0 && info.tcpi_state != TCP_CLOSE;
}

}  // namespace

TcpProxy::TcpProxy() {
  this->listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
  tools::UseSmallWindows(this->listener);
  this->listener.listen(256);
  this->thread =
      std::jthread([this](const std::stop_token& stop) { this->Accept(stop); });
}

TcpProxy::~TcpProxy() {
  this->thread.request_stop();
  this->thread.join();
  for (auto& link : this->links) {
    link->to_server.request_stop();
    link->to_client.request_stop();
  }
}

std::uint16_t TcpProxy::Port() const { return this->listener.address().port(); }

void TcpProxy::SetFault(LinkFault new_fault) {
  this->fault = new_fault;
  if (new_fault != LinkFault::kReset) return;
  const std::lock_guard lock(this->mutex);
  for (auto& link : this->links) {
    Reset(link->client);
    Reset(link->server);
  }
}

void TcpProxy::Accept(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!this->listener.poll(kPollTime, Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    auto link = std::make_unique<Link>();
    try {
      link->client = this->listener.acceptConnection();
      if (this->fault == LinkFault::kReset) {
        Reset(link->client);
        continue;
      }
      link->server.connect(
          Poco::Net::SocketAddress("127.0.0.1", this->target.load()),
          Poco::Timespan(0, 300'000));
      link->client.setNoDelay(true);
      link->server.setNoDelay(true);
      link->server.setSendBufferSize(kSendBuffer);
    } catch (const Poco::Exception&) {
      Reset(link->client);
      continue;
    }
    Link& started = this->AddLink(std::move(link));
    started.to_server = std::jthread([this, &started](const auto& token) {
      this->Pump(started, true, token);
    });
    started.to_client = std::jthread([this, &started](const auto& token) {
      this->Pump(started, false, token);
    });
  }
}

TcpProxy::Link& TcpProxy::AddLink(std::unique_ptr<Link> link) {
  const std::lock_guard lock(this->mutex);
  Link& added = *this->links.emplace_back(std::move(link));
  // A fault that was set since the connection was accepted has not found it.
  if (this->fault == LinkFault::kReset) {
    Reset(added.client);
    Reset(added.server);
  }
  return added;
}

bool TcpProxy::Swallows(bool is_to_server) const {
  const LinkFault active = this->fault.load();
  return active == LinkFault::kSilent ||
         (active == LinkFault::kCutToServer && is_to_server) ||
         (active == LinkFault::kCutToClient && !is_to_server);
}

void TcpProxy::Pump(Link& link, bool is_to_server,
                    const std::stop_token& stop) {
  StreamSocket& from = is_to_server ? link.client : link.server;
  StreamSocket& to = is_to_server ? link.server : link.client;
  std::array<char, 16'384> buffer{};
  try {
    while (!stop.stop_requested()) {
      if (!from.poll(kPollTime, Poco::Net::Socket::SELECT_READ)) continue;
      const int received =
          from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (received <= 0) {
        if (!IsOrderlyClose(from)) throw Poco::IOException("reset");
        if (!link.is_silent) to.shutdownSend();
        return;
      }
      if (this->fault == LinkFault::kDelay) std::this_thread::sleep_for(kDelay);
      if (this->Swallows(is_to_server)) link.is_silent = true;
      if (link.is_silent) continue;
      to.sendBytes(buffer.data(), received);
    }
  } catch (const Poco::Exception&) {
    Reset(link.client);
    Reset(link.server);
  }
}

}  // namespace bamboorack::soak
