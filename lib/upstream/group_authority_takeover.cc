#include <algorithm>

#include "bamboorack/upstream/fencing_strategy.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {

bool GroupAuthority::IsAssignedByThisAuthority(ShardId shard,
                                               LogOffset changed_at) const {
  const auto found = this->own_assignments.find(shard);
  return found != this->own_assignments.end() && found->second == changed_at;
}

bool GroupAuthority::NeedsSuccessorRule(const View& view, ShardId shard,
                                        const ShardState& state) const {
  // Only an authority without a mandate moves shards while it has no contact to
  // the log, so only such a predecessor can have moved one without a record.
  if (!this->has_predecessor || view.strategy.has_mandate(view.rules)) {
    return false;
  }
  return state.owner &&
         !this->IsAssignedByThisAuthority(shard, state.changed_at) &&
         !this->confirmed_shards.contains(shard);
}

bool GroupAuthority::HasFencedMajority() const {
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
                                  const UpstreamLink& link) const {
  bool is_known = false;
  for (const auto& [ref, holder] : this->holders) {
    if (ref.id != link.id) continue;
    is_known = true;
    if (!this->IsInstanceGone(view, ref)) return false;
  }
  if (is_known) return true;
  // The upstream never answered this authority and owns no shard according to
  // the log.
  const auto& declared = view.input.state.declared_lost;
  const bool is_declared = std::any_of(
      declared.begin(), declared.end(),
      [&link](const UpstreamRef& ref) { return ref.id == link.id; });
  const auto facts = view.input.membership.find(link.vm);
  return is_declared || (facts != view.input.membership.end() &&
                         this->ownership_rules.is_vm_gone(
                             facts->second, this->taken_at, std::nullopt));
}

bool GroupAuthority::AreOtherOwnersRuledOut(const View& view, ShardId shard,
                                            const UpstreamRef& owner) const {
  for (const auto& [id, link] : this->links) {
    const bool is_owner =
        id == owner.id && (!link.instance || link.instance == owner.instance);
    if (!link.is_listed || is_owner) continue;
    if (!this->IsFenced(link) && !this->IsProvenGone(view, link)) return false;
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

void GroupAuthority::ConfirmOwners(const View& view) {
  for (const auto& [shard, state] : view.shards) {
    if (!this->NeedsSuccessorRule(view, shard, state)) continue;
    if (this->AreOtherOwnersRuledOut(view, shard, *state.owner)) {
      this->confirmed_shards.insert(shard);
    }
  }
}

}  // namespace bamboorack::upstream
