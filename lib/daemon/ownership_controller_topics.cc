#include <utility>

#include "bamboorack/core/text_of.h"
#include "bamboorack/daemon/ownership_controller.h"

// Updates of the desired state and the upstream registry: applies them and, on
// the leader, relays them to the other daemons.

namespace bamboorack::daemon {
namespace {

using log_service::Topic;
using std::chrono::milliseconds;
using upstream::RangeLeadership;

// A read of the desired state waits up to 1.5 s for a change, and may take 0.8
// s longer if the log is slow.
constexpr milliseconds kMaxDesiredStateAge{2'300};
// Up to this many records are sure to fit into a datagram.
constexpr std::size_t kMaxRelayedRecords = 60;

}  // namespace

OwnershipActions OwnershipController::OnTopicUpdate(
    const log_service::TopicUpdate& update, MonotonicTime time) {
  this->now = time;
  this->UpdateStoreContact(update);
  if (!update.failure) {
    this->RelayUpdate(update);
    if (update.topic == Topic::kDesiredState) this->ApplyDesiredState(update);
    if (update.topic == Topic::kUpstreams) this->ApplyUpstreams(update);
  }
  return this->TakeActions();
}

void OwnershipController::UpdateStoreContact(
    const log_service::TopicUpdate& update) {
  const bool is_up = !update.failure;
  if (update.topic == Topic::kUpstreams && is_up) {
    this->registry.NoteContact(this->now);
  }
  // A relayed update does not show that this daemon can reach the log itself.
  if (update.is_relayed) return;
  if (update.topic == Topic::kUpstreams && is_up) {
    this->tables.upstreams_read_at = update.at;
    this->has_new_tables = this->tables.upstreams != nullptr;
  }
  const auto [known, is_new] =
      this->store_contact.try_emplace(update.topic, is_up);
  if (!is_new && known->second == is_up) return;
  known->second = is_up;
  this->LogEvent(EventKind::kProcess, is_up ? "log_regained" : "log_lost",
                 {{"topic", std::string(NameOf(update.topic))},
                  {"detail", update.failure.value_or("")}});
}

bool OwnershipController::HasNewContent(
    const log_service::KeyedRecord& record) {
  if (!record.value) {
    this->relayed_entries.erase(record.key);
    return true;
  }
  auto entry = this->documents->ReadUpstream(record.key, *record.value);
  if (!entry) return true;
  const auto known = this->relayed_entries.find(record.key);
  const bool is_new = known == this->relayed_entries.end();
  SetColdUntil(*entry, is_new ? nullptr : &known->second, this->now);
  if (!is_new && known->second == *entry) return false;
  this->relayed_entries.insert_or_assign(record.key, std::move(*entry));
  return true;
}

void OwnershipController::RelayUpdate(const log_service::TopicUpdate& update) {
  const bool is_leader =
      this->leadership.GetRole() == RangeLeadership::Role::kLeader;
  if (!is_leader || update.is_relayed) return;
  peer::RecordRelay relay;
  relay.topic = static_cast<std::uint8_t>(update.topic);
  relay.from = update.from;
  relay.end = update.end;
  // Followers do a whole read themselves. Entries that it lacks are gone.
  if (update.topic == Topic::kUpstreams && update.is_complete) {
    this->relayed_entries.clear();
  }
  // Relays of the desired state itself carry no records: it may be larger than
  // a datagram, and it changes rarely. Orders to evacuate are short, and a
  // daemon that cannot read the log must learn of them too.
  if (this->HasOnlyEvacuations(update)) {
    relay.records.emplace();
    for (const log_service::KeyedRecord& record : update.records) {
      relay.records->emplace_back(record.key, record.value);
    }
  }
  if (update.topic == Topic::kUpstreams && !update.is_complete) {
    relay.records.emplace();
    for (const log_service::KeyedRecord& record : update.records) {
      if (!this->HasNewContent(record)) continue;
      relay.records->emplace_back(record.key, record.value);
    }
  }
  if (relay.records && relay.records->size() > kMaxRelayedRecords) {
    relay.records.reset();
  }
  if (update.topic == Topic::kDesiredState) {
    this->desired_state_relay = relay;
    this->desired_state_read_at = this->now;
  } else if (this->now - this->desired_state_read_at < kMaxDesiredStateAge) {
    // Repeats the last relay of the desired state, because its long polls take
    // longer than a relay is trusted.
    this->actions.emplace_back(peer::ToGossip(this->desired_state_relay));
  }
  this->actions.emplace_back(peer::ToGossip(std::move(relay)));
}

void OwnershipController::OnRecordRelay(const peer::RecordRelay& relay) {
  if (relay.topic >= log_service::kTopicNames.size()) return;
  log_service::TopicRelay topic_relay;
  topic_relay.topic = static_cast<Topic>(relay.topic);
  topic_relay.from = relay.from;
  topic_relay.end = relay.end;
  topic_relay.wants_read = relay.wants_read;
  topic_relay.has_records = relay.records.has_value();
  if (relay.records) {
    for (const auto& [key, value] : *relay.records) {
      topic_relay.records.push_back({key, value});
    }
  }
  this->actions.emplace_back(std::move(topic_relay));
}

void OwnershipController::RequestLogRead() {
  const bool is_in_trouble = this->leadership.IsRenewalOverdue(this->now);
  const bool must_request = is_in_trouble && !this->has_requested_log_read;
  this->has_requested_log_read = is_in_trouble;
  if (!must_request) return;
  peer::RecordRelay relay;
  relay.topic = static_cast<std::uint8_t>(Topic::kUpstreams);
  relay.wants_read = true;
  this->actions.emplace_back(peer::ToGossip(std::move(relay)));
}

void OwnershipController::ApplyDesiredState(
    const log_service::TopicUpdate& update) {
  this->ApplyEvacuations(update);
  for (const log_service::KeyedRecord& record : update.records) {
    if (record.key != this->documents->DesiredStateKey() || !record.value) {
      continue;
    }
    auto state = this->documents->ReadDesiredState(*record.value);
    if (!state) {
      this->metrics.Count("desired_states_rejected");
      this->LogEvent(EventKind::kBelief, "desired_state_rejected",
                     {{"detail", state.error()}});
      continue;
    }
    if (this->tables.desired &&
        state->version <= this->tables.desired->version) {
      continue;
    }
    this->LogEvent(EventKind::kBelief, "desired_state",
                   {{"version", TextOf(state->version)},
                    {"routes", std::to_string(state->routes.size())}});
    this->tables.desired =
        std::make_shared<const DesiredState>(std::move(*state));
    this->has_new_tables = true;
  }
}

void OwnershipController::ApplyUpstreams(
    const log_service::TopicUpdate& update) {
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
      this->LogEvent(EventKind::kBelief, "upstream_entry_rejected",
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
  if (!this->tables.upstreams) this->PublishUpstreams();
}

}  // namespace bamboorack::daemon
