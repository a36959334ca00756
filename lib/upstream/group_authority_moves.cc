#include <algorithm>
#include <tuple>
#include <utility>

#include "bamboorack/core/hash.h"
#include "bamboorack/core/placement.h"
#include "bamboorack/upstream/fencing_strategy.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {
namespace {

/// A move without a visible effect in the state is appended again after this
/// time.
constexpr std::chrono::seconds kMoveAppendRetryInterval{2};

/// Returns a hash of the inputs of `ProposeGroups`.
std::uint64_t HashProposalInputs(const ServiceEntry& service,
                                 std::uint32_t shard_total) {
  std::uint64_t hash = CombineHashes(shard_total, service.groups_per_domain);
  for (const UpstreamEntry& upstream : service.upstreams) {
    hash = CombineHashes(hash, HashText(upstream.id.value));
    hash = CombineHashes(hash, HashText(upstream.failure_domain.value));
    hash = CombineHashes(hash, std::hash<double>{}(upstream.weight));
  }
  return hash;
}

Cause FirstAssignmentCause(const ServiceEntry& service, ShardId shard) {
  return shard.value >= service.shard_count ? Cause::kHotKey
                                            : Cause::kFirstAssignment;
}

}  // namespace

void GroupAuthority::RemoveCompletedMoves(const View& view) {
  std::erase_if(this->moves, [&view](const auto& entry) {
    const auto& [shard, move] = entry;
    const auto state = view.shards.find(shard);
    return state == view.shards.end() || state->second.changed_at != move.base;
  });
}

std::vector<OwnerTarget> GroupAuthority::LiveTargets(const View& view) const {
  std::vector<OwnerTarget> targets;
  for (const auto& [id, link] : this->links) {
    if (!this->IsLive(view, link)) continue;
    targets.push_back({link.Ref(), link.weight});
  }
  return targets;
}

void GroupAuthority::UpdateForeignShards(const View& view) {
  const std::uint32_t total = view.input.state.ShardTotal(*view.service);
  const std::uint64_t source = HashProposalInputs(*view.service, total);
  if (this->foreign_shards_hash == source) return;
  this->foreign_shards_hash = source;
  this->foreign_shards.clear();
  const auto proposal = ProposeGroups(*view.service, total);
  for (std::uint32_t i = 0; i < proposal.size(); ++i) {
    if (proposal[i] != this->group) this->foreign_shards.insert(ShardId(i));
  }
}

std::optional<UpstreamRef> GroupAuthority::PlannedOwner(ShardId shard) const {
  if (this->foreign_shards.contains(shard)) return std::nullopt;
  const auto planned_owner = this->planned_owners.find(shard);
  if (planned_owner == this->planned_owners.end()) return std::nullopt;
  return planned_owner->second;
}

GroupAuthority::Plan GroupAuthority::MakePlan(const View& view) {
  Plan plan;
  plan.targets = this->LiveTargets(view);
  for (const OwnerTarget& target : plan.targets) plan.refs.insert(target.ref);
  std::map<ShardId, std::optional<UpstreamRef>> owners;
  for (const auto& [shard, state] : view.shards) {
    if (this->foreign_shards.contains(shard)) continue;
    const auto move = this->moves.find(shard);
    owners[shard] = move == this->moves.end() ? state.owner : move->second.to;
  }
  if (owners != this->plan_input_owners ||
      plan.targets != this->plan_input_targets) {
    const std::uint64_t salt = HashText(this->group.service.value);
    this->planned_owners = PlanOwners(salt, owners, plan.targets);
    this->plan_input_owners = std::move(owners);
    this->plan_input_targets = plan.targets;
  }
  plan.is_complete = std::none_of(
      this->links.begin(), this->links.end(), [&](const auto& entry) {
        return this->IsStateUnknown(view, entry.second);
      });
  plan.can_rebalance = this->CanRebalance(view, plan);
  return plan;
}

bool GroupAuthority::CanRebalance(const View& view, const Plan& plan) const {
  const auto authority = view.input.state.authorities.find(this->group);
  const bool is_stopping = authority == view.input.state.authorities.end() ||
                           authority->second.released_to;
  if (is_stopping || !plan.is_complete) return false;
  return std::all_of(view.shards.begin(), view.shards.end(),
                     [&](const auto& entry) {
                       const auto& [shard, state] = entry;
                       return state.owner && (this->moves.contains(shard) ||
                                              plan.refs.contains(*state.owner));
                     });
}

void GroupAuthority::PlanMoves(const View& view, AuthorityOutput& output) {
  if (!view.input.has_log_contact) return;
  this->UpdateForeignShards(view);
  const Plan plan = this->MakePlan(view);
  this->RetargetMoves(plan);
  for (const auto& [shard, state] : view.shards) {
    if (this->moves.contains(shard)) continue;
    this->PlanShardMove(view, shard, state, plan);
  }
  this->AppendProvenMoves(view, plan, output);
}

void GroupAuthority::RetargetMoves(const Plan& plan) {
  for (auto entry = this->moves.begin(); entry != this->moves.end();) {
    auto& [shard, move] = *entry;
    const auto planned_owner = this->PlannedOwner(shard);
    const bool has_valid_target =
        move.is_reported || !move.to || plan.refs.contains(*move.to);
    if (has_valid_target || !planned_owner) {
      ++entry;
      continue;
    }
    move.to = planned_owner;
    const bool is_redundant = move.from == move.to && !move.append_retry_at;
    entry = is_redundant ? this->moves.erase(entry) : std::next(entry);
  }
}

void GroupAuthority::PlanShardMove(const View& view, ShardId shard,
                                   const ShardState& state, const Plan& plan) {
  if (this->NeedsSuccessorRule(view, shard, state)) {
    this->AdoptReportedOwner(view, shard, state);
    return;
  }
  const auto planned_owner = this->PlannedOwner(shard);
  if (state.owner == planned_owner) return;
  // A group without a live upstream keeps its shards, unless the inventory
  // places them in another group.
  if (!planned_owner && !this->foreign_shards.contains(shard)) return;
  Move move{state.owner,
            planned_owner,
            Cause::kOwnerLost,
            state.changed_at,
            view.now,
            false,
            {}};
  if (state.owner) {
    this->PlanMoveFromOwner(view, shard, std::move(move), plan);
    return;
  }
  // Waits until all upstreams have answered or failed. Otherwise the first one
  // to answer would get all shards.
  if (!plan.is_complete) return;
  move.cause = FirstAssignmentCause(*view.service, shard);
  this->moves.emplace(shard, std::move(move));
}

void GroupAuthority::AdoptReportedOwner(const View& view, ShardId shard,
                                        const ShardState& state) {
  const auto reported = this->ReportedOwner(shard, *state.owner);
  if (!reported) return;
  this->moves.emplace(shard, Move{state.owner,
                                  *reported,
                                  Cause::kOwnerLost,
                                  state.changed_at,
                                  view.now,
                                  true,
                                  {}});
}

void GroupAuthority::PlanMoveFromOwner(const View& view, ShardId shard,
                                       Move move, const Plan& plan) {
  if (!this->IsReachable(*move.from)) {
    const auto proof = this->FindProof(view, shard, move);
    if (!proof) return;
    if (*proof == Proof::kDeclared) move.cause = Cause::kDeclaredLost;
    this->moves.emplace(shard, std::move(move));
    return;
  }
  const UpstreamLink& link = this->links.at(move.from->id);
  if (view.strategy.fences_upstreams && this->has_predecessor &&
      !this->IsFenced(link)) {
    return;
  }
  // A leaving owner receives no work, so its shards move regardless of the
  // budget.
  if (this->IsLive(view, link)) {
    if (!plan.can_rebalance || !this->ConsumeMoveBudget(view)) return;
    move.cause = Cause::kRebalance;
  } else {
    move.cause = Cause::kOwnerLeaving;
  }
  this->moves.emplace(shard, std::move(move));
}

bool GroupAuthority::ConsumeMoveBudget(const View& view) {
  const double rate = view.rules.moves_per_second;
  const std::chrono::duration<double> elapsed =
      view.now - this->budget_updated_at;
  this->budget_updated_at = view.now;
  this->move_budget =
      std::min(std::max(1.0, rate), this->move_budget + elapsed.count() * rate);
  if (this->move_budget < 1.0) return false;
  this->move_budget -= 1.0;
  return true;
}

void GroupAuthority::AppendProvenMoves(const View& view, const Plan& plan,
                                       AuthorityOutput& output) {
  std::map<std::pair<Cause, Proof>, ShardsAssigned> batches;
  for (auto& [shard, move] : this->moves) {
    if (move.append_retry_at && view.now < *move.append_retry_at) continue;
    const bool has_valid_target =
        move.is_reported || !move.to || plan.refs.contains(*move.to);
    if (!has_valid_target) continue;
    const auto proof = this->FindProof(view, shard, move);
    if (!proof) continue;
    move.append_retry_at = view.now + kMoveAppendRetryInterval;
    ShardsAssigned& batch = batches[{move.cause, *proof}];
    batch.changes.push_back({shard, move.from, move.to, move.base});
  }
  for (auto& [key, batch] : batches) {
    batch.group = this->group;
    batch.token = this->token;
    std::tie(batch.cause, batch.proof) = key;
    batch.daemon = this->self;
    output.appends.push_back({this->next_record_id(), std::move(batch)});
  }
}

}  // namespace bamboorack::upstream
