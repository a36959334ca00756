#include "upstream/simulated_daemon.h"

#include <utility>

namespace bamboorack::upstream {
namespace {

/// The log counts as reachable for this time after an answer.
constexpr std::chrono::seconds kLogContactTimeout{1};

}  // namespace

SimulatedDaemon::SimulatedDaemon(DaemonId daemon_id, int start,
                                 GroupId of_group,
                                 const OwnershipRules& proof_rules)
    : id(std::move(daemon_id)),
      instance(this->id.value + "." + std::to_string(start)),
      group(std::move(of_group)),
      rules(proof_rules),
      election(std::make_unique<AuthorityElection>(
          this->id, this->instance, [this] { return this->NextRecordId(); })) {}

RecordId SimulatedDaemon::NextRecordId() {
  return RecordId(this->instance.value + "/" +
                  std::to_string(++this->next_record));
}

AuthorityInput SimulatedDaemon::Input(MonotonicTime now) const {
  const bool has_contact =
      this->has_read && now < this->head_contact + kLogContactTimeout;
  return {this->reader.State(), this->head_contact, has_contact,
          this->membership, &this->known_since};
}

void SimulatedDaemon::UpdateAuthority(MonotonicTime now) {
  const auto found = this->reader.State().authorities.find(this->group);
  if (found == this->reader.State().authorities.end()) return;
  const AuthorityState& state = found->second;
  const bool is_own =
      state.daemon == this->id && state.daemon_instance == this->instance;
  if (state.token == this->last_token) return;
  const bool had_predecessor = this->last_token.value != 0;
  this->last_token = state.token;
  if (this->authority) this->next_call = this->authority->NextCallId();
  this->authority.reset();
  if (!is_own) return;
  this->authority.emplace(
      this->group, this->id, state.token, had_predecessor, now, this->next_call,
      [this] { return this->NextRecordId(); }, this->rules);
}

DaemonOutput SimulatedDaemon::Adapt(AuthorityOutput output) {
  return {std::move(output.calls), std::move(output.appends), {}};
}

void SimulatedDaemon::PublishTable(MonotonicTime now) {
  this->table = RoutingTable();
  if (this->authority)
    this->authority->AddToRoutingTable(this->Input(now), this->table);
}

DaemonOutput SimulatedDaemon::Tick(MonotonicTime now) {
  DaemonOutput output;
  const AuthorityInput input = this->Input(now);
  if (this->authority) output = this->Adapt(this->authority->Tick(input, now));
  if (!this->is_stopping) {
    auto takes = this->election->Tick(this->reader.State(), this->last_heard,
                                      input.has_log_contact, now);
    output.appends.insert(output.appends.end(), takes.begin(), takes.end());
  }
  output.heartbeats = this->election->HeartbeatTargets(this->reader.State());
  this->PublishTable(now);
  return output;
}

DaemonOutput SimulatedDaemon::OnControlResult(const ControlResult& result,
                                              MonotonicTime now) {
  if (!this->authority) return {};
  auto output = this->Adapt(
      this->authority->OnControlResult(this->Input(now), result, now));
  this->PublishTable(now);
  return output;
}

bool SimulatedDaemon::OnRead(const SimulatedLog& log, std::size_t count,
                             MonotonicTime sent_at, MonotonicTime now) {
  // Records are applied one at a time, because `UpdateAuthority` must see each
  // change of the group's token.
  bool is_equal = true;
  while (this->reader.State().next_offset.value <= count) {
    is_equal &=
        log.CatchUp(this->reader, this->reader.State().next_offset.value);
    this->UpdateAuthority(now);
  }
  this->head_contact = std::max(this->head_contact, sent_at);
  this->has_read = true;
  for (const auto& owner : OwnersOf(this->reader.State())) {
    if (owner) this->known_since.try_emplace(*owner, now);
  }
  this->PublishTable(now);
  return is_equal;
}

void SimulatedDaemon::OnHeartbeat(const DaemonId& from, MonotonicTime now) {
  this->last_heard[from] = now;
}

void SimulatedDaemon::OnVmList(const std::map<VmId, std::string>& vms,
                               MonotonicTime sent_at) {
  for (const auto& [vm, vm_instance] : this->listed_vms) {
    const auto found = vms.find(vm);
    if (found != vms.end() && found->second == vm_instance) continue;
    this->membership[vm].gone_seen_at = sent_at;
  }
  this->listed_vms = vms;
}

DaemonOutput SimulatedDaemon::Stop(MonotonicTime now) {
  this->is_stopping = true;
  DaemonOutput output;
  output.appends = this->election->ReleaseAuthorities(this->reader.State(),
                                                      this->last_heard, now);
  return output;
}

std::optional<UpstreamRef> SimulatedDaemon::SendTarget(
    ShardId shard, MonotonicTime now) const {
  const auto local = this->table.local_groups.find(this->group);
  if (local == this->table.local_groups.end()) return std::nullopt;
  if (now >= local->second.mandate_until) return std::nullopt;
  const auto granted = this->table.granted.find(this->group.service);
  if (granted == this->table.granted.end()) return std::nullopt;
  if (shard.value >= granted->second.size()) return std::nullopt;
  if (!granted->second[shard.value]) return std::nullopt;
  return this->reader.State().shards.at(this->group.service)[shard.value].owner;
}

}  // namespace bamboorack::upstream
