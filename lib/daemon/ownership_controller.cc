#include "bamboorack/daemon/ownership_controller.h"

#include <algorithm>

#include "bamboorack/core/text_of.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using upstream::RangeLeadership;

constexpr milliseconds kPlanInterval{250};
constexpr milliseconds kBeatInterval{150};
// Owner changes within this interval are published together.
constexpr milliseconds kPublishInterval{60};
// A leader that cannot reach more than this share of the upstreams for this
// long steps down in favor of a daemon that may reach them.
constexpr double kMaxUnreachableShare = 0.5;
constexpr milliseconds kUnreachableTimeout{700};
// Older load reports do not reflect the current state.
constexpr seconds kMaxReportAge{1};
constexpr std::size_t kMaxKnownDepartures = 8'192;

std::string MillisecondsText(std::chrono::nanoseconds span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

std::string IdOf(const std::optional<UpstreamRun>& run) {
  return run ? run->id.value : std::string();
}

}  // namespace

OwnershipController::OwnershipController(
    Identity own_identity, const upstream::RangeLeases& range_leases,
    std::shared_ptr<const log_service::StateDocuments> state_documents,
    Metrics& metrics_registry, MonotonicTime start)
    : identity(std::move(own_identity)),
      documents(std::move(state_documents)),
      metrics(metrics_registry),
      leadership(this->identity.daemon, this->identity.instance, start,
                 this->identity.claim_delay),
      lease_manager(range_leases),
      evacuations(this->identity.evacuation_time),
      next_directory_call(start) {}

OwnershipActions OwnershipController::TakeActions() {
  if (std::exchange(this->has_new_tables, false)) {
    this->actions.emplace_back(this->tables);
  }
  return std::exchange(this->actions, {});
}

void OwnershipController::LogEvent(
    EventKind kind, std::string name,
    std::vector<std::pair<std::string, std::string>> fields) {
  this->actions.emplace_back(
      ControlEvent{kind, std::move(name), std::move(fields)});
}

void OwnershipController::PublishUpstreams() {
  auto entries = this->registry.Entries();
  this->lease_manager.SetUpstreams(entries, this->now);
  this->tables.upstreams =
      std::make_shared<const std::vector<RegisteredUpstream>>(
          std::move(entries));
  this->has_new_tables = true;
  this->LogColdUpstreams();
  this->IndexUpstreams();
  const bool is_announced =
      this->tables.owners &&
      this->tables.owners->version == this->announced_version;
  if (is_announced) this->ApplyAnnouncedOwners();
}

OwnershipActions OwnershipController::OnControlResult(
    const upstream::ControlResult& result, MonotonicTime time) {
  this->now = time;
  this->lease_manager.OnResult(result, time);
  this->UpdateLeadership();
  return this->TakeActions();
}

OwnershipActions OwnershipController::OnGossip(const peer::Gossip& message,
                                               MonotonicTime time) {
  this->now = time;
  if (const auto* report = std::get_if<peer::LoadReport>(&message)) {
    this->OnLoadReport(*report);
  } else if (const auto* relay = std::get_if<peer::RecordRelay>(&message)) {
    this->OnRecordRelay(*relay);
  } else {
    this->OnLeaderBeat(std::get<peer::LeaderBeat>(message));
  }
  return this->TakeActions();
}

void OwnershipController::OnLoadReport(const peer::LoadReport& report) {
  PeerContact& contact = this->peer_contacts[report.sender];
  contact.last_report = this->now;
  if (report.log_contact_age) {
    contact.log_contact = this->now - *report.log_contact_age;
  }
  this->LearnWork(report);
  this->MarkDepartures(report.departures);
  if (this->leadership.GetRole() != RangeLeadership::Role::kLeader) return;
  for (const peer::KeyDemand& demand : report.demands) {
    // A name that the desired state lacks must not take memory.
    const ServiceSpec* service =
        this->tables.desired ? this->tables.desired->FindService(demand.service)
                             : nullptr;
    if (service == nullptr || !service->is_sharded) continue;
    upstream::ServiceKeyLoad& load = this->key_loads[demand.service];
    for (const ShardKey key : demand.keys) load.Add(key, 1);
  }
}

void OwnershipController::MarkDepartures(
    const std::vector<peer::UpstreamDeparture>& departures) {
  // Forgotten ones only cost another search.
  if (this->known_departures.size() > kMaxKnownDepartures) {
    this->known_departures.clear();
  }
  for (const peer::UpstreamDeparture& departure : departures) {
    // Every daemon repeats it, and each one is looked for among all upstreams.
    if (this->known_departures.contains(departure)) continue;
    for (const RegisteredUpstream& entry : this->registry.Entries()) {
      const bool is_match = peer::HashOf(entry.run.id) == departure.upstream &&
                            entry.run.life == departure.life;
      if (!is_match) continue;
      this->known_departures.insert(departure);
      this->registry.MarkLeaving(entry.run);
      this->LogEvent(
          EventKind::kBelief, "upstream_leaving",
          {{"upstream", entry.run.id.value},
           {"life", TextOf(entry.run.life)},
           {"registry_says_draining", entry.is_draining ? "true" : "false"}});
    }
  }
}

void OwnershipController::OnLeaderBeat(const peer::LeaderBeat& beat) {
  if (beat.lapsed) {
    const bool is_new = !this->lease_statement ||
                        this->lease_statement->log_end != beat.lapsed->log_end;
    if (is_new) {
      this->LogEvent(
          EventKind::kOwnership, "lapse_heard",
          {{"from", beat.sender.value},
           {"log_end", TextOf(beat.lapsed->log_end)},
           {"leases_left_ms", MillisecondsText(beat.lapsed->leases_left)}});
    }
    this->lease_statement = beat.lapsed;
    this->statement_leases_end = this->now + beat.lapsed->leases_left;
    this->leadership.OnMandateLapseStated(beat.lapsed->log_end);
    this->leadership.OnLeaderResigned(beat.version.term, this->now);
    return;
  }
  if (beat.has_resigned) {
    this->leadership.OnLeaderResigned(beat.version.term, this->now);
    return;
  }
  this->leadership.OnLeaderMessage(beat.version.term, this->now);
  if (this->MergeAnnouncedOwners(beat)) this->ApplyAnnouncedOwners();
}

bool OwnershipController::MergeAnnouncedOwners(const peer::LeaderBeat& beat) {
  if (!beat.owners || beat.version <= this->announced_version) return false;
  if (!beat.since) {
    this->announced_owners = *beat.owners;
    this->announced_version = beat.version;
    return true;
  }
  const bool knows_base = this->announced_version.term == beat.version.term &&
                          this->announced_version.change >= *beat.since;
  if (!knows_base) {
    this->metrics.Count("owner_changes_missed");
    return false;
  }
  peer::Overlay(this->announced_owners, *beat.owners);
  this->announced_version = beat.version;
  return true;
}

void OwnershipController::ApplyAnnouncedOwners() {
  if (!this->tables.upstreams) return;
  const bool is_older = this->tables.owners &&
                        this->announced_version < this->tables.owners->version;
  if (is_older) return;
  this->tables.owners = std::make_shared<const OwnerMap>(
      peer::FromHashed(this->announced_version, this->announced_owners,
                       *this->tables.upstreams));
  this->has_new_tables = true;
}

OwnershipActions OwnershipController::OnSuspended(
    std::chrono::nanoseconds length, MonotonicTime time) {
  this->now = time;
  this->leadership.OnSuspended(time);
  this->evacuations.OnSuspended(length);
  this->PublishEvacuations();
  this->LogEvent(
      EventKind::kProcess, "suspended",
      {{"for_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(length).count())}});
  return this->TakeActions();
}

OwnershipActions OwnershipController::Tick(MonotonicTime time) {
  this->now = time;
  this->LogWarmUpstreams();
  if (this->registry.Update(time)) this->PublishUpstreams();
  this->UpdateLeadership();
  this->CallStore();
  return this->TakeActions();
}

void OwnershipController::UpdateLeadership() {
  const RangeLeadership::Role role = this->leadership.GetRole();
  if (auto record = this->leadership.TakePredecessor()) {
    const MonotonicTime leases_end = this->PredecessorLeasesEnd(*record);
    this->lease_manager.TakeOver(*record, this->leadership.OwnTerm(),
                                 leases_end, this->now);
    this->saved_change = 0;
    this->sent_change = 0;
    this->unreachable_since.reset();
    // Entries may have come and gone while another daemon relayed them.
    this->relayed_entries.clear();
    this->LogEvent(
        EventKind::kOwnership, "leadership_taken",
        {{"term", TextOf(this->leadership.OwnTerm())},
         {"from", record->leader.value},
         {"from_term", TextOf(record->term)},
         {"log_end", TextOf(this->leadership.PredecessorEnd())},
         {"released", record->is_released ? "true" : "false"},
         {"leases_left_ms", MillisecondsText(leases_end - this->now)}});
  }
  if (role != this->previous_role) {
    this->previous_role = role;
    if (role == RangeLeadership::Role::kFollower) {
      this->LogEvent(EventKind::kOwnership, "leadership_lost",
                     {{"term", TextOf(this->leadership.OwnTerm())}});
      this->ForgetEvacuationProgress();
      this->ForgetPlanGauges();
    }
  }
  this->metrics.SetGauge("is_leader",
                         role == RangeLeadership::Role::kLeader ? 1 : 0);
  if (!this->leadership.MaySendCalls(this->now)) {
    if (role == RangeLeadership::Role::kLeader) this->AnnounceLapse();
    return;
  }
  if (this->tables.desired) {
    std::vector<ServiceName> sharded;
    for (const ServiceSpec& service : this->tables.desired->services) {
      if (service.is_sharded) sharded.push_back(service.name);
    }
    this->lease_manager.SetServices(sharded);
  }
  this->RequestLogRead();
  if (this->now >= this->next_plan && !this->is_stopping) {
    this->next_plan = this->now + kPlanInterval;
    this->PlanMoves();
    this->ReportEvacuations();
    this->CheckReachability();
  }
  for (upstream::ControlCall& call :
       this->lease_manager.Step(this->saved_change,
                                this->leadership.MustExtendLeases(this->now) &&
                                    this->IsCommonOutage(),
                                this->now)) {
    // A successor may send calls soon after the mandate has ended, so a call
    // must not wait for a connection beyond that time.
    call.send_before = this->leadership.MandateUntil();
    this->actions.emplace_back(std::move(call));
  }
  this->LogRangeEvents();
  this->PublishOwners();
}

MonotonicTime OwnershipController::PredecessorLeasesEnd(
    const upstream::OwnershipRecord& record) const {
  const MonotonicTime latest = this->lease_manager.LeaseEndBound(this->now);
  if (record.is_released) {
    return std::min(latest, this->newest_record_read_at + record.leases_left);
  }
  // The log end has moved on if the leader has renewed its mandate since its
  // statement, which is then no longer valid.
  const bool is_current =
      this->lease_statement &&
      this->lease_statement->log_end == this->leadership.PredecessorEnd();
  return is_current ? std::min(latest, this->statement_leases_end) : latest;
}

bool OwnershipController::IsCommonOutage() const {
  std::size_t recently_heard = 0;
  std::size_t in_contact = 0;
  for (const auto& [daemon, contact] : this->peer_contacts) {
    if (daemon == this->identity.daemon) continue;
    if (this->now - contact.last_report > kMaxReportAge) continue;
    ++recently_heard;
    if (contact.log_contact > this->leadership.LastRenewal()) ++in_contact;
  }
  return recently_heard == 0 || in_contact * 2 < recently_heard;
}

void OwnershipController::AnnounceLapse() {
  if (this->now < this->next_beat) return;
  this->LogRangeEvents();
  const MonotonicTime end = this->lease_manager.LatestGrantedLeaseEnd();
  if (end <= this->now) return;
  this->next_beat = this->now + kBeatInterval;
  const LogOffset log_end = this->leadership.ExpectedEnd();
  if (std::exchange(this->announced_lapse_end, log_end) != log_end) {
    this->LogEvent(EventKind::kOwnership, "lapse_stated",
                   {{"term", TextOf(this->leadership.OwnTerm())},
                    {"log_end", TextOf(log_end)},
                    {"leases_left_ms", MillisecondsText(end - this->now)}});
  }
  peer::LeaderBeat beat;
  beat.sender = this->identity.daemon;
  beat.version = this->announcer.Version();
  beat.lapsed =
      peer::LeaseStatement{this->leadership.ExpectedEnd(),
                           std::chrono::ceil<milliseconds>(end - this->now)};
  this->actions.emplace_back(peer::ToGossip(std::move(beat)));
}

void OwnershipController::CheckReachability() {
  const bool is_lost =
      this->lease_manager.UnreachableShare(this->now) > kMaxUnreachableShare;
  if (!is_lost) {
    this->unreachable_since.reset();
    return;
  }
  if (!this->unreachable_since) this->unreachable_since = this->now;
  if (this->now - *this->unreachable_since < kUnreachableTimeout) return;
  if (this->known_daemons < 2) return;
  this->must_step_down = true;
}

std::vector<upstream::RangeCandidate> OwnershipController::Candidates(
    const ServiceName& service) {
  std::vector<upstream::RangeCandidate> candidates;
  std::vector<upstream::RangeCandidate> cold;
  if (!this->tables.upstreams) return candidates;
  for (const RegisteredUpstream& entry : *this->tables.upstreams) {
    if (entry.service != service || entry.is_draining) continue;
    if (this->evacuations.Contains(entry.failure_domain)) continue;
    if (this->lease_manager.IsUnreachable(entry.run, this->now)) continue;
    auto& suited = this->IsTooColdForKeys(entry) ? cold : candidates;
    suited.push_back(
        {entry.run, entry.slots * this->SpeedOf(entry.run), entry.slots});
  }
  this->KeepColdIfMost(candidates, cold);
  return candidates;
}

void OwnershipController::PublishOwners() {
  if (this->lease_manager.HasNewOwnerMap() &&
      this->now >= this->next_publication) {
    this->next_publication = this->now + kPublishInterval;
    this->tables.owners = std::make_shared<const OwnerMap>(
        this->lease_manager.ToOwnerMap(this->now));
    this->has_new_tables = true;
    this->announcer.Update(*this->tables.owners);
    this->next_beat = this->now;
  }
  if (this->now < this->next_beat) return;
  this->next_beat = this->now + kBeatInterval;
  this->SendBeat();
}

void OwnershipController::SendBeat() {
  this->actions.emplace_back(
      peer::ToGossip(this->announcer.Next(this->identity.daemon, this->now)));
}

void OwnershipController::LogControlCallEvents() {
  for (const upstream::ControlCallEvent& event :
       this->lease_manager.TakeCallEvents()) {
    this->LogEvent(EventKind::kOrder, std::string(event.name),
                   {{"order", TextOf(event.id)},
                    {"service", event.service.value},
                    {"keys", TextOf(event.range)},
                    {"upstream", event.upstream.value},
                    {"token", TextOf(event.token)},
                    {"lease_ms", std::to_string(event.lease.count())},
                    {"since_sent_ms", MillisecondsText(event.since_sent)},
                    {"may_hold_ms", MillisecondsText(event.may_hold_for)},
                    {"error", std::string(event.error)},
                    {"status", std::to_string(event.status)}});
  }
}

void OwnershipController::LogRangeEvents() {
  this->LogControlCallEvents();
  for (const upstream::RangeEvent& event :
       this->lease_manager.TakeRangeEvents()) {
    this->LogEvent(EventKind::kOwnership, std::string(event.name),
                   {{"service", event.service.value},
                    {"keys", TextOf(event.range)},
                    {"holder", IdOf(event.holder)},
                    {"successor", IdOf(event.successor)},
                    {"token", TextOf(event.token)},
                    {"term", TextOf(this->leadership.OwnTerm())}});
  }
}

bool OwnershipController::IsHandedOver() const {
  return this->leadership.GetRole() != RangeLeadership::Role::kLeader;
}

bool OwnershipController::IsReady() const {
  if (!this->tables.desired || !this->tables.upstreams) return false;
  const auto& services = this->tables.desired->services;
  const bool needs_owners =
      std::any_of(services.begin(), services.end(),
                  [](const ServiceSpec& spec) { return spec.is_sharded; });
  return !needs_owners || this->tables.owners != nullptr;
}

}  // namespace bamboorack::daemon
