#include "bamboorack/daemon/ownership_duty.h"

#include <algorithm>
#include <sstream>

#include "bamboorack/core/json_fields.h"
#include "bamboorack/upstream/ownership_codec.h"

namespace bamboorack::daemon {
namespace {

using log_service::KeyedAppend;
using log_service::KeyedAppendFailure;
using log_service::KeyedRecords;
using log_service::ReadFailure;
using log_service::StoreCall;
using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::seconds;
using upstream::RangeLeadership;

using ReadOutcome = tl::expected<KeyedRecords, ReadFailure>;
using AppendOutcome = tl::expected<LogOffset, KeyedAppendFailure>;

constexpr std::string_view kOwnershipKey = "owners";
constexpr milliseconds kStoreLimit{450};
constexpr milliseconds kPlanEvery{250};
constexpr milliseconds kBeatEvery{150};
// Changes of owners that come together are sent together.
constexpr milliseconds kPublishEvery{60};
constexpr milliseconds kFullBeatEvery{1'000};
// The list of daemons changes only when VMs are replaced, and daemons learn of
// each other by their messages.
constexpr seconds kDirectoryEvery{12};
constexpr milliseconds kDirectoryRetry{700};
// A leader that cannot reach this share of the upstreams for this time leaves
// the duty to a daemon that may reach them.
// A read of the desired state waits for a change for 1.5 s, and may take 0.8 s
// longer on a slow log.
constexpr milliseconds kDesiredStateAge{2'300};
// More changes than this do not fit a datagram for certain.
constexpr std::size_t kMaxRelayed = 60;
constexpr double kLostShare = 0.5;
constexpr milliseconds kLostTime{700};
constexpr seconds kStepDownTime{7};
// Reports that are older say nothing of the present.
constexpr seconds kReportAge{1};
constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 2.5;

template <typename Value>
std::string TextOf(const Value& value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

std::string TextOf(const std::optional<UpstreamRun>& run) {
  return run ? run->id.value : std::string();
}

}  // namespace

OwnershipDuty::OwnershipDuty(
    Identity own_identity, const upstream::RangeLeases& range_leases,
    std::shared_ptr<const log_service::StateDocuments> state_documents,
    Metrics& registry_of_metrics, MonotonicTime start)
    : identity(std::move(own_identity)),
      documents(std::move(state_documents)),
      metrics(registry_of_metrics),
      leadership(this->identity.daemon, this->identity.instance, start),
      keeper(range_leases),
      next_directory_call(start) {}

DutyActions OwnershipDuty::Take() {
  if (std::exchange(this->has_new_tables, false)) {
    this->actions.emplace_back(this->tables);
  }
  return std::exchange(this->actions, {});
}

void OwnershipDuty::Say(
    EventKind kind, std::string what,
    std::vector<std::pair<std::string, std::string>> fields) {
  this->actions.emplace_back(
      BeliefEvent{kind, std::move(what), std::move(fields)});
}

DutyActions OwnershipDuty::OnTopic(log_service::TopicUpdate update,
                                   MonotonicTime time) {
  this->now = time;
  this->NoteStoreContact(update);
  if (!update.failure) {
    this->Relay(update);
    if (update.topic == Topic::kDesiredState) this->ApplyDesiredState(update);
    if (update.topic == Topic::kUpstreams) this->ApplyUpstreams(update);
  }
  return this->Take();
}

void OwnershipDuty::NoteStoreContact(const log_service::TopicUpdate& update) {
  const bool is_up = !update.failure;
  if (update.topic == Topic::kUpstreams && !is_up) {
    this->registry.NoteFailure(this->now);
  }
  // A relay tells of the log, but not that it can be reached from here.
  if (update.is_relayed) return;
  if (update.topic == Topic::kUpstreams && is_up) {
    this->registry.NoteContact(this->now);
    this->tables.upstreams_read = update.at;
    this->has_new_tables = this->tables.upstreams != nullptr;
  }
  const auto [known, is_new] =
      this->store_contact.try_emplace(update.topic, is_up);
  if (!is_new && known->second == is_up) return;
  known->second = is_up;
  this->Say(EventKind::kProcess, is_up ? "log_regained" : "log_lost",
            {{"topic", std::string(NameOf(update.topic))},
             {"detail", update.failure.value_or("")}});
}

bool OwnershipDuty::IsNews(const log_service::KeyedRecord& record) {
  if (!record.value) {
    this->relayed.erase(record.key);
    return true;
  }
  auto entry = this->documents->ReadUpstream(record.key, *record.value);
  if (!entry) return true;
  entry->warm_up_left = milliseconds(0);
  const auto [known, is_new] = this->relayed.try_emplace(record.key, *entry);
  if (!is_new && known->second == *entry) return false;
  known->second = std::move(*entry);
  return true;
}

void OwnershipDuty::Relay(const log_service::TopicUpdate& update) {
  const bool is_leader =
      this->leadership.GetRole() == RangeLeadership::Role::kLeader;
  if (!is_leader || update.is_relayed) return;
  peer::RecordRelay relay;
  relay.topic = static_cast<std::uint8_t>(update.topic);
  relay.from = update.from;
  relay.end = update.end;
  // A desired state may be larger than a datagram, and changes rarely.
  if (update.topic == Topic::kUpstreams && !update.is_complete) {
    relay.records.emplace();
    for (const log_service::KeyedRecord& record : update.records) {
      if (!this->IsNews(record)) continue;
      relay.records->emplace_back(record.key, record.value);
    }
    if (relay.records->size() > kMaxRelayed) relay.records.reset();
  }
  if (update.topic == Topic::kDesiredState) {
    this->desired_state_relay = relay;
    this->desired_state_read = this->now;
  } else if (this->now - this->desired_state_read < kDesiredStateAge) {
    // Its reads wait for a change, longer than relays are trusted.
    this->actions.emplace_back(peer::ToGossip(this->desired_state_relay));
  }
  this->actions.emplace_back(peer::ToGossip(std::move(relay)));
}

void OwnershipDuty::OnRelay(const peer::RecordRelay& relay) {
  if (relay.topic >= log_service::kTopicNames.size()) return;
  log_service::TopicRelay hint;
  hint.topic = static_cast<Topic>(relay.topic);
  hint.from = relay.from;
  hint.end = relay.end;
  hint.wants_read = relay.wants_read;
  hint.has_records = relay.records.has_value();
  if (relay.records) {
    for (const auto& [key, value] : *relay.records) {
      hint.records.push_back({key, value});
    }
  }
  this->actions.emplace_back(std::move(hint));
}

void OwnershipDuty::AskForContact() {
  const bool is_in_trouble = this->leadership.IsInTrouble(this->now);
  const bool asks = is_in_trouble && !this->has_asked_for_contact;
  this->has_asked_for_contact = is_in_trouble;
  if (!asks) return;
  peer::RecordRelay relay;
  relay.topic = static_cast<std::uint8_t>(Topic::kUpstreams);
  relay.wants_read = true;
  this->actions.emplace_back(peer::ToGossip(std::move(relay)));
}

void OwnershipDuty::ApplyDesiredState(const log_service::TopicUpdate& update) {
  for (const log_service::KeyedRecord& record : update.records) {
    if (record.key != this->documents->DesiredStateKey() || !record.value) {
      continue;
    }
    auto state = this->documents->ReadDesiredState(*record.value);
    if (!state) {
      this->metrics.Count("desired_states_rejected");
      this->Say(EventKind::kBelief, "desired_state_rejected",
                {{"detail", state.error()}});
      continue;
    }
    if (this->tables.desired &&
        state->version <= this->tables.desired->version) {
      continue;
    }
    this->Say(EventKind::kBelief, "desired_state",
              {{"version", TextOf(state->version)},
               {"routes", std::to_string(state->routes.size())}});
    this->tables.desired =
        std::make_shared<const DesiredState>(std::move(*state));
    this->has_new_tables = true;
  }
}

void OwnershipDuty::ApplyUpstreams(const log_service::TopicUpdate& update) {
  std::vector<RegisteredUpstream> all;
  for (const log_service::KeyedRecord& record : update.records) {
    const UpstreamId id(record.key);
    if (!record.value) {
      this->registry.Set(id, std::nullopt, this->now);
      continue;
    }
    auto entry = this->documents->ReadUpstream(record.key, *record.value);
    if (!entry) {
      this->metrics.Count("upstream_entries_rejected");
      this->Say(EventKind::kBelief, "upstream_entry_rejected",
                {{"upstream", record.key}, {"detail", entry.error()}});
      continue;
    }
    if (update.is_complete) {
      all.push_back(std::move(*entry));
    } else {
      this->registry.Set(id, *entry, this->now);
    }
  }
  if (update.is_complete) this->registry.Replace(all, this->now);
  if (!this->tables.upstreams) this->PublishTables();
}

void OwnershipDuty::PublishTables() {
  auto entries = this->registry.Entries();
  this->keeper.SetUpstreams(entries, this->now);
  this->tables.upstreams =
      std::make_shared<const std::vector<RegisteredUpstream>>(
          std::move(entries));
  this->has_new_tables = true;
  const bool is_heard = this->tables.owners &&
                        this->tables.owners->version == this->heard_version;
  if (is_heard) this->ApplyHeardOwners();
}

DutyActions OwnershipDuty::OnStore(log_service::StoreResult result,
                                   MonotonicTime time) {
  this->now = time;
  this->is_store_busy = false;
  if (auto* read = std::get_if<ReadOutcome>(&result.outcome)) {
    if (result.topic == Topic::kOwnership) this->OnOwnershipRead(*read);
    if (result.topic == Topic::kDaemons) this->OnDaemonsRead(*read);
    return this->Take();
  }
  const auto& appended = std::get<AppendOutcome>(result.outcome);
  if (result.topic == Topic::kOwnership) {
    this->OnOwnershipAppended(appended, result.sent);
  } else {
    this->is_registered = appended.has_value();
    this->next_directory_call =
        this->now + (appended ? milliseconds(0) : kDirectoryRetry);
  }
  return this->Take();
}

void OwnershipDuty::OnOwnershipRead(const ReadOutcome& read) {
  if (!read) {
    this->metrics.Count("ownership_read_failures");
    this->leadership.OnReadFailed(this->now);
    return;
  }
  std::optional<upstream::OwnershipRecord> record;
  for (const log_service::KeyedRecord& row : read->records) {
    if (row.key != kOwnershipKey || !row.value) continue;
    auto decoded = upstream::DecodeOwnership(*row.value);
    if (!decoded) {
      this->Say(EventKind::kProcess, "ownership_record_unreadable",
                {{"detail", decoded.error()}});
      this->leadership.OnReadFailed(this->now);
      return;
    }
    record = std::move(*decoded);
  }
  if (record) this->ApplyRecordedOwners(*record);
  this->newest_record = record;
  this->newest_read = this->now;
  this->leadership.OnRead(record, read->end, this->now);
}

void OwnershipDuty::ApplyRecordedOwners(
    const upstream::OwnershipRecord& record) {
  // Change 0 is below every map that the leader of the term sends.
  const OwnerMapVersion version{record.term, 0};
  if (this->tables.owners && this->tables.owners->version >= version) return;
  OwnerMap map{version, {}};
  for (const auto& [service, rows] : record.services) {
    std::vector<OwnedRange>& ranges = map.services[service];
    for (const upstream::RecordedRange& row : rows) {
      ranges.push_back({row.range, row.successor ? std::nullopt : row.holder});
    }
  }
  this->tables.owners = std::make_shared<const OwnerMap>(std::move(map));
  this->has_new_tables = true;
}

void OwnershipDuty::OnOwnershipAppended(const AppendOutcome& appended,
                                        MonotonicTime sent) {
  if (!appended) {
    this->metrics.Count("ownership_append_failures");
    this->Say(EventKind::kOwnership, "ownership_append_failed",
              {{"detail", appended.error().detail}});
    this->leadership.OnAppendFailed(sent, this->now);
    return;
  }
  this->saved_change = std::max(this->saved_change, this->sent_change);
  this->leadership.OnAppended(*appended, sent, this->now);
  if (!this->is_release_sent) return;
  this->is_release_sent = false;
  this->wants_to_step_down = false;
  this->leadership.StepDown(this->now + kStepDownTime);
  peer::LeaderBeat beat;
  beat.sender = this->identity.daemon;
  beat.version = this->sent_version;
  beat.has_resigned = true;
  this->actions.emplace_back(peer::ToGossip(std::move(beat)));
  this->Say(EventKind::kOwnership, "leadership_released",
            {{"term", TextOf(this->leadership.OwnTerm())}});
}

void OwnershipDuty::OnDaemonsRead(const ReadOutcome& read) {
  if (!read) {
    this->next_directory_call = this->now + kDirectoryRetry;
    return;
  }
  peer::SetPeers set;
  for (const log_service::KeyedRecord& row : read->records) {
    if (!row.value) continue;
    const auto endpoint = EndpointFromText(*row.value);
    if (endpoint) set.peers.push_back(*endpoint);
  }
  this->known_daemons = set.peers.size();
  this->next_directory_call =
      this->now + (this->known_daemons > 1 ? milliseconds(kDirectoryEvery)
                                           : kDirectoryRetry);
  this->actions.emplace_back(peer::ToGossip(std::move(set)));
}

DutyActions OwnershipDuty::OnControl(const upstream::ControlResult& result,
                                     MonotonicTime time) {
  this->now = time;
  this->keeper.OnResult(result, time);
  this->Lead();
  return this->Take();
}

DutyActions OwnershipDuty::OnGossip(const peer::Gossip& message,
                                    MonotonicTime time) {
  this->now = time;
  if (const auto* report = std::get_if<peer::LoadReport>(&message)) {
    this->OnReport(*report);
  } else if (const auto* relay = std::get_if<peer::RecordRelay>(&message)) {
    this->OnRelay(*relay);
  } else {
    this->OnBeat(std::get<peer::LeaderBeat>(message));
  }
  return this->Take();
}

void OwnershipDuty::OnReport(const peer::LoadReport& report) {
  PeerContact& contact = this->peer_contacts[report.sender];
  contact.heard = this->now;
  if (report.log_contact_age) {
    contact.log_contact = this->now - *report.log_contact_age;
  }
  for (const peer::UpstreamLoad& load : report.upstreams) {
    if (load.latency_ratio <= 0) continue;
    this->latency_ratios[load.upstream][report.sender] = load.latency_ratio;
  }
  if (this->leadership.GetRole() != RangeLeadership::Role::kLeader) return;
  for (const peer::KeyDemand& demand : report.demands) {
    upstream::KeyLoad& load = this->key_loads[demand.service];
    for (const ShardKey key : demand.keys) load.Add(key, 1);
  }
}

void OwnershipDuty::OnBeat(const peer::LeaderBeat& beat) {
  if (beat.lapsed) {
    this->statement = beat.lapsed;
    this->statement_end = this->now + beat.lapsed->leases_left;
    this->leadership.OnLapseStated(beat.lapsed->log_end);
    this->leadership.OnLeaderResigned(beat.version.term, this->now);
    return;
  }
  if (beat.has_resigned) {
    this->leadership.OnLeaderResigned(beat.version.term, this->now);
    return;
  }
  this->leadership.OnLeaderHeard(beat.version.term, this->now);
  if (!beat.owners) return;
  const bool is_newer =
      !this->tables.owners || this->tables.owners->version < beat.version;
  if (!is_newer) return;
  this->heard_owners = *beat.owners;
  this->heard_version = beat.version;
  this->ApplyHeardOwners();
}

void OwnershipDuty::ApplyHeardOwners() {
  if (!this->tables.upstreams) return;
  this->tables.owners = std::make_shared<const OwnerMap>(peer::FromHashed(
      this->heard_version, this->heard_owners, *this->tables.upstreams));
  this->has_new_tables = true;
}

DutyActions OwnershipDuty::OnSuspended(std::chrono::nanoseconds length,
                                       MonotonicTime time) {
  this->now = time;
  this->leadership.OnSuspended(time);
  this->Say(EventKind::kProcess, "suspended",
            {{"for_ms",
              std::to_string(
                  std::chrono::duration_cast<milliseconds>(length).count())}});
  return this->Take();
}

DutyActions OwnershipDuty::Tick(MonotonicTime time) {
  this->now = time;
  if (this->registry.Update(time)) this->PublishTables();
  this->Lead();
  this->CallStore();
  return this->Take();
}

void OwnershipDuty::Lead() {
  const RangeLeadership::Role role = this->leadership.GetRole();
  if (auto record = this->leadership.TakePredecessor()) {
    this->keeper.TakeOver(*record, this->leadership.OwnTerm(),
                          this->PredecessorLeasesEnd(*record), this->now);
    this->saved_change = 0;
    this->sent_change = 0;
    this->unreachable_since.reset();
    this->Say(EventKind::kOwnership, "leadership_taken",
              {{"term", TextOf(this->leadership.OwnTerm())},
               {"from", record->leader.value}});
  }
  if (role != this->known_role) {
    this->known_role = role;
    if (role == RangeLeadership::Role::kFollower) {
      this->Say(EventKind::kOwnership, "leadership_lost");
    }
  }
  this->metrics.SetGauge("is_leader",
                         role == RangeLeadership::Role::kLeader ? 1 : 0);
  if (!this->leadership.MaySendOrders(this->now)) {
    if (role == RangeLeadership::Role::kLeader) this->StateLapse();
    return;
  }
  if (this->tables.desired) {
    std::vector<ServiceName> sharded;
    for (const ServiceSpec& service : this->tables.desired->services) {
      if (service.is_sharded) sharded.push_back(service.name);
    }
    this->keeper.SetServices(sharded);
  }
  this->AskForContact();
  if (this->now >= this->next_plan && !this->is_stopping) {
    this->next_plan = this->now + kPlanEvery;
    this->PlanMoves();
    this->CheckReach();
  }
  for (upstream::ControlCall& call : this->keeper.Step(
           this->saved_change,
           this->leadership.MustExtend(this->now) && this->IsCommonOutage(),
           this->now)) {
    // A successor may send orders soon after the mandate has ended, so this
    // one must not wait for a connection until then.
    call.send_before = this->leadership.MandateUntil();
    this->actions.emplace_back(std::move(call));
  }
  this->LogRangeEvents();
  this->PublishOwners();
}

MonotonicTime OwnershipDuty::PredecessorLeasesEnd(
    const upstream::OwnershipRecord& record) const {
  const MonotonicTime latest = this->keeper.LatestLeaseEnd(this->now);
  if (record.is_released) {
    return std::min(latest, this->newest_read + record.leases_left);
  }
  // The statement of a leader that has renewed since is void.
  const bool is_current =
      this->statement &&
      this->statement->log_end == this->leadership.PredecessorEnd();
  return is_current ? std::min(latest, this->statement_end) : latest;
}

bool OwnershipDuty::IsCommonOutage() const {
  std::size_t heard = 0;
  std::size_t in_contact = 0;
  for (const auto& [daemon, contact] : this->peer_contacts) {
    if (daemon == this->identity.daemon) continue;
    if (this->now - contact.heard > kReportAge) continue;
    ++heard;
    if (contact.log_contact > this->leadership.LastRenewal()) ++in_contact;
  }
  return heard == 0 || in_contact * 2 < heard;
}

void OwnershipDuty::StateLapse() {
  if (this->now < this->next_beat) return;
  const MonotonicTime end = this->keeper.LastLeaseEnd();
  if (end <= this->now) return;
  this->next_beat = this->now + kBeatEvery;
  peer::LeaderBeat beat;
  beat.sender = this->identity.daemon;
  beat.version = this->sent_version;
  beat.lapsed =
      peer::LeaseStatement{this->leadership.ExpectedEnd(),
                           std::chrono::ceil<milliseconds>(end - this->now)};
  this->actions.emplace_back(peer::ToGossip(std::move(beat)));
}

void OwnershipDuty::CheckReach() {
  const bool is_lost = this->keeper.UnreachableShare(this->now) > kLostShare;
  if (!is_lost) {
    this->unreachable_since.reset();
    return;
  }
  if (!this->unreachable_since) this->unreachable_since = this->now;
  if (this->now - *this->unreachable_since < kLostTime) return;
  if (this->known_daemons < 2) return;
  this->wants_to_step_down = true;
}

void OwnershipDuty::PlanMoves() {
  for (const auto& [service, ignored] : this->keeper.ToRecord()) {
    upstream::KeyLoad& load = this->key_loads[service];
    load.Decay(this->now);
    load.Sum();
    const auto moves = upstream::RangePlanner::Plan(
        this->keeper.Ranges(service), this->Candidates(service), load);
    for (const upstream::RangeMove& move : moves) {
      this->keeper.Move(service, move);
    }
    if (moves.empty()) continue;
    this->metrics.Count("range_moves", moves.size());
    const ShardKey hottest = load.Hottest();
    this->Say(EventKind::kOwnership, "moves_planned",
              {{"service", service.value},
               {"moves", std::to_string(moves.size())},
               {"load", TextOf(load.Total())},
               {"hottest_key", TextOf(hottest)},
               {"hottest_load", TextOf(load.Of({hottest, hottest}))}});
  }
}

std::vector<upstream::RangeCandidate> OwnershipDuty::Candidates(
    const ServiceName& service) {
  std::vector<upstream::RangeCandidate> candidates;
  if (!this->tables.upstreams) return candidates;
  for (const RegisteredUpstream& entry : *this->tables.upstreams) {
    if (entry.service != service || entry.is_draining) continue;
    if (this->keeper.IsUnreachable(entry.run, this->now)) continue;
    candidates.push_back(
        {entry.run, entry.slots * this->SpeedOf(entry.run.id)});
  }
  return candidates;
}

double OwnershipDuty::SpeedOf(const UpstreamId& id) const {
  const auto found = this->latency_ratios.find(peer::HashOf(id));
  if (found == this->latency_ratios.end() || found->second.empty()) return 1;
  double sum = 0;
  for (const auto& [daemon, ratio] : found->second) sum += ratio;
  const double mean = sum / static_cast<double>(found->second.size());
  return std::clamp(1 / mean, kMinSpeed, kMaxSpeed);
}

void OwnershipDuty::PublishOwners() {
  if (this->keeper.HasNewMap() && this->now >= this->next_publication) {
    this->next_publication = this->now + kPublishEvery;
    this->tables.owners =
        std::make_shared<const OwnerMap>(this->keeper.ToMap(this->now));
    this->has_new_tables = true;
    this->sent_version = this->tables.owners->version;
    this->next_full_beat = this->now;
    this->next_beat = this->now;
  }
  if (this->now < this->next_beat) return;
  this->next_beat = this->now + kBeatEvery;
  this->SendBeat();
}

void OwnershipDuty::SendBeat() {
  peer::LeaderBeat beat;
  beat.sender = this->identity.daemon;
  beat.version = this->sent_version;
  if (this->now >= this->next_full_beat && this->tables.owners) {
    beat.owners = peer::ToHashed(*this->tables.owners);
    this->next_full_beat = this->now + kFullBeatEvery;
  }
  this->actions.emplace_back(peer::ToGossip(std::move(beat)));
}

void OwnershipDuty::LogRangeEvents() {
  for (const upstream::RangeEvent& event : this->keeper.TakeEvents()) {
    this->Say(EventKind::kOwnership, std::string(event.what),
              {{"service", event.service.value},
               {"keys", TextOf(event.range)},
               {"holder", TextOf(event.holder)},
               {"successor", TextOf(event.successor)},
               {"token", TextOf(event.token)},
               {"term", TextOf(this->leadership.OwnTerm())}});
  }
}

void OwnershipDuty::CallStore() {
  if (this->is_store_busy) return;
  const bool is_leader =
      this->leadership.GetRole() == RangeLeadership::Role::kLeader;
  if (this->is_stopping && !is_leader) return;
  const bool has_unsaved =
      is_leader && this->keeper.Change() > this->saved_change;
  const RangeLeadership::Wish wish =
      this->leadership.Next(this->now, has_unsaved);
  if (wish == RangeLeadership::Wish::kNothing) {
    this->CallForDirectory();
    return;
  }
  this->is_store_busy = true;
  if (wish == RangeLeadership::Wish::kRead) {
    this->actions.emplace_back(StoreCall{
        this->now + kStoreLimit, log_service::ReadTopic{Topic::kOwnership}});
    return;
  }
  this->AppendOwnership(wish);
}

void OwnershipDuty::AppendOwnership(RangeLeadership::Wish wish) {
  upstream::OwnershipRecord record;
  record.term = this->leadership.OwnTerm();
  record.leader = this->identity.daemon;
  record.instance = this->identity.instance;
  if (wish == RangeLeadership::Wish::kClaim) {
    if (this->newest_record) record.services = this->newest_record->services;
    this->sent_change = 0;
  } else {
    record.change = this->keeper.Change();
    record.services = this->keeper.ToRecord();
    const bool is_calm = std::none_of(
        record.services.begin(), record.services.end(),
        [this](const auto& item) { return this->keeper.IsBusy(item.first); });
    record.is_released =
        this->wants_to_step_down || (this->is_stopping && is_calm);
    this->is_release_sent = record.is_released;
    if (record.is_released) {
      this->leadership.SuspendMandate();
      record.leases_left = std::max(
          milliseconds(0), std::chrono::ceil<milliseconds>(
                               this->keeper.LastLeaseEnd() - this->now));
    }
    this->sent_change = record.change;
  }
  this->actions.emplace_back(StoreCall{
      this->now + kStoreLimit, KeyedAppend{Topic::kOwnership,
                                           {std::string(kOwnershipKey),
                                            upstream::EncodeOwnership(record)},
                                           this->leadership.ExpectedEnd()}});
}

void OwnershipDuty::CallForDirectory() {
  if (this->is_stopping || this->now < this->next_directory_call) return;
  this->is_store_busy = true;
  if (this->is_registered) {
    this->actions.emplace_back(StoreCall{
        this->now + kStoreLimit, log_service::ReadTopic{Topic::kDaemons}});
    return;
  }
  this->actions.emplace_back(StoreCall{
      this->now + kStoreLimit,
      KeyedAppend{
          Topic::kDaemons,
          {this->identity.daemon.value, ToText(this->identity.gossip_endpoint)},
          std::nullopt}});
}

bool OwnershipDuty::IsHandedOver() const {
  return this->leadership.GetRole() != RangeLeadership::Role::kLeader;
}

bool OwnershipDuty::IsReady() const {
  if (!this->tables.desired || !this->tables.upstreams) return false;
  const auto& services = this->tables.desired->services;
  const bool needs_owners =
      std::any_of(services.begin(), services.end(),
                  [](const ServiceSpec& spec) { return spec.is_sharded; });
  return !needs_owners || this->tables.owners != nullptr;
}

}  // namespace bamboorack::daemon
