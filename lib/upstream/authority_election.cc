#include "bamboorack/upstream/authority_election.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboorack::upstream {
namespace {

/// An append without a visible effect after this time is treated as lost and
/// repeated.
constexpr std::chrono::seconds kAppendRetryInterval{2};

std::optional<MonotonicTime> LastHeard(
    const std::map<DaemonId, MonotonicTime>& last_heard,
    const DaemonId& daemon) {
  const auto found = last_heard.find(daemon);
  if (found == last_heard.end()) return std::nullopt;
  return found->second;
}

const AuthorityState* FindAuthority(const ClusterState& state,
                                    const GroupId& group) {
  const auto found = state.authorities.find(group);
  if (found == state.authorities.end() || found->second.token.value == 0) {
    return nullptr;
  }
  return &found->second;
}

/// Returns the candidates of `group` except its current authority.
std::vector<DaemonId> OtherCandidates(const ClusterState& state,
                                      const GroupId& group,
                                      const AuthorityState* authority) {
  auto candidates = AuthorityCandidates(state.inventory, group);
  if (authority != nullptr) std::erase(candidates, authority->daemon);
  return candidates;
}

/// Returns the candidates that receive heartbeats and may take over from a
/// silent authority: the first three, and the first one outside the group's
/// failure domain, because the whole domain may fail.
std::vector<DaemonId> Standbys(const ClusterState& state, const GroupId& group,
                               const AuthorityState* authority) {
  const auto other_candidates = OtherCandidates(state, group, authority);
  std::vector<DaemonId> standbys;
  bool has_other_domain = false;
  for (const DaemonId& daemon : other_candidates) {
    const bool is_in_other_domain =
        state.FindDaemon(daemon)->failure_domain != group.failure_domain;
    const bool is_chosen = standbys.size() < kHeartbeatCandidateCount ||
                           (is_in_other_domain && !has_other_domain);
    if (!is_chosen) continue;
    has_other_domain |= is_in_other_domain;
    standbys.push_back(daemon);
  }
  return standbys;
}

/// Returns the groups that need an authority: those with upstreams in the
/// inventory, and those whose upstreams left it while they owned shards.
std::set<GroupId> GroupsNeedingAuthority(const ClusterState& state) {
  const auto listed = state.Groups();
  std::set<GroupId> groups(listed.begin(), listed.end());
  for (const auto& [service, shards] : state.shards) {
    for (const ShardState& shard : shards) {
      if (shard.owner) groups.insert(shard.group);
    }
  }
  return groups;
}

}  // namespace

const std::array<AuthorityElection::TakeoverRule, 4>
    AuthorityElection::kTakeoverRules = {
        TakeoverRule{&AuthorityElection::IsVacantAndRankDue,
                     Cause::kAuthorityVacant},
        TakeoverRule{&AuthorityElection::IsReleasedToSelf, Cause::kPlannedStop},
        TakeoverRule{&AuthorityElection::IsHeldByEarlierInstance,
                     Cause::kAuthorityVacant},
        TakeoverRule{&AuthorityElection::IsAuthoritySilent,
                     Cause::kAuthoritySilent}};

AuthorityElection::AuthorityElection(
    DaemonId this_daemon, DaemonInstance daemon_instance_id,
    std::function<RecordId()> record_id_generator)
    : self(std::move(this_daemon)),
      instance(std::move(daemon_instance_id)),
      next_record_id(std::move(record_id_generator)) {}

bool AuthorityElection::IsHeldBySelf(const AuthorityState& authority) const {
  return authority.daemon == this->self &&
         authority.daemon_instance == this->instance;
}

AuthorityElection::GroupStatus& AuthorityElection::UpdateStatus(
    const GroupId& group, const AuthorityState* authority, MonotonicTime now) {
  const auto [found, is_new] = this->statuses.try_emplace(group);
  GroupStatus& status = found->second;
  const FencingToken token =
      authority == nullptr ? FencingToken() : authority->token;
  const auto released_to =
      authority == nullptr ? std::nullopt : authority->released_to;
  if (is_new || status.token != token) status = {token, now, released_to, {}};
  if (status.released_to != released_to) {
    status.released_to = released_to;
    status.append_retry_at.reset();
  }
  return status;
}

void AuthorityElection::RestartTimersAfterPause(MonotonicTime now) {
  // A daemon that was paused received no heartbeats itself, so their absence
  // does not show that the authorities are silent.
  const bool was_paused =
      this->last_tick && now > *this->last_tick + kHeartbeatTimeout;
  this->last_tick = now;
  if (!was_paused) return;
  for (auto& [group, status] : this->statuses) status.since = now;
}

bool AuthorityElection::IsVacantAndRankDue(
    const TakeoverContext& context) const {
  return context.authority == nullptr &&
         context.now >=
             context.status.since + context.rank * kTakeoverDelayPerRank;
}

bool AuthorityElection::IsReleasedToSelf(const TakeoverContext& context) const {
  return context.authority != nullptr &&
         context.authority->released_to == this->self;
}

bool AuthorityElection::IsHeldByEarlierInstance(
    const TakeoverContext& context) const {
  return context.authority != nullptr &&
         context.authority->daemon == this->self &&
         !context.authority->released_to;
}

bool AuthorityElection::IsAuthoritySilent(
    const TakeoverContext& context) const {
  if (context.authority == nullptr) return false;
  const MonotonicTime heard = std::max(
      context.status.since, context.last_heard.value_or(context.status.since));
  return context.now >=
         heard + kHeartbeatTimeout + context.rank * kTakeoverDelayPerRank;
}

std::optional<Cause> AuthorityElection::FindTakeoverCause(
    const TakeoverContext& context) const {
  if (context.authority != nullptr && this->IsHeldBySelf(*context.authority)) {
    return std::nullopt;
  }
  for (const TakeoverRule& rule : kTakeoverRules) {
    if ((this->*rule.applies)(context)) return rule.cause;
  }
  return std::nullopt;
}

std::vector<Record> AuthorityElection::Tick(
    const ClusterState& state,
    const std::map<DaemonId, MonotonicTime>& last_heard, bool has_log_contact,
    MonotonicTime now) {
  std::vector<Record> records;
  this->RestartTimersAfterPause(now);
  for (const GroupId& group : GroupsNeedingAuthority(state)) {
    const AuthorityState* authority = FindAuthority(state, group);
    GroupStatus& status = this->UpdateStatus(group, authority, now);
    if (!has_log_contact) continue;
    if (status.append_retry_at && now < *status.append_retry_at) continue;
    const auto candidates = authority == nullptr
                                ? OtherCandidates(state, group, nullptr)
                                : Standbys(state, group, authority);
    const auto position =
        std::find(candidates.begin(), candidates.end(), this->self);
    const bool is_holder_or_assignee =
        authority != nullptr && (authority->daemon == this->self ||
                                 authority->released_to == this->self);
    if (position == candidates.end() && !is_holder_or_assignee) continue;
    const auto rank = static_cast<int>(position - candidates.begin());
    const auto heard = authority == nullptr
                           ? std::nullopt
                           : LastHeard(last_heard, authority->daemon);
    const auto cause =
        this->FindTakeoverCause({group, authority, status, rank, heard, now});
    if (!cause) continue;
    status.append_retry_at = now + kAppendRetryInterval;
    records.push_back({this->next_record_id(),
                       AuthorityTaken{group, this->self, this->instance,
                                      status.token, *cause}});
  }
  return records;
}

std::vector<DaemonId> AuthorityElection::HeartbeatTargets(
    const ClusterState& state) const {
  std::set<DaemonId> targets;
  for (const GroupId& group : GroupsNeedingAuthority(state)) {
    const AuthorityState* authority = FindAuthority(state, group);
    if (authority == nullptr || authority->token.value == 0) continue;
    const auto standbys = Standbys(state, group, authority);
    if (this->IsHeldBySelf(*authority)) {
      targets.insert(standbys.begin(), standbys.end());
    } else if (std::find(standbys.begin(), standbys.end(), this->self) !=
               standbys.end()) {
      targets.insert(authority->daemon);
    }
  }
  return {targets.begin(), targets.end()};
}

std::vector<Record> AuthorityElection::ReleaseAuthorities(
    const ClusterState& state,
    const std::map<DaemonId, MonotonicTime>& last_heard, MonotonicTime now) {
  std::vector<Record> records;
  for (const GroupId& group : GroupsNeedingAuthority(state)) {
    const AuthorityState* authority = FindAuthority(state, group);
    if (authority == nullptr || !this->IsHeldBySelf(*authority)) continue;
    if (authority->released_to) continue;
    GroupStatus& status = this->UpdateStatus(group, authority, now);
    if (status.append_retry_at && now < *status.append_retry_at) continue;
    for (const DaemonId& daemon : OtherCandidates(state, group, authority)) {
      const auto heard = LastHeard(last_heard, daemon);
      if (!heard || now >= *heard + kHeartbeatTimeout) continue;
      status.append_retry_at = now + kAppendRetryInterval;
      records.push_back({this->next_record_id(),
                         AuthorityReleased{group, authority->token, daemon}});
      break;
    }
  }
  return records;
}

}  // namespace bamboorack::upstream
