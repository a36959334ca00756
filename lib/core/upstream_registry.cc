#include "bamboorack/core/upstream_registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboorack {
namespace {

// A longer one is taken as this, so that its end is a valid time.
constexpr std::chrono::hours kLongestWarmUp{1};

}  // namespace

void SetColdUntil(RegisteredUpstream& entry, const RegisteredUpstream* before,
                  MonotonicTime now) {
  const bool is_same_run = before != nullptr && before->run == entry.run;
  const MonotonicTime known =
      is_same_run ? before->cold_until : MonotonicTime{};
  const auto left =
      std::min<std::chrono::milliseconds>(entry.warm_up_left, kLongestWarmUp);
  const MonotonicTime stated =
      left.count() > 0 ? now + left : std::min(known, now);
  const bool is_known = std::chrono::abs(stated - known) < kWarmUpEndTolerance;
  entry.cold_until = is_known ? known : stated;
  entry.warm_up_left = std::chrono::milliseconds(0);
}

void UpstreamRegistry::Set(const UpstreamId& id,
                           const std::optional<RegisteredUpstream>& entry,
                           MonotonicTime now) {
  const auto found = this->rows.find(id);
  if (!entry) {
    if (found != this->rows.end()) this->MarkMissing(found->second, now);
    return;
  }
  RegisteredUpstream next = *entry;
  if (found == this->rows.end()) {
    SetColdUntil(next, nullptr, now);
    this->rows.emplace(id, Row{std::move(next), std::nullopt});
    this->has_changed = true;
    return;
  }
  SetColdUntil(next, &found->second.entry, now);
  this->has_changed |= found->second.entry != next;
  found->second = Row{std::move(next), std::nullopt};
}

void UpstreamRegistry::Replace(const std::vector<RegisteredUpstream>& entries,
                               MonotonicTime now) {
  std::set<UpstreamId> listed;
  for (const RegisteredUpstream& entry : entries) {
    listed.insert(entry.run.id);
    this->Set(entry.run.id, entry, now);
  }
  for (auto& [id, row] : this->rows) {
    if (!listed.contains(id)) this->MarkMissing(row, now);
  }
}

void UpstreamRegistry::MarkLeaving(const UpstreamRun& run) {
  this->has_changed |= this->leaving.Add(run);
}

void UpstreamRegistry::NoteContact(MonotonicTime now) {
  const bool was_out =
      this->last_contact && now - *this->last_contact >= kShortestOutage;
  if (was_out) this->returned_at = now;
  this->last_contact = now;
}

void UpstreamRegistry::MarkMissing(Row& row, MonotonicTime now) {
  if (row.drop_at) return;
  row.drop_at = now;
  if (this->returned_at) {
    row.drop_at = std::max(now, *this->returned_at + kReturnTime);
  }
}

bool UpstreamRegistry::Update(MonotonicTime now) {
  const auto dropped = std::erase_if(this->rows, [now](const auto& item) {
    return item.second.drop_at && *item.second.drop_at <= now;
  });
  const bool changed = this->has_changed || dropped > 0;
  this->has_changed = false;
  return changed;
}

std::vector<RegisteredUpstream> UpstreamRegistry::Entries() const {
  std::vector<RegisteredUpstream> entries;
  entries.reserve(this->rows.size());
  for (const auto& [id, row] : this->rows) {
    RegisteredUpstream& entry = entries.emplace_back(row.entry);
    entry.is_draining |= this->leaving.Contains(entry.run);
  }
  return entries;
}

}  // namespace bamboorack
