#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_UPSTREAM_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_UPSTREAM_H_

#include <chrono>
#include <set>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/upstream/messages.h"

namespace bamboorack::upstream {

/// True time of a simulation, since its start.
using TrueTime = std::chrono::nanoseconds;

/// A clock that runs fast or slow and started at its own time.
struct DriftingClock {
  std::chrono::nanoseconds offset{0};
  /// Parts per million that the clock runs fast; negative if slow.
  std::int64_t drift_ppm = 0;

  std::chrono::nanoseconds Read(TrueTime now) const {
    constexpr std::int64_t kMillion = 1'000'000;
    return this->offset + now + now * this->drift_ppm / kMillion;
  }
};

/// Which rules of the protocol a simulated upstream keeps. Tests switch one
/// off to show what it is good for.
struct UpstreamRules {
  /// Refuse orders with a lower token than the highest one seen.
  bool refuses_stale_tokens = true;
  /// Count the lease from the echoed reading, not from the arrival.
  bool counts_from_echo = true;
};

/// One upstream instance, as section 6.1 of the design describes it.
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
