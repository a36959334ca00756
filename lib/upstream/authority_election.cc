#include "bamboorack/upstream/authority_election.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboorack::upstream {
namespace {

/// An append without a visible effect after this time is treated as lost and
/// repeated.
constexpr std::chrono::seconds kAppendWait{2};

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
std::vector<DaemonId> Successors(const ClusterState& state,
                                 const GroupId& group,
                                 const AuthorityState* authority) {
  auto candidates = AuthorityCandidates(state.inventory, group);
  if (authority != nullptr) std::erase(candidates, authority->daemon);
  return candidates;
}

/// Returns the candidates that receive heartbeats and may take over from a
/// silent authority: the first three, and the first one outside the group's
/// failure domain, because the whole domain may fail.
std::vector<DaemonId> Watchers(const ClusterState& state, const GroupId& group,
                               const AuthorityState* authority) {
  const auto successors = Successors(state, group, authority);
  std::vector<DaemonId> watchers;
  bool has_outsider = false;
  for (const DaemonId& daemon : successors) {
    const bool is_outsider =
        state.FindDaemon(daemon)->failure_domain != group.failure_domain;
    const bool is_chosen = watchers.size() < kHeartbeatCandidates ||
                           (is_outsider && !has_outsider);
    if (!is_chosen) continue;
    has_outsider |= is_outsider;
    watchers.push_back(daemon);
  }
  return watchers;
}

/// Returns the groups that need an authority: those with upstreams in the
/// inventory, and those whose upstreams left it while they owned shards.
std::set<GroupId> GroupsToHold(const ClusterState& state) {
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

const std::array<AuthorityElection::TakeRule, 4> AuthorityElection::kTakeRules =
    {TakeRule{&AuthorityElection::IsVacantForMe, Cause::kAuthorityVacant},
     TakeRule{&AuthorityElection::IsReleasedToMe, Cause::kPlannedStop},
     TakeRule{&AuthorityElection::IsMyEarlierStart, Cause::kAuthorityVacant},
     TakeRule{&AuthorityElection::IsSilent, Cause::kAuthoritySilent}};

AuthorityElection::AuthorityElection(DaemonId this_daemon,
                                     DaemonInstance this_start,
                                     std::function<RecordId()> draw_record_id)
    : self(std::move(this_daemon)),
      instance(std::move(this_start)),
      next_record_id(std::move(draw_record_id)) {}

bool AuthorityElection::Holds(const AuthorityState& authority) const {
  return authority.daemon == this->self &&
         authority.daemon_instance == this->instance;
}

AuthorityElection::Watch& AuthorityElection::UpdateWatch(
    const GroupId& group, const AuthorityState* authority, MonotonicTime now) {
  const auto [found, is_new] = this->watches.try_emplace(group);
  Watch& watch = found->second;
  const FencingToken token =
      authority == nullptr ? FencingToken() : authority->token;
  const auto released_to =
      authority == nullptr ? std::nullopt : authority->released_to;
  if (is_new || watch.token != token) watch = {token, now, released_to, {}};
  if (watch.released_to != released_to) {
    watch.released_to = released_to;
    watch.pending_until.reset();
  }
  return watch;
}

void AuthorityElection::NotePause(MonotonicTime now) {
  // A daemon that was paused received no heartbeats itself, so their absence
  // does not show that the authorities are silent.
  const bool was_paused =
      this->last_tick && now > *this->last_tick + kSilenceLimit;
  this->last_tick = now;
  if (!was_paused) return;
  for (auto& [group, watch] : this->watches) watch.since = now;
}

bool AuthorityElection::IsVacantForMe(const Situation& situation) const {
  return situation.authority == nullptr &&
         situation.now >= situation.watch.since + situation.rank * kRankDelay;
}

bool AuthorityElection::IsReleasedToMe(const Situation& situation) const {
  return situation.authority != nullptr &&
         situation.authority->released_to == this->self;
}

bool AuthorityElection::IsMyEarlierStart(const Situation& situation) const {
  return situation.authority != nullptr &&
         situation.authority->daemon == this->self &&
         !situation.authority->released_to;
}

bool AuthorityElection::IsSilent(const Situation& situation) const {
  if (situation.authority == nullptr) return false;
  const MonotonicTime heard =
      std::max(situation.watch.since,
               situation.last_heard.value_or(situation.watch.since));
  return situation.now >= heard + kSilenceLimit + situation.rank * kRankDelay;
}

std::optional<Cause> AuthorityElection::CauseToTake(
    const Situation& situation) const {
  if (situation.authority != nullptr && this->Holds(*situation.authority)) {
    return std::nullopt;
  }
  for (const TakeRule& rule : kTakeRules) {
    if ((this->*rule.applies)(situation)) return rule.cause;
  }
  return std::nullopt;
}

std::vector<Record> AuthorityElection::Tick(
    const ClusterState& state,
    const std::map<DaemonId, MonotonicTime>& last_heard, bool has_log_contact,
    MonotonicTime now) {
  std::vector<Record> records;
  this->NotePause(now);
  for (const GroupId& group : GroupsToHold(state)) {
    const AuthorityState* authority = FindAuthority(state, group);
    Watch& watch = this->UpdateWatch(group, authority, now);
    if (!has_log_contact) continue;
    if (watch.pending_until && now < *watch.pending_until) continue;
    const auto candidates = authority == nullptr
                                ? Successors(state, group, nullptr)
                                : Watchers(state, group, authority);
    const auto place =
        std::find(candidates.begin(), candidates.end(), this->self);
    const bool is_named =
        authority != nullptr && (authority->daemon == this->self ||
                                 authority->released_to == this->self);
    if (place == candidates.end() && !is_named) continue;
    const auto rank = static_cast<int>(place - candidates.begin());
    const auto heard = authority == nullptr
                           ? std::nullopt
                           : LastHeard(last_heard, authority->daemon);
    const auto cause =
        this->CauseToTake({group, authority, watch, rank, heard, now});
    if (!cause) continue;
    watch.pending_until = now + kAppendWait;
    records.push_back({this->next_record_id(),
                       AuthorityTaken{group, this->self, this->instance,
                                      watch.token, *cause}});
  }
  return records;
}

std::vector<DaemonId> AuthorityElection::HeartbeatTargets(
    const ClusterState& state) const {
  std::set<DaemonId> targets;
  for (const GroupId& group : GroupsToHold(state)) {
    const AuthorityState* authority = FindAuthority(state, group);
    if (authority == nullptr || authority->token.value == 0) continue;
    const auto watchers = Watchers(state, group, authority);
    if (this->Holds(*authority)) {
      targets.insert(watchers.begin(), watchers.end());
    } else if (std::find(watchers.begin(), watchers.end(), this->self) !=
               watchers.end()) {
      targets.insert(authority->daemon);
    }
  }
  return {targets.begin(), targets.end()};
}

std::vector<Record> AuthorityElection::ReleaseAll(
    const ClusterState& state,
    const std::map<DaemonId, MonotonicTime>& last_heard, MonotonicTime now) {
  std::vector<Record> records;
  for (const GroupId& group : GroupsToHold(state)) {
    const AuthorityState* authority = FindAuthority(state, group);
    if (authority == nullptr || !this->Holds(*authority)) continue;
    if (authority->released_to) continue;
    Watch& watch = this->UpdateWatch(group, authority, now);
    if (watch.pending_until && now < *watch.pending_until) continue;
    for (const DaemonId& daemon : Successors(state, group, authority)) {
      const auto heard = LastHeard(last_heard, daemon);
      if (!heard || now >= *heard + kSilenceLimit) continue;
      watch.pending_until = now + kAppendWait;
      records.push_back({this->next_record_id(),
                         AuthorityReleased{group, authority->token, daemon}});
      break;
    }
  }
  return records;
}

}  // namespace bamboorack::upstream
