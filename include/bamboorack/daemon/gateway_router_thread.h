#ifndef BAMBOORACK_DAEMON_GATEWAY_ROUTER_THREAD_H_
#define BAMBOORACK_DAEMON_GATEWAY_ROUTER_THREAD_H_

#include <atomic>
#include <thread>

#include "bamboorack/core/event_log.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/wakeup.h"
#include "bamboorack/daemon/gateway_rings.h"
#include "bamboorack/daemon/gateway_router.h"

namespace bamboorack::daemon {

/// Runs the gateway's router: feeds it from the rings and carries out what it
/// decides.
class GatewayRouterThread {
 public:
  /// The references must outlive this object.
  GatewayRouterThread(const GatewayRouter::Identity& identity,
                      GatewayRings& all_rings, EventLog& event_log,
                      Metrics& registry);
  ~GatewayRouterThread();
  GatewayRouterThread(const GatewayRouterThread&) = delete;
  GatewayRouterThread& operator=(const GatewayRouterThread&) = delete;

  void Start();
  void Stop();
  /// Refuses requests that arrive from now on. Does not wait.
  void BeginStop() { this->must_begin_stop = true; }
  /// Returns whether no request is held.
  bool IsIdle() const { return this->is_idle; }

 private:
  using ActionHandler = void (GatewayRouterThread::*)(GatewayAction&,
                                                      MonotonicTime);

  void Run();
  bool HandleInputs(MonotonicTime now);
  template <typename Message, typename Handler>
  bool HandleSome(BoundedRing<Message>& ring, Handler handle,
                  MonotonicTime now);
  void CarryOut(GatewayActions&& actions, MonotonicTime now);

  void AnswerCaller(GatewayAction& action, MonotonicTime now);
  void Dispatch(GatewayAction& action, MonotonicTime now);
  void CancelDispatch(GatewayAction& action, MonotonicTime now);
  void ReportLoad(GatewayAction& action, MonotonicTime now);
  void LogRequest(GatewayAction& action, MonotonicTime now);

  GatewayRings& rings;
  EventLog& log;
  Metrics& metrics;
  GatewayRouter router;
  Wakeup wakeup;
  std::atomic<bool> must_begin_stop{false};
  std::atomic<bool> is_stopping{false};
  std::atomic<bool> is_idle{true};
  std::thread thread;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_ROUTER_THREAD_H_
