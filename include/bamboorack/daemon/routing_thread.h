#ifndef BAMBOORACK_DAEMON_ROUTING_THREAD_H_
#define BAMBOORACK_DAEMON_ROUTING_THREAD_H_

#include <atomic>

#include "bamboorack/core/duty_loop.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/daemon/rings.h"
#include "bamboorack/daemon/router.h"

namespace bamboorack::daemon {

/// Runs a `Router` on its own thread and pushes its actions to the rings of the
/// other threads.
class RoutingThread {
 public:
  RoutingThread(const DaemonId& self, Rings& all_rings, Metrics& registry);

  void Start() { this->loop.Start(); }
  /// Returns whether the router has no unfinished request.
  bool IsIdle() const { return this->is_idle; }
  void Stop() { this->loop.Stop(); }

 private:
  using ActionHandler = void (RoutingThread::*)(RouterAction&, MonotonicTime);

  MonotonicTime RunOnce(MonotonicTime now);
  /// Handles messages from all input rings. Returns false if all were empty.
  bool HandleInputs(MonotonicTime now);
  /// Passes a bounded number of messages from `ring` to the router.
  template <typename Message>
  bool HandleFrom(BoundedRing<Message>& ring,
                  RouterActions (Router::*handle)(Message, MonotonicTime),
                  MonotonicTime now);
  void ExecuteActions(RouterActions&& actions, MonotonicTime now);

  void AnswerCaller(RouterAction& action, MonotonicTime now);
  void Forward(RouterAction& action, MonotonicTime now);
  void CancelForward(RouterAction& action, MonotonicTime now);
  void AnswerPeer(RouterAction& action, MonotonicTime now);
  void Dispatch(RouterAction& action, MonotonicTime now);
  void CancelDispatch(RouterAction& action, MonotonicTime now);
  void Settle(RouterAction& action, MonotonicTime now);

  Rings& rings;
  Metrics& metrics;
  Router router;
  std::atomic<bool> is_idle = true;
  DutyLoop loop;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTING_THREAD_H_
