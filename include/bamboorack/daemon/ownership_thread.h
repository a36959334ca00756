#ifndef BAMBOORACK_DAEMON_OWNERSHIP_THREAD_H_
#define BAMBOORACK_DAEMON_OWNERSHIP_THREAD_H_

#include <atomic>
#include <chrono>
#include <thread>

#include "bamboorack/core/event_log.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/wakeup.h"
#include "bamboorack/daemon/gateway_rings.h"
#include "bamboorack/daemon/ownership_controller.h"

namespace bamboorack::daemon {

/// Runs an `OwnershipController` on its own thread: passes messages from the
/// rings to it and executes the actions that it returns.
class OwnershipThread {
 public:
  /// The references must outlive this object.
  OwnershipThread(OwnershipController& ownership_controller,
                  GatewayRings& all_rings, EventLog& event_log,
                  Metrics& metrics_registry);
  ~OwnershipThread();
  OwnershipThread(const OwnershipThread&) = delete;
  OwnershipThread& operator=(const OwnershipThread&) = delete;

  void Start();
  /// Starts releasing the leadership. Does not block.
  void BeginStop();
  void Stop();
  bool IsReady() const { return this->is_ready; }
  bool IsHandedOver() const { return this->is_handed_over; }

 private:
  using ActionHandler = void (OwnershipThread::*)(OwnershipAction&);

  void Run();
  void HandleInputs();
  /// Handles each message with the time at which it was popped from `ring`.
  template <typename Message, typename Handler>
  void HandleMessages(BoundedRing<Message>& ring, Handler handler);
  void CheckSuspension();
  void Execute(OwnershipActions&& actions);

  void Publish(OwnershipAction& action);
  void CallStore(OwnershipAction& action);
  void CallUpstream(OwnershipAction& action);
  void SendGossip(OwnershipAction& action);
  void LogControlEvent(OwnershipAction& action);
  void ForwardRelay(OwnershipAction& action);

  OwnershipController& controller;
  GatewayRings& rings;
  EventLog& log;
  Metrics& metrics;
  Wakeup wakeup;
  /// Total time for which the machine had been suspended, at the last check.
  std::chrono::nanoseconds last_suspended_time{0};
  std::atomic<bool> must_begin_stop{false};
  std::atomic<bool> is_ready{false};
  std::atomic<bool> is_handed_over{false};
  std::atomic<bool> is_stopping{false};
  std::thread thread;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNERSHIP_THREAD_H_
