#include "bamboorack/daemon/control_thread.h"

namespace bamboorack::daemon {

ControlThread::ControlThread(ControlDuty& control_duty, Rings& rings)
    : duty(control_duty),
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
  if (this->must_begin_stop.exchange(false)) this->duty.BeginStop(now);
  this->duty.Step(now);
  this->is_handed_over = this->duty.IsHandedOver(now);
  this->is_stop_requested = this->duty.IsStopping();
  return now + ControlDuty::kTickInterval;
}

}  // namespace bamboorack::daemon
