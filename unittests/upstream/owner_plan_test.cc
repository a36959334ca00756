#include "bamboorack/upstream/owner_plan.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <string>

#include "bamboorack/core/placement.h"

namespace bamboorack::upstream {
namespace {

using Owners = std::map<ShardId, std::optional<UpstreamRef>>;

constexpr std::uint64_t kSalt = 7;

std::vector<OwnerTarget> MakeTargets(int count) {
  std::vector<OwnerTarget> targets;
  for (int i = 0; i < count; ++i) {
    const std::string name = "u" + std::to_string(i);
    targets.push_back({{UpstreamId(name), UpstreamInstance(name)}, 1.0});
  }
  return targets;
}

Owners Unowned(std::uint32_t count) {
  Owners owners;
  for (std::uint32_t i = 0; i < count; ++i) owners[ShardId(i)];
  return owners;
}

Owners Apply(const Owners& owners, const std::vector<OwnerTarget>& targets) {
  Owners planned;
  for (const auto& [shard, ref] : PlanOwners(kSalt, owners, targets)) {
    planned[shard] = ref;
  }
  return planned;
}

std::size_t Moved(const Owners& before, const Owners& after) {
  std::size_t moved = 0;
  for (const auto& [shard, owner] : before) {
    if (after.at(shard) != owner) ++moved;
  }
  return moved;
}

std::size_t LoadOf(const Owners& owners, const OwnerTarget& target) {
  std::size_t load = 0;
  for (const auto& [shard, owner] : owners) {
    if (owner == target.ref) ++load;
  }
  return load;
}

SCENARIO("a change of the upstreams moves shards that could stay") {
  GIVEN("256 shards on 20 upstreams") {
    auto targets = MakeTargets(20);
    const Owners before = Apply(Unowned(256), targets);
    WHEN("the upstreams do not change") {
      THEN("no shard moves") { CHECK(Apply(before, targets) == before); }
    }
    WHEN("an upstream leaves") {
      const OwnerTarget gone = targets.back();
      targets.pop_back();
      const Owners after = Apply(before, targets);
      THEN("only its shards move") {
        CHECK(Moved(before, after) == LoadOf(before, gone));
      }
    }
    WHEN("an upstream joins") {
      targets = MakeTargets(21);
      const Owners after = Apply(before, targets);
      THEN("it gets its share, and hardly any other shard moves") {
        CHECK(LoadOf(after, targets.back()) >= 10);
        CHECK(Moved(before, after) <= LoadOf(after, targets.back()) + 2);
      }
    }
    WHEN("the weight of an upstream is doubled") {
      targets.front().weight = 2.0;
      const Owners after = Apply(before, targets);
      THEN("it owns more shards") {
        CHECK(LoadOf(after, targets.front()) >
              LoadOf(before, targets.front()) + 5);
      }
    }
    WHEN("there is no upstream") {
      THEN("the plan is empty") {
        CHECK(PlanOwners(kSalt, before, {}).empty());
      }
    }
  }
}

SCENARIO("a plan overloads an upstream or does not converge") {
  rc::prop("every load is bounded and a second plan moves no shard", [] {
    auto targets = MakeTargets(*rc::gen::inRange(1, 12));
    double total_weight = 0;
    for (OwnerTarget& target : targets) {
      target.weight = *rc::gen::inRange(1, 5);
      total_weight += target.weight;
    }
    Owners owners = Unowned(*rc::gen::inRange<std::uint32_t>(1, 200));
    for (auto& [shard, owner] : owners) {
      const int index = *rc::gen::inRange(0, 14);
      if (index < 12) owner = MakeTargets(12)[index].ref;
    }
    const Owners planned = Apply(owners, targets);
    RC_ASSERT(planned.size() == owners.size());
    for (const OwnerTarget& target : targets) {
      const double share =
          static_cast<double>(owners.size()) * target.weight / total_weight;
      RC_ASSERT(static_cast<double>(LoadOf(planned, target)) <=
                std::ceil(share * kLoadBound));
    }
    RC_ASSERT(Apply(planned, targets) == planned);
  });
}

}  // namespace
}  // namespace bamboorack::upstream
