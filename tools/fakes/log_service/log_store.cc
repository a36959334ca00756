#include "fakes/log_service/log_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bamboorack::fakes {

LogOffset LogStore::Append(std::string body) {
  const std::lock_guard lock(this->mutex);
  const LogOffset offset = this->next;
  this->next = LogOffset(offset.value + 1);
  this->records.push_back(
      {offset, std::chrono::system_clock::now(), std::move(body)});
  if (this->records.size() > this->kept) this->records.pop_front();
  this->changed.notify_all();
  return offset;
}

StoredRange LogStore::Read(LogOffset from, std::size_t max,
                           MonotonicTime deadline) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_until(lock, deadline, [this, from] {
    return this->is_stopped || this->next > from;
  });
  StoredRange range{this->FirstKeptLocked(), {}, {}};
  const LogOffset begin = std::max(from, range.first_kept);
  range.next = begin;
  for (std::uint64_t offset = begin.value;
       offset < this->next.value && range.records.size() < max; ++offset) {
    range.records.push_back(this->records[offset - range.first_kept.value]);
    range.next = LogOffset(offset + 1);
  }
  return range;
}

void LogStore::Stop() {
  const std::lock_guard lock(this->mutex);
  this->is_stopped = true;
  this->changed.notify_all();
}

LogOffset LogStore::Next() const {
  const std::lock_guard lock(this->mutex);
  return this->next;
}

LogOffset LogStore::FirstKeptLocked() const {
  return this->records.empty() ? this->next : this->records.front().offset;
}

}  // namespace bamboorack::fakes
