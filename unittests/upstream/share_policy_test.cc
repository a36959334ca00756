#include "bamboorack/upstream/share_policy.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

namespace bamboorack::upstream {
namespace {

constexpr double kTotalCapacity = 24;

/// Two upstreams each of the speeds 0.6, 1.0 and 1.4, with 4 slots.
std::vector<RangeCandidate> Candidates() {
  std::vector<RangeCandidate> candidates;
  for (const double speed : {0.6, 0.6, 1.0, 1.0, 1.4, 1.4}) {
    candidates.push_back({{}, 4 * speed, 4});
  }
  return candidates;
}

SCENARIO("slow upstreams get work although fast ones have room") {
  const auto candidates = Candidates();
  const ShareByLatency by_latency;
  const auto proportional = ShareByCapacity().Shares(candidates, 0);
  CHECK(proportional[0] == Approx(0.1));

  THEN("the shares add up to all of the work at any load") {
    for (double offered = 0; offered < 2 * kTotalCapacity; offered += 0.5) {
      const auto shares = by_latency.Shares(candidates, offered);
      CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == Approx(1));
    }
  }
  THEN("at low load the fast ones get most of it, and all keep a part") {
    const auto shares = by_latency.Shares(candidates, 0.3 * kTotalCapacity);
    CHECK(shares[4] > 1.2 * proportional[4]);
    CHECK(shares[0] < 0.5 * proportional[0]);
    CHECK(shares[0] > 0.15 * proportional[0]);
    CHECK(shares[0] == Approx(shares[1]));
  }
  THEN("near and above the planned utilization they are proportional") {
    for (const double utilization : {0.69, 0.8, 1.5}) {
      const auto shares =
          by_latency.Shares(candidates, utilization * kTotalCapacity);
      for (std::size_t i = 0; i < shares.size(); ++i) {
        CHECK(shares[i] == Approx(proportional[i]).epsilon(0.03));
      }
    }
  }
  THEN("the work of each grows steadily with the load, within its limit") {
    auto before = by_latency.Shares(candidates, 0.21 * kTotalCapacity);
    double offered_before = 0.21 * kTotalCapacity;
    for (double u = 0.22; u < 1; u += 0.01) {
      const double offered = u * kTotalCapacity;
      const auto shares = by_latency.Shares(candidates, offered);
      for (std::size_t i = 0; i < shares.size(); ++i) {
        const double work = shares[i] * offered;
        CHECK(work >= before[i] * offered_before - 0.001);
        CHECK(work - before[i] * offered_before < 0.1 * kTotalCapacity / 6);
        CHECK(work <= std::max(u, ShareByLatency::kPlannedUtilization) *
                          candidates[i].capacity * 1.01);
      }
      before = shares;
      offered_before = offered;
    }
  }
  THEN("upstreams of the same kind get the same") {
    const std::vector<RangeCandidate> same(5, RangeCandidate{{}, 4, 4});
    for (const double offered : {0.0, 4.0, 12.0}) {
      for (const double share : by_latency.Shares(same, offered)) {
        CHECK(share == Approx(0.2));
      }
    }
  }
  THEN("learned speeds are scaled to a mean of 1") {
    auto learned = candidates;
    for (RangeCandidate& candidate : learned) candidate.capacity *= 1.3;
    CHECK(NormalizeSpeeds(learned) == Approx(1.3));
    CHECK(learned[5].capacity == Approx(5.6));
  }
}

}  // namespace
}  // namespace bamboorack::upstream
