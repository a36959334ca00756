#ifndef BAMBOORACK_DAEMON_ROUTING_THREAD_H_
#define BAMBOORACK_DAEMON_ROUTING_THREAD_H_

#include <atomic>
#include <thread>

#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/wakeup.h"
#include "bamboorack/daemon/rings.h"
#include "bamboorack/daemon/router.h"

namespace bamboorack::daemon {

/// The duty that decides for every request: runs a `Router` and carries its
/// actions to the rings of the other threads.
class RoutingThread {
 public:
  RoutingThread(const DaemonId& self, Rings& all_rings, Metrics& registry);
  ~RoutingThread();
  RoutingThread(const RoutingThread&) = delete;
  RoutingThread& operator=(const RoutingThread&) = delete;

  void Start();
  /// Returns whether no request is held.
  bool IsIdle() const { return this->is_idle; }
  void Stop();

 private:
  using ActionHandler = void (RoutingThread::*)(RouterAction&, MonotonicTime);

  void Run();
  /// Handles what waits in all rings. Returns false if there was nothing.
  bool HandleInputs(MonotonicTime now);
  /// Lets the router handle a bounded number of the messages in `ring`.
  template <typename Message>
  bool HandleSome(BoundedRing<Message>& ring,
                  RouterActions (Router::*handle)(Message, MonotonicTime),
                  MonotonicTime now);
  void CarryOut(RouterActions&& actions, MonotonicTime now);

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
  Wakeup wakeup;
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> is_idle = true;
  std::thread thread;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTING_THREAD_H_
