#ifndef BAMBOORACK_UPSTREAM_DISPATCH_QUEUE_H_
#define BAMBOORACK_UPSTREAM_DISPATCH_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/rank.h"
#include "bamboorack/core/reason.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/service_time_estimator.h"
#include "bamboorack/upstream/work_id.h"

namespace bamboorack::upstream {

/// A request that is queued for an upstream.
struct QueuedWork {
  WorkId id;
  Rank rank = Rank::kLookup;
  MonotonicTime deadline;
};

/// A request that was removed from the queue without being sent.
struct DroppedWork {
  WorkId id;
  /// `kDeadlinePassed` or `kDeadlineWouldPass`.
  Reason reason = Reason::kDeadlinePassed;
};

/// Queues the requests for one upstream by priority: the most urgent rank goes
/// first, but each rank is guaranteed a minimum share, its floor, while it has
/// requests queued. Shares are of slot time, not of dispatches: when dispatches
/// were counted, uploads with a tenth of all dispatches held three quarters of
/// the slots. Requests of one rank are served in order of arrival.
class DispatchQueue {
 public:
  /// `shares` holds the floor of each rank, with a sum of at most 1; `limit` is
  /// the number of requests of one rank that may be queued.
  DispatchQueue(const std::array<double, kRankCount>& shares,
                std::uint32_t limit);

  void Configure(const std::array<double, kRankCount>& shares,
                 std::uint32_t limit);

  /// Adds `work`. Refuses with `kDeadlinePassed`, `kQueueFull`, or with
  /// `kDeadlineWouldPass` if `estimator` predicts an answer after its deadline;
  /// `limit` is the upstream's current concurrency limit.
  tl::expected<void, Reason> Push(const QueuedWork& work,
                                  const ServiceTimeEstimator& estimator,
                                  std::uint32_t limit, MonotonicTime now);
  /// Removes and returns the request to send next, or nothing if the
  /// concurrency limit `limit` allows none. Adds to `dropped` the requests that
  /// it removed because they would be answered after their deadline.
  std::optional<QueuedWork> Pop(const ServiceTimeEstimator& estimator,
                                std::uint32_t limit, MonotonicTime now,
                                std::vector<DroppedWork>& dropped);
  /// Removes the requests whose deadline has passed.
  std::vector<DroppedWork> RemoveExpired(MonotonicTime now);
  /// Removes one request. Returns false if it is not queued.
  bool Remove(WorkId id);
  /// Removes and returns all requests for which `predicate` holds.
  std::vector<QueuedWork> RemoveIf(
      const std::function<bool(const QueuedWork&)>& predicate);

  std::size_t Size() const;
  std::size_t Size(Rank rank) const;
  /// Returns how many requests of each rank are expected to be dispatched
  /// before a new request of `rank`.
  RankCounts DispatchesBefore(Rank rank,
                              const ServiceTimeEstimator& estimator) const;

 private:
  struct RankQueue {
    std::deque<QueuedWork> waiting;
    /// Slot time in seconds by which this rank has fallen behind its floor.
    double deficit = 0.0;
    /// Time of the last call of `Push`.
    MonotonicTime last_push_time = MonotonicTime::min();
    /// A lower bound of the deadlines of all queued requests.
    MonotonicTime earliest_deadline = MonotonicTime::max();
  };

  RankQueue& QueueOf(Rank rank) { return this->queues.at(IndexOf(rank)); }
  std::optional<Rank> ChooseRank(const ServiceTimeEstimator& estimator,
                                 std::uint32_t limit, MonotonicTime now) const;
  bool MayStart(Rank rank, const ServiceTimeEstimator& estimator,
                std::uint32_t limit, MonotonicTime now) const;
  void ChargeDispatch(Rank rank, const ServiceTimeEstimator& estimator);
  void DropLate(RankQueue& queue, std::chrono::nanoseconds needed,
                MonotonicTime now, std::vector<DroppedWork>& dropped);
  void DropExpired(RankQueue& queue, MonotonicTime now,
                   std::vector<DroppedWork>& dropped);

  std::array<RankQueue, kRankCount> queues;
  std::array<double, kRankCount> floors;
  std::uint32_t limit_per_rank;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_DISPATCH_QUEUE_H_
