#include <algorithm>
#include <array>

#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {

AuthorityOutput GroupAuthority::OnControlResult(const AuthorityInput& input,
                                                const ControlResult& result,
                                                MonotonicTime now) {
  // One handler per alternative of `ControlAnswer`, in the same order.
  using Handler = void (GroupAuthority::*)(
      const View&, UpstreamLink&, const PendingCall&, const ControlAnswer&);
  static constexpr std::array<Handler, std::variant_size_v<ControlAnswer>>
      kHandlers = {&GroupAuthority::OnClock,  &GroupAuthority::OnFence,
                   &GroupAuthority::OnGrant,  &GroupAuthority::OnRevoke,
                   &GroupAuthority::OnSettle, &GroupAuthority::OnSettle,
                   &GroupAuthority::OnSettle};
  // `ControlRequest` lists its alternatives in the same order, so an answer
  // that does not match its call is recognized by its index.
  static_assert(std::variant_size_v<ControlRequest> ==
                std::variant_size_v<ControlAnswer>);
  if (this->UpdateSuperseded(input)) return {};
  const auto found = this->links.find(result.upstream);
  if (found == this->links.end() ||
      input.state.FindService(this->group.service) == nullptr) {
    return {};
  }
  UpstreamLink& link = found->second;
  const View view = this->MakeView(input, now);
  for (auto* pending : {&link.pending, &link.pending_revoke}) {
    if (!*pending || (*pending)->call.id != result.id) continue;
    const PendingCall call = std::move(**pending);
    pending->reset();
    if (!result.answer) {
      this->HandleCallError(view, link, result.answer.error());
      break;
    }
    if (result.answer->index() != call.call.request.index()) {
      this->HandleCallError(view, link, ControlError::kBadAnswer);
      break;
    }
    (this->*kHandlers.at(result.answer->index()))(view, link, call,
                                                  *result.answer);
  }
  return this->Decide(input, now);
}

void GroupAuthority::HandleCallError(const View& view, UpstreamLink& link,
                                     ControlError error) {
  if (error == ControlError::kLeaseExpired) {
    link.failures = 0;
    if (!link.instance) return;
    Holder& holder = this->FindOrAddHolder(view, link.Ref());
    holder.last_answer = view.now;
    holder.can_claim = false;
    return;
  }
  ++link.failures;
  link.sent_shards.reset();
  if (error == ControlError::kOtherInstance) link.instance.reset();
}

void GroupAuthority::RecordInstance(const View& view, UpstreamLink& link,
                                    const UpstreamInstance& instance) {
  if (link.instance == instance) return;
  link.instance = instance;
  link.sent_shards.reset();
  this->FindOrAddHolder(view, link.Ref());
}

Holder& GroupAuthority::RecordReading(const View& view, UpstreamLink& link,
                                      UpstreamReading reading,
                                      bool is_draining) {
  link.reading = reading;
  link.reading_received = view.now;
  link.is_draining = is_draining;
  link.failures = 0;
  Holder& holder = this->FindOrAddHolder(view, link.Ref());
  holder.last_answer = view.now;
  return holder;
}

void GroupAuthority::OnClock(const View& view, UpstreamLink& link,
                             const PendingCall& /*call*/,
                             const ControlAnswer& answer) {
  const auto& clock = std::get<ClockAnswer>(answer);
  this->RecordInstance(view, link, clock.instance);
  this->RecordReading(view, link, clock.reading, clock.is_draining);
}

void GroupAuthority::OnFence(const View& view, UpstreamLink& link,
                             const PendingCall& call,
                             const ControlAnswer& answer) {
  const auto& fence = std::get<FenceAnswer>(answer);
  if (link.instance != std::get<FenceCall>(call.call.request).instance) return;
  Holder& holder =
      this->RecordReading(view, link, fence.reading, fence.is_draining);
  holder.is_fenced = true;
  holder.can_claim = !fence.lease_expired;
  // A set of shards under an expired lease does not show ownership: an upstream
  // that was frozen still has the set from before its shards moved.
  if (fence.lease_expired) return;
  holder.reported = {fence.shards.begin(), fence.shards.end()};
  holder.lease_end =
      std::max(holder.lease_end,
               this->ownership_rules.lease_end(view.now, this->longest_lease));
}

void GroupAuthority::OnGrant(const View& view, UpstreamLink& link,
                             const PendingCall& call,
                             const ControlAnswer& answer) {
  const auto& request = std::get<GrantCall>(call.call.request);
  if (link.instance != request.instance) return;
  const auto& grant = std::get<GrantAnswer>(answer);
  Holder& holder =
      this->RecordReading(view, link, grant.reading, grant.is_draining);
  std::erase_if(holder.open_grants, [&call](const OpenGrant& open) {
    return open.id == call.call.id;
  });
  holder.is_fenced = true;
  holder.granted = {request.shards.begin(), request.shards.end()};
  // Either the lease on these shards was unexpired when the upstream accepted
  // the grant, so the predecessor cannot have moved them on its expiry, or
  // their owner was confirmed before.
  this->confirmed_shards.insert(request.shards.begin(), request.shards.end());
}

void GroupAuthority::OnRevoke(const View& /*view*/, UpstreamLink& link,
                              const PendingCall& call,
                              const ControlAnswer& /*answer*/) {
  const auto& request = std::get<RevokeCall>(call.call.request);
  const UpstreamRef ref{link.id, request.instance};
  const auto holder = this->holders.find(ref);
  if (holder == this->holders.end()) return;
  for (const ShardId shard : request.shards) {
    // A move that was cancelled and started again needs another revocation,
    // because the shard was granted again in between.
    const auto move = this->moves.find(shard);
    if (move == this->moves.end() || move->second.from != ref) continue;
    if (move->second.started_at > call.sent_at) continue;
    holder->second.revoked.insert(shard);
  }
}

void GroupAuthority::OnSettle(const View& /*view*/, UpstreamLink& /*link*/,
                              const PendingCall& /*call*/,
                              const ControlAnswer& /*answer*/) {
  // Settle calls are sent by the routing thread, which handles their results.
}

}  // namespace bamboorack::upstream
