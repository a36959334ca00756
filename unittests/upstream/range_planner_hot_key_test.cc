#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "bamboorack/upstream/range_planner.h"

namespace bamboorack::upstream {
namespace {

constexpr int kUpstreams = 10;
const KeyRange kHotKey{ShardKey(500), ShardKey(500)};

UpstreamRun RunOf(int i) {
  return {UpstreamId("u" + std::to_string(i)), UpstreamLife(1)};
}

/// Upstreams whose estimated capacities differ by up to 5 percent.
std::vector<RangeCandidate> Candidates(int strongest) {
  std::vector<RangeCandidate> candidates;
  for (int i = 0; i < kUpstreams; ++i) {
    candidates.push_back({RunOf(i), i == strongest ? 6.3 : 6.0});
  }
  return candidates;
}

/// One upstream holds nothing but the hot key; the others share the rest.
std::vector<RangeView> Ranges() {
  std::vector<RangeView> ranges;
  const auto add = [&ranges](std::uint16_t first, std::uint16_t last,
                             int holder) {
    ranges.push_back(
        {{ShardKey(first), ShardKey(last)}, RunOf(holder), true, false});
  };
  add(0, 499, 1);
  add(500, 500, 0);
  add(501, 7'000, 1);
  for (int i = 2; i < kUpstreams; ++i) {
    const int first = 7'001 + (i - 2) * 7'316;
    const int last = i == kUpstreams - 1 ? 65'535 : first + 7'315;
    add(static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(last), i);
  }
  return ranges;
}

SCENARIO("a key that overloads any upstream moves on with each estimate") {
  KeyLoad load;
  load.Add(kHotKey.first, 200);
  load.UpdatePrefixSums();
  GIVEN("an upstream that has only this key") {
    for (int strongest = 1; strongest < kUpstreams; ++strongest) {
      const auto moves =
          RangePlanner::Plan(Ranges(), Candidates(strongest), load);
      INFO("slightly more capacity at upstream " << strongest);
      THEN("it keeps it, whichever other upstream seems slightly faster") {
        for (const RangeMove& move : moves) {
          CHECK_FALSE(move.range.Contains(kHotKey.first));
        }
      }
    }
  }
  GIVEN("an upstream of three times the capacity") {
    std::vector<RangeCandidate> candidates = Candidates(1);
    candidates[4].capacity = 18;
    THEN("the key moves there") {
      const auto moves = RangePlanner::Plan(Ranges(), candidates, load);
      REQUIRE_FALSE(moves.empty());
      CHECK(moves.front().range == kHotKey);
      CHECK(moves.front().to == RunOf(4));
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
