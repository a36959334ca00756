#include "bamboorack/upstream/dispatch_queue.h"

#include <algorithm>

namespace bamboorack::upstream {
namespace {

// Bounds the deficit of a rank, in dispatches of that rank, so that an idle
// rank cannot accumulate credit for a burst.
constexpr double kMaxDeficitDispatches = 2.0;
// Multiple of the mean service time that a request is assumed to need. With
// exponentially distributed times one request in twenty takes longer than three
// times the mean. With 2, 5 % of the lookups were late under overload.
constexpr int kServiceTimeMultiple = 3;
// A rank counts as slow compared with another if its requests take at least
// this many times as long. Reserving a slot against a rank that is only 4 times
// slower cost 9 % of the goodput.
constexpr double kSlowRankRatio = 8.0;
// With a lower concurrency limit, one reserved slot would be too large a share
// of the capacity.
constexpr std::uint32_t kMinLimitForReserve = 3;
// A rank counts as in use for this time after its last request.
constexpr std::chrono::seconds kRankInUseTime{1};
// Assumed service time before any has been measured.
constexpr double kDefaultServiceSeconds = 0.001;

double CostOf(Rank rank, const ServiceTimeEstimator& estimator) {
  const std::chrono::duration<double> known = estimator.ServiceTime(rank);
  return std::max(known.count(), kDefaultServiceSeconds);
}

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
  RankQueue& queue = this->QueueOf(work.rank);
  if (queue.waiting.size() >= this->limit_per_rank) {
    return tl::make_unexpected(Reason::kQueueFull);
  }
  queue.last_push_time = now;
  // If a slot is free, the request is sent regardless of the estimate, so that
  // the estimate can recover after a slow period.
  const bool would_wait = this->Size() > 0 || estimator.Active() >= limit;
  const auto answered =
      now +
      estimator.PredictStart(this->DispatchesBefore(work.rank, estimator),
                             limit) +
      kServiceTimeMultiple * estimator.ServiceTime(work.rank);
  if (would_wait && answered > work.deadline) {
    return tl::make_unexpected(Reason::kDeadlineWouldPass);
  }
  queue.waiting.push_back(work);
  queue.earliest_deadline = std::min(queue.earliest_deadline, work.deadline);
  return {};
}

std::optional<QueuedWork> DispatchQueue::Pop(
    const ServiceTimeEstimator& estimator, std::uint32_t limit,
    MonotonicTime now, std::vector<DroppedWork>& dropped) {
  if (estimator.Active() >= limit) return std::nullopt;
  const auto rank = this->ChooseRank(estimator, limit, now);
  if (!rank) return std::nullopt;
  RankQueue& queue = this->QueueOf(*rank);
  this->DropLate(queue, kServiceTimeMultiple * estimator.ServiceTime(*rank),
                 now, dropped);
  this->ChargeDispatch(*rank, estimator);
  const QueuedWork work = queue.waiting.front();
  queue.waiting.pop_front();
  if (queue.waiting.empty()) queue.earliest_deadline = MonotonicTime::max();
  return work;
}

std::optional<Rank> DispatchQueue::ChooseRank(
    const ServiceTimeEstimator& estimator, std::uint32_t limit,
    MonotonicTime now) const {
  std::optional<Rank> chosen;
  double largest_deficit = 0.0;
  for (const Rank rank : kRanks) {
    const RankQueue& queue = this->queues.at(IndexOf(rank));
    if (queue.waiting.empty() || !this->MayStart(rank, estimator, limit, now)) {
      continue;
    }
    if (!chosen) chosen = rank;
    // The deficit in dispatches of the rank itself.
    const double deficit = queue.deficit / CostOf(rank, estimator);
    if (deficit < 1.0 || deficit <= largest_deficit) continue;
    largest_deficit = deficit;
    chosen = rank;
  }
  return chosen;
}

// A slow rank does not get the last slot while a more urgent rank is in use:
// a running upload cannot be preempted.
bool DispatchQueue::MayStart(Rank rank, const ServiceTimeEstimator& estimator,
                             std::uint32_t limit, MonotonicTime now) const {
  if (limit < kMinLimitForReserve) return true;
  for (const Rank urgent : kRanks) {
    if (urgent >= rank) break;
    const MonotonicTime last = this->queues.at(IndexOf(urgent)).last_push_time;
    if (last == MonotonicTime::min() || now - last >= kRankInUseTime) continue;
    const double time_ratio =
        CostOf(rank, estimator) / CostOf(urgent, estimator);
    if (time_ratio >= kSlowRankRatio) return estimator.Active(rank) + 1 < limit;
  }
  return true;
}

void DispatchQueue::ChargeDispatch(Rank rank,
                                   const ServiceTimeEstimator& estimator) {
  const double cost = CostOf(rank, estimator);
  for (const Rank other : kRanks) {
    RankQueue& queue = this->QueueOf(other);
    if (queue.waiting.empty()) continue;
    const double max_deficit = kMaxDeficitDispatches * CostOf(other, estimator);
    queue.deficit = std::min(
        max_deficit, queue.deficit + this->floors.at(IndexOf(other)) * cost);
  }
  RankQueue& queue = this->QueueOf(rank);
  queue.deficit = std::max(0.0, queue.deficit - cost);
}

// The last queued request is never dropped: no other could use the slot.
void DispatchQueue::DropLate(RankQueue& queue, std::chrono::nanoseconds needed,
                             MonotonicTime now,
                             std::vector<DroppedWork>& dropped) {
  while (queue.waiting.size() > 1 &&
         queue.waiting.front().deadline < now + needed) {
    dropped.push_back({queue.waiting.front().id, Reason::kDeadlineWouldPass});
    queue.waiting.pop_front();
  }
}

std::vector<DroppedWork> DispatchQueue::RemoveExpired(MonotonicTime now) {
  std::vector<DroppedWork> dropped;
  for (RankQueue& queue : this->queues) this->DropExpired(queue, now, dropped);
  return dropped;
}

void DispatchQueue::DropExpired(RankQueue& queue, MonotonicTime now,
                                std::vector<DroppedWork>& dropped) {
  if (queue.earliest_deadline > now) return;
  queue.earliest_deadline = MonotonicTime::max();
  std::erase_if(queue.waiting, [&](const QueuedWork& work) {
    if (work.deadline > now) {
      queue.earliest_deadline =
          std::min(queue.earliest_deadline, work.deadline);
      return false;
    }
    dropped.push_back({work.id, Reason::kDeadlinePassed});
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
  for (RankQueue& queue : this->queues) {
    std::erase_if(queue.waiting, [&](const QueuedWork& work) {
      if (!predicate(work)) return false;
      removed.push_back(work);
      return true;
    });
  }
  return removed;
}

std::size_t DispatchQueue::Size() const {
  std::size_t total = 0;
  for (const RankQueue& queue : this->queues) total += queue.waiting.size();
  return total;
}

std::size_t DispatchQueue::Size(Rank rank) const {
  return this->queues.at(IndexOf(rank)).waiting.size();
}

RankCounts DispatchQueue::DispatchesBefore(
    Rank rank, const ServiceTimeEstimator& estimator) const {
  const auto seconds_of = [&](Rank of, double count) {
    return count * CostOf(of, estimator);
  };
  const auto own = static_cast<double>(this->Size(rank));
  RankCounts ahead{};
  ahead.at(IndexOf(rank)) = own;
  // The floor of `rank` bounds the slot time that other ranks get before it.
  const double floor = std::max(this->floors.at(IndexOf(rank)), 0.01);
  double others = seconds_of(rank, own + 1.0) * (1.0 / floor - 1.0);
  double total = seconds_of(rank, own);
  for (const Rank other : kRanks) {
    if (other >= rank) break;
    const double count = std::min(static_cast<double>(this->Size(other)),
                                  others / CostOf(other, estimator));
    ahead.at(IndexOf(other)) = count;
    others -= seconds_of(other, count);
    total += seconds_of(other, count);
  }
  for (const Rank other : kRanks) {
    if (other <= rank) continue;
    const double by_floor = this->floors.at(IndexOf(other)) * total;
    ahead.at(IndexOf(other)) = std::min(static_cast<double>(this->Size(other)),
                                        by_floor / CostOf(other, estimator));
  }
  return ahead;
}

}  // namespace bamboorack::upstream
