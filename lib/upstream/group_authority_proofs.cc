#include "bamboorack/upstream/fencing_strategy.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {

// In descending order of strength: confirmation by the owner itself, expiry of
// its lease or permit, then statements of the VM list and of an operator.
const std::array<GroupAuthority::ProofCheck, 4> GroupAuthority::kProofChecks = {
    ProofCheck{Proof::kAcknowledged, &GroupAuthority::IsAcknowledged},
    ProofCheck{Proof::kLapsed, &GroupAuthority::IsLapsed},
    ProofCheck{Proof::kVmGone, &GroupAuthority::IsVmGoneProven},
    ProofCheck{Proof::kDeclared, &GroupAuthority::IsDeclared}};

std::optional<Proof> GroupAuthority::FindProof(const View& view, ShardId shard,
                                               const Move& move) const {
  if (move.is_reported) return Proof::kReported;
  if (!move.from) return Proof::kUnowned;
  for (const ProofCheck& check : kProofChecks) {
    if ((this->*check.holds)(view, shard, move)) return check.proof;
  }
  return std::nullopt;
}

bool GroupAuthority::IsAcknowledged(const View& /*view*/, ShardId shard,
                                    const Move& move) const {
  const auto holder = this->holders.find(*move.from);
  return holder != this->holders.end() &&
         holder->second.revoked.contains(shard);
}

bool GroupAuthority::IsLapsed(const View& view, ShardId shard,
                              const Move& move) const {
  return (this->*view.strategy.has_lapsed)(view, shard, move);
}

bool GroupAuthority::IsTokenLapsed(const View& view, ShardId shard,
                                   const Move& move) const {
  const auto found = this->holders.find(*move.from);
  if (found == this->holders.end()) return false;
  const Holder& holder = found->second;
  // No earlier authority can have renewed the lease if the owner acknowledged
  // this token, or if this authority assigned the shard.
  const bool is_sole_granter =
      holder.is_fenced || this->IsAssignedByThisAuthority(shard, move.base) ||
      this->HasPredecessorExpired(view);
  return is_sole_granter && view.now >= holder.lease_end;
}

bool GroupAuthority::IsPermitLapsed(const View& view, ShardId shard,
                                    const Move& move) const {
  const auto found = this->holders.find(*move.from);
  if (found == this->holders.end() || !this->HasPredecessorExpired(view)) {
    return false;
  }
  const Holder& holder = found->second;
  if (holder.granted.contains(shard)) return false;
  const MonotonicTime last_work_end =
      this->ownership_rules.lease_end(move.started_at, this->longest_lease);
  return view.now >= last_work_end ||
         (holder.granted.empty() && view.now >= holder.lease_end);
}

bool GroupAuthority::IsVmGoneProven(const View& view, ShardId /*shard*/,
                                    const Move& move) const {
  const auto found = this->holders.find(*move.from);
  if (found == this->holders.end()) return false;
  const auto facts = view.input.membership.find(found->second.vm);
  if (facts == view.input.membership.end()) return false;
  return this->ownership_rules.is_vm_gone(
      facts->second, found->second.known_since, found->second.last_answer);
}

bool GroupAuthority::IsDeclared(const View& view, ShardId /*shard*/,
                                const Move& move) const {
  return view.input.state.declared_lost.contains(*move.from);
}

bool GroupAuthority::IsInstanceGone(const View& view,
                                    const UpstreamRef& ref) const {
  const Move move{ref, ref, Cause::kOwnerLost, {}, view.now, false, {}};
  return this->IsVmGoneProven(view, ShardId(), move) ||
         this->IsDeclared(view, ShardId(), move);
}

}  // namespace bamboorack::upstream
