#ifndef BAMBOORACK_UPSTREAM_KEY_LOAD_H_
#define BAMBOORACK_UPSTREAM_KEY_LOAD_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "bamboorack/core/key_range.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// Requests per key of one service, weighted by exponential decay.
class KeyLoad {
 public:
  static constexpr std::chrono::milliseconds kDefaultHalfLife{1'500};

  explicit KeyLoad(
      std::chrono::milliseconds count_half_life = kDefaultHalfLife);

  void Add(ShardKey key, double requests);
  /// Decays all counts to the time `now`, by half for each half-life.
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
  /// Returns the keys with at least this decayed request count.
  std::vector<ShardKey> KeysFrom(double requests) const;

 private:
  std::chrono::milliseconds half_life;
  std::vector<float> request_counts;
  /// `prefix_sums[k]` is the total weight of all keys below `k`.
  std::vector<double> prefix_sums;
  MonotonicTime decayed_at;
};

/// The load of one service over two spans of time.
class ServiceKeyLoad {
 public:
  void Add(ShardKey key, double requests);
  /// Brings both to the time `now`.
  void Update(MonotonicTime now);

  /// Over several seconds, so that chance does not make keys move.
  const KeyLoad& Steady() const { return this->steady; }
  /// Over less than a second, to see that keys become hot.
  const KeyLoad& Recent() const { return this->recent; }

 private:
  static constexpr std::chrono::milliseconds kSteadyHalfLife{4'000};
  static constexpr std::chrono::milliseconds kRecentHalfLife{500};

  KeyLoad steady{kSteadyHalfLife};
  KeyLoad recent{kRecentHalfLife};
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_KEY_LOAD_H_
