#ifndef BAMBOORACK_TOOLS_PLATFORM_SOAK_TCP_PROXY_H_
#define BAMBOORACK_TOOLS_PLATFORM_SOAK_TCP_PROXY_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace bamboorack::soak {

/// What a proxy does to the bytes that pass it.
enum class LinkFault : std::uint8_t {
  kNone,
  /// Each piece is held back for 150 ms.
  kDelay,
  /// Connections are reset, and new ones too.
  kReset,
  /// Bytes to the server are swallowed.
  kCutToServer,
  /// Bytes to the client are swallowed.
  kCutToClient,
  /// All bytes are swallowed, and connections stay silent for good.
  kSilent,
};

/// Passes connections to one port of loopback on to another one.
class TcpProxy {
 public:
  TcpProxy();
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  std::uint16_t Port() const;
  /// Sets where connections go. Call before the first one.
  void SetTarget(std::uint16_t port) { this->target = port; }
  void SetFault(LinkFault new_fault);

 private:
  struct Link {
    Poco::Net::StreamSocket client;
    Poco::Net::StreamSocket server;
    /// Bytes were swallowed, so nothing may pass on this connection again.
    std::atomic<bool> is_silent{false};
    std::jthread to_server;
    std::jthread to_client;
  };

  void Accept(const std::stop_token& stop);
  /// Makes the link known to `SetFault`, before any bytes pass it.
  Link& AddLink(std::unique_ptr<Link> link);
  void Pump(Link& link, bool is_to_server, const std::stop_token& stop);
  bool Swallows(bool is_to_server) const;

  Poco::Net::ServerSocket listener;
  std::atomic<std::uint16_t> target{0};
  std::atomic<LinkFault> fault{LinkFault::kNone};
  std::mutex mutex;
  std::list<std::unique_ptr<Link>> links;
  std::jthread thread;
};

}  // namespace bamboorack::soak

#endif  // BAMBOORACK_TOOLS_PLATFORM_SOAK_TCP_PROXY_H_
