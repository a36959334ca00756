#ifndef BAMBOORACK_CORE_STOPPABLE_WAIT_H_
#define BAMBOORACK_CORE_STOPPABLE_WAIT_H_

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "bamboorack/core/time.h"

namespace bamboorack {

/// Blocks until `deadline` or until `stop` is requested. Returns false if
/// `stop` was requested.
inline bool WaitUntil(const std::stop_token& stop, MonotonicTime deadline) {
  std::mutex mutex;
  std::condition_variable_any never_notified;
  std::unique_lock lock(mutex);
  never_notified.wait_until(lock, stop, deadline, [] { return false; });
  return !stop.stop_requested();
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_STOPPABLE_WAIT_H_
