#include <algorithm>
#include <utility>

#include "daemon/router_world.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("svc");
constexpr std::uint32_t kShards = 8;
constexpr milliseconds kRefresh{100};
constexpr milliseconds kMandate{400};
constexpr milliseconds kIdMemory{5000};
/// Time until the control plane detects that an upstream is frozen.
constexpr milliseconds kNoticeFreeze{300};

}  // namespace

void RouterWorld::BuildInitialState() {
  ServiceEntry service;
  service.name = kService;
  service.checks_tokens = this->settings.checks_tokens;
  service.can_settle = this->settings.can_settle;
  service.shard_count = kShards;
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
  this->truth.inventory.services.push_back(service);
  this->truth.inventory_revision = Revision(1);
  this->truth.rules.services[kService].id_memory = kIdMemory;
  this->truth.next_offset = LogOffset(100);
  std::uint64_t token = 10;
  std::size_t index = 0;
  for (const GroupId& group : this->truth.Groups()) {
    Daemon& daemon = this->daemons[index++];
    AuthorityState authority;
    authority.token = FencingToken(token++);
    authority.daemon = daemon.id;
    this->truth.authorities[group] = authority;
    daemon.tenures[authority.token] = this->now - std::chrono::seconds(1000);
    this->acts_from[group] = this->now;
  }
  auto& shards = this->truth.shards[kService];
  for (std::uint32_t i = 0; i < kShards; ++i) {
    const Upstream& owner = this->upstreams[i % 4];
    shards.push_back({owner.group, owner.ref, LogOffset(20 + i)});
  }
  const auto state = std::make_shared<const ClusterState>(this->truth);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) this->Learn(i, state);
}

void RouterWorld::Publish() {
  ++this->truth.next_offset.value;
  const auto state = std::make_shared<const ClusterState>(this->truth);
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
void RouterWorld::ReadStates(std::size_t index) {
  Daemon& daemon = this->daemons[index];
  if (daemon.paused_until > this->now) {
    this->At(daemon.paused_until, [this, index] { this->ReadStates(index); });
    return;
  }
  auto& unread = daemon.unread;
  while (!unread.empty() && unread.front().arrives <= this->now) {
    const Unread next = unread.front();
    unread.pop_front();
    const bool is_hidden = !unread.empty() &&
                           unread.front().arrives <= this->now &&
                           unread.front().moves == next.moves;
    if (!is_hidden) this->Learn(index, next.state);
  }
}

void RouterWorld::Learn(std::size_t index,
                        std::shared_ptr<const ClusterState> state) {
  Daemon& daemon = this->daemons[index];
  for (const auto& [group, authority] : state->authorities) {
    if (authority.daemon != daemon.id) continue;
    daemon.tenures.try_emplace(authority.token, this->now);
  }
  daemon.known = std::move(state);
  this->RefreshTable(index);
}

void RouterWorld::RefreshLoop(std::size_t index) {
  this->At(this->now + kRefresh, [this, index] {
    if (this->daemons[index].paused_until <= this->now) {
      this->RefreshTable(index);
    }
    this->RefreshLoop(index);
  });
}

bool RouterWorld::MayAct(const Daemon& daemon, const GroupId& group) const {
  const AuthorityState& authority = daemon.known->authorities.at(group);
  return authority.daemon == daemon.id &&
         !daemon.lost.contains(authority.token) &&
         this->acts_from.at(group) <= this->now;
}

void RouterWorld::RefreshTable(std::size_t index) {
  Daemon& daemon = this->daemons[index];
  auto next = std::make_shared<RoutingTable>();
  next->state = daemon.known;
  next->granted[kService].assign(kShards, false);
  for (const auto& [group, authority] : daemon.known->authorities) {
    if (this->MayAct(daemon, group)) this->FillGroup(daemon, group, *next);
  }
  daemon.table = next;
  this->Carry(index, daemon.router->OnTable(std::move(next), this->now));
}

void RouterWorld::FillGroup(Daemon& daemon, const GroupId& group,
                            RoutingTable& next) {
  const FencingToken token = daemon.known->authorities.at(group).token;
  LocalGroup local;
  local.token = token;
  local.taken_at = daemon.tenures.at(token);
  if (!this->settings.checks_tokens) {
    // The head of the log shows no successor, so extend the mandate.
    if (this->truth.authorities.at(group).token == token) {
      daemon.mandates[group] = this->now + kMandate;
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

void RouterWorld::FillUpstream(const Daemon& daemon, const GroupId& group,
                               Upstream& target, RoutingTable& next) {
  const FencingToken token = daemon.known->authorities.at(group).token;
  const bool is_frozen = target.frozen_until > this->now;
  std::set<ShardId> owned;
  const auto& shards = daemon.known->shards.at(kService);
  for (std::uint32_t i = 0; i < kShards; ++i) {
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
      is_frozen && target.frozen_since + kNoticeFreeze <= this->now;
  info.accepts_work = !is_unreachable && !target.is_draining;
  info.reading = this->ReadingOf(target);
  info.reading_received = this->now;
  next.local_upstreams[target.ref] = info;
  for (const ShardId shard : target.granted) {
    if (owned.contains(shard)) next.granted[kService][shard.value] = true;
  }
}

void RouterWorld::AssignOwner(ShardId shard, const UpstreamRef& owner) {
  this->last_move = this->now;
  ++this->moves;
  ShardState& state = this->truth.shards[kService][shard.value];
  state.owner = owner;
  state.changed_at = this->truth.next_offset;
  this->Publish();
}

RouterWorld::Upstream* RouterWorld::OtherUpstream(const Upstream& than) {
  for (Upstream& candidate : this->upstreams) {
    if (candidate.group == than.group && &candidate != &than &&
        !candidate.is_dead && candidate.frozen_until <= this->now) {
      return &candidate;
    }
  }
  return nullptr;
}

void RouterWorld::TakeOver(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  auto group = this->truth.authorities.begin();
  std::advance(group, this->Draw(this->truth.authorities.size()));
  this->GiveAuthority(group->first);
}

void RouterWorld::GiveAuthority(const GroupId& group) {
  AuthorityState& authority = this->truth.authorities.at(group);
  const Daemon& taker = this->daemons[this->Draw(this->daemons.size())];
  const bool is_vacant = std::any_of(
      this->daemons.begin(), this->daemons.end(), [&](const Daemon& daemon) {
        return daemon.lost.contains(authority.token);
      });
  if (!this->MayTake(taker) || taker.id == authority.daemon) {
    if (!is_vacant) return;
    this->At(this->now + milliseconds(150),
             [this, group] { this->GiveAuthority(group); });
    return;
  }
  authority.token = FencingToken(this->truth.next_offset.value);
  authority.daemon = taker.id;
  const milliseconds wait =
      this->settings.checks_tokens ? milliseconds(0) : kMandate + kMandate;
  this->acts_from[group] = this->now + wait;
  this->Publish();
}

// A daemon that started after a shard moved does not know the earlier owner. It
// may take authority once the ids from before the move have expired.
bool RouterWorld::MayTake(const Daemon& daemon) const {
  return daemon.unseen_move == MonotonicTime::min() ||
         daemon.unseen_move + kIdMemory + kIdMemory < this->now;
}

void RouterWorld::MoveShard(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  const ShardId shard(static_cast<std::uint32_t>(this->Draw(kShards)));
  const ShardState& state = this->truth.shards[kService][shard.value];
  Upstream* from = this->AliveInstance(state.owner->id);
  if (from == nullptr || from->ref != *state.owner) return;
  if (from->running_shards.contains(shard)) return;
  Upstream* to = this->OtherUpstream(*from);
  if (to == nullptr) return;
  from->granted.erase(shard);
  this->AssignOwner(shard, to->ref);
}

void RouterWorld::FreezeUpstream(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  Upstream& target = this->upstreams[this->Draw(this->upstreams.size())];
  if (target.frozen_until <= this->now) target.frozen_since = this->now;
  target.frozen_until =
      std::max(target.frozen_until, this->now + milliseconds(this->Draw(1000)));
}

void RouterWorld::DrainUpstream(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  Upstream& target = this->upstreams[this->Draw(this->upstreams.size())];
  target.is_draining = true;
  this->At(this->now + milliseconds(this->Draw(1500)),
           [&target] { target.is_draining = false; });
}

void RouterWorld::ReplaceUpstream(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  Upstream* old =
      this->AliveInstance(UpstreamId("u" + std::to_string(this->Draw(4))));
  old->is_dead = true;
  Upstream& fresh = this->upstreams.emplace_back();
  fresh.ref = {old->ref.id,
               UpstreamInstance("i" + std::to_string(this->next_number++))};
  fresh.group = old->group;
  fresh.clock_offset = milliseconds(this->Draw(1'000'000));
  for (std::uint32_t i = 0; i < kShards; ++i) {
    if (this->truth.shards[kService][i].owner != old->ref) continue;
    const Upstream* heir = this->OtherUpstream(fresh);
    this->AssignOwner(ShardId(i), heir == nullptr ? fresh.ref : heir->ref);
  }
}

}  // namespace bamboorack::daemon
