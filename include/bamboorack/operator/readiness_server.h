#ifndef BAMBOORACK_OPERATOR_READINESS_SERVER_H_
#define BAMBOORACK_OPERATOR_READINESS_SERVER_H_

#include <Poco/Net/HTTPServer.h>

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"

namespace bamboorack::operators {

/// Answers `GET` on one path with 200 or 503 by whether the daemon is ready,
/// and on `/metrics` with all counters.
class ReadinessServer {
 public:
  /// `is_ready` is called by the server's threads. `metrics` must outlive the
  /// server. Returns an error text if the endpoint cannot be bound.
  static tl::expected<std::unique_ptr<ReadinessServer>, std::string> Start(
      const Endpoint& endpoint, const std::string& ready_path,
      const std::function<bool()>& is_ready, const Metrics& metrics);

  ~ReadinessServer();
  ReadinessServer(const ReadinessServer&) = delete;
  ReadinessServer& operator=(const ReadinessServer&) = delete;

  Endpoint BoundEndpoint() const;
  void Stop();

 private:
  explicit ReadinessServer(std::unique_ptr<Poco::Net::HTTPServer> http_server);

  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_READINESS_SERVER_H_
