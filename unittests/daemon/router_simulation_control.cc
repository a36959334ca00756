#include <algorithm>
#include <utility>

#include "daemon/router_simulation.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("svc");
constexpr std::uint32_t kShardCount = 8;
constexpr milliseconds kTableRefreshInterval{100};
constexpr milliseconds kMandateDuration{400};
constexpr milliseconds kIdMemory{5000};
/// Time until the control plane detects that an upstream is frozen.
constexpr milliseconds kFreezeDetectionDelay{300};

}  // namespace

void RouterSimulation::BuildInitialState() {
  ServiceEntry service;
  service.name = kService;
  service.checks_tokens = this->settings.checks_tokens;
  service.can_settle = this->settings.can_settle;
  service.shard_count = kShardCount;
  for (std::uint32_t i = 0; i < 4; ++i) {
    UpstreamEntry entry;
    entry.id = UpstreamId("u" + std::to_string(i));
    entry.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
    entry.failure_domain = FailureDomain(i < 2 ? "a" : "b");
    entry.slots = 2;
    service.upstreams.push_back(entry);
    Upstream& fake = this->upstreams.emplace_back();
    fake.ref = {entry.id, UpstreamInstance("first")};
    fake.group = ClusterState::GroupOf(service, entry);
    fake.clock_offset = milliseconds(1'000'000ULL * (i + 1));
  }
  this->log_state.inventory.services.push_back(service);
  this->log_state.inventory_revision = Revision(1);
  this->log_state.rules.services[kService].id_memory = kIdMemory;
  this->log_state.next_offset = LogOffset(100);
  std::uint64_t token = 10;
  std::size_t index = 0;
  for (const GroupId& group : this->log_state.Groups()) {
    Daemon& daemon = this->daemons[index++];
    AuthorityState authority;
    authority.token = FencingToken(token++);
    authority.daemon = daemon.id;
    this->log_state.authorities[group] = authority;
    daemon.token_read_times[authority.token] =
        this->now - std::chrono::seconds(1000);
    this->active_from[group] = this->now;
  }
  auto& shards = this->log_state.shards[kService];
  for (std::uint32_t i = 0; i < kShardCount; ++i) {
    const Upstream& owner = this->upstreams[i % 4];
    shards.push_back({owner.group, owner.ref, LogOffset(20 + i)});
  }
  const auto state = std::make_shared<const ClusterState>(this->log_state);
  for (std::size_t i = 0; i < this->daemons.size(); ++i)
    this->ApplyState(i, state);
}

void RouterSimulation::Publish() {
  ++this->log_state.next_offset.value;
  const auto state = std::make_shared<const ClusterState>(this->log_state);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const std::uint64_t longest = this->Draw(6) == 0 ? 2000 : 100;
    auto& unread = this->daemons[i].unread;
    MonotonicTime arrives = this->now + milliseconds(this->Draw(longest));
    if (!unread.empty()) arrives = std::max(arrives, unread.back().arrives);
    unread.push_back({arrives, this->moves, state});
    this->At(arrives, [this, i] { this->ReadStates(i); });
  }
}

// A daemon reads the states in log order. It applies every owner change, but
// only the last of several authority changes that have arrived.
void RouterSimulation::ReadStates(std::size_t index) {
  Daemon& daemon = this->daemons[index];
  if (daemon.paused_until > this->now) {
    this->At(daemon.paused_until, [this, index] { this->ReadStates(index); });
    return;
  }
  auto& unread = daemon.unread;
  while (!unread.empty() && unread.front().arrives <= this->now) {
    const UnreadState next = unread.front();
    unread.pop_front();
    const bool is_hidden = !unread.empty() &&
                           unread.front().arrives <= this->now &&
                           unread.front().moves == next.moves;
    if (!is_hidden) this->ApplyState(index, next.state);
  }
}

void RouterSimulation::ApplyState(std::size_t index,
                                  std::shared_ptr<const ClusterState> state) {
  Daemon& daemon = this->daemons[index];
  for (const auto& [group, authority] : state->authorities) {
    if (authority.daemon != daemon.id) continue;
    daemon.token_read_times.try_emplace(authority.token, this->now);
  }
  daemon.known_state = std::move(state);
  this->RefreshTable(index);
}

void RouterSimulation::ScheduleTableRefresh(std::size_t index) {
  this->At(this->now + kTableRefreshInterval, [this, index] {
    if (this->daemons[index].paused_until <= this->now) {
      this->RefreshTable(index);
    }
    this->ScheduleTableRefresh(index);
  });
}

bool RouterSimulation::IsActiveAuthority(const Daemon& daemon,
                                         const GroupId& group) const {
  const AuthorityState& authority = daemon.known_state->authorities.at(group);
  return authority.daemon == daemon.id &&
         !daemon.lost_tokens.contains(authority.token) &&
         this->active_from.at(group) <= this->now;
}

void RouterSimulation::RefreshTable(std::size_t index) {
  Daemon& daemon = this->daemons[index];
  auto next = std::make_shared<RoutingTable>();
  next->state = daemon.known_state;
  next->granted[kService].assign(kShardCount, false);
  for (const auto& [group, authority] : daemon.known_state->authorities) {
    if (this->IsActiveAuthority(daemon, group))
      this->FillGroup(daemon, group, *next);
  }
  daemon.table = next;
  this->ExecuteActions(index,
                       daemon.router->OnTable(std::move(next), this->now));
}

void RouterSimulation::FillGroup(Daemon& daemon, const GroupId& group,
                                 RoutingTable& next) {
  const FencingToken token = daemon.known_state->authorities.at(group).token;
  LocalGroup local;
  local.token = token;
  local.taken_at = daemon.token_read_times.at(token);
  if (!this->settings.checks_tokens) {
    // The head of the log shows no successor, so extend the mandate.
    if (this->log_state.authorities.at(group).token == token) {
      daemon.mandates[group] = this->now + kMandateDuration;
    }
    local.mandate_until = daemon.mandates[group];
  }
  next.local_groups[group] = local;
  for (Upstream& target : this->upstreams) {
    if (target.group == group && !target.is_dead) {
      this->FillUpstream(daemon, group, target, next);
    }
  }
}

void RouterSimulation::FillUpstream(const Daemon& daemon, const GroupId& group,
                                    Upstream& target, RoutingTable& next) {
  const FencingToken token = daemon.known_state->authorities.at(group).token;
  const bool is_frozen = target.frozen_until > this->now;
  std::set<ShardId> owned;
  const auto& shards = daemon.known_state->shards.at(kService);
  for (std::uint32_t i = 0; i < kShardCount; ++i) {
    if (shards[i].owner == target.ref) owned.insert(ShardId(i));
  }
  if (!is_frozen && token >= target.highest_token) {
    target.highest_token = token;
    target.granted = owned;
  }
  // Without the upstream's acknowledgement, no grant is confirmed.
  if (target.highest_token != token) return;
  LocalUpstream info;
  info.ref = target.ref;
  info.group = group;
  info.token = token;
  info.slots = target.slots;
  info.checks_tokens = this->settings.checks_tokens;
  info.can_settle = this->settings.can_settle;
  const bool is_unreachable =
      is_frozen && target.frozen_since + kFreezeDetectionDelay <= this->now;
  info.accepts_work = !is_unreachable && !target.is_draining;
  info.reading = this->ReadingOf(target);
  info.reading_received = this->now;
  next.local_upstreams[target.ref] = info;
  for (const ShardId shard : target.granted) {
    if (owned.contains(shard)) next.granted[kService][shard.value] = true;
  }
}

void RouterSimulation::AssignOwner(ShardId shard, const UpstreamRef& owner) {
  this->last_move = this->now;
  ++this->moves;
  ShardState& state = this->log_state.shards[kService][shard.value];
  state.owner = owner;
  state.changed_at = this->log_state.next_offset;
  this->Publish();
}

RouterSimulation::Upstream* RouterSimulation::OtherUpstream(
    const Upstream& than) {
  for (Upstream& candidate : this->upstreams) {
    if (candidate.group == than.group && &candidate != &than &&
        !candidate.is_dead && candidate.frozen_until <= this->now) {
      return &candidate;
    }
  }
  return nullptr;
}

void RouterSimulation::TakeOver(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  auto group = this->log_state.authorities.begin();
  std::advance(group, this->Draw(this->log_state.authorities.size()));
  this->AssignAuthority(group->first);
}

void RouterSimulation::AssignAuthority(const GroupId& group) {
  AuthorityState& authority = this->log_state.authorities.at(group);
  const Daemon& successor = this->daemons[this->Draw(this->daemons.size())];
  const bool is_vacant = std::any_of(
      this->daemons.begin(), this->daemons.end(), [&](const Daemon& daemon) {
        return daemon.lost_tokens.contains(authority.token);
      });
  if (!this->MayTakeAuthority(successor) || successor.id == authority.daemon) {
    if (!is_vacant) return;
    this->At(this->now + milliseconds(150),
             [this, group] { this->AssignAuthority(group); });
    return;
  }
  authority.token = FencingToken(this->log_state.next_offset.value);
  authority.daemon = successor.id;
  const milliseconds wait = this->settings.checks_tokens
                                ? milliseconds(0)
                                : kMandateDuration + kMandateDuration;
  this->active_from[group] = this->now + wait;
  this->Publish();
}

// A daemon that started after a shard moved does not know the earlier owner. It
// may take authority once the ids from before the move have expired.
bool RouterSimulation::MayTakeAuthority(const Daemon& daemon) const {
  return daemon.last_unseen_move == MonotonicTime::min() ||
         daemon.last_unseen_move + kIdMemory + kIdMemory < this->now;
}

void RouterSimulation::MoveShard(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  const ShardId shard(static_cast<std::uint32_t>(this->Draw(kShardCount)));
  const ShardState& state = this->log_state.shards[kService][shard.value];
  Upstream* from = this->AliveInstance(state.owner->id);
  if (from == nullptr || from->ref != *state.owner) return;
  if (from->running_shards.contains(shard)) return;
  Upstream* to = this->OtherUpstream(*from);
  if (to == nullptr) return;
  from->granted.erase(shard);
  this->AssignOwner(shard, to->ref);
}

void RouterSimulation::FreezeUpstream(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  Upstream& target = this->upstreams[this->Draw(this->upstreams.size())];
  if (target.frozen_until <= this->now) target.frozen_since = this->now;
  target.frozen_until =
      std::max(target.frozen_until, this->now + milliseconds(this->Draw(1000)));
}

void RouterSimulation::DrainUpstream(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  Upstream& target = this->upstreams[this->Draw(this->upstreams.size())];
  target.is_draining = true;
  this->At(this->now + milliseconds(this->Draw(1500)),
           [&target] { target.is_draining = false; });
}

void RouterSimulation::ReplaceUpstream(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  Upstream* old =
      this->AliveInstance(UpstreamId("u" + std::to_string(this->Draw(4))));
  old->is_dead = true;
  Upstream& replacement = this->upstreams.emplace_back();
  replacement.ref = {
      old->ref.id, UpstreamInstance("i" + std::to_string(this->next_number++))};
  replacement.group = old->group;
  replacement.clock_offset = milliseconds(this->Draw(1'000'000));
  for (std::uint32_t i = 0; i < kShardCount; ++i) {
    if (this->log_state.shards[kService][i].owner != old->ref) continue;
    const Upstream* new_owner = this->OtherUpstream(replacement);
    this->AssignOwner(ShardId(i),
                      new_owner == nullptr ? replacement.ref : new_owner->ref);
  }
}

}  // namespace bamboorack::daemon
