#ifndef BAMBOORACK_CORE_WAKEUP_H_
#define BAMBOORACK_CORE_WAKEUP_H_

#include <condition_variable>
#include <mutex>

#include "bamboorack/core/time.h"

namespace bamboorack {

/// Lets one thread wait for several rings at once: each ring's waker calls
/// `Notify`.
class Wakeup {
 public:
  /// Ends the current wait, or the next one if nobody waits. Any thread may
  /// call it.
  void Notify() {
    {
      const std::lock_guard lock(this->mutex);
      this->is_notified = true;
    }
    this->condition.notify_one();
  }

  /// Waits until `Notify` was called since the last wait, or `deadline`.
  void WaitUntil(MonotonicTime deadline) {
    std::unique_lock lock(this->mutex);
    this->condition.wait_until(lock, deadline,
                               [this] { return this->is_notified; });
    this->is_notified = false;
  }

 private:
  std::mutex mutex;
  std::condition_variable condition;
  bool is_notified = false;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_WAKEUP_H_
