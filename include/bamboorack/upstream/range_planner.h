#ifndef BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_
#define BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "bamboorack/core/key_range.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/upstream/range_lease_manager.h"

namespace bamboorack::upstream {

/// Recent requests per key of one service, weighted by exponential decay.
class KeyLoad {
 public:
  KeyLoad();

  void Add(ShardKey key, double requests);
  /// Decays all counts to the time `now`, by half for each `kHalfLife`.
  void Decay(MonotonicTime now);
  /// Recomputes the prefix sums for `WeightOf`, `LastKeyWithin` and `Total`.
  /// Must be called after `Add` and `Decay`.
  void UpdatePrefixSums();
  /// Returns the weight of a range. Each key has a small base weight even if it
  /// was never requested, so that the keys of an idle service are divided
  /// evenly.
  double WeightOf(const KeyRange& range) const;
  /// Returns the last key of the longest prefix of `range` that weighs at most
  /// `weight`. The prefix has at least one key.
  ShardKey LastKeyWithin(const KeyRange& range, double weight) const;
  double Total() const { return this->prefix_sums.back(); }
  /// Returns the key with the highest decayed request count.
  ShardKey HottestKey() const;

 private:
  static constexpr std::chrono::milliseconds kHalfLife{1'500};

  std::vector<float> request_counts;
  /// `prefix_sums[k]` is the total weight of all keys below `k`.
  std::vector<double> prefix_sums;
  MonotonicTime decayed_at;
};

/// An upstream to which keys may be assigned.
struct RangeCandidate {
  UpstreamRun run;
  /// Number of slots times the measured speed.
  double capacity = 1;
};

/// Distributes the keys of one service over its upstreams.
///
/// Designed for this load: a few adjacent keys suddenly receive a third of the
/// requests, all on one upstream with a few slots; the speed of upstreams
/// differs by a factor of three; upstreams join, leave and fail.
class RangePlanner {
 public:
  static std::vector<RangeMove> Plan(
      const std::vector<RangeView>& ranges,
      const std::vector<RangeCandidate>& candidates, const KeyLoad& load);
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_
