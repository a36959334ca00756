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

/// Fixed settings of a router.
struct RouterOptions {
  /// The first id of settle calls. It must lie outside the range that the
  /// control thread uses, because results are told apart by id.
  ControlCallId first_call_id{1};
  /// Requests that are held at once, in every state together.
  std::size_t max_requests = 65'536;
  /// Bytes of remembered answers to once-only requests, for each local group.
  std::size_t once_only_bytes = 16U << 20U;
};

/// Decides for every request of this daemon: where it goes, when it is sent,
/// whether it is tried again and how it ends. It reads no clock and does no
/// I/O: every call gets the current time and returns what is to be done.
///
/// The caller of this class owes the router, for each action that it can't
/// carry out because a ring is full:
/// - `Dispatch`: a `DispatchResult` with `NotRun(kRingFull)`;
/// - `SendForward`: a `ForwardAnswered` with `NotRun(kRingFull)`;
/// - `ControlCall`: a `ControlResult` with `kUnreachable`.
///
/// Each `Dispatch` gets exactly one `DispatchResult`, also after a
/// `CancelDispatch`; until then it occupies a slot of its upstream.
class Router {
 public:
  Router(DaemonId self, Metrics& metrics, RouterOptions options = {});
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Takes a request of a caller, or the news that a caller is gone.
  RouterActions OnCaller(caller::FromCaller message, MonotonicTime now);
  /// Takes a forwarded request, its cancellation, or the answer to a request
  /// that this daemon forwarded.
  RouterActions OnPeer(peer::PeerToRouting message, MonotonicTime now);
  /// Takes the end of a dispatch or of a settle call.
  RouterActions OnUpstream(upstream::UpstreamToRouting message,
                           MonotonicTime now);
  /// Replaces the routing table. `table` must not be null.
  RouterActions OnTable(std::shared_ptr<const RoutingTable> table,
                        MonotonicTime now);
  /// Ends what is due at `now`. Call at `NextWakeup()` or soon after.
  RouterActions Tick(MonotonicTime now);
  /// Returns when `Tick` is needed next; `MonotonicTime::max()` if nothing
  /// waits for time to pass.
  MonotonicTime NextWakeup() const;

  /// Refuses new requests of callers from now on; everything that was taken
  /// in, and requests of peers, go on.
  void BeginStop();
  /// Returns whether no request is held and nothing is in flight.
  bool IsIdle() const;

 private:
  class Core;
  std::unique_ptr<Core> core;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTER_H_
