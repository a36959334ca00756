// Compares `Place` and `PlanOwners` with hashing modulo and a consistent-hash
// ring: imbalance of shards and the share of shards that move with a change.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboorack/core/hash.h"
#include "bamboorack/core/placement.h"
#include "bamboorack/upstream/owner_plan.h"

namespace bamboorack {
namespace {

using Targets = std::vector<PlacementTarget>;
/// The name of each shard's target.
using Owners = std::vector<std::string>;

constexpr std::uint64_t kSalt = 42;

Owners WithPlace(std::uint32_t shards, const Targets& targets,
                 const Owners& /*before*/) {
  Owners owners;
  owners.reserve(shards);
  for (const std::size_t target : Place(kSalt, shards, targets)) {
    owners.push_back(targets[target].name);
  }
  return owners;
}

Owners WithPlan(std::uint32_t shards, const Targets& targets,
                const Owners& before) {
  std::map<ShardId, std::optional<UpstreamRef>> current;
  for (std::uint32_t i = 0; i < shards; ++i) {
    auto& owner = current[ShardId(i)];
    if (i < before.size()) owner = UpstreamRef{UpstreamId(before[i]), {}};
  }
  std::vector<upstream::OwnerTarget> owner_targets;
  owner_targets.reserve(targets.size());
  for (const PlacementTarget& target : targets) {
    owner_targets.push_back({{UpstreamId(target.name), {}}, target.weight});
  }
  Owners owners;
  owners.reserve(shards);
  for (const auto& [shard, owner] :
       upstream::PlanOwners(kSalt, current, owner_targets)) {
    owners.push_back(owner.id.value);
  }
  return owners;
}

Owners WithModulo(std::uint32_t shards, const Targets& targets,
                  const Owners& /*before*/) {
  Owners owners;
  owners.reserve(shards);
  for (std::uint32_t i = 0; i < shards; ++i) {
    owners.push_back(targets[CombineHashes(kSalt, i) % targets.size()].name);
  }
  return owners;
}

Owners WithRing(std::uint32_t shards, const Targets& targets,
                const Owners& /*before*/) {
  constexpr double kVirtualNodes = 100;
  std::map<std::uint64_t, std::size_t> ring;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const std::uint64_t hash = HashText(targets[i].name);
    const auto nodes =
        static_cast<std::uint64_t>(kVirtualNodes * targets[i].weight);
    for (std::uint64_t node = 0; node < nodes; ++node) {
      ring.emplace(CombineHashes(hash, node), i);
    }
  }
  Owners owners;
  owners.reserve(shards);
  for (std::uint32_t i = 0; i < shards; ++i) {
    auto found = ring.lower_bound(CombineHashes(kSalt, i));
    if (found == ring.end()) found = ring.begin();
    owners.push_back(targets[found->second].name);
  }
  return owners;
}

struct Method {
  std::string_view name;
  Owners (*place)(std::uint32_t shards, const Targets& targets,
                  const Owners& before);
};

constexpr std::array kMethods = {
    Method{"Place", &WithPlace}, Method{"PlanOwners", &WithPlan},
    Method{"modulo", &WithModulo}, Method{"ring", &WithRing}};

/// A cluster before or after a change.
struct Cluster {
  Targets targets;
  std::uint32_t shards = 0;
};

Cluster Join(Cluster cluster) {
  cluster.targets.push_back({"joined", 1.0});
  return cluster;
}

Cluster Leave(Cluster cluster) {
  cluster.targets.erase(cluster.targets.begin() +
                        static_cast<std::ptrdiff_t>(cluster.targets.size()) /
                            2);
  return cluster;
}

Cluster DoubleWeight(Cluster cluster) {
  cluster.targets.front().weight *= 2;
  return cluster;
}

Cluster AddHotKey(Cluster cluster) {
  ++cluster.shards;
  return cluster;
}

struct Change {
  std::string_view name;
  Cluster (*apply)(Cluster cluster);
};

constexpr std::array kChanges = {Change{"join", &Join}, Change{"leave", &Leave},
                                 Change{"weight x2", &DoubleWeight},
                                 Change{"hot key", &AddHotKey}};

/// Returns the largest number of shards for each unit of weight, as a multiple
/// of the mean.
double Imbalance(const Cluster& cluster, const Owners& owners) {
  std::map<std::string, double> counts;
  for (const std::string& owner : owners) ++counts[owner];
  double total_weight = 0;
  double highest = 0;
  for (const PlacementTarget& target : cluster.targets) {
    total_weight += target.weight;
    highest = std::max(highest, counts[target.name] / target.weight);
  }
  return highest * total_weight / static_cast<double>(owners.size());
}

double Churn(const Owners& before, const Owners& after) {
  std::size_t moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != after[i]) ++moved;
  }
  return static_cast<double>(moved) / static_cast<double>(before.size());
}

Cluster MakeCluster(std::size_t upstreams, std::uint32_t shards,
                    bool is_weighted) {
  Cluster cluster;
  cluster.shards = shards;
  for (std::size_t i = 0; i < upstreams; ++i) {
    // Upstreams of four sizes.
    const double weight = is_weighted ? 1.0 + static_cast<double>(i % 4) : 1.0;
    cluster.targets.push_back({"upstream-" + std::to_string(i), weight});
  }
  return cluster;
}

void Measure(const Method& method, const Cluster& plain,
             const Cluster& weighted) {
  const auto start = std::chrono::steady_clock::now();
  const Owners before = method.place(plain.shards, plain.targets, {});
  const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - start;
  const Owners weighted_owners =
      method.place(weighted.shards, weighted.targets, {});
  std::cout << std::left << std::setw(12) << method.name << std::right
            << std::fixed << std::setprecision(3) << std::setw(9)
            << Imbalance(plain, before) << std::setw(9)
            << Imbalance(weighted, weighted_owners);
  for (const Change& change : kChanges) {
    const Cluster changed = change.apply(plain);
    const Owners after = method.place(changed.shards, changed.targets, before);
    std::cout << std::setw(11) << Churn(before, after) << std::setw(7)
              << std::setprecision(2) << Imbalance(changed, after)
              << std::setprecision(3);
  }
  std::cout << std::setw(11) << std::setprecision(1) << elapsed.count() << '\n';
}

void Compare(std::size_t upstreams, std::uint32_t shards) {
  std::cout << upstreams << " upstreams, " << shards
            << " shards (imbalance max/mean; for each change the share of "
               "shards that move and the imbalance after it)\n"
            << std::left << std::setw(12) << "method" << std::right
            << std::setw(9) << "plain" << std::setw(9) << "weighted";
  for (const Change& change : kChanges) {
    std::cout << std::setw(11) << change.name << std::setw(7) << "after";
  }
  std::cout << std::setw(11) << "ms" << '\n';
  for (const Method& method : kMethods) {
    Measure(method, MakeCluster(upstreams, shards, false),
            MakeCluster(upstreams, shards, true));
  }
}

}  // namespace
}  // namespace bamboorack

int main() {
  bamboorack::Compare(20, 256);
  bamboorack::Compare(2000, 32'000);
  return 0;
}
