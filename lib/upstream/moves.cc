#include <algorithm>
#include <tuple>
#include <utility>

#include "bamboorack/core/hash.h"
#include "bamboorack/upstream/fencing_strategy.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {
namespace {

/// After this time without a change in the state a move is appended anew.
constexpr std::chrono::seconds kAppendAgain{2};

bool IsTarget(const std::vector<OwnerTarget>& targets, const UpstreamRef& ref) {
  return std::any_of(
      targets.begin(), targets.end(),
      [&ref](const OwnerTarget& target) { return target.ref == ref; });
}

Cause FirstCause(const ServiceEntry& service, ShardId shard) {
  return shard.value >= service.shard_count ? Cause::kHotKey
                                            : Cause::kFirstAssignment;
}

}  // namespace

void GroupAuthority::EndAcceptedMoves(const View& view) {
  std::erase_if(this->moves, [&view](const auto& entry) {
    const auto& [shard, move] = entry;
    const auto state = view.shards.find(shard);
    return state == view.shards.end() || state->second.changed_at != move.base;
  });
}

std::vector<OwnerTarget> GroupAuthority::Targets(const View& view) const {
  std::vector<OwnerTarget> targets;
  for (const auto& [id, link] : this->links) {
    if (!this->IsLive(view, link)) continue;
    targets.push_back({link.Ref(), link.weight});
  }
  return targets;
}

void GroupAuthority::PlanMoves(const View& view, AuthorityOutput& output) {
  const std::vector<OwnerTarget> targets = this->Targets(view);
  if (targets.empty() || !view.input.has_log_contact) return;
  std::map<ShardId, std::optional<UpstreamRef>> owners;
  for (const auto& [shard, state] : view.shards) {
    const auto move = this->moves.find(shard);
    owners[shard] = move == this->moves.end() ? state.owner : move->second.to;
  }
  const std::uint64_t salt = HashText(this->group.service.value);
  const auto plan = PlanOwners(salt, owners, targets);
  const bool can_rebalance = this->CanRebalance(view, targets);
  this->RetargetMoves(targets, plan);
  for (const auto& [shard, state] : view.shards) {
    if (this->moves.contains(shard)) continue;
    this->ConsiderShard(view, shard, state, plan.at(shard), can_rebalance);
  }
  this->AppendProvenMoves(view, targets, output);
}

bool GroupAuthority::CanRebalance(
    const View& view, const std::vector<OwnerTarget>& targets) const {
  const auto authority = view.input.state.authorities.find(this->group);
  if (authority == view.input.state.authorities.end() ||
      authority->second.released_to) {
    return false;
  }
  for (const auto& [id, link] : this->links) {
    if (this->IsUndecided(view, link)) return false;
  }
  return std::all_of(
      view.shards.begin(), view.shards.end(), [&](const auto& entry) {
        const auto& [shard, state] = entry;
        return state.owner &&
               (this->moves.contains(shard) || IsTarget(targets, *state.owner));
      });
}

void GroupAuthority::RetargetMoves(const std::vector<OwnerTarget>& targets,
                                   const std::map<ShardId, UpstreamRef>& plan) {
  for (auto entry = this->moves.begin(); entry != this->moves.end();) {
    auto& [shard, move] = *entry;
    if (move.is_reported || IsTarget(targets, move.to)) {
      ++entry;
      continue;
    }
    move.to = plan.at(shard);
    const bool is_needless = move.from == move.to && !move.append_again_at;
    entry = is_needless ? this->moves.erase(entry) : std::next(entry);
  }
}

void GroupAuthority::ConsiderShard(const View& view, ShardId shard,
                                   const ShardState& state,
                                   const UpstreamRef& wanted,
                                   bool can_rebalance) {
  if (this->NeedsSuccessorRule(view, shard, state)) {
    this->ConsiderUnsettled(view, shard, state);
    return;
  }
  if (state.owner == wanted) return;
  Move move{state.owner, wanted, Cause::kOwnerLost, state.changed_at, view.now,
            false,       {}};
  if (!state.owner) {
    move.cause = FirstCause(*view.service, shard);
    this->moves.emplace(shard, std::move(move));
    return;
  }
  this->ConsiderOwner(view, shard, std::move(move), can_rebalance);
}

void GroupAuthority::ConsiderUnsettled(const View& view, ShardId shard,
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

void GroupAuthority::ConsiderOwner(const View& view, ShardId shard, Move move,
                                   bool can_rebalance) {
  if (!this->IsReachable(*move.from)) {
    const auto proof = this->FindProof(view, shard, move);
    if (!proof) return;
    if (*proof == Proof::kDeclared) move.cause = Cause::kDeclaredLost;
    this->moves.emplace(shard, std::move(move));
    return;
  }
  const UpstreamLink& link = this->links.at(move.from->id);
  if (view.strategy.fences && this->has_predecessor && !this->IsFenced(link)) {
    return;
  }
  // A leaving owner takes no work, so its shards do not wait for the budget.
  if (this->IsLive(view, link)) {
    if (!can_rebalance || !this->TakeMoveBudget(view)) return;
    move.cause = Cause::kRebalance;
  } else {
    move.cause = Cause::kOwnerLeaving;
  }
  this->moves.emplace(shard, std::move(move));
}

bool GroupAuthority::TakeMoveBudget(const View& view) {
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

void GroupAuthority::AppendProvenMoves(const View& view,
                                       const std::vector<OwnerTarget>& targets,
                                       AuthorityOutput& output) {
  std::map<std::pair<Cause, Proof>, ShardsAssigned> batches;
  for (auto& [shard, move] : this->moves) {
    if (move.append_again_at && view.now < *move.append_again_at) continue;
    if (!move.is_reported && !IsTarget(targets, move.to)) continue;
    const auto proof = this->FindProof(view, shard, move);
    if (!proof) continue;
    move.append_again_at = view.now + kAppendAgain;
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
