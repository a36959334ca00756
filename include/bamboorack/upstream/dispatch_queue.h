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

/// One request that waits for its upstream.
struct QueuedWork {
  WorkId id;
  Rank rank = Rank::kLookup;
  MonotonicTime deadline;
};

/// A request that left the queue unsent.
struct DroppedWork {
  WorkId id;
  /// `kDeadlinePassed` or `kDeadlineWouldPass`.
  Reason reason = Reason::kDeadlinePassed;
};

/// The requests that wait for one upstream: most urgent rank first, but each
/// rank keeps its floor, a minimum share of the dispatches while it has work
/// waiting. Dispatches are weighed by the usual time of their rank, because
/// uploads with a tenth of all dispatches held three quarters of the slots.
/// Within a rank, first come, first served.
class DispatchQueue {
 public:
  /// `shares` is one floor for each rank with a sum of at most 1; `limit` is
  /// the number of requests of one rank that may wait.
  DispatchQueue(const std::array<double, kRankCount>& shares,
                std::uint32_t limit);

  void Configure(const std::array<double, kRankCount>& shares,
                 std::uint32_t limit);

  /// Adds `work`. Refuses with `kDeadlinePassed`, `kQueueFull`, or with
  /// `kDeadlineWouldPass` if by `estimator` it would be answered too late;
  /// `limit` is the upstream's present concurrency limit.
  tl::expected<void, Reason> Push(const QueuedWork& work,
                                  const ServiceTimeEstimator& estimator,
                                  std::uint32_t limit, MonotonicTime now);
  /// Takes the request to send next, if one may be sent while `limit` requests
  /// may be in flight. Adds to `dropped` the requests that were passed over
  /// because they would be answered too late.
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
  /// Returns how many dispatches of each rank are expected before a new
  /// request of `rank`.
  RankCounts DispatchesBefore(Rank rank,
                              const ServiceTimeEstimator& estimator) const;

 private:
  struct Line {
    std::deque<QueuedWork> waiting;
    /// Seconds of slot time that the floor owes to this rank.
    double owed = 0.0;
    /// When a request arrived last.
    MonotonicTime last_push = MonotonicTime::min();
    /// No waiting request has an earlier deadline.
    MonotonicTime earliest_deadline = MonotonicTime::max();
  };

  Line& LineOf(Rank rank) { return this->lines.at(IndexOf(rank)); }
  std::optional<Rank> ChooseRank(const ServiceTimeEstimator& estimator,
                                 std::uint32_t limit, MonotonicTime now) const;
  bool MayStart(Rank rank, const ServiceTimeEstimator& estimator,
                std::uint32_t limit, MonotonicTime now) const;
  void Account(Rank rank, const ServiceTimeEstimator& estimator);
  void DropHopeless(Line& line, std::chrono::nanoseconds needed,
                    MonotonicTime now, std::vector<DroppedWork>& dropped);
  void DropExpired(Line& line, MonotonicTime now,
                   std::vector<DroppedWork>& dropped);

  std::array<Line, kRankCount> lines;
  std::array<double, kRankCount> floors;
  std::uint32_t limit_per_rank;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_DISPATCH_QUEUE_H_
