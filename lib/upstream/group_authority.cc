#include "bamboorack/upstream/group_authority.h"

#include <algorithm>
#include <utility>

#include "bamboorack/upstream/fencing_strategy.h"

namespace bamboorack::upstream {
namespace {

/// Timeout of every control call except revocations.
constexpr std::chrono::milliseconds kCallTimeout{250};
/// Longer than `kCallTimeout`, because an upstream answers a revocation only
/// after the requests on the revoked shards have ended.
constexpr std::chrono::milliseconds kRevokeTimeout{2000};
/// Time after the deadline of a call until it is treated as failed without a
/// result, since the result reaches this object with a delay.
constexpr std::chrono::milliseconds kCallResultGracePeriod{100};

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool IsVmLeaving(const MembershipView& membership, const VmId& vm) {
  const auto facts = membership.find(vm);
  return facts != membership.end() && facts->second.is_leaving;
}

bool IsTimedOut(const std::optional<PendingCall>& pending, MonotonicTime now) {
  return pending && now >= pending->call.deadline + kCallResultGracePeriod;
}

}  // namespace

GroupAuthority::GroupAuthority(GroupId of_group, DaemonId this_daemon,
                               FencingToken own_token, bool had_predecessor,
                               MonotonicTime read_back_at,
                               ControlCallId first_call_id,
                               std::function<RecordId()> record_id_generator,
                               const OwnershipRules& proof_rules)
    : group(std::move(of_group)),
      self(std::move(this_daemon)),
      token(own_token),
      has_predecessor(had_predecessor),
      taken_at(read_back_at),
      next_call_id(first_call_id),
      next_record_id(std::move(record_id_generator)),
      ownership_rules(proof_rules),
      budget_updated_at(read_back_at) {}

AuthorityOutput GroupAuthority::Tick(const AuthorityInput& input,
                                     MonotonicTime now) {
  if (this->UpdateSuperseded(input)) return {};
  return this->Decide(input, now);
}

bool GroupAuthority::UpdateSuperseded(const AuthorityInput& input) {
  const auto authority = input.state.authorities.find(this->group);
  if (authority != input.state.authorities.end() &&
      authority->second.token > this->token) {
    this->is_superseded = true;
  }
  return this->is_superseded;
}

GroupAuthority::View GroupAuthority::MakeView(const AuthorityInput& input,
                                              MonotonicTime now) const {
  const ServiceEntry* service = input.state.FindService(this->group.service);
  View view{input,
            service,
            input.state.RulesOf(this->group.service),
            FencingStrategy::Of(*service),
            {},
            now,
            {}};
  const auto shards = input.state.shards.find(this->group.service);
  if (shards == input.state.shards.end()) return view;
  for (std::size_t i = 0; i < shards->second.size(); ++i) {
    if (shards->second[i].group != this->group) continue;
    const ShardId shard(static_cast<std::uint32_t>(i));
    const ShardState& state = shards->second[i];
    view.shards.emplace_hint(view.shards.end(), shard, state);
    if (state.owner) view.by_owner[*state.owner].push_back(shard);
  }
  return view;
}

AuthorityOutput GroupAuthority::Decide(const AuthorityInput& input,
                                       MonotonicTime now) {
  AuthorityOutput output;
  if (input.state.FindService(this->group.service) == nullptr) return output;
  const View view = this->MakeView(input, now);
  this->SyncLinks(view);
  this->DropTimedOutCalls(view);
  this->RemoveCompletedMoves(view);
  this->ConfirmOwners(view);
  this->UpdateGrants(view);
  this->PlanMoves(view, output);
  this->UpdateGrants(view);
  for (auto& [id, link] : this->links) {
    this->RevokeMoved(view, link, output);
    this->CallUpstream(view, link, output);
  }
  return output;
}

void GroupAuthority::SyncLinks(const View& view) {
  const ServiceRules& rules = view.rules;
  this->longest_lease = std::max(this->longest_lease, rules.lease);
  this->longest_mandate =
      std::max(this->longest_mandate, rules.*(view.strategy.mandate));
  for (auto& [id, link] : this->links) link.is_listed = false;
  for (const UpstreamEntry* entry : view.input.state.UpstreamsOf(this->group)) {
    UpstreamLink& link = this->links[entry->id];
    link.id = entry->id;
    link.vm = entry->vm;
    link.endpoint = entry->endpoint;
    link.slots = entry->slots;
    link.weight = entry->weight;
    link.is_listed = true;
  }
  for (auto& [id, link] : this->links) {
    link.is_leaving = !link.is_listed ||
                      IsVmLeaving(view.input.membership, link.vm) ||
                      Contains(view.input.state.rules.drained_upstreams, id);
  }
  for (const auto& [owner, shards] : view.by_owner) {
    this->FindOrAddHolder(view, owner);
  }
}

Holder& GroupAuthority::FindOrAddHolder(const View& view,
                                        const UpstreamRef& ref) {
  const auto [found, is_new] = this->holders.try_emplace(ref);
  Holder& holder = found->second;
  if (!is_new) return holder;
  holder.known_since = view.now;
  const auto link = this->links.find(ref.id);
  if (link != this->links.end()) holder.vm = link->second.vm;
  if (view.input.known_since == nullptr) return holder;
  const auto known = view.input.known_since->find(ref);
  if (known != view.input.known_since->end()) {
    holder.known_since = known->second;
  }
  return holder;
}

void GroupAuthority::DropTimedOutCalls(const View& view) {
  for (auto& [id, link] : this->links) {
    if (IsTimedOut(link.pending_revoke, view.now)) link.pending_revoke.reset();
    if (!IsTimedOut(link.pending, view.now)) continue;
    link.pending.reset();
    this->HandleCallError(view, link, ControlError::kUnreachable);
  }
  for (auto& [ref, holder] : this->holders) {
    std::erase_if(holder.open_grants, [&view](const OpenGrant& grant) {
      return view.now >= grant.ends_at;
    });
  }
}

void GroupAuthority::SendCall(const View& view, UpstreamLink& link,
                              ControlRequest request, AuthorityOutput& output) {
  const bool is_revoke = std::holds_alternative<RevokeCall>(request);
  const auto timeout = is_revoke ? kRevokeTimeout : kCallTimeout;
  const ControlCall call{this->next_call_id, link.id, link.endpoint,
                         view.now + timeout, std::move(request)};
  ++this->next_call_id.value;
  this->RecordSentGrant(view, link, call);
  auto& pending = is_revoke ? link.pending_revoke : link.pending;
  pending = PendingCall{call, view.now};
  if (!is_revoke) {
    link.next_call_at = view.now + RenewInterval(view.rules);
  }
  output.calls.push_back(call);
}

void GroupAuthority::CallUpstream(const View& view, UpstreamLink& link,
                                  AuthorityOutput& output) {
  if (link.pending) return;
  auto request = (this->*view.strategy.select_call)(view, link);
  if (request) this->SendCall(view, link, std::move(*request), output);
}

void GroupAuthority::AddToRoutingTable(const AuthorityInput& input,
                                       RoutingTable& table) const {
  const auto authority = input.state.authorities.find(this->group);
  const bool is_current = authority != input.state.authorities.end() &&
                          authority->second.token == this->token;
  if (this->is_superseded || !is_current) return;
  if (input.state.FindService(this->group.service) == nullptr) return;
  const View view = this->MakeView(input, MonotonicTime::min());
  table.local_groups[this->group] =
      LocalGroup{this->token, this->taken_at, this->MandateEnd(view),
                 this->has_predecessor};
  for (const auto& [id, link] : this->links) {
    if (!link.instance) continue;
    table.local_upstreams[link.Ref()] =
        LocalUpstream{link.Ref(),
                      link.endpoint,
                      this->group,
                      this->token,
                      link.slots,
                      view.service->checks_tokens,
                      view.service->can_settle,
                      this->IsLive(view, link),
                      link.reading,
                      link.reading_received};
  }
  auto& granted = table.granted[this->group.service];
  granted.resize(std::max<std::size_t>(granted.size(),
                                       input.state.ShardTotal(*view.service)));
  for (const auto& [shard, state] : view.shards) {
    if (!state.owner || this->moves.contains(shard)) continue;
    if (shard.value >= granted.size()) granted.resize(shard.value + 1);
    const auto holder = this->holders.find(*state.owner);
    granted[shard.value] =
        holder != this->holders.end() && holder->second.granted.contains(shard);
  }
}

}  // namespace bamboorack::upstream
