#ifndef BAMBOORACK_DAEMON_CONTROL_THREAD_H_
#define BAMBOORACK_DAEMON_CONTROL_THREAD_H_

#include <atomic>

#include "bamboorack/core/duty_loop.h"
#include "bamboorack/core/time.h"
#include "bamboorack/daemon/cluster_controller.h"

namespace bamboorack::daemon {

/// Runs a `ClusterController` on its own thread.
class ControlThread {
 public:
  ControlThread(ClusterController& cluster_controller, Rings& rings);

  void Start() { this->loop.Start(); }
  /// Begins a planned stop by releasing every group to another daemon.
  void BeginStop();
  bool IsHandedOver() const { return this->is_handed_over; }
  /// Returns whether a planned stop was requested, for example by an operator.
  bool IsStopRequested() const { return this->is_stop_requested; }
  void Stop() { this->loop.Stop(); }

 private:
  MonotonicTime RunOnce(MonotonicTime now);

  ClusterController& controller;
  std::atomic<bool> must_begin_stop = false;
  std::atomic<bool> is_handed_over = false;
  std::atomic<bool> is_stop_requested = false;
  DutyLoop loop;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_CONTROL_THREAD_H_
