#include <algorithm>
#include <sstream>
#include <utility>

#include "upstream/simulated_world.h"

namespace bamboorack::upstream {

using std::chrono::milliseconds;

void SimulatedWorld::PauseDaemon(int daemon) {
  this->nodes[daemon].is_paused = true;
}

void SimulatedWorld::ResumeDaemon(int daemon) {
  DaemonNode& node = this->nodes[daemon];
  if (!node.is_paused) return;
  node.is_paused = false;
  const auto inbox = std::exchange(node.inbox, {});
  const int start = node.starts;
  for (const auto& event : inbox) this->Deliver(daemon, start, event);
}

void SimulatedWorld::RestartDaemon(int daemon) {
  DaemonNode& node = this->nodes[daemon];
  const DaemonId id("d" + std::to_string(daemon));
  ++node.starts;
  node.is_paused = false;
  node.is_reading = false;
  node.holds_calls = false;
  node.inbox.clear();
  node.send_buffer.clear();
  node.daemon = std::make_unique<SimulatedDaemon>(id, node.starts, this->group,
                                                  this->options.rules);
}

void SimulatedWorld::StopDaemon(int daemon) {
  DaemonNode& node = this->nodes[daemon];
  if (node.is_paused) return;
  this->Send(daemon, node.daemon->Stop(this->ClockOf(node)));
}

void SimulatedWorld::FreezeUpstream(int upstream) {
  this->hosts[upstream].is_frozen = true;
}

void SimulatedWorld::ThawUpstream(int upstream) {
  UpstreamHost& host = this->hosts[upstream];
  host.is_frozen = false;
  for (const auto& event : std::exchange(host.deferred_calls, {})) event();
}

void SimulatedWorld::StartUpstream(int upstream) {
  UpstreamHost& host = this->hosts[upstream];
  const std::string number = std::to_string(upstream);
  ++host.starts;
  host.is_frozen = false;
  host.is_hidden = false;
  host.deferred_calls.clear();
  SimulatedUpstream process;
  process.id = UpstreamId("u" + number);
  process.vm = VmId("vm-u" + number);
  process.instance =
      UpstreamInstance("u" + number + "." + std::to_string(host.starts));
  process.checks_tokens = this->options.checks_tokens;
  process.rules = this->options.upstream_rules;
  constexpr std::int64_t kMaxDriftPpm = 1000;
  process.clock = {std::chrono::seconds(10 * host.starts),
                   upstream % 2 == 0 ? -kMaxDriftPpm : kMaxDriftPpm};
  process.lease_end = UpstreamReading(milliseconds(0));
  host.process = process;
  this->vm_history[this->now] = this->VmsNow();
}

void SimulatedWorld::KillUpstream(int upstream) {
  UpstreamHost& host = this->hosts[upstream];
  if (!host.process) return;
  this->ended_instances.push_back({host.process->id, host.process->instance});
  host.process.reset();
  host.deferred_calls.clear();
  host.is_frozen = false;
  this->vm_history[this->now] = this->VmsNow();
}

void SimulatedWorld::ReplaceUpstream(int upstream) {
  this->KillUpstream(upstream);
  ++this->hosts[upstream].vm_instances;
  this->StartUpstream(upstream);
}

void SimulatedWorld::RestartUpstream(int upstream) {
  if (!this->hosts[upstream].process) return;
  this->KillUpstream(upstream);
  this->StartUpstream(upstream);
}

void SimulatedWorld::SetDraining(int upstream, bool is_draining) {
  UpstreamHost& host = this->hosts[upstream];
  if (host.process) host.process->is_draining = is_draining;
}

void SimulatedWorld::CutDaemonFromUpstream(int daemon, int upstream,
                                           bool is_cut) {
  if (is_cut) this->upstream_cuts.insert({daemon, upstream});
  if (!is_cut) this->upstream_cuts.erase({daemon, upstream});
}

void SimulatedWorld::CutDaemons(int first, int second, bool is_cut) {
  if (is_cut) this->daemon_cuts.insert(std::minmax(first, second));
  if (!is_cut) this->daemon_cuts.erase(std::minmax(first, second));
}

void SimulatedWorld::CutDaemonFromLog(int daemon, bool is_cut) {
  if (is_cut) this->log_cuts.insert(daemon);
  if (!is_cut) this->log_cuts.erase(daemon);
}

void SimulatedWorld::HoldCalls(int daemon, bool is_held) {
  DaemonNode& node = this->nodes[daemon];
  node.holds_calls = is_held;
  if (is_held) return;
  for (const auto& event : std::exchange(node.send_buffer, {})) event();
}

void SimulatedWorld::Publish(const RecordBody& body) {
  this->log.Append(
      {RecordId("operator/" + std::to_string(++this->next_publication)), body});
}

void SimulatedWorld::PublishDrain(int upstream, bool is_drained) {
  Rules rules = this->Head().rules;
  const UpstreamId id("u" + std::to_string(upstream));
  std::erase(rules.drained_upstreams, id);
  if (is_drained) rules.drained_upstreams.push_back(id);
  this->Publish(RulesPublished{this->Head().rules_revision, rules});
}

void SimulatedWorld::PublishWeight(int upstream, double weight) {
  Inventory inventory = this->Head().inventory;
  inventory.services[0].upstreams[upstream].weight = weight;
  this->Publish(InventoryPublished{this->Head().inventory_revision, inventory});
}

void SimulatedWorld::PublishRules(const ServiceRules& service_rules) {
  Rules rules = this->Head().rules;
  rules.services[this->group.service] = service_rules;
  this->Publish(RulesPublished{this->Head().rules_revision, rules});
}

void SimulatedWorld::PublishHotKey(std::uint32_t key, bool is_hot) {
  constexpr std::uint32_t kKeys = 2;
  ServiceRules service_rules = this->RulesNow();
  const std::uint64_t hash = key % kKeys;
  std::erase_if(service_rules.hot_keys, [hash](const HotKey& hot_key) {
    return hot_key.key_hash == hash;
  });
  const ShardId shard(this->options.shards + key % kKeys);
  if (is_hot) service_rules.hot_keys.push_back({hash, shard});
  this->PublishRules(service_rules);
}

void SimulatedWorld::PublishOtherDomain() {
  Inventory inventory = this->Head().inventory;
  inventory.services[0].upstreams.push_back(
      {UpstreamId("west"), VmId("vm-west"), Endpoint{"127.0.0.1", 3},
       FailureDomain("west"), 6, 1.0});
  this->Publish(InventoryPublished{this->Head().inventory_revision, inventory});
}

void SimulatedWorld::DeclareLost(const UpstreamRef& ref) {
  this->Publish(UpstreamDeclaredLost{ref, "test"});
}

void SimulatedWorld::HideFromVmList(int upstream, bool is_hidden) {
  this->hosts[upstream].is_hidden = is_hidden;
  this->vm_history[this->now] = this->VmsNow();
}

void SimulatedWorld::Heal() {
  this->network = Network();
  this->upstream_cuts.clear();
  this->daemon_cuts.clear();
  this->log_cuts.clear();
  for (int i = 0; i < this->options.upstreams; ++i) {
    this->ThawUpstream(i);
    this->SetDraining(i, false);
    this->PublishDrain(i, false);
    this->HideFromVmList(i, false);
    if (!this->hosts[i].process) this->ReplaceUpstream(i);
  }
  for (int i = 0; i < this->options.daemons; ++i) {
    this->HoldCalls(i, false);
    this->ResumeDaemon(i);
  }
  this->DeclareEndedInstancesLost();
}

void SimulatedWorld::DeclareEndedInstancesLost() {
  for (const UpstreamRef& ref : this->ended_instances) {
    if (!this->Head().declared_lost.contains(ref)) this->DeclareLost(ref);
  }
}

int SimulatedWorld::IndexOf(const UpstreamRef& ref) const {
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    const auto& process = this->hosts[i].process;
    if (process && process->id == ref.id && process->instance == ref.instance) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

std::optional<UpstreamRef> SimulatedWorld::OwnerOf(ShardId shard) const {
  return this->Head().shards.at(this->group.service)[shard.value].owner;
}

int SimulatedWorld::Authority() const {
  const auto found = this->Head().authorities.find(this->group);
  if (found == this->Head().authorities.end()) return -1;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    const DaemonNode& node = this->nodes[i];
    if (node.daemon->Id() == found->second.daemon &&
        node.daemon->HasAuthority() && !node.is_paused) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

bool SimulatedWorld::IsServingAll() const {
  const int authority = this->Authority();
  if (authority < 0) return false;
  const DaemonNode& node = this->nodes[authority];
  for (std::uint32_t i = 0; i < this->ShardCount(); ++i) {
    const auto to = node.daemon->SendTarget(ShardId(i), this->ClockOf(node));
    if (!to || to != this->OwnerOf(ShardId(i))) return false;
    const int index = this->IndexOf(*to);
    if (index < 0 || this->hosts[index].is_frozen) return false;
    if (!this->options.checks_tokens) continue;
    if (!this->Upstream(index).Owns(ShardId(i), this->now)) return false;
  }
  return true;
}

std::vector<ShardsAssigned> SimulatedWorld::MovesSince(LogOffset offset) const {
  std::vector<ShardsAssigned> moves;
  LogReader reader;
  for (const LogRecord& record : this->log.records) {
    const bool is_accepted = reader.Apply(record) == Verdict::kAccepted;
    const auto* move = std::get_if<ShardsAssigned>(&record.record.body);
    if (!is_accepted || move == nullptr || record.offset < offset) continue;
    moves.push_back(*move);
  }
  return moves;
}

void SimulatedWorld::RecordViolation(const std::string& what) {
  if (!this->violation.empty()) return;
  std::ostringstream text;
  text << std::chrono::duration_cast<milliseconds>(this->now).count()
       << " ms: " << what;
  this->violation = text.str();
}

void SimulatedWorld::Check() {
  for (std::uint32_t i = 0; i < this->ShardCount(); ++i) {
    if (this->options.checks_tokens) this->CheckTokenOwners(ShardId(i));
    if (!this->options.checks_tokens) this->CheckPermitSenders(ShardId(i));
  }
  this->CheckOwnerHistory();
}

void SimulatedWorld::CheckTokenOwners(ShardId shard) {
  std::optional<UpstreamInstance> first;
  for (const UpstreamHost& host : this->hosts) {
    if (!host.process || !host.process->Owns(shard, this->now)) continue;
    if (first) {
      this->RecordViolation("shard " + std::to_string(shard.value) +
                            " is owned by " + first->value + " and " +
                            host.process->instance.value);
    }
    first = host.process->instance;
  }
}

void SimulatedWorld::CheckPermitSenders(ShardId shard) {
  std::optional<UpstreamRef> to;
  std::string sender;
  for (const DaemonNode& node : this->nodes) {
    const auto target = node.daemon->SendTarget(shard, this->ClockOf(node));
    if (!target) continue;
    const std::string& name = node.daemon->Id().value;
    if (to) {
      this->RecordViolation("shard " + std::to_string(shard.value) +
                            " receives work from " + sender + " and " + name);
    }
    to = target;
    sender = name;
  }
  if (!to) return;
  Sent& last = this->last_sent[shard];
  // Work sent to the previous owner may still run, so an authority sends a live
  // owner no new work for the duration of the lease before it sends work to
  // another upstream. A new authority has waited for its predecessor's permit
  // instead.
  const milliseconds kMinGap = this->RulesNow().lease * 99 / 100;
  if (last.to && last.to != to && last.sender == sender &&
      this->IndexOf(*last.to) >= 0 && this->now < last.at + kMinGap) {
    this->RecordViolation("shard " + std::to_string(shard.value) + " goes to " +
                          to->instance.value + " too soon after " +
                          last.to->instance.value);
  }
  last = {to, sender, this->now};
}

void SimulatedWorld::CheckOwnerHistory() {
  // Each accepted move must start from the owner that the previous one set.
  // This check does not rely on the offsets that the fold compares. Besides
  // moves, only published rules change owners: the shard of a hot key starts
  // with the owner of the key's previous shard.
  while (this->checked_records < this->log.history.size()) {
    const auto& record = this->log.records[this->checked_records];
    const auto& owners = this->log.history[this->checked_records];
    ++this->checked_records;
    const auto* move = std::get_if<ShardsAssigned>(&record.record.body);
    for (std::uint32_t i = 0; i < owners.size(); ++i) {
      auto& previous = this->expected_owners[ShardId(i)];
      const bool is_hot_key =
          i >= this->options.shards &&
          std::holds_alternative<RulesPublished>(record.record.body);
      if (is_hot_key) previous = owners[i];
      if (previous == owners[i]) continue;
      const auto change =
          move == nullptr
              ? std::vector<ShardChange>::const_iterator()
              : std::find_if(move->changes.begin(), move->changes.end(),
                             [i](const ShardChange& c) {
                               return c.shard == ShardId(i);
                             });
      if (move == nullptr || change == move->changes.end() ||
          change->from != previous) {
        this->RecordViolation(
            "the owner of shard " + std::to_string(i) +
            " changed without a move from its previous owner");
      }
      previous = owners[i];
    }
  }
}

}  // namespace bamboorack::upstream
