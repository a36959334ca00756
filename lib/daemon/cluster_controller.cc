#include "bamboorack/daemon/cluster_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStatusInterval{200};
constexpr milliseconds kStateRequestInterval{500};
// The appender gives up on a record that is not in the log after this time.
constexpr milliseconds kAppendTimeout{2000};
// Time for which a planned stop waits for other daemons to take the groups.
constexpr milliseconds kHandoverTimeout{3000};
// Ids of control calls are (prefix << 32) | number. Each held group has its own
// prefix; prefix 0 belongs to the router.
constexpr unsigned kCallIdPrefixShift = 32;

std::uint64_t CallIdPrefixOf(ControlCallId id) {
  return id.value >> kCallIdPrefixShift;
}

/// Counts the shards owned by `upstream` for which it has confirmed the grant.
std::uint32_t CountGranted(const RoutingTable& table,
                           const LocalUpstream& upstream) {
  const ServiceName& service = upstream.group.service;
  const auto granted = table.granted.find(service);
  const auto shards = table.state->shards.find(service);
  if (granted == table.granted.end() || shards == table.state->shards.end()) {
    return 0;
  }
  const std::size_t total =
      std::min(granted->second.size(), shards->second.size());
  std::uint32_t count = 0;
  for (std::size_t i = 0; i < total; ++i) {
    if (granted->second[i] && shards->second[i].owner == upstream.ref) ++count;
  }
  return count;
}

std::vector<operators::UpstreamStatus> StatusOfUpstreams(
    const RoutingTable& table) {
  using operators::GrantState;
  std::vector<operators::UpstreamStatus> all;
  for (const auto& [ref, upstream] : table.local_upstreams) {
    const std::uint32_t count = CountGranted(table, upstream);
    GrantState state = count > 0 ? GrantState::kGranted : GrantState::kNone;
    if (!upstream.accepts_work) state = GrantState::kDraining;
    all.push_back({ref, upstream.group, state, count});
  }
  return all;
}

}  // namespace

ClusterController::ClusterController(DaemonIdentity daemon_identity,
                                     milliseconds retention, Rings& all_rings,
                                     operators::StatusHolder& status_holder,
                                     Metrics& registry,
                                     std::function<RecordId()> record_ids)
    : identity(std::move(daemon_identity)),
      rings(all_rings),
      status(status_holder),
      metrics(registry),
      next_record_id(std::move(record_ids)),
      log(retention, registry),
      election(this->identity.id, this->identity.instance,
               this->next_record_id) {}

void ClusterController::Step(MonotonicTime now) {
  this->ProcessOperatorCommands(now);
  this->ProcessLogMessages(now);
  this->ProcessVmLists();
  this->ProcessPeerMessages(now);
  this->ProcessControlResults(now);
  this->RequestMissingState(now);
  if (this->log.HasState()) {
    this->SyncPeers();
    this->SyncAuthorities(now);
    this->RunElection(now);
    this->TickAuthorities(now);
    this->SendHeartbeats(now);
    if (std::exchange(this->must_publish_table, false)) this->PublishTable(now);
    auto piece = this->log.NextSnapshotPiece(this->IsSnapshotWriter(), now,
                                             this->next_record_id);
    if (piece) this->Append(std::move(*piece), now);
  }
  this->PublishStatus(now);
}

void ClusterController::ProcessOperatorCommands(MonotonicTime now) {
  while (this->rings.operator_to_control.TryPop()) this->BeginStop(now);
}

void ClusterController::ProcessLogMessages(MonotonicTime now) {
  while (auto message = this->rings.log_to_control.TryPop()) {
    this->log.OnMessage(*message, now, this->MakeVerdictHandler(now));
  }
}

LogFollower::VerdictHandler ClusterController::MakeVerdictHandler(
    MonotonicTime now) {
  return [this, now](const LogRecord& record, Verdict verdict) {
    this->HandleVerdict(record, verdict, now);
  };
}

void ClusterController::HandleVerdict(const LogRecord& record, Verdict verdict,
                                      MonotonicTime now) {
  if (verdict != Verdict::kAccepted) {
    this->metrics.Count("records_" + std::string(NameOf(verdict)));
    return;
  }
  this->metrics.Count("records_accepted");
  if (const auto* taken = std::get_if<AuthorityTaken>(&record.record.body)) {
    LOG(INFO) << "event=authority_taken group=" << taken->group
              << " daemon=" << taken->daemon << " token=" << record.offset
              << " cause=" << NameOf(taken->cause);
  }
  if (std::holds_alternative<InventoryPublished>(record.record.body)) {
    LOG(INFO) << "event=inventory_in_force revision=" << record.offset;
  }
  if (std::holds_alternative<RulesPublished>(record.record.body)) {
    LOG(INFO) << "event=rules_in_force revision=" << record.offset;
  }
  if (const auto* assigned = std::get_if<ShardsAssigned>(&record.record.body)) {
    this->RecordNewOwners(*assigned, now);
    LOG(INFO) << "event=shards_assigned group=" << assigned->group
              << " token=" << assigned->token << " offset=" << record.offset
              << " shards=" << assigned->changes.size()
              << " cause=" << NameOf(assigned->cause)
              << " proof=" << NameOf(assigned->proof);
  }
}

void ClusterController::RecordNewOwners(const ShardsAssigned& assigned,
                                        MonotonicTime now) {
  for (const ShardChange& change : assigned.changes) {
    if (change.to) this->known_since.emplace(*change.to, now);
  }
}

void ClusterController::ProcessVmLists() {
  while (auto message = this->rings.vm_list_to_control.TryPop()) {
    const auto* list = std::get_if<vm_list::ListRead>(&*message);
    if (list == nullptr) {
      this->metrics.Count("vm_list_read_failures");
      continue;
    }
    this->membership.OnList(*list);
    this->has_new_vm_list = true;
  }
}

void ClusterController::ProcessPeerMessages(MonotonicTime now) {
  // Indexed by the alternatives of `PeerToControl`.
  static constexpr std::array<PeerMessageHandler,
                              std::variant_size_v<peer::PeerToControl>>
      kHandlers = {&ClusterController::OnPeerHeard,
                   &ClusterController::OnStateRequested,
                   &ClusterController::OnStateReceived};
  while (auto message = this->rings.peer_to_control.TryPop()) {
    (this->*kHandlers.at(message->index()))(*message, now);
  }
}

void ClusterController::OnPeerHeard(peer::PeerToControl& message,
                                    MonotonicTime) {
  const auto& heard = std::get<peer::PeerHeard>(message);
  MonotonicTime& last = this->last_heard[heard.daemon];
  last = std::max(last, heard.at);
}

void ClusterController::OnStateRequested(peer::PeerToControl& message,
                                         MonotonicTime) {
  if (!this->log.HasState()) return;
  peer::SendState state{std::get<peer::StateRequested>(message).from,
                        this->log.State().next_offset,
                        this->log.EncodedSnapshot()};
  if (!this->rings.to_peer.TryPush(std::move(state))) {
    this->metrics.Count("states_dropped");
  }
}

void ClusterController::OnStateReceived(peer::PeerToControl& message,
                                        MonotonicTime now) {
  const auto& received = std::get<peer::StateReceived>(message);
  if (!this->log.RestoreSnapshot(*received.body, this->MakeVerdictHandler(now)))
    return;
  LOG(INFO) << "event=state_taken_from_peer peer=" << received.from
            << " covers_before=" << received.covers_before;
}

void ClusterController::RequestMissingState(MonotonicTime now) {
  if (!this->log.NeedsPeerState(now) || now < this->next_state_request) return;
  this->next_state_request = now + kStateRequestInterval;
  for (const auto& [daemon, endpoint] : this->peers) {
    if (!this->rings.to_peer.TryPush(peer::RequestState{daemon})) return;
  }
}

void ClusterController::ProcessControlResults(MonotonicTime now) {
  while (auto result = this->rings.upstream_to_control.TryPop()) {
    this->must_publish_table = true;
    for (auto& [group, held_group] : this->held_groups) {
      if (held_group.call_id_prefix != CallIdPrefixOf(result->id)) continue;
      this->QueueOutput(held_group.authority.OnControlResult(
                            this->MakeInput(now), *result, now),
                        now);
    }
  }
}

void ClusterController::SyncPeers() {
  const ClusterState& state = this->log.State();
  if (state.inventory_revision == this->peers_revision) return;
  std::map<DaemonId, Endpoint> new_peers;
  for (const DaemonEntry& daemon : state.inventory.daemons) {
    if (daemon.id == this->identity.id) continue;
    new_peers.emplace(daemon.id, daemon.peer_endpoint);
  }
  if (!this->rings.to_peer.TryPush(peer::SetPeers{new_peers})) return;
  this->peers = std::move(new_peers);
  this->peers_revision = state.inventory_revision;
}

void ClusterController::SyncAuthorities(MonotonicTime now) {
  std::erase_if(this->held_groups, [](const auto& entry) {
    return entry.second.authority.IsSuperseded();
  });
  for (const auto& [group, authority] : this->log.State().authorities) {
    const bool is_this_process =
        authority.daemon == this->identity.id &&
        authority.daemon_instance == this->identity.instance &&
        authority.token.value != 0;
    if (!is_this_process || this->held_groups.contains(group)) continue;
    const std::uint64_t prefix = ++this->last_call_id_prefix;
    this->held_groups.emplace(
        group,
        HeldGroup{prefix, upstream::GroupAuthority(
                              group, this->identity.id, authority.token,
                              this->log.HadPredecessor(group), now,
                              ControlCallId((prefix << kCallIdPrefixShift) + 1),
                              this->next_record_id)});
  }
}

void ClusterController::RunElection(MonotonicTime now) {
  if (this->IsStopping()) return;
  for (Record& record :
       this->election.Tick(this->log.State(), this->last_heard,
                           this->log.HasLogContact(now), now)) {
    this->Append(std::move(record), now);
  }
}

void ClusterController::SendHeartbeats(MonotonicTime now) {
  if (now < this->next_heartbeat) return;
  this->next_heartbeat = now + upstream::kHeartbeatInterval;
  const LogOffset position = this->log.State().next_offset;
  for (const DaemonId& target :
       this->election.HeartbeatTargets(this->log.State())) {
    if (target == this->identity.id) continue;
    if (!this->rings.to_peer.TryPush(peer::SendHeartbeat{target, position})) {
      this->metrics.Count("heartbeats_dropped");
    }
  }
}

void ClusterController::TickAuthorities(MonotonicTime now) {
  const LogOffset position = this->log.State().next_offset;
  const bool is_due = now >= this->next_authority_tick ||
                      position != this->last_tick_offset ||
                      this->has_new_vm_list;
  if (!is_due) return;
  this->next_authority_tick = now + kTickInterval;
  this->last_tick_offset = position;
  this->has_new_vm_list = false;
  for (auto& [group, held_group] : this->held_groups) {
    this->QueueOutput(held_group.authority.Tick(this->MakeInput(now), now),
                      now);
  }
  this->must_publish_table = true;
}

upstream::AuthorityInput ClusterController::MakeInput(MonotonicTime now) const {
  return upstream::AuthorityInput{this->log.State(),
                                  this->log.LastHeadContact(),
                                  this->log.HasLogContact(now),
                                  this->membership.View(), &this->known_since};
}

void ClusterController::QueueOutput(upstream::AuthorityOutput output,
                                    MonotonicTime now) {
  for (upstream::ControlCall& call : output.calls) {
    if (!this->rings.to_upstream.TryPush(std::move(call))) {
      // The authority retries when its deadline for the call expires.
      this->metrics.Count("control_calls_dropped");
    }
  }
  for (Record& record : output.appends) this->Append(std::move(record), now);
}

void ClusterController::Append(Record record, MonotonicTime now) {
  this->metrics.Count("appends");
  log_service::AppendRequest request{std::move(record), now + kAppendTimeout};
  if (!this->rings.appends.TryPush(std::move(request))) {
    this->metrics.Count("appends_dropped");
  }
}

void ClusterController::PublishTable(MonotonicTime now) {
  if (this->log.ConsumeStateChanged() || this->shared_state == nullptr) {
    this->shared_state =
        std::make_shared<const ClusterState>(this->log.State());
  }
  auto table = std::make_shared<RoutingTable>();
  table->state = this->shared_state;
  const upstream::AuthorityInput input = this->MakeInput(now);
  for (const auto& [group, held_group] : this->held_groups) {
    held_group.authority.AddToRoutingTable(input, *table);
  }
  this->last_table = table;
  if (!this->rings.tables.TryPush(std::move(table))) {
    this->metrics.Count("tables_dropped");
  }
}

void ClusterController::PublishStatus(MonotonicTime now) {
  if (now < this->next_status) return;
  this->next_status = now + kStatusInterval;
  auto snapshot = std::make_shared<operators::StatusSnapshot>();
  snapshot->daemon = this->identity.id;
  snapshot->instance = this->identity.instance;
  snapshot->taken_at = now;
  snapshot->is_draining = this->IsStopping();
  if (this->log.LastHeadContact() != MonotonicTime()) {
    snapshot->log_contact = this->log.LastHeadContact();
  }
  snapshot->state = this->shared_state;
  snapshot->peers_last_heard = this->last_heard;
  for (const auto& [group, authority] : this->log.State().authorities) {
    if (!this->held_groups.contains(group)) continue;
    snapshot->groups.push_back({group, authority.token});
  }
  if (this->last_table != nullptr) {
    snapshot->upstreams = StatusOfUpstreams(*this->last_table);
  }
  this->status.Set(std::move(snapshot));
}

void ClusterController::BeginStop(MonotonicTime now) {
  if (this->IsStopping()) return;
  this->handover_deadline = now + kHandoverTimeout;
  LOG(INFO) << "event=planned_stop groups=" << this->held_groups.size();
  for (Record& record : this->election.ReleaseAuthorities(
           this->log.State(), this->last_heard, now)) {
    this->Append(std::move(record), now);
  }
}

bool ClusterController::HoldsAnyGroup() const {
  const auto& authorities = this->log.State().authorities;
  return std::any_of(
      authorities.begin(), authorities.end(), [this](const auto& entry) {
        return entry.second.daemon == this->identity.id &&
               entry.second.daemon_instance == this->identity.instance;
      });
}

bool ClusterController::IsSnapshotWriter() const {
  const auto& authorities = this->log.State().authorities;
  return !authorities.empty() &&
         this->held_groups.contains(authorities.begin()->first);
}

bool ClusterController::IsHandedOver(MonotonicTime now) const {
  if (!this->IsStopping()) return false;
  return !this->HoldsAnyGroup() || now >= this->handover_deadline;
}

}  // namespace bamboorack::daemon
