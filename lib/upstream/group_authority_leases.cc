#include <algorithm>
#include <iterator>

#include "bamboorack/upstream/fencing_strategy.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {
namespace {

/// Consecutive calls without a valid answer after which an upstream counts as
/// unreachable.
constexpr int kMaxCallFailures = 2;

/// Maximum age of a clock reading used in a grant, as a fraction of the lease.
/// The lease runs from the reading, so an older one leaves too little of it.
constexpr int kMaxReadingAgeNumerator = 3;
constexpr int kMaxReadingAgeDenominator = 4;

bool HasOpenGrant(const Holder& holder, ShardId shard) {
  return std::any_of(holder.open_grants.begin(), holder.open_grants.end(),
                     [shard](const OpenGrant& grant) {
                       return std::find(grant.shards.begin(),
                                        grant.shards.end(),
                                        shard) != grant.shards.end();
                     });
}

}  // namespace

std::chrono::milliseconds RenewInterval(const ServiceRules& rules) {
  return std::min(kMaxRenewInterval, rules.lease / 4);
}

bool GroupAuthority::IsReachable(const UpstreamRef& ref) const {
  const auto link = this->links.find(ref.id);
  return link != this->links.end() && link->second.instance == ref.instance &&
         link->second.failures < kMaxCallFailures;
}

bool GroupAuthority::IsFenced(const UpstreamLink& link) const {
  if (!link.instance) return false;
  const auto holder = this->holders.find(link.Ref());
  return holder != this->holders.end() && holder->second.is_fenced;
}

bool GroupAuthority::IsLive(const View& view, const UpstreamLink& link) const {
  if (!link.instance || !this->IsReachable(link.Ref())) return false;
  if (link.is_leaving || link.is_draining) return false;
  if (view.input.state.declared_lost.contains(link.Ref())) return false;
  return !view.strategy.fences_upstreams || !this->has_predecessor ||
         this->IsFenced(link);
}

bool GroupAuthority::IsStateUnknown(const View& view,
                                    const UpstreamLink& link) const {
  if (!link.is_listed || link.failures >= kMaxCallFailures) return false;
  if (!link.instance) return true;
  return view.strategy.fences_upstreams && this->has_predecessor &&
         !this->IsFenced(link);
}

MonotonicTime GroupAuthority::MandateEnd(const View& view) const {
  if (!view.strategy.has_mandate(view.rules)) return MonotonicTime::max();
  return view.input.head_contact + view.rules.*(view.strategy.mandate);
}

bool GroupAuthority::HasPredecessorExpired(const View& view) const {
  if (!this->has_predecessor) return true;
  if (!view.strategy.has_mandate(view.rules)) return false;
  const auto period = this->longest_mandate +
                      view.strategy.post_mandate_lease(this->longest_lease);
  return view.now >=
         this->ownership_rules.predecessor_end(this->taken_at, period);
}

std::set<ShardId> GroupAuthority::OwnedShards(const View& view,
                                              const UpstreamRef& ref) const {
  std::set<ShardId> owned;
  if (view.input.state.declared_lost.contains(ref)) return owned;
  const auto found = view.by_owner.find(ref);
  if (found == view.by_owner.end()) return owned;
  for (const ShardId shard : found->second) {
    if (!this->moves.contains(shard)) owned.insert(owned.end(), shard);
  }
  return owned;
}

GroupAuthority::GrantSet GroupAuthority::GrantableShards(
    const View& view, const UpstreamLink& link) const {
  GrantSet set;
  const auto holder = this->holders.find(link.Ref());
  const bool can_claim = holder != this->holders.end() &&
                         holder->second.can_claim && this->HasFencedMajority();
  for (const ShardId shard : this->OwnedShards(view, link.Ref())) {
    const bool is_claim =
        this->NeedsSuccessorRule(view, shard, view.shards.at(shard));
    if (is_claim && !can_claim) {
      set.omits_claim = true;
      continue;
    }
    set.only_if_unexpired |= is_claim;
    set.shards.push_back(shard);
  }
  return set;
}

std::optional<ControlRequest> GroupAuthority::NextTokenCall(
    const View& view, UpstreamLink& link) {
  const bool is_due = view.now >= link.next_call_at;
  const bool can_call_early = is_due || link.failures == 0;
  if (!link.instance || link.failures >= kMaxCallFailures) {
    return is_due ? std::optional<ControlRequest>(ClockCall{}) : std::nullopt;
  }
  if (this->has_predecessor && !this->IsFenced(link)) {
    if (!can_call_early) return std::nullopt;
    return FenceCall{this->group, *link.instance, this->token};
  }
  if (view.now >= this->MandateEnd(view)) return std::nullopt;
  const auto max_reading_age =
      view.rules.lease * kMaxReadingAgeNumerator / kMaxReadingAgeDenominator;
  if (view.now - link.reading_received > max_reading_age) {
    return is_due ? std::optional<ControlRequest>(ClockCall{}) : std::nullopt;
  }
  GrantSet set = this->GrantableShards(view, link);
  // A grant would renew the lease that the claim depends on. While that lease
  // may be unexpired, the grant waits until a majority is fenced.
  const Holder& holder = this->FindOrAddHolder(view, link.Ref());
  if (set.omits_claim && holder.can_claim && view.now < holder.lease_end) {
    return is_due ? std::optional<ControlRequest>(ClockCall{}) : std::nullopt;
  }
  const bool is_changed = link.sent_shards != set.shards;
  if (!is_due && !(is_changed && can_call_early)) return std::nullopt;
  return this->MakeGrant(view, link, std::move(set));
}

std::optional<ControlRequest> GroupAuthority::NextPermitCall(
    const View& view, UpstreamLink& link) {
  if (view.now < link.next_call_at) return std::nullopt;
  return ClockCall{};
}

GrantCall GroupAuthority::MakeGrant(const View& view, UpstreamLink& link,
                                    GrantSet set) {
  link.sent_shards = set.shards;
  if (set.omits_claim) {
    this->FindOrAddHolder(view, link.Ref()).can_claim = false;
  }
  return GrantCall{this->group,          *link.instance,
                   this->token,          link.reading,
                   view.rules.lease,     set.only_if_unexpired,
                   std::move(set.shards)};
}

void GroupAuthority::RecordSentGrant(const View& view, const UpstreamLink& link,
                                     const ControlCall& call) {
  const auto* grant = std::get_if<GrantCall>(&call.request);
  if (grant == nullptr) return;
  Holder& holder = this->FindOrAddHolder(view, link.Ref());
  const MonotonicTime ends_at =
      this->ownership_rules.lease_end(link.reading_received, grant->lease);
  holder.lease_end = std::max(holder.lease_end, ends_at);
  holder.open_grants.push_back({call.id, ends_at, grant->shards});
  for (const ShardId shard : grant->shards) holder.revoked.erase(shard);
}

void GroupAuthority::UpdateGrants(const View& view) {
  for (auto& [ref, holder] : this->holders) {
    (this->*view.strategy.update_grants)(view, ref, holder);
  }
}

void GroupAuthority::UpdateTokenGrants(const View& view, const UpstreamRef& ref,
                                       Holder& holder) {
  const auto link = this->links.find(ref.id);
  if (view.now >= holder.lease_end || link == this->links.end() ||
      link->second.instance != ref.instance) {
    holder.granted.clear();
    return;
  }
  const std::set<ShardId> owned = this->OwnedShards(view, ref);
  std::erase_if(holder.granted, [&owned](const ShardId& shard) {
    return !owned.contains(shard);
  });
}

void GroupAuthority::UpdatePermitGrants(const View& view,
                                        const UpstreamRef& ref,
                                        Holder& holder) {
  const bool was_granted = !holder.granted.empty();
  holder.granted.clear();
  if (this->IsReachable(ref) && this->HasPredecessorExpired(view)) {
    holder.granted = this->OwnedShards(view, ref);
  }
  // The routing table of the previous decision was in use until now, so work
  // may have been sent up to this time.
  if (!was_granted && holder.granted.empty()) return;
  holder.lease_end =
      std::max(holder.lease_end,
               this->ownership_rules.lease_end(view.now, view.rules.lease));
}

void GroupAuthority::RevokeMoved(const View& view, UpstreamLink& link,
                                 AuthorityOutput& output) {
  if (!view.strategy.fences_upstreams || link.pending_revoke) return;
  if (!link.instance || !this->IsReachable(link.Ref())) return;
  if (this->has_predecessor && !this->IsFenced(link)) return;
  const Holder& holder = this->FindOrAddHolder(view, link.Ref());
  std::vector<ShardId> shards;
  for (const auto& [shard, move] : this->moves) {
    if (move.from != link.Ref() || move.is_reported) continue;
    // An unanswered grant could arrive after the revocation and reverse it.
    if (holder.revoked.contains(shard) || HasOpenGrant(holder, shard)) {
      continue;
    }
    shards.push_back(shard);
  }
  if (shards.empty()) return;
  this->SendCall(view, link,
                 RevokeCall{this->group, *link.instance, this->token, shards},
                 output);
}

}  // namespace bamboorack::upstream
