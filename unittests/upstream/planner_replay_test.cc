#include "upstream/planner_replay.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "bamboorack/upstream/share_policy.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests per second at which 44 % of the slots are busy.
constexpr double kRate = 340;
constexpr std::size_t kUpstreams = 45;

/// A replay that divides by `policy` and has found its balance.
PlannerReplay BalancedReplay(const SharePolicy& policy) {
  PlannerReplay replay(kUpstreams, kRate, 7);
  replay.planner = [&policy](PlannerReplay& self, const auto& ranges,
                             const auto& candidates, double offered) {
    return RangePlanner::Plan(ranges, candidates,
                              policy.Shares(candidates, offered), self.load);
  };
  replay.Run(seconds(15));
  replay.moves = 0;
  replay.moved_share = 0;
  return replay;
}

SCENARIO("keys wander without need, or stay where they cannot be served") {
  const ShareByCapacity by_capacity;
  const ShareByLatency by_latency;
  const bool is_by_latency = GENERATE(false, true);
  const SharePolicy& policy =
      is_by_latency ? static_cast<const SharePolicy&>(by_latency) : by_capacity;
  INFO("by " << policy.Name());
  PlannerReplay replay = BalancedReplay(policy);

  WHEN("requests scatter by chance and learned speeds by 4 %") {
    replay.SetSpeedNoise(0.04);
    replay.Run(seconds(10));
    THEN("less than 1 % of the requests a second are for keys that move") {
      CHECK(replay.moved_share / 10 < 0.01);
    }
  }
  WHEN("100 neighbouring keys get 37 % of the requests at once") {
    replay.Heat(30'000, 100, 0.37);
    const double excess = replay.ExcessShare();
    REQUIRE(excess > 0.25);
    replay.Run(milliseconds(500));
    THEN("nearly all have found room after two plans") {
      CHECK(replay.ExcessShare() < 0.25 * excess);
      replay.Run(milliseconds(2'500));
      CHECK(replay.ExcessShare() < 0.05);
      CHECK(replay.moves < 8 * kUpstreams);
    }
  }
  WHEN("a single key gets 15 % of the requests") {
    replay.Heat(30'000, 1, 0.15);
    replay.Run(seconds(5));
    THEN("its neighbours have left its holder, a fast upstream") {
      CHECK(replay.ShareBeside(ShardKey(30'000)) < 0.01);
      CHECK(replay.SpeedOfHolder(ShardKey(30'000)) == 1.4);
    }
  }
  WHEN("the rate nearly doubles") {
    replay.rate *= 1.9;
    THEN("the slots suffice before any key moves") {
      CHECK(replay.ExcessShare() < 0.05);
    }
  }
  WHEN("an upstream turns five times slower, and this is learned") {
    replay.upstreams[5].speed /= 5;
    replay.Run(seconds(2));
    THEN("it keeps what it can serve") { CHECK(replay.Utilizations()[5] < 1); }
  }
  WHEN("an upstream leaves") {
    replay.upstreams[5].is_listed = false;
    replay.Run(milliseconds(500));
    THEN("the others have its keys") {
      CHECK(replay.Utilizations()[5] == 0);
      CHECK(replay.ExcessShare() < 0.01);
    }
  }
  WHEN("an upstream joins") {
    replay.upstreams.push_back({1.4});
    replay.Run(seconds(4));
    THEN("it gets keys although no other is overloaded") {
      CHECK(replay.Utilizations().back() > 0.2);
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
