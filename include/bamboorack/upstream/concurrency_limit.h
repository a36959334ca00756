#ifndef BAMBOORACK_UPSTREAM_CONCURRENCY_LIMIT_H_
#define BAMBOORACK_UPSTREAM_CONCURRENCY_LIMIT_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "bamboorack/core/rank.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// Limits how many requests this authority may have in flight at one upstream.
/// The limit starts at one and grows with each answer up to the slots that the
/// inventory lists. It falls when the upstream shows signs of overload.
class ConcurrencyLimit {
 public:
  /// `initial_slots` is at least 1.
  explicit ConcurrencyLimit(std::uint32_t initial_slots);

  /// Applies a changed slot count of the inventory.
  void SetSlots(std::uint32_t new_slots);
  /// Returns the number of requests that may be in flight, 1 to `slots`.
  std::uint32_t Current() const;

  /// Records the answer to a request of `rank` that was sent at `sent`.
  void OnAnswer(Rank rank, MonotonicTime sent, MonotonicTime now);
  /// Records that the upstream shed a request that was sent at `sent`.
  void OnShed(MonotonicTime sent, MonotonicTime now);
  /// Records that a request of `rank` that was sent at `sent` got no answer
  /// before its deadline. Ignored if the request was sent too close to its
  /// deadline.
  void OnTimeout(Rank rank, MonotonicTime sent, MonotonicTime now);
  /// Records that the connection of a request that was sent at `sent` was
  /// lost.
  void OnLost(MonotonicTime sent, MonotonicTime now);

 private:
  void Shrink(double factor, MonotonicTime sent, MonotonicTime now);
  void Grow();
  bool IsSlow(Rank rank, std::chrono::nanoseconds response);

  /// The mean response time of one rank.
  struct ResponseMean {
    double seconds = 0.0;
    double answers = 0.0;
  };

  std::array<ResponseMean, kRankCount> mean_of_rank{};
  std::uint32_t slots;
  double limit = 1.0;
  /// Below this the limit grows by one for each answer, above it by one for
  /// each `limit` answers.
  double slow_start_threshold;
  double smoothed_slowdown = 1.0;
  MonotonicTime last_shrink = MonotonicTime::min();
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_CONCURRENCY_LIMIT_H_
