#include "bamboorack/log_service/append_tracker.h"

#include <algorithm>
#include <utility>

namespace bamboorack::log_service {

AppendTracker::AppendTracker(std::chrono::milliseconds limit)
    : attempt_limit(limit) {}

AppendRequest AppendTracker::Add(Record record, MonotonicTime give_up_at) {
  this->pending.insert_or_assign(record.id, Pending{record, give_up_at});
  return {std::move(record), give_up_at};
}

void AppendTracker::OnSendFailed(const RecordId& id) {
  const auto found = this->pending.find(id);
  if (found != this->pending.end()) found->second.was_sent = false;
}

void AppendTracker::OnSendUnknown(const RecordId& id,
                                  MonotonicTime stopped_at) {
  const auto found = this->pending.find(id);
  if (found == this->pending.end()) return;
  found->second.attempts_end_at =
      std::min(found->second.attempts_end_at, stopped_at);
}

std::optional<AppendSettled> AppendTracker::OnRead(const LogRecord& record,
                                                   Verdict verdict) {
  const auto found = this->pending.find(record.record.id);
  if (found == this->pending.end()) return std::nullopt;
  AppendSettled settled{std::move(found->second.record), record.offset,
                        verdict};
  this->pending.erase(found);
  return settled;
}

std::vector<AppendRequest> AppendTracker::Tick(
    MonotonicTime now, std::optional<MonotonicTime> read_through) {
  std::vector<AppendRequest> resends;
  for (auto& [id, entry] : this->pending) {
    const bool is_missing =
        read_through && *read_through > entry.attempts_end_at;
    if (entry.was_sent && !is_missing) continue;
    entry.was_sent = true;
    entry.attempts_end_at = now + this->attempt_limit;
    resends.push_back({entry.record, entry.attempts_end_at});
  }
  return resends;
}

void AppendTracker::Withdraw(const RecordId& id) { this->pending.erase(id); }

}  // namespace bamboorack::log_service
