#include "bamboorack/upstream/dispatch_queue.h"

#include <algorithm>

namespace bamboorack::upstream {
namespace {

// Dispatches of its own rank that a floor can owe: keeps an idle rank from
// saving up for a burst.
constexpr double kMaxOwed = 2.0;
// With exponential times one in twenty requests takes longer than three times
// the mean. With two, 5 % of the lookups of a flood were answered late.
constexpr int kNeededTimes = 3;
// A rank is slow to another if its requests take so many times as long. A slot
// kept free from a rank that is only 4 times slower cost 9 % of the goodput.
constexpr double kSlowTimes = 8.0;
// Below this limit a slot kept free for urgent work is too large a share.
constexpr std::uint32_t kLimitForReserve = 3;
// For so long after its last request a rank counts as in use.
constexpr std::chrono::seconds kInUse{1};
// Stands for the time of a request while none is known.
constexpr double kUnknownSeconds = 0.001;

double CostOf(Rank rank, const ServiceTimeEstimator& estimator) {
  const std::chrono::duration<double> known = estimator.ServiceTime(rank);
  return std::max(known.count(), kUnknownSeconds);
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
  Line& line = this->LineOf(work.rank);
  if (line.waiting.size() >= this->limit_per_rank) {
    return tl::make_unexpected(Reason::kQueueFull);
  }
  line.last_push = now;
  // With a free slot the request is sent at once, so that the estimate can
  // recover from a slow period.
  const bool would_wait = this->Size() > 0 || estimator.Active() >= limit;
  const auto answered =
      now +
      estimator.PredictStart(this->DispatchesBefore(work.rank, estimator),
                             limit) +
      kNeededTimes * estimator.ServiceTime(work.rank);
  if (would_wait && answered > work.deadline) {
    return tl::make_unexpected(Reason::kDeadlineWouldPass);
  }
  line.waiting.push_back(work);
  line.earliest_deadline = std::min(line.earliest_deadline, work.deadline);
  return {};
}

std::optional<QueuedWork> DispatchQueue::Pop(
    const ServiceTimeEstimator& estimator, std::uint32_t limit,
    MonotonicTime now, std::vector<DroppedWork>& dropped) {
  if (estimator.Active() >= limit) return std::nullopt;
  const auto rank = this->ChooseRank(estimator, limit, now);
  if (!rank) return std::nullopt;
  Line& line = this->LineOf(*rank);
  this->DropHopeless(line, kNeededTimes * estimator.ServiceTime(*rank), now,
                     dropped);
  this->Account(*rank, estimator);
  const QueuedWork work = line.waiting.front();
  line.waiting.pop_front();
  if (line.waiting.empty()) line.earliest_deadline = MonotonicTime::max();
  return work;
}

std::optional<Rank> DispatchQueue::ChooseRank(
    const ServiceTimeEstimator& estimator, std::uint32_t limit,
    MonotonicTime now) const {
  std::optional<Rank> chosen;
  double most_owed = 0.0;
  for (const Rank rank : kRanks) {
    const Line& line = this->lines.at(IndexOf(rank));
    if (line.waiting.empty() || !this->MayStart(rank, estimator, limit, now)) {
      continue;
    }
    if (!chosen) chosen = rank;
    // In dispatches of the rank itself.
    const double owed = line.owed / CostOf(rank, estimator);
    if (owed < 1.0 || owed <= most_owed) continue;
    most_owed = owed;
    chosen = rank;
  }
  return chosen;
}

// No slow rank gets the last slot while a more urgent one is in use, because a
// slot that an upload holds can't be taken back.
bool DispatchQueue::MayStart(Rank rank, const ServiceTimeEstimator& estimator,
                             std::uint32_t limit, MonotonicTime now) const {
  if (limit < kLimitForReserve) return true;
  for (const Rank urgent : kRanks) {
    if (urgent >= rank) break;
    const MonotonicTime last = this->lines.at(IndexOf(urgent)).last_push;
    if (last == MonotonicTime::min() || now - last >= kInUse) continue;
    const double slower = CostOf(rank, estimator) / CostOf(urgent, estimator);
    if (slower >= kSlowTimes) return estimator.Active(rank) + 1 < limit;
  }
  return true;
}

void DispatchQueue::Account(Rank rank, const ServiceTimeEstimator& estimator) {
  const double cost = CostOf(rank, estimator);
  for (const Rank other : kRanks) {
    Line& line = this->LineOf(other);
    if (line.waiting.empty()) continue;
    const double most = kMaxOwed * CostOf(other, estimator);
    line.owed =
        std::min(most, line.owed + this->floors.at(IndexOf(other)) * cost);
  }
  Line& line = this->LineOf(rank);
  line.owed = std::max(0.0, line.owed - cost);
}

// Only while another request can use the slot instead.
void DispatchQueue::DropHopeless(Line& line, std::chrono::nanoseconds needed,
                                 MonotonicTime now,
                                 std::vector<DroppedWork>& dropped) {
  while (line.waiting.size() > 1 &&
         line.waiting.front().deadline < now + needed) {
    dropped.push_back({line.waiting.front().id, Reason::kDeadlineWouldPass});
    line.waiting.pop_front();
  }
}

std::vector<DroppedWork> DispatchQueue::RemoveExpired(MonotonicTime now) {
  std::vector<DroppedWork> dropped;
  for (Line& line : this->lines) this->DropExpired(line, now, dropped);
  return dropped;
}

void DispatchQueue::DropExpired(Line& line, MonotonicTime now,
                                std::vector<DroppedWork>& dropped) {
  if (line.earliest_deadline > now) return;
  line.earliest_deadline = MonotonicTime::max();
  std::erase_if(line.waiting, [&](const QueuedWork& work) {
    if (work.deadline > now) {
      line.earliest_deadline = std::min(line.earliest_deadline, work.deadline);
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

RankCounts DispatchQueue::DispatchesBefore(
    Rank rank, const ServiceTimeEstimator& estimator) const {
  const auto seconds_of = [&](Rank of, double count) {
    return count * CostOf(of, estimator);
  };
  const auto own = static_cast<double>(this->Size(rank));
  RankCounts ahead{};
  ahead.at(IndexOf(rank)) = own;
  // The floor of a rank bounds the time of what goes before it.
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
