#ifndef BAMBOORACK_VM_LIST_VM_LIST_THREAD_H_
#define BAMBOORACK_VM_LIST_VM_LIST_THREAD_H_

#include <chrono>
#include <stop_token>
#include <thread>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/vm_list/messages.h"
#include "bamboorack/vm_list/vm_list_client.h"

namespace bamboorack::vm_list {

struct VmListSettings {
  /// Time from the start of one read to the start of the next.
  std::chrono::milliseconds interval{200};
  /// How long a read may take.
  std::chrono::milliseconds answer_limit{1000};
};

/// The thread that reads the platform's VM list at a fixed interval.
class VmListThread {
 public:
  /// Pushes each result into `out`. `out` and `metrics` must outlive the
  /// thread.
  VmListThread(const Endpoint& vm_list, BoundedRing<FromVmList>& out,
               Metrics& metrics, VmListSettings settings = {});
  ~VmListThread();
  VmListThread(const VmListThread&) = delete;
  VmListThread& operator=(const VmListThread&) = delete;

  void Start();

  /// Ends a read that is under way and joins the thread.
  void Stop();

 private:
  void Run(const std::stop_token& stop);
  void ReadOnce(const std::stop_token& stop);
  void Push(FromVmList result);

  VmListSettings settings;
  VmListClient client;
  BoundedRing<FromVmList>& out;
  Metrics& metrics;
  bool is_failing = false;
  std::jthread thread;
};

}  // namespace bamboorack::vm_list

#endif  // BAMBOORACK_VM_LIST_VM_LIST_THREAD_H_
