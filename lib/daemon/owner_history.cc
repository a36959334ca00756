#include "bamboorack/daemon/owner_history.h"

#include <algorithm>

namespace bamboorack::daemon {

void OwnerHistory::OnState(std::shared_ptr<const ClusterState> state,
                           MonotonicTime now) {
  if (state == nullptr || state == this->last_state) return;
  if (this->last_state != nullptr) {
    for (const auto& [service, before] : this->last_state->shards) {
      const auto after = state->shards.find(service);
      if (after == state->shards.end()) continue;
      this->RecordChanges(service, before, after->second, now);
    }
  }
  this->last_state = std::move(state);
}

void OwnerHistory::RecordChanges(const ServiceName& service,
                                 const std::vector<ShardState>& before,
                                 const std::vector<ShardState>& after,
                                 MonotonicTime now) {
  for (std::size_t i = 0; i < std::min(before.size(), after.size()); ++i) {
    if (!before[i].owner || before[i].owner == after[i].owner) continue;
    History& history =
        this->shards[{service, ShardId(static_cast<std::uint32_t>(i))}];
    history.current_group = after[i].group;
    std::erase_if(history.earlier_owners, [&](const EarlierOwner& entry) {
      return entry.owner == *before[i].owner;
    });
    history.earlier_owners.push_back({*before[i].owner, now, before[i].group});
  }
}

void OwnerHistory::ForgetBefore(MonotonicTime oldest) {
  for (auto item = this->shards.begin(); item != this->shards.end();) {
    auto& owners = item->second.earlier_owners;
    std::erase_if(owners, [oldest](const EarlierOwner& entry) {
      return entry.lost_at < oldest;
    });
    item = owners.empty() ? this->shards.erase(item) : std::next(item);
  }
}

std::vector<UpstreamRef> OwnerHistory::EarlierOwners(const ServiceName& service,
                                                     ShardId shard) const {
  std::vector<UpstreamRef> owners;
  const auto found = this->shards.find({service, shard});
  if (found == this->shards.end()) return owners;
  for (const EarlierOwner& entry : found->second.earlier_owners) {
    owners.push_back(entry.owner);
  }
  return owners;
}

bool OwnerHistory::CameFromOtherGroup(const ServiceName& service,
                                      ShardId shard) const {
  const auto found = this->shards.find({service, shard});
  if (found == this->shards.end()) return false;
  const History& history = found->second;
  return std::any_of(history.earlier_owners.begin(),
                     history.earlier_owners.end(),
                     [&history](const EarlierOwner& entry) {
                       return entry.group != history.current_group;
                     });
}

}  // namespace bamboorack::daemon
