#include "bamboorack/upstream/range_planner.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace bamboorack::upstream {
namespace {

UpstreamRun RunOf(int i) {
  return {UpstreamId("u" + std::to_string(i)), UpstreamLife(1)};
}

std::vector<RangeCandidate> Candidates(int count, double capacity = 6) {
  std::vector<RangeCandidate> candidates;
  for (int i = 0; i < count; ++i) candidates.push_back({RunOf(i), capacity});
  return candidates;
}

/// An assignment of keys to upstreams, to which planned moves are applied.
class KeyAssignment {
 public:
  explicit KeyAssignment(std::optional<UpstreamRun> holder)
      : owners(65'536, holder) {}

  void Apply(const std::vector<RangeMove>& moves) {
    for (const RangeMove& move : moves) {
      for (std::uint32_t key = move.range.first.value;
           key <= move.range.last.value; ++key) {
        this->owners[key] = move.to;
      }
    }
  }

  std::vector<RangeView> Views() const {
    std::vector<RangeView> views;
    for (std::uint32_t key = 0; key < this->owners.size(); ++key) {
      const ShardKey shard_key(static_cast<std::uint16_t>(key));
      if (!views.empty() && views.back().holder == this->owners[key]) {
        views.back().range.last = shard_key;
        continue;
      }
      const bool is_free = !this->owners[key].has_value();
      views.push_back(
          {{shard_key, shard_key}, this->owners[key], !is_free, is_free});
    }
    return views;
  }

  std::map<std::string, double> Loads(const KeyLoad& load) const {
    std::map<std::string, double> loads;
    for (const RangeView& view : this->Views()) {
      loads[view.holder->id.value] += load.WeightOf(view.range);
    }
    return loads;
  }

 private:
  std::vector<std::optional<UpstreamRun>> owners;
};

double Largest(const std::map<std::string, double>& loads) {
  double largest = 0;
  for (const auto& [id, load] : loads) largest = std::max(largest, load);
  return largest;
}

TEST_CASE("neighbouring hot keys overload one upstream") {
  KeyLoad load;
  KeyAssignment assignment(std::nullopt);
  const auto candidates = Candidates(18);

  SECTION("keys without a holder are distributed evenly") {
    assignment.Apply(RangePlanner::Plan(assignment.Views(), candidates, load));
    const auto loads = assignment.Loads(load);
    CHECK(loads.size() == 18);
    CHECK(Largest(loads) < 1.3 * load.Total() / 18);

    SECTION("an even distribution is left unchanged") {
      CHECK(RangePlanner::Plan(assignment.Views(), candidates, load).empty());
    }

    SECTION("200 adjacent keys with 39 % of the requests are spread") {
      for (std::uint32_t key = 0; key < 65'536; key += 40) {
        load.Add(ShardKey(static_cast<std::uint16_t>(key)), 0.5);
      }
      for (std::uint16_t key = 30'000; key < 30'200; ++key) {
        load.Add(ShardKey(key), 2.6);
      }
      load.UpdatePrefixSums();
      const double mean = load.Total() / 18;
      REQUIRE(Largest(assignment.Loads(load)) > 5 * mean);
      assignment.Apply(
          RangePlanner::Plan(assignment.Views(), candidates, load));
      CHECK(Largest(assignment.Loads(load)) < 1.6 * mean);
      // A second plan has few moves left.
      const auto more =
          RangePlanner::Plan(assignment.Views(), candidates, load);
      CHECK(more.size() <= 4);
    }

    SECTION(
        "a key with a tenth of the requests moves to the largest upstream") {
      for (std::uint32_t key = 0; key < 65'536; key += 40) {
        load.Add(ShardKey(static_cast<std::uint16_t>(key)), 0.4);
      }
      load.Add(ShardKey(30'007), 80);
      load.UpdatePrefixSums();
      auto uneven = candidates;
      uneven[5].capacity = 9;
      uneven[6].capacity = 3;
      for (int i = 0; i < 3; ++i) {
        assignment.Apply(RangePlanner::Plan(assignment.Views(), uneven, load));
      }
      for (const RangeView& view : assignment.Views()) {
        if (view.range.Contains(ShardKey(30'007))) {
          CHECK(view.holder == RunOf(5));
        }
      }
      // That upstream keeps few other keys.
      CHECK(assignment.Loads(load).at("u5") < 95);
    }

    SECTION("the load of moving keys counts for their target") {
      for (std::uint16_t key = 0; key < 100; ++key) load.Add(ShardKey(key), 10);
      load.UpdatePrefixSums();
      const auto moves =
          RangePlanner::Plan(assignment.Views(), candidates, load);
      REQUIRE_FALSE(moves.empty());
      assignment.Apply(moves);
      auto views = assignment.Views();
      for (RangeView& view : views) view.is_settled = false;
      CHECK(RangePlanner::Plan(views, candidates, load).empty());
    }

    SECTION("the keys of an upstream that leaves are assigned to the others") {
      auto rest = candidates;
      rest.erase(rest.begin());
      assignment.Apply(RangePlanner::Plan(assignment.Views(), rest, load));
      CHECK(assignment.Loads(load).size() == 17);
    }

    SECTION("a new upstream gets its share") {
      for (std::uint32_t key = 0; key < 65'536; key += 16) {
        load.Add(ShardKey(static_cast<std::uint16_t>(key)), 0.2);
      }
      load.UpdatePrefixSums();
      auto more = candidates;
      more.push_back({RunOf(18), 6});
      for (int i = 0; i < 4; ++i) {
        assignment.Apply(RangePlanner::Plan(assignment.Views(), more, load));
      }
      // No more keys move once all other upstreams are below `kOverloadFactor`.
      CHECK(Largest(assignment.Loads(load)) < 1.35 * load.Total() / 19);
    }

    SECTION("a slow upstream gets a smaller share") {
      for (std::uint32_t key = 0; key < 65'536; key += 16) {
        load.Add(ShardKey(static_cast<std::uint16_t>(key)), 0.2);
      }
      load.UpdatePrefixSums();
      auto uneven = candidates;
      uneven[3].capacity = 2;
      for (int i = 0; i < 4; ++i) {
        assignment.Apply(RangePlanner::Plan(assignment.Views(), uneven, load));
      }
      CHECK(assignment.Loads(load).at("u3") < 0.55 * load.Total() / 18);
    }
  }

  SECTION("without upstreams no moves are planned") {
    CHECK(RangePlanner::Plan(assignment.Views(), {}, load).empty());
  }
}

TEST_CASE("old requests weigh as much as new ones") {
  KeyLoad load;
  MonotonicTime now{std::chrono::seconds(10)};
  load.Decay(now);
  load.Add(ShardKey(7), 8);
  now += std::chrono::milliseconds(1'500);
  load.Decay(now);
  load.UpdatePrefixSums();
  CHECK(load.WeightOf({ShardKey(7), ShardKey(7)}) == Approx(4).epsilon(0.01));
}

}  // namespace
}  // namespace bamboorack::upstream
