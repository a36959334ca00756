#ifndef BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_
#define BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "bamboorack/core/key_range.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/upstream/range_keeper.h"

namespace bamboorack::upstream {

/// How often each key of one service was requested lately. Older requests
/// count less.
class KeyLoad {
 public:
  KeyLoad();

  void Add(ShardKey key, double requests);
  /// Halves what was counted every `kHalfLife`.
  void Decay(MonotonicTime now);
  /// Prepares `Of`. Call after `Add` and `Decay`.
  void Sum();
  /// Returns the weight of a range. Each key has a small weight even if it was
  /// never requested, so that an idle service is divided evenly.
  double Of(const KeyRange& range) const;
  /// Returns the last key such that the keys from `range.first` on weigh at
  /// most `weight`, but at least one key.
  ShardKey Cut(const KeyRange& range, double weight) const;
  double Total() const { return this->sums.back(); }
  /// Returns the key that was requested most.
  ShardKey Hottest() const;

 private:
  static constexpr std::chrono::milliseconds kHalfLife{1'500};

  std::vector<float> counts;
  /// `sums[k]` is the weight of the keys below `k`.
  std::vector<double> sums;
  MonotonicTime decayed_at;
};

/// An upstream that may be given keys.
struct RangeCandidate {
  UpstreamRun run;
  /// Slots times learned speed.
  double capacity = 1;
};

/// Divides the keys of one service over its upstreams.
///
/// Load pattern: a few neighbouring keys suddenly get a third of the requests,
/// on one upstream with a few slots; upstreams differ in speed by a factor of
/// three; upstreams join, leave and vanish.
class RangePlanner {
 public:
  static std::vector<RangeMove> Plan(
      const std::vector<RangeView>& ranges,
      const std::vector<RangeCandidate>& candidates, const KeyLoad& load);
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_
