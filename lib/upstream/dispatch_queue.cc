#include "bamboorack/upstream/dispatch_queue.h"

#include <algorithm>

namespace bamboorack::upstream {
namespace {

// Keeps an idle rank from saving up for a burst.
constexpr double kMaxOwed = 2.0;

}  // namespace

DispatchQueue::DispatchQueue(const std::array<double, kRankCount>& shares,
                             std::uint32_t limit)
    : floors(shares), limit_per_rank(limit) {}

void DispatchQueue::Configure(const std::array<double, kRankCount>& shares,
                              std::uint32_t limit) {
  this->floors = shares;
  this->limit_per_rank = limit;
}

tl::expected<void, Reason> DispatchQueue::Push(
    const QueuedWork& work, const ServiceTimeEstimator& estimator,
    std::uint32_t limit, MonotonicTime now) {
  if (work.deadline <= now) return tl::make_unexpected(Reason::kDeadlinePassed);
  Line& line = this->LineOf(work.rank);
  if (line.waiting.size() >= this->limit_per_rank) {
    return tl::make_unexpected(Reason::kQueueFull);
  }
  // With a free slot the request is sent at once, so that the estimate can
  // recover from a slow period.
  const bool would_wait = this->Size() > 0 || estimator.Active() >= limit;
  const auto answered =
      now + estimator.PredictStart(this->DispatchesBefore(work.rank), limit) +
      estimator.ServiceTime(work.rank);
  if (would_wait && answered > work.deadline) {
    return tl::make_unexpected(Reason::kDeadlineWouldPass);
  }
  line.waiting.push_back(work);
  line.earliest_deadline = std::min(line.earliest_deadline, work.deadline);
  return {};
}

std::size_t DispatchQueue::ChooseLine() const {
  std::size_t chosen = kRankCount;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const Line& line = this->lines[i];
    if (line.waiting.empty()) continue;
    if (chosen == kRankCount) chosen = i;
    if (line.owed >= 1.0 && line.owed > this->lines[chosen].owed) chosen = i;
  }
  return chosen;
}

std::optional<QueuedWork> DispatchQueue::Pop() {
  const std::size_t chosen = this->ChooseLine();
  if (chosen == kRankCount) return std::nullopt;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    Line& line = this->lines[i];
    if (line.waiting.empty()) continue;
    line.owed = std::min(kMaxOwed, line.owed + this->floors[i]);
  }
  Line& line = this->lines[chosen];
  const QueuedWork work = line.waiting.front();
  line.waiting.pop_front();
  line.owed = std::max(0.0, line.owed - 1.0);
  if (line.waiting.empty()) line.earliest_deadline = MonotonicTime::max();
  return work;
}

std::vector<DroppedWork> DispatchQueue::RemoveExpired(
    const ServiceTimeEstimator& estimator, MonotonicTime now) {
  std::vector<DroppedWork> dropped;
  for (const Rank rank : kRanks) {
    // With nothing in flight a request goes out even if the estimate says
    // that it is late: only answers can correct the estimate.
    const auto service_time = estimator.Active() == 0
                                  ? std::chrono::nanoseconds(0)
                                  : estimator.ServiceTime(rank);
    this->DropExpired(this->LineOf(rank), service_time, now, dropped);
  }
  return dropped;
}

void DispatchQueue::DropExpired(Line& line,
                                std::chrono::nanoseconds service_time,
                                MonotonicTime now,
                                std::vector<DroppedWork>& dropped) {
  if (line.earliest_deadline > now + service_time) return;
  line.earliest_deadline = MonotonicTime::max();
  std::erase_if(line.waiting, [&](const QueuedWork& work) {
    if (work.deadline > now + service_time) {
      line.earliest_deadline = std::min(line.earliest_deadline, work.deadline);
      return false;
    }
    dropped.push_back({work.id, work.deadline > now ? Reason::kDeadlineWouldPass
                                                    : Reason::kDeadlinePassed});
    return true;
  });
}

bool DispatchQueue::Remove(WorkId id) {
  return !this->RemoveIf([id](const QueuedWork& work) { return work.id == id; })
              .empty();
}

std::vector<QueuedWork> DispatchQueue::RemoveIf(
    const std::function<bool(const QueuedWork&)>& predicate) {
  std::vector<QueuedWork> removed;
  for (Line& line : this->lines) {
    std::erase_if(line.waiting, [&](const QueuedWork& work) {
      if (!predicate(work)) return false;
      removed.push_back(work);
      return true;
    });
  }
  return removed;
}

std::size_t DispatchQueue::Size() const {
  std::size_t total = 0;
  for (const Line& line : this->lines) total += line.waiting.size();
  return total;
}

std::size_t DispatchQueue::Size(Rank rank) const {
  return this->lines.at(IndexOf(rank)).waiting.size();
}

double DispatchQueue::DispatchesBefore(Rank rank) const {
  const std::size_t index = IndexOf(rank);
  const auto own = static_cast<double>(this->lines.at(index).waiting.size());
  double more_urgent = 0.0;
  double less_urgent_floors = 0.0;
  for (std::size_t i = 0; i < kRankCount; ++i) {
    const auto waiting = static_cast<double>(this->lines[i].waiting.size());
    if (i < index) more_urgent += waiting;
    if (i > index && waiting > 0.0) less_urgent_floors += this->floors[i];
  }
  const double share = 1.0 - less_urgent_floors;
  const double in_order = (own + more_urgent) / std::max(share, 0.01);
  const double by_floor = own / std::max(this->floors[index], 0.01);
  return std::min(in_order, by_floor);
}

}  // namespace bamboorack::upstream
