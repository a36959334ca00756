#include <algorithm>

#include "bamboorack/core/json_fields.h"
#include "bamboorack/core/text_of.h"
#include "bamboorack/daemon/ownership_controller.h"
#include "bamboorack/upstream/ownership_codec.h"

// Calls to the log for the leader election, the ownership record and the
// directory of daemons, and the handling of their results.

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
constexpr milliseconds kStoreCallTimeout{450};
// The list of daemons changes only when VMs are replaced, and daemons also
// discover each other by gossip.
constexpr seconds kDirectoryInterval{12};
constexpr milliseconds kDirectoryRetryInterval{700};
constexpr seconds kStepDownDuration{7};

}  // namespace

OwnershipActions OwnershipController::OnStoreResult(
    log_service::StoreResult result, MonotonicTime time) {
  this->now = time;
  this->is_store_busy = false;
  if (auto* read = std::get_if<ReadOutcome>(&result.outcome)) {
    if (result.topic == Topic::kOwnership) this->OnOwnershipRead(*read);
    if (result.topic == Topic::kDaemons) this->OnDaemonsRead(*read);
    return this->TakeActions();
  }
  const auto& appended = std::get<AppendOutcome>(result.outcome);
  if (result.topic == Topic::kOwnership) {
    this->OnOwnershipAppended(appended, result.sent);
  } else {
    this->is_registered = appended.has_value();
    this->next_directory_call =
        this->now + (appended ? milliseconds(0) : kDirectoryRetryInterval);
  }
  return this->TakeActions();
}

void OwnershipController::OnOwnershipRead(const ReadOutcome& read) {
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
      this->LogEvent(EventKind::kProcess, "ownership_record_unreadable",
                     {{"detail", decoded.error()}});
      this->leadership.OnReadFailed(this->now);
      return;
    }
    record = std::move(*decoded);
  }
  if (record) this->ApplyRecordedOwners(*record);
  this->newest_record = record;
  this->newest_record_read_at = this->now;
  this->leadership.OnRead(record, read->end, this->now);
}

void OwnershipController::ApplyRecordedOwners(
    const upstream::OwnershipRecord& record) {
  // Change 0 is lower than that of every map announced by the leader of the
  // term.
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

void OwnershipController::OnOwnershipAppended(const AppendOutcome& appended,
                                              MonotonicTime sent) {
  if (!appended) {
    this->metrics.Count("ownership_append_failures");
    this->LogEvent(EventKind::kOwnership, "ownership_append_failed",
                   {{"detail", appended.error().detail}});
    this->leadership.OnAppendFailed(sent, this->now);
    return;
  }
  this->saved_change = std::max(this->saved_change, this->sent_change);
  this->leadership.OnAppended(*appended, sent, this->now);
  if (!this->is_release_sent) return;
  this->is_release_sent = false;
  this->must_step_down = false;
  this->leadership.Resign(this->now + kStepDownDuration);
  peer::LeaderBeat beat;
  beat.sender = this->identity.daemon;
  beat.version = this->announcer.Version();
  beat.has_resigned = true;
  this->actions.emplace_back(peer::ToGossip(std::move(beat)));
  this->LogEvent(EventKind::kOwnership, "leadership_released",
                 {{"term", TextOf(this->leadership.OwnTerm())}});
}

void OwnershipController::OnDaemonsRead(const ReadOutcome& read) {
  if (!read) {
    this->next_directory_call = this->now + kDirectoryRetryInterval;
    // A directory that is not settled is not read again at once either.
    this->directory_read_at = this->now;
    return;
  }
  peer::SetPeers set;
  std::vector<DaemonId> daemons;
  for (const log_service::KeyedRecord& row : read->records) {
    if (!row.value) continue;
    daemons.emplace_back(row.key);
    const auto endpoint = EndpointFromText(*row.value);
    if (endpoint) set.peers.push_back(*endpoint);
  }
  this->SetDirectory(std::move(daemons));
  this->known_daemons = set.peers.size();
  this->next_directory_call =
      this->now + (this->known_daemons > 1 ? milliseconds(kDirectoryInterval)
                                           : kDirectoryRetryInterval);
  this->actions.emplace_back(peer::ToGossip(std::move(set)));
}

void OwnershipController::CallStore() {
  if (this->is_store_busy) return;
  const bool is_leader =
      this->leadership.GetRole() == RangeLeadership::Role::kLeader;
  if (this->is_stopping && !is_leader) return;
  const bool has_unsaved_change =
      is_leader && this->lease_manager.LatestChange() > this->saved_change;
  const RangeLeadership::LogAction next_call =
      this->leadership.NextLogAction(this->now, has_unsaved_change);
  if (next_call == RangeLeadership::LogAction::kNothing) {
    this->UpdateDirectory();
    return;
  }
  this->is_store_busy = true;
  if (next_call == RangeLeadership::LogAction::kRead) {
    this->actions.emplace_back(
        StoreCall{this->now + kStoreCallTimeout,
                  log_service::ReadTopic{Topic::kOwnership}});
    return;
  }
  this->AppendOwnership(next_call);
}

void OwnershipController::AppendOwnership(
    RangeLeadership::LogAction next_call) {
  upstream::OwnershipRecord record;
  record.term = this->leadership.OwnTerm();
  record.leader = this->identity.daemon;
  record.instance = this->identity.instance;
  if (next_call == RangeLeadership::LogAction::kClaim) {
    if (this->newest_record) record.services = this->newest_record->services;
    this->sent_change = 0;
  } else {
    record.change = this->lease_manager.LatestChange();
    record.services = this->lease_manager.ToRecord();
    const bool has_no_busy_service =
        std::none_of(record.services.begin(), record.services.end(),
                     [this](const auto& item) {
                       return this->lease_manager.HasMoveInProgress(item.first);
                     });
    record.is_released =
        this->must_step_down || (this->is_stopping && has_no_busy_service);
    this->is_release_sent = record.is_released;
    if (record.is_released) {
      this->leadership.SuspendMandate();
      record.leases_left = std::max(
          milliseconds(0),
          std::chrono::ceil<milliseconds>(
              this->lease_manager.LatestGrantedLeaseEnd() - this->now));
    }
    this->sent_change = record.change;
  }
  this->actions.emplace_back(StoreCall{
      this->now + kStoreCallTimeout,
      KeyedAppend{
          Topic::kOwnership,
          {std::string(kOwnershipKey), upstream::EncodeOwnership(record)},
          this->leadership.ExpectedEnd()}});
}

void OwnershipController::UpdateDirectory() {
  const bool is_due =
      this->now >= this->next_directory_call || this->IsDirectoryUnsettled();
  if (this->is_stopping || !is_due) return;
  this->is_store_busy = true;
  if (this->is_registered) {
    this->actions.emplace_back(
        StoreCall{this->now + kStoreCallTimeout,
                  log_service::ReadTopic{Topic::kDaemons}});
    return;
  }
  this->actions.emplace_back(StoreCall{
      this->now + kStoreCallTimeout,
      KeyedAppend{
          Topic::kDaemons,
          {this->identity.daemon.value, ToText(this->identity.gossip_endpoint)},
          std::nullopt}});
}

}  // namespace bamboorack::daemon
