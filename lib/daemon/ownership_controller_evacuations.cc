#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/core/text_of.h"
#include "bamboorack/daemon/ownership_controller.h"
#include "bamboorack/upstream/evacuation_progress.h"

// Orders to evacuate failure domains: learning of them, and how far the leader
// is with the keys that are held there.

namespace bamboorack::daemon {
namespace {

using log_service::KeyedRecord;
using log_service::Topic;
using log_service::TopicUpdate;
using std::chrono::milliseconds;

// The log may have made an answer this long before it arrived.
constexpr milliseconds kMaxAnswerAge{800};
// The leader repeats a relay of the desired state for this long after its read.
constexpr milliseconds kMaxRelayAge{2'300};

std::string MillisecondsUntil(MonotonicTime until, MonotonicTime now) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(std::max(until, now) - now);
  return std::to_string(left.count());
}

}  // namespace

bool OwnershipController::HasOnlyEvacuations(const TopicUpdate& update) const {
  if (update.topic != Topic::kDesiredState || update.is_complete) return false;
  return !update.records.empty() &&
         std::all_of(update.records.begin(), update.records.end(),
                     [this](const KeyedRecord& record) {
                       const auto domain =
                           this->documents->ReadEvacuationKey(record.key);
                       return domain && domain->has_value();
                     });
}

void OwnershipController::ApplyEvacuations(const TopicUpdate& update) {
  std::vector<EvacuationRecord> records;
  for (const KeyedRecord& record : update.records) {
    const auto domain = this->documents->ReadEvacuationKey(record.key);
    if (!domain) {
      this->metrics.Count("evacuation_orders_rejected");
      this->LogEvent(EventKind::kBelief, "evacuation_order_rejected",
                     {{"detail", domain.error()}});
      continue;
    }
    if (*domain) records.push_back({**domain, !record.value.has_value()});
  }
  const EvacuationChanges changes =
      this->evacuations.Apply(records, update.is_complete);
  this->evacuations.SetKnownUntil(
      update.at - (update.is_relayed ? kMaxRelayAge : kMaxAnswerAge));
  if (changes.IsEmpty()) return;
  this->PublishEvacuations();
  this->next_plan = this->now;
  this->metrics.SetGauge(
      "evacuated_domains",
      static_cast<double>(this->evacuations.Domains().size()));
  for (const FailureDomain& domain : changes.ordered) {
    const auto entries = this->registry.Entries();
    const auto upstreams =
        std::count_if(entries.begin(), entries.end(),
                      [&domain](const RegisteredUpstream& entry) {
                        return entry.failure_domain == domain;
                      });
    this->LogEvent(EventKind::kBelief, "evacuation_ordered",
                   {{"domain", domain.value},
                    {"upstreams", std::to_string(upstreams)},
                    {"keys_served_ms",
                     MillisecondsUntil(this->evacuations.Domains().at(domain),
                                       this->now)}});
  }
  for (const FailureDomain& domain : changes.ended) {
    std::vector<std::pair<std::string, std::string>> fields = {
        {"domain", domain.value}};
    const auto held = this->evacuated_ranges.find(domain);
    if (held != this->evacuated_ranges.end()) {
      fields.emplace_back("ranges_held", std::to_string(held->second));
    }
    this->LogEvent(EventKind::kBelief, "evacuation_ended", std::move(fields));
  }
}

void OwnershipController::PublishEvacuations() {
  const bool was_empty = !this->tables.evacuated_domains ||
                         this->tables.evacuated_domains->empty();
  if (was_empty && this->evacuations.Domains().empty()) return;
  this->tables.evacuated_domains =
      std::make_shared<const EvacuatedDomains>(this->evacuations.Domains());
  this->has_new_tables = true;
}

void OwnershipController::ReportEvacuations() {
  const bool has_none =
      this->evacuations.Domains().empty() && this->evacuated_ranges.empty();
  if (has_none || !this->tables.upstreams) return;
  auto held = upstream::CountRangesHeld(this->evacuations.Domains(),
                                        this->lease_manager.ToRecord(),
                                        *this->tables.upstreams);
  std::size_t total = 0;
  for (const auto& [domain, count] : held) {
    total += count;
    const auto before = this->evacuated_ranges.find(domain);
    const bool is_new = before == this->evacuated_ranges.end();
    const bool is_emptied = count == 0 && (is_new || before->second > 0);
    if (!is_new && !is_emptied) continue;
    this->LogEvent(EventKind::kOwnership,
                   is_emptied ? "evacuation_complete" : "evacuation_begins",
                   {{"domain", domain.value},
                    {"ranges_held", std::to_string(count)},
                    {"term", TextOf(this->leadership.OwnTerm())}});
  }
  this->evacuated_ranges = std::move(held);
  this->metrics.SetGauge("evacuated_ranges_held", static_cast<double>(total));
}

void OwnershipController::ForgetEvacuationProgress() {
  if (this->evacuated_ranges.empty()) return;
  this->evacuated_ranges.clear();
  this->metrics.SetGauge("evacuated_ranges_held", 0);
}

}  // namespace bamboorack::daemon
