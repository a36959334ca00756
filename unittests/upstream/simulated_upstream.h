#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_UPSTREAM_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_UPSTREAM_H_

#include <chrono>
#include <set>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/upstream/messages.h"

namespace bamboorack::upstream {

/// Time since the start of a simulation, without drift.
using TrueTime = std::chrono::nanoseconds;

/// A clock with a constant drift and its own start value.
struct DriftingClock {
  std::chrono::nanoseconds offset{0};
  /// Drift in parts per million; positive if the clock runs fast.
  std::int64_t drift_ppm = 0;

  std::chrono::nanoseconds Read(TrueTime now) const {
    constexpr std::int64_t kMillion = 1'000'000;
    return this->offset + now + now * this->drift_ppm / kMillion;
  }
};

/// The protocol rules that a simulated upstream follows. Mutation tests disable
/// one rule at a time and expect an ownership violation.
struct UpstreamRules {
  /// Refuse calls with a lower token than the highest one seen.
  bool refuses_stale_tokens = true;
  /// Count the lease from the echoed reading, not from the arrival of the
  /// grant.
  bool counts_from_echo = true;
};

/// An upstream instance as specified in section 6.1 of the design.
struct SimulatedUpstream {
  UpstreamId id;
  VmId vm;
  UpstreamInstance instance;
  bool checks_tokens = true;
  UpstreamRules rules;
  DriftingClock clock;
  bool is_draining = false;
  FencingToken token;
  UpstreamReading lease_end;
  std::set<ShardId> shards;

  UpstreamReading Reading(TrueTime now) const {
    return UpstreamReading(
        std::chrono::floor<std::chrono::milliseconds>(this->clock.Read(now)));
  }
  bool IsExpired(TrueTime now) const {
    return this->Reading(now) >= this->lease_end;
  }
  /// Whether the upstream believes that it owns `shard`.
  bool Owns(ShardId shard, TrueTime now) const {
    return !this->IsExpired(now) && this->shards.contains(shard);
  }
  tl::expected<ControlAnswer, ControlError> Handle(
      const ControlRequest& request, TrueTime now);

 private:
  template <typename Call>
  tl::expected<void, ControlError> Check(const Call& call);
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_UPSTREAM_H_
