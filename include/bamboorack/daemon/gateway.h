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

/// What ties a gateway to one platform.
struct GatewayAdapter {
  std::shared_ptr<const caller::CallerProtocol> callers;
  std::shared_ptr<const upstream::UpstreamProtocol> upstreams;
  std::shared_ptr<const log_service::StateDocuments> documents;
  log_service::KeyedLogFactory make_log;
  /// Where the platform asks whether the daemon is ready.
  std::string ready_path;
};

/// One daemon that routes by host and path and serves keys by range, with all
/// its threads.
class Gateway {
 public:
  /// `event_log` must outlive this object.
  Gateway(const operators::GatewaySettings& settings,
          const GatewayAdapter& adapter, EventLog& event_log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  tl::expected<void, std::string> Start();
  /// Reports not ready, tells callers to reconnect elsewhere and hands the
  /// leadership over. Requests are still taken. Does not wait.
  void BeginDrain();
  /// Takes no new connections, refuses new requests on open ones and answers
  /// what is in flight. Does not wait.
  void BeginStop();
  /// Returns whether nothing is in flight and no leadership is held.
  bool IsDrained() const;
  /// Waits for requests in flight until `deadline`, then ends all threads.
  void Stop(MonotonicTime deadline);

 private:
  class Threads;
  std::unique_ptr<Threads> threads;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_H_
