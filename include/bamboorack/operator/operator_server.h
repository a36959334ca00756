#ifndef BAMBOORACK_OPERATOR_OPERATOR_SERVER_H_
#define BAMBOORACK_OPERATOR_OPERATOR_SERVER_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/operator/messages.h"
#include "bamboorack/operator/status.h"

namespace bamboorack::operators {

/// Holds the latest status snapshot: the control thread sets it, the operator
/// listener reads it.
class StatusHolder {
 public:
  void Set(std::shared_ptr<const StatusSnapshot> snapshot);
  /// Returns the latest snapshot, or null if none was set.
  std::shared_ptr<const StatusSnapshot> Get() const;

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const StatusSnapshot> latest;
};

/// Bounds of one connection to the operator listener.
struct OperatorServerLimits {
  /// From the first read to the end of the answer.
  std::chrono::milliseconds connection_time{5000};
  /// Request line, headers and body together. POCO answers longer header
  /// values (8 KiB) itself, without a JSON document.
  std::size_t request_bytes = 4096;
};

/// Serves `GET /metrics`, `/status` and `/owners` and `POST /drain` with two
/// threads. Each connection carries one request. Errors are JSON documents and
/// are counted as `operator_<error>`.
class OperatorServer {
 public:
  /// Binds `endpoint` and starts to serve; port 0 takes a free port. The
  /// references must outlive the server. Returns an error text if the endpoint
  /// cannot be bound.
  static tl::expected<std::unique_ptr<OperatorServer>, std::string> Start(
      const Endpoint& endpoint, Metrics& metrics, const StatusHolder& status,
      BoundedRing<OperatorCommand>& out,
      const OperatorServerLimits& limits = {});

  /// Stops as `Stop` does.
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Returns the address and port that the server listens on.
  Endpoint BoundEndpoint() const;

  /// Closes the listener and all connections and waits for the threads.
  void Stop();

 private:
  class Listener;

  explicit OperatorServer(std::unique_ptr<Listener> opened);

  std::unique_ptr<Listener> listener;
};

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_OPERATOR_SERVER_H_
