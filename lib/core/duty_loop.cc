#include "bamboorack/core/duty_loop.h"

#include <chrono>
#include <utility>

namespace bamboorack {

DutyLoop::DutyLoop(Turn function) : turn(std::move(function)) {}

DutyLoop::~DutyLoop() { this->Stop(); }

void DutyLoop::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void DutyLoop::Stop() {
  this->is_stopping = true;
  this->wakeup.Notify();
  if (this->thread.joinable()) this->thread.join();
}

void DutyLoop::Run() {
  while (!this->is_stopping) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    const MonotonicTime next = this->turn(now);
    if (next > now) this->wakeup.WaitUntil(next);
  }
}

}  // namespace bamboorack
