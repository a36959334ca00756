#ifndef BAMBOORACK_CORE_BOUNDED_RING_H_
#define BAMBOORACK_CORE_BOUNDED_RING_H_

#include <glog/logging.h>

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "bamboorack/core/time.h"

namespace bamboorack {

/// A fixed-size queue that joins two threads. Any thread may push; one thread
/// pops. A full ring refuses, it never blocks the producer.
template <typename T>
class BoundedRing {
 public:
  /// `capacity` is the number of items, at least 1.
  explicit BoundedRing(std::size_t capacity) : slots(capacity) {
    CHECK_GT(capacity, 0U) << "a ring needs at least one slot";
  }

  ~BoundedRing() = default;
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// Sets a function that is called after each push, so that a consumer that
  /// waits in poll instead of `PopUntil` wakes up. Call before the first push.
  void SetWaker(const std::function<void()>& function) {
    this->waker = function;
  }

  /// Adds `item`. Returns false, and leaves `item` as it was, if the ring is
  /// full or closed.
  [[nodiscard]] bool TryPush(T&& item) {
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->count == this->slots.size()) return false;
      this->slots[(this->head + this->count) % this->slots.size()] =
          std::move(item);
      ++this->count;
    }
    this->not_empty.notify_one();
    if (this->waker) this->waker();
    return true;
  }

  /// Takes the oldest item, or returns nothing if the ring is empty.
  std::optional<T> TryPop() {
    const std::lock_guard lock(this->mutex);
    return this->PopLocked();
  }

  /// Takes the oldest item. Waits until `deadline` for one to arrive; returns
  /// nothing when the deadline passes or the ring is closed and empty.
  std::optional<T> PopUntil(MonotonicTime deadline) {
    std::unique_lock lock(this->mutex);
    this->not_empty.wait_until(
        lock, deadline, [this] { return this->count > 0 || this->closed; });
    return this->PopLocked();
  }

  /// Refuses all later pushes and wakes the consumer.
  void Close() {
    {
      const std::lock_guard lock(this->mutex);
      this->closed = true;
    }
    this->not_empty.notify_all();
    if (this->waker) this->waker();
  }

  bool IsClosed() const {
    const std::lock_guard lock(this->mutex);
    return this->closed;
  }

  std::size_t Size() const {
    const std::lock_guard lock(this->mutex);
    return this->count;
  }

 private:
  std::optional<T> PopLocked() {
    if (this->count == 0) return std::nullopt;
    std::optional<T> item(std::move(*this->slots[this->head]));
    this->slots[this->head].reset();
    this->head = (this->head + 1) % this->slots.size();
    --this->count;
    return item;
  }

  mutable std::mutex mutex;
  std::condition_variable not_empty;
  std::vector<std::optional<T>> slots;
  std::size_t head = 0;
  std::size_t count = 0;
  bool closed = false;
  std::function<void()> waker;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_BOUNDED_RING_H_
