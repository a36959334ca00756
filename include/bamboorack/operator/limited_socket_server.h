#ifndef BAMBOORACK_OPERATOR_LIMITED_SOCKET_SERVER_H_
#define BAMBOORACK_OPERATOR_LIMITED_SOCKET_SERVER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <functional>
#include <string>

namespace bamboorack::operators {

/// Bounds of one accepted connection and what to do when one is exceeded.
/// POCO's own timeout counts from the last byte, so a sender of one byte every
/// few seconds would hold a thread for ever.
struct ConnectionLimits {
  /// From the first read to the last byte of the answer.
  std::chrono::milliseconds time;
  std::size_t receive_bytes;
  /// Returns the whole answer to a sender that exceeded a limit. Called by
  /// the connection's thread.
  std::function<std::string()> on_too_slow;
  std::function<std::string()> on_too_large;
};

/// A listening socket whose connections end when they exceed `limits`.
class LimitedServerSocket : public Poco::Net::ServerSocket {
 public:
  /// Binds and listens; throws a `Poco::Exception` if that fails.
  LimitedServerSocket(const Poco::Net::SocketAddress& address,
                      const ConnectionLimits& limits);
};

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_LIMITED_SOCKET_SERVER_H_
