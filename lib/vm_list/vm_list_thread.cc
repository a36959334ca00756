#include "bamboorack/vm_list/vm_list_thread.h"

#include <glog/logging.h>

#include <utility>

#include "bamboorack/core/stoppable_wait.h"

namespace bamboorack::vm_list {

using std::chrono::steady_clock;

VmListThread::VmListThread(const Endpoint& vm_list,
                           BoundedRing<FromVmList>& ring, Metrics& counters,
                           VmListSettings limits)
    : settings(limits), client(vm_list), out(ring), metrics(counters) {}

VmListThread::~VmListThread() { this->Stop(); }

void VmListThread::Start() {
  this->thread =
      std::jthread([this](const std::stop_token& stop) { this->Run(stop); });
}

void VmListThread::Stop() {
  this->thread.request_stop();
  if (this->thread.joinable()) this->thread.join();
}

void VmListThread::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const MonotonicTime next = steady_clock::now() + this->settings.interval;
    this->ReadOnce(stop);
    WaitUntil(stop, next);
  }
}

void VmListThread::ReadOnce(const std::stop_token& stop) {
  auto list = this->client.Read(
      steady_clock::now() + this->settings.answer_limit, stop);
  if (stop.stop_requested()) return;
  if (list) {
    this->metrics.Count("vm_list_reads");
    if (this->is_failing) LOG(INFO) << "event=vm_list_back";
    this->is_failing = false;
    this->Push(std::move(*list));
    return;
  }
  this->metrics.Count("vm_list_reads_failed");
  if (!this->is_failing) {
    LOG(WARNING) << "event=vm_list_lost detail=\"" << list.error() << '"';
  }
  this->is_failing = true;
  this->Push(ListFailed{std::move(list.error())});
}

void VmListThread::Push(FromVmList result) {
  if (this->out.TryPush(std::move(result))) return;
  // The next list says the same or more, so this one is dropped.
  this->metrics.Count("vm_list_reads_refused_by_ring");
}

}  // namespace bamboorack::vm_list
