#ifndef BAMBOORACK_DAEMON_ROUTER_H_
#define BAMBOORACK_DAEMON_ROUTER_H_

#include <cstddef>
#include <memory>

#include "bamboorack/caller/messages.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/core/time.h"
#include "bamboorack/daemon/router_action.h"
#include "bamboorack/peer/messages.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::daemon {

/// Settings of a router that do not change while it runs.
struct RouterOptions {
  /// The first id of settle calls. Must lie outside the range that the control
  /// thread uses, because results are matched to their sender by id.
  ControlCallId first_call_id{1};
  /// Maximum number of unfinished requests in all states together.
  std::size_t max_requests = 65'536;
  /// Bytes of remembered answers to once-only requests per local group.
  std::size_t once_only_bytes = 16U << 20U;
};

/// Decides for every request of this daemon where it is sent and when, whether
/// it is retried and how it ends. The router reads no clock and does no I/O:
/// every call takes the current time and returns the actions to execute.
///
/// For each action that cannot be executed because a ring is full, the user of
/// this class must report a result to the router:
/// - `Dispatch`: a `DispatchResult` with `NotRun(kRingFull)`;
/// - `SendForward`: a `ForwardAnswered` with `NotRun(kRingFull)`;
/// - `ControlCall`: a `ControlResult` with `kUnreachable`.
///
/// Each `Dispatch` must get exactly one `DispatchResult`, also after a
/// `CancelDispatch`. Until then it occupies a slot of its upstream.
class Router {
 public:
  Router(DaemonId self, Metrics& metrics, RouterOptions options = {});
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Handles a request from a caller, or the disconnect of a caller.
  RouterActions OnCaller(caller::FromCaller message, MonotonicTime now);
  /// Handles a forwarded request, its cancellation, or the answer to a request
  /// that this daemon forwarded.
  RouterActions OnPeer(peer::PeerToRouting message, MonotonicTime now);
  /// Handles the result of a dispatch or of a settle call.
  RouterActions OnUpstream(upstream::UpstreamToRouting message,
                           MonotonicTime now);
  /// Replaces the routing table. `table` must not be null.
  RouterActions OnTable(std::shared_ptr<const RoutingTable> table,
                        MonotonicTime now);
  /// Handles timers due at `now`. Call at or soon after `NextWakeup()`.
  RouterActions Tick(MonotonicTime now);
  /// Returns when `Tick` has to be called next, or `MonotonicTime::max()` if no
  /// timer is pending.
  MonotonicTime NextWakeup() const;

  /// Refuses new requests from callers from now on. Accepted requests and
  /// requests from peers continue.
  void BeginStop();
  /// Returns whether no request is unfinished and no dispatch is in flight.
  bool IsIdle() const;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTER_H_
