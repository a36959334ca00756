#include "bamboorack/daemon/control_thread.h"

namespace bamboorack::daemon {

ControlThread::ControlThread(ClusterController& cluster_controller,
                             Rings& rings)
    : controller(cluster_controller),
      loop([this](MonotonicTime now) { return this->RunOnce(now); }) {
  const auto notify = [this] { this->loop.Notify(); };
  rings.log_to_control.SetWaker(notify);
  rings.vm_list_to_control.SetWaker(notify);
  rings.peer_to_control.SetWaker(notify);
  rings.upstream_to_control.SetWaker(notify);
  rings.operator_to_control.SetWaker(notify);
}

void ControlThread::BeginStop() {
  this->must_begin_stop = true;
  this->loop.Notify();
}

MonotonicTime ControlThread::RunOnce(MonotonicTime now) {
  if (this->must_begin_stop.exchange(false)) this->controller.BeginStop(now);
  this->controller.Step(now);
  this->is_handed_over = this->controller.IsHandedOver(now);
  this->is_stop_requested = this->controller.IsStopping();
  return now + ClusterController::kTickInterval;
}

}  // namespace bamboorack::daemon
