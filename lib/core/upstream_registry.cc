#include "bamboorack/core/upstream_registry.h"

#include <algorithm>
#include <set>

namespace bamboorack {

void UpstreamRegistry::Set(const UpstreamId& id,
                           const std::optional<RegisteredUpstream>& entry,
                           MonotonicTime now) {
  const auto found = this->rows.find(id);
  if (!entry) {
    if (found != this->rows.end()) this->MarkMissing(found->second, now);
    return;
  }
  if (found == this->rows.end()) {
    this->rows.emplace(id, Row{*entry, std::nullopt});
    this->has_changed = true;
    return;
  }
  // The remaining warm-up counts down in each record and is not a change.
  RegisteredUpstream before = found->second.entry;
  before.warm_up_left = entry->warm_up_left;
  this->has_changed |= before != *entry;
  found->second = Row{*entry, std::nullopt};
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
