#ifndef BAMBOORACK_DAEMON_GATEWAY_MESSAGES_H_
#define BAMBOORACK_DAEMON_GATEWAY_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "bamboorack/caller/messages.h"
#include "bamboorack/core/desired_state.h"
#include "bamboorack/core/evacuations.h"
#include "bamboorack/core/event_log.h"
#include "bamboorack/core/owner_map.h"
#include "bamboorack/core/reason.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::daemon {

/// Snapshot of the control thread's state for the routing thread. A null
/// pointer means that no value has been received yet.
struct GatewayTables {
  std::shared_ptr<const DesiredState> desired;
  std::shared_ptr<const std::vector<RegisteredUpstream>> upstreams;
  std::shared_ptr<const OwnerMap> owners;
  /// Failure domains whose upstreams must get no requests, by the operator's
  /// order. Null if there was none.
  std::shared_ptr<const EvacuatedDomains> evacuated_domains;
  /// All daemons in the directory, in the order of their ids, this one
  /// included.
  std::shared_ptr<const std::vector<DaemonId>> daemons;
  /// When the upstream registry was last read from the log directly.
  MonotonicTime upstreams_read_at;
};

/// Log record of a decision on a request.
struct RequestEvent {
  EventKind kind = EventKind::kRequestDone;
  std::string_view name;
  RequestId request;
  RouteName route;
  UpstreamId upstream;
  std::uint32_t attempts = 0;
  /// Time since the request arrived.
  std::chrono::nanoseconds age{0};
  std::optional<Reason> reason;
  int status = 0;
  /// Versions and age of the state on which the decision was based.
  ConfigVersion config;
  OwnerMapVersion owners;
  std::chrono::nanoseconds registry_age{0};
  std::chrono::nanoseconds expected_wait{0};
};

/// A side effect requested by the router; `GatewayRouterThread` executes it.
using GatewayAction =
    std::variant<caller::ToCaller, upstream::Dispatch, upstream::CancelDispatch,
                 peer::LoadReport, RequestEvent>;
using GatewayActions = std::vector<GatewayAction>;

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_MESSAGES_H_
