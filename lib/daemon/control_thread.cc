#include "bamboorack/daemon/control_thread.h"

namespace bamboorack::daemon {

ControlThread::ControlThread(ControlDuty& control_duty, Rings& rings)
    : duty(control_duty) {
  const auto notify = [this] { this->wakeup.Notify(); };
  rings.log_to_control.SetWaker(notify);
  rings.vm_list_to_control.SetWaker(notify);
  rings.peer_to_control.SetWaker(notify);
  rings.upstream_to_control.SetWaker(notify);
  rings.operator_to_control.SetWaker(notify);
}

ControlThread::~ControlThread() { this->Stop(); }

void ControlThread::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ControlThread::BeginStop() {
  this->must_begin_stop = true;
  this->wakeup.Notify();
}

void ControlThread::Stop() {
  this->is_stopping = true;
  this->wakeup.Notify();
  if (this->thread.joinable()) this->thread.join();
}

void ControlThread::Run() {
  while (!this->is_stopping) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    if (this->must_begin_stop.exchange(false)) this->duty.BeginStop(now);
    this->duty.Step(now);
    this->is_handed_over = this->duty.IsHandedOver(now);
    this->is_stop_requested = this->duty.IsStopping();
    this->wakeup.WaitUntil(now + ControlDuty::kTickInterval);
  }
}

}  // namespace bamboorack::daemon
