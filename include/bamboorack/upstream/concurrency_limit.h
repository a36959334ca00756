#ifndef BAMBOORACK_UPSTREAM_CONCURRENCY_LIMIT_H_
#define BAMBOORACK_UPSTREAM_CONCURRENCY_LIMIT_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "bamboorack/core/rank.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// How many requests one upstream may run at once for this authority. Starts
/// at one, grows to the inventory's slots and never above, falls when the
/// upstream shows that it is overloaded, and recovers with its answers.
class ConcurrencyLimit {
 public:
  /// `initial_slots` is at least 1.
  explicit ConcurrencyLimit(std::uint32_t initial_slots);

  /// Takes over a change of the inventory.
  void SetSlots(std::uint32_t new_slots);
  /// Returns the number of requests that may be in flight, 1 to `slots`.
  std::uint32_t Current() const;

  /// The upstream answered a request of `rank` that was sent at `sent`.
  void OnAnswer(Rank rank, MonotonicTime sent, MonotonicTime now);
  /// The upstream shed a request that was sent at `sent`.
  void OnShed(MonotonicTime sent, MonotonicTime now);
  /// A request of `rank` that was sent at `sent` got no answer before its
  /// deadline. It says nothing if it had little time from the start.
  void OnTimeout(Rank rank, MonotonicTime sent, MonotonicTime now);
  /// The connection of a request that was sent at `sent` was lost.
  void OnLost(MonotonicTime sent, MonotonicTime now);

 private:
  void Shrink(double factor, MonotonicTime sent, MonotonicTime now);
  void Grow();
  bool IsSlow(Rank rank, std::chrono::nanoseconds response);

  /// What a request of one rank usually takes.
  struct Usual {
    double seconds = 0.0;
    double answers = 0.0;
  };

  std::array<Usual, kRankCount> usual_of_rank{};
  std::uint32_t slots;
  double limit = 1.0;
  /// Growth is one for each answer below this, then one for each `limit`
  /// answers.
  double careful_from;
  double smoothed_slowness = 1.0;
  MonotonicTime last_shrink = MonotonicTime::min();
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_CONCURRENCY_LIMIT_H_
