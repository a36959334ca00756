#ifndef BAMBOORACK_DAEMON_OWNERSHIP_THREAD_H_
#define BAMBOORACK_DAEMON_OWNERSHIP_THREAD_H_

#include <atomic>
#include <chrono>
#include <thread>

#include "bamboorack/core/event_log.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/wakeup.h"
#include "bamboorack/daemon/gateway_rings.h"
#include "bamboorack/daemon/ownership_duty.h"

namespace bamboorack::daemon {

/// Runs the ownership duty: feeds it from the rings and carries out what it
/// decides.
class OwnershipThread {
 public:
  /// The references must outlive this object.
  OwnershipThread(OwnershipDuty& ownership_duty, GatewayRings& all_rings,
                  EventLog& event_log, Metrics& registry);
  ~OwnershipThread();
  OwnershipThread(const OwnershipThread&) = delete;
  OwnershipThread& operator=(const OwnershipThread&) = delete;

  void Start();
  /// Hands the leadership over without waiting.
  void BeginStop();
  void Stop();
  bool IsReady() const { return this->is_ready; }
  bool IsHandedOver() const { return this->is_handed_over; }

 private:
  using ActionHandler = void (OwnershipThread::*)(DutyAction&);

  void Run();
  void HandleInputs();
  /// Handles each message with the time at which it is taken from `ring`.
  template <typename Message, typename Handler>
  void HandleAll(BoundedRing<Message>& ring, Handler handle);
  void CheckSuspension();
  void CarryOut(DutyActions&& actions);

  void Publish(DutyAction& action);
  void CallStore(DutyAction& action);
  void CallUpstream(DutyAction& action);
  void SendGossip(DutyAction& action);
  void LogBelief(DutyAction& action);
  void PassRelay(DutyAction& action);

  OwnershipDuty& duty;
  GatewayRings& rings;
  EventLog& log;
  Metrics& metrics;
  Wakeup wakeup;
  /// How far the clock that counts suspensions is ahead of the monotonic one.
  std::chrono::nanoseconds suspended_before{0};
  std::atomic<bool> must_begin_stop{false};
  std::atomic<bool> is_ready{false};
  std::atomic<bool> is_handed_over{false};
  std::atomic<bool> is_stopping{false};
  std::thread thread;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNERSHIP_THREAD_H_
