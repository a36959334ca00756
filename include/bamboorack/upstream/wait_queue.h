#ifndef BAMBOORACK_UPSTREAM_WAIT_QUEUE_H_
#define BAMBOORACK_UPSTREAM_WAIT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// A request that waits until an upstream has capacity.
struct QueueEntry {
  std::uint64_t request = 0;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  MonotonicTime arrived_at;
  /// Latest start at which the request meets its latency target.
  MonotonicTime latest_start_for_target;
  /// Latest start at which the request is answered within its time limit.
  MonotonicTime latest_start;
  /// Earliest time to pop the request, set after a refusal by the upstream.
  MonotonicTime not_before;
};

/// Queues the requests of one daemon for the same upstream or service.
///
/// Designed for overloads in which one kind of request arrives at two to ten
/// times the upstreams' capacity. Requests that can still meet their latency
/// target go before late ones, and among these the more urgent first. A fixed
/// share of the pops takes the least urgent request, so that no priority
/// starves. A request that is not expected to start before its time limit is
/// refused on arrival.
class WaitQueue {
 public:
  void Push(const QueueEntry& entry);
  /// Removes and returns the next request, or nothing.
  std::optional<QueueEntry> Pop(MonotonicTime now);
  /// Puts a popped request back into the queue.
  void PutBack(const QueueEntry& entry) { this->Push(entry); }
  bool Remove(std::uint64_t request);
  /// Removes and returns the requests that can no longer be answered within
  /// their time limit.
  std::vector<QueueEntry> RemoveExpired(MonotonicTime now);
  /// Removes all entries and returns them, oldest first.
  std::vector<QueueEntry> TakeAll();

  /// Counts one request that an upstream has completed, to measure the service
  /// rate.
  void OnServed(MonotonicTime now);
  /// Whether a new request is expected to start before its time limit.
  bool CanStartInTime(const QueueEntry& entry, MonotonicTime now) const;
  /// Returns the expected wait of a request of `priority` that arrives now.
  std::chrono::nanoseconds ExpectedWait(std::uint32_t priority,
                                        MonotonicTime now) const;

  bool IsEmpty() const { return this->entries.empty(); }
  std::size_t Size() const { return this->entries.size(); }

 private:
  using Index = std::size_t;

  Index FindNext(MonotonicTime now) const;
  Index FindLeastUrgent(MonotonicTime now) const;

  std::vector<QueueEntry> entries;
  /// Pops since the last one that took the least urgent request.
  int pops_since_least_urgent = 0;
  /// Requests served in the current and in the previous period.
  double served_in_period = 0;
  double served_in_last_period = 0;
  MonotonicTime period_start;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_WAIT_QUEUE_H_
