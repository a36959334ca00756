#include "bamboorack/core/placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <sstream>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/hash.h"

namespace bamboorack {
namespace {

struct Candidate {
  std::uint64_t hash;
  double weight;
  /// Items that the target may take.
  double capacity;
  std::uint32_t load;
};

std::vector<Candidate> MakeCandidates(
    std::uint32_t item_count, const std::vector<PlacementTarget>& targets) {
  const double total_weight = std::accumulate(
      targets.begin(), targets.end(), 0.0,
      [](double sum, const PlacementTarget& t) { return sum + t.weight; });
  std::vector<Candidate> candidates;
  candidates.reserve(targets.size());
  for (const PlacementTarget& target : targets) {
    const double fair_share = item_count * target.weight / total_weight;
    candidates.push_back({HashText(target.name), target.weight,
                          std::ceil(fair_share * kLoadBound), 0});
  }
  return candidates;
}

std::size_t PickTarget(std::uint64_t item,
                       const std::vector<Candidate>& candidates) {
  std::size_t best = 0;
  double best_score = -1.0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (candidate.load >= candidate.capacity) continue;
    const double score =
        RendezvousScore(item, candidate.hash, candidate.weight);
    if (score <= best_score) continue;
    best = i;
    best_score = score;
  }
  return best;
}

}  // namespace

std::vector<std::size_t> Place(std::uint64_t salt, std::uint32_t item_count,
                               const std::vector<PlacementTarget>& targets) {
  std::vector<std::size_t> placement;
  if (targets.empty()) return placement;
  std::vector<Candidate> candidates = MakeCandidates(item_count, targets);
  placement.reserve(item_count);
  for (std::uint32_t item = 0; item < item_count; ++item) {
    const std::size_t target =
        PickTarget(CombineHashes(salt, item), candidates);
    ++candidates[target].load;
    placement.push_back(target);
  }
  return placement;
}

std::vector<GroupId> ProposeGroups(const ServiceEntry& service,
                                   std::uint32_t shard_total) {
  std::map<GroupId, double> weights;
  for (const UpstreamEntry& upstream : service.upstreams) {
    weights[ClusterState::GroupOf(service, upstream)] += upstream.weight;
  }
  std::vector<GroupId> groups;
  std::vector<PlacementTarget> targets;
  for (const auto& [group, weight] : weights) {
    std::ostringstream name;
    name << group;
    groups.push_back(group);
    targets.push_back({name.str(), weight});
  }
  std::vector<GroupId> proposal;
  proposal.reserve(shard_total);
  for (const std::size_t target :
       Place(HashText(service.name.value), shard_total, targets)) {
    proposal.push_back(groups[target]);
  }
  return proposal;
}

}  // namespace bamboorack
