#include "bamboorack/upstream/wait_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using Seconds = std::chrono::duration<double>;

// One in this many pops takes the least urgent request. This guarantees an
// eighth of the pops, half of what a kind of request needs to be served a
// quarter as often as all.
constexpr int kLeastUrgentPopInterval = 8;
constexpr milliseconds kRatePeriod{500};
constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

}  // namespace

void WaitQueue::Push(const QueueEntry& entry) {
  this->entries.push_back(entry);
}

std::optional<QueueEntry> WaitQueue::Pop(MonotonicTime now) {
  const bool takes_least_urgent =
      this->pops_since_least_urgent + 1 >= kLeastUrgentPopInterval;
  const Index index =
      takes_least_urgent ? this->FindLeastUrgent(now) : this->FindNext(now);
  if (index == kNoIndex) return std::nullopt;
  this->pops_since_least_urgent =
      takes_least_urgent ? 0 : this->pops_since_least_urgent + 1;
  const QueueEntry entry = this->entries[index];
  this->entries[index] = this->entries.back();
  this->entries.pop_back();
  return entry;
}

WaitQueue::Index WaitQueue::FindNext(MonotonicTime now) const {
  Index best = kNoIndex;
  const auto order_of = [&](const QueueEntry& entry) {
    const bool is_late = now > entry.latest_start_for_target;
    // Requests in time go before late ones, then by priority, then by deadline.
    return std::tuple(
        is_late, entry.priority,
        is_late ? entry.latest_start : entry.latest_start_for_target);
  };
  for (Index i = 0; i < this->entries.size(); ++i) {
    if (this->entries[i].not_before > now) continue;
    if (best == kNoIndex ||
        order_of(this->entries[i]) < order_of(this->entries[best])) {
      best = i;
    }
  }
  return best;
}

WaitQueue::Index WaitQueue::FindLeastUrgent(MonotonicTime now) const {
  Index best = kNoIndex;
  for (Index i = 0; i < this->entries.size(); ++i) {
    const QueueEntry& entry = this->entries[i];
    if (entry.not_before > now) continue;
    if (best == kNoIndex || entry.priority > this->entries[best].priority ||
        (entry.priority == this->entries[best].priority &&
         entry.arrived_at < this->entries[best].arrived_at)) {
      best = i;
    }
  }
  return best;
}

bool WaitQueue::Remove(std::uint64_t request) {
  return std::erase_if(this->entries, [request](const QueueEntry& entry) {
           return entry.request == request;
         }) > 0;
}

std::vector<QueueEntry> WaitQueue::TakeAll() {
  std::vector<QueueEntry> all = std::exchange(this->entries, {});
  std::sort(all.begin(), all.end(),
            [](const QueueEntry& a, const QueueEntry& b) {
              return std::tie(a.arrived_at, a.request) <
                     std::tie(b.arrived_at, b.request);
            });
  return all;
}

std::vector<QueueEntry> WaitQueue::RemoveExpired(MonotonicTime now) {
  std::vector<QueueEntry> expired;
  std::erase_if(this->entries, [&](const QueueEntry& entry) {
    if (now <= entry.latest_start) return false;
    expired.push_back(entry);
    return true;
  });
  return expired;
}

void WaitQueue::OnServed(MonotonicTime now) {
  const auto elapsed = now - this->period_start;
  if (elapsed > kRatePeriod) {
    this->served_in_last_period =
        elapsed > 2 * kRatePeriod ? 0 : this->served_in_period;
    this->served_in_period = 0;
    this->period_start = now;
  }
  ++this->served_in_period;
}

bool WaitQueue::CanStartInTime(const QueueEntry& entry,
                               MonotonicTime now) const {
  return now + this->ExpectedWait(entry.priority, now) <= entry.latest_start;
}

nanoseconds WaitQueue::ExpectedWait(std::uint32_t priority,
                                    MonotonicTime now) const {
  const auto ahead = std::count_if(this->entries.begin(), this->entries.end(),
                                   [priority](const QueueEntry& entry) {
                                     return entry.priority <= priority;
                                   });
  // Without a measured rate no wait is predicted, so nothing is refused.
  const double served = this->served_in_period + this->served_in_last_period;
  if (ahead == 0 || served == 0) return nanoseconds(0);
  const Seconds span =
      Seconds(kRatePeriod) +
      std::min(Seconds(now - this->period_start), Seconds(kRatePeriod));
  const double rate = served / span.count();
  return std::chrono::duration_cast<nanoseconds>(
      Seconds(static_cast<double>(ahead) / rate));
}

}  // namespace bamboorack::upstream
