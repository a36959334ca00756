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
#include "bamboorack/core/event_log.h"
#include "bamboorack/core/owner_map.h"
#include "bamboorack/core/reason.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::daemon {

/// What the control thread believes, for the routing thread. A null pointer
/// means that nothing is known yet.
struct GatewayTables {
  std::shared_ptr<const DesiredState> desired;
  std::shared_ptr<const std::vector<RegisteredUpstream>> upstreams;
  std::shared_ptr<const OwnerMap> owners;
  /// When the registry of upstreams was last read.
  MonotonicTime upstreams_read;
};

/// A decision on a request, for the log.
struct RequestEvent {
  EventKind kind = EventKind::kRequestDone;
  std::string_view what;
  RequestId request;
  RouteName route;
  UpstreamId upstream;
  std::uint32_t attempts = 0;
  /// Time since the request arrived.
  std::chrono::nanoseconds age{0};
  std::optional<Reason> reason;
  int status = 0;
  /// The inputs of the decision and their versions.
  ConfigVersion config;
  OwnerMapVersion owners;
  std::chrono::nanoseconds registry_age{0};
  std::chrono::nanoseconds expected_wait{0};
};

/// What the router wants done.
using GatewayAction =
    std::variant<caller::ToCaller, upstream::Dispatch, upstream::CancelDispatch,
                 peer::LoadReport, RequestEvent>;
using GatewayActions = std::vector<GatewayAction>;

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_MESSAGES_H_
