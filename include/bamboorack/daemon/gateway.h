#ifndef BAMBOORACK_DAEMON_GATEWAY_H_
#define BAMBOORACK_DAEMON_GATEWAY_H_

#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/caller/caller_protocol.h"
#include "bamboorack/core/event_log.h"
#include "bamboorack/core/time.h"
#include "bamboorack/log_service/keyed_log.h"
#include "bamboorack/log_service/state_documents.h"
#include "bamboorack/operator/gateway_settings.h"
#include "bamboorack/upstream/upstream_protocol.h"

namespace bamboorack::daemon {

/// Platform-specific parts of a gateway.
struct GatewayAdapter {
  std::shared_ptr<const caller::CallerProtocol> callers;
  std::shared_ptr<const upstream::UpstreamProtocol> upstreams;
  std::shared_ptr<const log_service::StateDocuments> documents;
  log_service::KeyedLogFactory make_log;
  /// HTTP path of the readiness probe.
  std::string ready_path;
};

/// A daemon that routes requests by host and path, assigns key ranges to
/// upstreams, and owns all its threads.
class Gateway {
 public:
  /// `event_log` must outlive this object.
  Gateway(const operators::GatewaySettings& settings,
          const GatewayAdapter& adapter, EventLog& event_log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  tl::expected<void, std::string> Start();
  /// Fails the readiness probe, tells callers to reconnect elsewhere and starts
  /// releasing the leadership. Requests are still accepted. Does not block.
  void BeginDrain();
  /// Stops accepting connections and refuses new requests on open ones.
  /// Requests in flight are still answered. Does not block.
  void BeginStop();
  /// Returns whether no request is in flight and this daemon is not the leader.
  bool IsDrained() const;
  /// Waits for requests in flight until `deadline`, then joins all threads.
  void Stop(MonotonicTime deadline);

 private:
  class Threads;
  std::unique_ptr<Threads> threads;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_H_
