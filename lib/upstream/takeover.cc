#include <algorithm>

#include "bamboorack/upstream/fencing_strategy.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {

bool GroupAuthority::IsAssignedHere(ShardId shard, LogOffset changed_at) const {
  const auto found = this->assigned_here.find(shard);
  return found != this->assigned_here.end() && found->second == changed_at;
}

bool GroupAuthority::NeedsSuccessorRule(const View& view, ShardId shard,
                                        const ShardState& state) const {
  // Without contact to the log only an authority without a mandate moves
  // shards, so only such a predecessor can have moved one unseen.
  if (!this->has_predecessor || view.strategy.has_mandate(view.rules)) {
    return false;
  }
  return state.owner && !this->IsAssignedHere(shard, state.changed_at) &&
         !this->settled.contains(shard);
}

bool GroupAuthority::HasMajority() const {
  std::size_t listed = 0;
  std::size_t fenced = 0;
  for (const auto& [id, link] : this->links) {
    if (!link.is_listed) continue;
    ++listed;
    if (this->IsFenced(link)) ++fenced;
  }
  return 2 * fenced > listed;
}

bool GroupAuthority::IsProvenGone(const View& view,
                                  const UpstreamId& id) const {
  bool is_known = false;
  for (const auto& [ref, holder] : this->holders) {
    if (ref.id != id) continue;
    is_known = true;
    if (!this->IsInstanceGone(view, ref)) return false;
  }
  return is_known;
}

bool GroupAuthority::AreOthersCleared(const View& view, ShardId shard,
                                      const UpstreamRef& owner) const {
  for (const auto& [id, link] : this->links) {
    const bool is_owner =
        id == owner.id && (!link.instance || link.instance == owner.instance);
    if (!link.is_listed || is_owner) continue;
    if (!this->IsFenced(link) && !this->IsProvenGone(view, id)) return false;
  }
  return !this->ReportedOwner(shard, owner);
}

std::optional<UpstreamRef> GroupAuthority::ReportedOwner(
    ShardId shard, const UpstreamRef& owner) const {
  for (const auto& [ref, holder] : this->holders) {
    if (ref != owner && holder.reported.contains(shard)) return ref;
  }
  return std::nullopt;
}

void GroupAuthority::SettleShards(const View& view) {
  for (const auto& [shard, state] : view.shards) {
    if (!this->NeedsSuccessorRule(view, shard, state)) continue;
    if (this->AreOthersCleared(view, shard, *state.owner)) {
      this->settled.insert(shard);
    }
  }
}

}  // namespace bamboorack::upstream
