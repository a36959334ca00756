#include "bamboorack/upstream/owner_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "bamboorack/core/placement.h"

namespace bamboorack::upstream {
namespace {

class Planner {
 public:
  Planner(std::uint64_t salt,
          const std::map<ShardId, std::optional<UpstreamRef>>& owners,
          const std::vector<OwnerTarget>& all_targets)
      : targets(all_targets), loads(all_targets.size(), 0) {
    const double total_weight = std::accumulate(
        this->targets.begin(), this->targets.end(), 0.0,
        [](double sum, const OwnerTarget& t) { return sum + t.weight; });
    std::vector<PlacementTarget> placement_targets;
    for (const OwnerTarget& target : this->targets) {
      const double share =
          static_cast<double>(owners.size()) * target.weight / total_weight;
      this->limits.push_back(std::ceil(share * kLoadBound));
      this->minimums.push_back(std::floor(share / kLoadBound));
      placement_targets.push_back({target.ref.id.value, target.weight});
    }
    const auto placement = Place(
        salt, static_cast<std::uint32_t>(owners.size()), placement_targets);
    std::size_t index = 0;
    for (const auto& [shard, owner] : owners) {
      this->preferred[shard] = placement[index++];
    }
  }

  std::map<ShardId, UpstreamRef> Plan(
      const std::map<ShardId, std::optional<UpstreamRef>>& owners) {
    for (const auto& [shard, owner] : owners) this->KeepOwner(shard, owner);
    for (const auto& [shard, owner] : owners) {
      if (!this->chosen_targets.contains(shard)) this->AssignOwner(shard);
    }
    for (std::size_t i = 0; i < this->targets.size(); ++i) this->RaiseLoad(i);
    std::map<ShardId, UpstreamRef> plan;
    for (const auto& [shard, target] : this->chosen_targets) {
      plan.emplace(shard, this->targets[target].ref);
    }
    return plan;
  }

 private:
  void KeepOwner(ShardId shard, const std::optional<UpstreamRef>& owner) {
    if (!owner) return;
    const auto found = std::find_if(
        this->targets.begin(), this->targets.end(),
        [&owner](const OwnerTarget& target) { return target.ref == *owner; });
    if (found == this->targets.end()) return;
    const auto target = static_cast<std::size_t>(found - this->targets.begin());
    if (this->loads[target] < this->limits[target]) this->Set(shard, target);
  }

  void AssignOwner(ShardId shard) {
    std::size_t target = this->preferred.at(shard);
    if (this->loads[target] >= this->limits[target]) target = this->LeastFull();
    this->Set(shard, target);
  }

  /// Reassigns shards from targets with a high load to `target` while it is
  /// below its minimum load, starting with those that `Place` puts on `target`.
  void RaiseLoad(std::size_t target) {
    for (const bool only_preferred : {true, false}) {
      for (auto& [shard, holder] : this->chosen_targets) {
        if (this->loads[target] >= this->minimums[target]) return;
        if (holder == target || !this->CanGiveShard(holder)) continue;
        if (only_preferred && this->preferred.at(shard) != target) continue;
        --this->loads[holder];
        ++this->loads[target];
        holder = target;
      }
    }
  }

  bool CanGiveShard(std::size_t target) const {
    return this->loads[target] > this->minimums[target] &&
           this->Fullness(target) >= 1.0 / kLoadBound;
  }

  double Fullness(std::size_t target) const {
    return this->loads[target] / std::max(1.0, this->limits[target]);
  }

  std::size_t LeastFull() const {
    std::size_t best = 0;
    for (std::size_t i = 1; i < this->targets.size(); ++i) {
      if (this->Fullness(i) < this->Fullness(best)) best = i;
    }
    return best;
  }

  void Set(ShardId shard, std::size_t target) {
    ++this->loads[target];
    this->chosen_targets[shard] = target;
  }

  const std::vector<OwnerTarget>& targets;
  std::vector<double> loads;
  std::vector<double> limits;
  std::vector<double> minimums;
  std::map<ShardId, std::size_t> preferred;
  std::map<ShardId, std::size_t> chosen_targets;
};

}  // namespace

std::map<ShardId, UpstreamRef> PlanOwners(
    std::uint64_t salt,
    const std::map<ShardId, std::optional<UpstreamRef>>& owners,
    const std::vector<OwnerTarget>& targets) {
  if (targets.empty()) return {};
  return Planner(salt, owners, targets).Plan(owners);
}

}  // namespace bamboorack::upstream
