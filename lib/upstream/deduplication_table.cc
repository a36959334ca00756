#include "bamboorack/upstream/deduplication_table.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace bamboorack::upstream {
namespace {

// Container overhead of one id in bytes, without its text, rounded up.
constexpr std::size_t kEntryBytes = 256;

std::size_t SizeOf(const Answer& answer) {
  std::size_t total = answer.body == nullptr ? 0 : answer.body->size();
  for (const Header& header : answer.headers) {
    total += header.name.size() + header.value.size() + sizeof(Header);
  }
  return total;
}

}  // namespace

DeduplicationTable::DeduplicationTable(MonotonicTime taken_at,
                                       Settings initial_settings)
    : settings(initial_settings), complete_since(taken_at) {}

void DeduplicationTable::SetRetention(std::chrono::milliseconds retention) {
  this->settings.retention = retention;
}

void DeduplicationTable::OnTakeover(MonotonicTime taken_at) {
  this->complete_since = std::max(this->complete_since, taken_at);
}

WorkId DeduplicationTable::AttemptOf(const RequestId& id) const {
  return this->entries.at(id).attempt;
}

DeduplicationState DeduplicationTable::StateOf(const RequestId& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? DeduplicationState::kAbsent
                                      : found->second.state;
}

bool DeduplicationTable::IsComplete(MonotonicTime now) const {
  return this->complete_since + this->settings.retention <= now;
}

bool DeduplicationTable::HasOtherFingerprint(const RequestId& id,
                                             std::uint64_t fingerprint) const {
  const auto found = this->entries.find(id);
  return found != this->entries.end() &&
         found->second.fingerprint != fingerprint;
}

const Answer* DeduplicationTable::AnswerOf(const RequestId& id) const {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() || !found->second.answer) return nullptr;
  return &*found->second.answer;
}

void DeduplicationTable::Begin(const RequestId& id, std::uint64_t fingerprint,
                               WorkId work, MonotonicTime now) {
  const auto [found, is_new] = this->entries.try_emplace(id);
  Entry& entry = found->second;
  CHECK(is_new || entry.state != DeduplicationState::kInProgress)
      << "request " << id << " is already in progress";
  if (is_new) {
    entry.bytes = id.value.size() + kEntryBytes;
    this->bytes += entry.bytes;
  }
  entry.previous_state = is_new ? DeduplicationState::kAbsent : entry.state;
  entry.state = DeduplicationState::kInProgress;
  entry.fingerprint = fingerprint;
  entry.attempt = work;
  entry.waiters = {work};
  if (is_new) entry.ended_at = now;
}

void DeduplicationTable::AddWaiter(const RequestId& id, WorkId work) {
  const auto found = this->entries.find(id);
  CHECK(found != this->entries.end()) << "request " << id << " is unknown";
  found->second.waiters.push_back(work);
}

std::size_t DeduplicationTable::RemoveWaiter(const RequestId& id, WorkId work) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return 0;
  std::erase(found->second.waiters, work);
  return found->second.waiters.size();
}

std::size_t DeduplicationTable::WaiterCount(const RequestId& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? 0 : found->second.waiters.size();
}

std::vector<WorkId> DeduplicationTable::End(const RequestId& id,
                                            const Result& result,
                                            MonotonicTime now) {
  if (result) return this->Finish(id, DeduplicationState::kDone, *result, now);
  if (result.error().ending == Ending::kUnknown) {
    return this->Finish(id, DeduplicationState::kUnknown, std::nullopt, now);
  }
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return {};
  std::vector<WorkId> waiters = std::move(found->second.waiters);
  this->Erase(id);
  return waiters;
}

std::vector<WorkId> DeduplicationTable::Abort(const RequestId& id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return {};
  Entry& entry = found->second;
  std::vector<WorkId> waiters = std::exchange(entry.waiters, {});
  if (entry.previous_state == DeduplicationState::kAbsent) {
    this->Erase(id);
    return waiters;
  }
  entry.state = entry.previous_state;
  // The element of `end_records` for the earlier attempt may be gone by now.
  this->end_records.push_back({id, entry.ended_at});
  return waiters;
}

std::vector<WorkId> DeduplicationTable::EndAnswerLost(const RequestId& id,
                                                      MonotonicTime now) {
  return this->Finish(id, DeduplicationState::kRanAnswerLost, std::nullopt,
                      now);
}

std::vector<WorkId> DeduplicationTable::Finish(const RequestId& id,
                                               DeduplicationState state,
                                               std::optional<Answer> answer,
                                               MonotonicTime now) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return {};
  Entry& entry = found->second;
  entry.state = state;
  entry.answer = std::move(answer);
  entry.ended_at = now;
  if (entry.answer) {
    const std::size_t added = SizeOf(*entry.answer);
    entry.bytes += added;
    this->bytes += added;
  }
  this->end_records.push_back({id, now});
  std::vector<WorkId> waiters = std::exchange(entry.waiters, {});
  this->EvictToLimit();
  return waiters;
}

void DeduplicationTable::Expire(MonotonicTime now) {
  while (!this->end_records.empty() &&
         this->end_records.front().at + this->settings.retention <= now) {
    const EndRecord end = this->end_records.front();
    if (this->IsCurrent(end)) this->Erase(end.id);
    this->end_records.pop_front();
    if (this->answers_dropped > 0) --this->answers_dropped;
  }
}

void DeduplicationTable::Erase(const RequestId& id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  this->bytes -= found->second.bytes;
  this->entries.erase(found);
}

bool DeduplicationTable::IsCurrent(const EndRecord& end) const {
  const auto found = this->entries.find(end.id);
  return found != this->entries.end() &&
         found->second.state != DeduplicationState::kInProgress &&
         found->second.ended_at == end.at;
}

void DeduplicationTable::EvictToLimit() {
  while (this->bytes > this->settings.max_bytes &&
         this->answers_dropped < this->end_records.size()) {
    this->DropOldestAnswer();
  }
  while (this->bytes > this->settings.max_bytes && !this->end_records.empty()) {
    this->EvictOldest();
  }
}

void DeduplicationTable::DropOldestAnswer() {
  const EndRecord& end = this->end_records[this->answers_dropped++];
  if (!this->IsCurrent(end)) return;
  Entry& entry = this->entries.at(end.id);
  if (!entry.answer) return;
  const std::size_t freed = SizeOf(*entry.answer);
  entry.bytes -= freed;
  this->bytes -= freed;
  entry.answer.reset();
  entry.state = DeduplicationState::kRanAnswerLost;
}

void DeduplicationTable::EvictOldest() {
  const EndRecord end = this->end_records.front();
  this->end_records.pop_front();
  if (this->answers_dropped > 0) --this->answers_dropped;
  if (!this->IsCurrent(end)) return;
  this->Erase(end.id);
  this->complete_since = std::max(this->complete_since, end.at);
}

}  // namespace bamboorack::upstream
