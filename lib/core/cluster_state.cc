#include "bamboorack/core/cluster_state.h"

#include <algorithm>
#include <sstream>
#include <string>

#include "bamboorack/core/hash.h"

namespace bamboorack {
namespace {

std::uint64_t HashGroup(const GroupId& group) {
  std::ostringstream text;
  text << group;
  return HashText(text.str());
}

}  // namespace

const ServiceEntry* ClusterState::FindService(const ServiceName& name) const {
  const auto& services = this->inventory.services;
  const auto found = std::find_if(
      services.begin(), services.end(),
      [&name](const ServiceEntry& service) { return service.name == name; });
  return found == services.end() ? nullptr : &*found;
}

const ServiceRules& ClusterState::RulesOf(const ServiceName& service) const {
  static const ServiceRules defaults;
  const auto found = this->rules.services.find(service);
  return found == this->rules.services.end() ? defaults : found->second;
}

const UpstreamEntry* ClusterState::FindUpstream(const UpstreamId& id) const {
  for (const ServiceEntry& service : this->inventory.services) {
    for (const UpstreamEntry& upstream : service.upstreams) {
      if (upstream.id == id) return &upstream;
    }
  }
  return nullptr;
}

const DaemonEntry* ClusterState::FindDaemon(const DaemonId& id) const {
  for (const DaemonEntry& daemon : this->inventory.daemons) {
    if (daemon.id == id) return &daemon;
  }
  return nullptr;
}

GroupId ClusterState::GroupOf(const ServiceEntry& service,
                              const UpstreamEntry& upstream) {
  const std::uint64_t hash = HashText(upstream.id.value);
  return GroupId{service.name, upstream.failure_domain,
                 static_cast<std::uint32_t>(hash % service.groups_per_domain)};
}

std::vector<GroupId> ClusterState::Groups() const {
  std::set<GroupId> groups;
  for (const ServiceEntry& service : this->inventory.services) {
    for (const UpstreamEntry& upstream : service.upstreams) {
      groups.insert(GroupOf(service, upstream));
    }
  }
  return {groups.begin(), groups.end()};
}

std::vector<const UpstreamEntry*> ClusterState::UpstreamsOf(
    const GroupId& group) const {
  std::vector<const UpstreamEntry*> upstreams;
  const ServiceEntry* service = this->FindService(group.service);
  if (service == nullptr) return upstreams;
  for (const UpstreamEntry& upstream : service->upstreams) {
    if (GroupOf(*service, upstream) == group) upstreams.push_back(&upstream);
  }
  return upstreams;
}

std::uint32_t ClusterState::ShardTotal(const ServiceEntry& service) const {
  std::uint32_t total = service.shard_count;
  for (const HotKey& hot_key : this->RulesOf(service.name).hot_keys) {
    total = std::max(total, hot_key.shard.value + 1);
  }
  return total;
}

ShardId ClusterState::ShardOf(const ServiceEntry& service,
                              std::uint64_t key_hash) const {
  for (const HotKey& hot_key : this->RulesOf(service.name).hot_keys) {
    if (hot_key.key_hash == key_hash) return hot_key.shard;
  }
  return ShardId(static_cast<std::uint32_t>(key_hash % service.shard_count));
}

std::vector<DaemonId> AuthorityCandidates(const Inventory& inventory,
                                          const GroupId& group) {
  struct Candidate {
    bool is_elsewhere;
    double negative_score;
    DaemonId id;
    auto operator<=>(const Candidate&) const = default;
  };
  const std::uint64_t group_hash = HashGroup(group);
  std::vector<Candidate> candidates;
  for (const DaemonEntry& daemon : inventory.daemons) {
    const double score =
        RendezvousScore(group_hash, HashText(daemon.id.value), 1.0);
    candidates.push_back(
        {daemon.failure_domain != group.failure_domain, -score, daemon.id});
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<DaemonId> ids;
  ids.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    ids.push_back(std::move(candidate.id));
  }
  return ids;
}

}  // namespace bamboorack
