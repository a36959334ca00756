#ifndef BAMBOORACK_DAEMON_GATEWAY_ROUTER_THREAD_H_
#define BAMBOORACK_DAEMON_GATEWAY_ROUTER_THREAD_H_

#include <atomic>

#include "bamboorack/core/duty_loop.h"
#include "bamboorack/core/event_log.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/daemon/gateway_rings.h"
#include "bamboorack/daemon/gateway_router.h"

namespace bamboorack::daemon {

/// Runs a `GatewayRouter` on its own thread: passes messages from the rings to
/// it and executes the actions that it returns.
class GatewayRouterThread {
 public:
  /// The references must outlive this object.
  GatewayRouterThread(const GatewayRouter::Identity& identity,
                      GatewayRings& all_rings, EventLog& event_log,
                      Metrics& metrics_registry);

  void Start() { this->loop.Start(); }
  void Stop() { this->loop.Stop(); }
  /// Refuses all later requests. Does not block.
  void BeginStop() { this->must_begin_stop = true; }
  /// Returns whether no request is queued or in flight.
  bool IsIdle() const { return this->is_idle; }

 private:
  using ActionHandler = void (GatewayRouterThread::*)(GatewayAction&,
                                                      MonotonicTime);

  MonotonicTime RunOnce(MonotonicTime now);
  bool HandleInputs(MonotonicTime now);
  template <typename Message, typename Handler>
  bool HandleFrom(BoundedRing<Message>& ring, Handler handler,
                  MonotonicTime now);
  void Execute(GatewayActions&& actions, MonotonicTime now);

  void AnswerCaller(GatewayAction& action, MonotonicTime now);
  void Dispatch(GatewayAction& action, MonotonicTime now);
  void CancelDispatch(GatewayAction& action, MonotonicTime now);
  void ReportLoad(GatewayAction& action, MonotonicTime now);
  void LogRequest(GatewayAction& action, MonotonicTime now);

  GatewayRings& rings;
  EventLog& log;
  Metrics& metrics;
  GatewayRouter router;
  std::atomic<bool> must_begin_stop{false};
  std::atomic<bool> is_idle{true};
  DutyLoop loop;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_ROUTER_THREAD_H_
