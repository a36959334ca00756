#include "bamboorack/upstream/once_only_memory.h"

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

OnceOnlyMemory::OnceOnlyMemory(MonotonicTime taken_at, Settings bounds)
    : settings(bounds), complete_since(taken_at) {}

void OnceOnlyMemory::SetKeepFor(std::chrono::milliseconds keep_for) {
  this->settings.keep_for = keep_for;
}

void OnceOnlyMemory::OnTakeover(MonotonicTime taken_at) {
  this->complete_since = std::max(this->complete_since, taken_at);
}

WorkId OnceOnlyMemory::AttemptOf(const RequestId& id) const {
  return this->entries.at(id).attempt;
}

OnceOnlyState OnceOnlyMemory::StateOf(const RequestId& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? OnceOnlyState::kAbsent
                                      : found->second.state;
}

bool OnceOnlyMemory::IsComplete(MonotonicTime now) const {
  return this->complete_since + this->settings.keep_for <= now;
}

bool OnceOnlyMemory::IsOtherRequest(const RequestId& id,
                                    std::uint64_t fingerprint) const {
  const auto found = this->entries.find(id);
  return found != this->entries.end() &&
         found->second.fingerprint != fingerprint;
}

const Answer* OnceOnlyMemory::AnswerOf(const RequestId& id) const {
  const auto found = this->entries.find(id);
  if (found == this->entries.end() || !found->second.answer) return nullptr;
  return &*found->second.answer;
}

void OnceOnlyMemory::Begin(const RequestId& id, std::uint64_t fingerprint,
                           WorkId work, MonotonicTime now) {
  const auto [found, is_new] = this->entries.try_emplace(id);
  Entry& entry = found->second;
  CHECK(is_new || entry.state != OnceOnlyState::kInProgress)
      << "request " << id << " is already in progress";
  if (is_new) {
    entry.bytes = id.value.size() + kEntryBytes;
    this->bytes += entry.bytes;
  }
  entry.state_before = is_new ? OnceOnlyState::kAbsent : entry.state;
  entry.state = OnceOnlyState::kInProgress;
  entry.fingerprint = fingerprint;
  entry.attempt = work;
  entry.waiters = {work};
  if (is_new) entry.ended_at = now;
}

void OnceOnlyMemory::Join(const RequestId& id, WorkId work) {
  const auto found = this->entries.find(id);
  CHECK(found != this->entries.end()) << "request " << id << " is unknown";
  found->second.waiters.push_back(work);
}

std::size_t OnceOnlyMemory::Leave(const RequestId& id, WorkId work) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return 0;
  std::erase(found->second.waiters, work);
  return found->second.waiters.size();
}

std::size_t OnceOnlyMemory::WaiterCount(const RequestId& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? 0 : found->second.waiters.size();
}

std::vector<WorkId> OnceOnlyMemory::End(const RequestId& id,
                                        const Result& result,
                                        MonotonicTime now) {
  if (result) return this->Finish(id, OnceOnlyState::kDone, *result, now);
  if (result.error().ending == Ending::kUnknown) {
    return this->Finish(id, OnceOnlyState::kUnknown, std::nullopt, now);
  }
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return {};
  std::vector<WorkId> waiters = std::move(found->second.waiters);
  this->Forget(id);
  return waiters;
}

std::vector<WorkId> OnceOnlyMemory::Abort(const RequestId& id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return {};
  Entry& entry = found->second;
  std::vector<WorkId> waiters = std::exchange(entry.waiters, {});
  if (entry.state_before == OnceOnlyState::kAbsent) {
    this->Forget(id);
    return waiters;
  }
  entry.state = entry.state_before;
  // The element of `ended` for the earlier attempt may be gone by now.
  this->ended.push_back({id, entry.ended_at});
  return waiters;
}

std::vector<WorkId> OnceOnlyMemory::EndAnswerLost(const RequestId& id,
                                                  MonotonicTime now) {
  return this->Finish(id, OnceOnlyState::kRanAnswerLost, std::nullopt, now);
}

std::vector<WorkId> OnceOnlyMemory::Finish(const RequestId& id,
                                           OnceOnlyState state,
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
  this->ended.push_back({id, now});
  std::vector<WorkId> waiters = std::exchange(entry.waiters, {});
  this->ShrinkToBytes();
  return waiters;
}

void OnceOnlyMemory::Expire(MonotonicTime now) {
  while (!this->ended.empty() &&
         this->ended.front().at + this->settings.keep_for <= now) {
    const Ended end = this->ended.front();
    if (this->IsCurrent(end)) this->Forget(end.id);
    this->ended.pop_front();
    if (this->answers_dropped > 0) --this->answers_dropped;
  }
}

void OnceOnlyMemory::Forget(const RequestId& id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  this->bytes -= found->second.bytes;
  this->entries.erase(found);
}

bool OnceOnlyMemory::IsCurrent(const Ended& end) const {
  const auto found = this->entries.find(end.id);
  return found != this->entries.end() &&
         found->second.state != OnceOnlyState::kInProgress &&
         found->second.ended_at == end.at;
}

void OnceOnlyMemory::ShrinkToBytes() {
  while (this->bytes > this->settings.max_bytes &&
         this->answers_dropped < this->ended.size()) {
    this->DropOldestAnswer();
  }
  while (this->bytes > this->settings.max_bytes && !this->ended.empty()) {
    this->ForgetOldest();
  }
}

void OnceOnlyMemory::DropOldestAnswer() {
  const Ended& end = this->ended[this->answers_dropped++];
  if (!this->IsCurrent(end)) return;
  Entry& entry = this->entries.at(end.id);
  if (!entry.answer) return;
  const std::size_t freed = SizeOf(*entry.answer);
  entry.bytes -= freed;
  this->bytes -= freed;
  entry.answer.reset();
  entry.state = OnceOnlyState::kRanAnswerLost;
}

void OnceOnlyMemory::ForgetOldest() {
  const Ended end = this->ended.front();
  this->ended.pop_front();
  if (this->answers_dropped > 0) --this->answers_dropped;
  if (!this->IsCurrent(end)) return;
  this->Forget(end.id);
  this->complete_since = std::max(this->complete_since, end.at);
}

}  // namespace bamboorack::upstream
