#include "bamboorack/upstream/wait_line.h"

#include <algorithm>
#include <tuple>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using Seconds = std::chrono::duration<double>;

// One in this many pops takes the least urgent request. This guarantees an
// eighth of the pops, half of what a kind of request needs to be served a
// quarter as often as all.
constexpr int kFloorEvery = 8;
constexpr milliseconds kPeriod{500};
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

}  // namespace

void WaitLine::Push(const WaitTicket& ticket) {
  this->tickets.push_back(ticket);
}

std::optional<WaitTicket> WaitLine::Pop(MonotonicTime now) {
  const bool is_floor_due = this->pops_since_floor + 1 >= kFloorEvery;
  const Index index =
      is_floor_due ? this->FindLeastUrgent(now) : this->FindNext(now);
  if (index == kNone) return std::nullopt;
  this->pops_since_floor = is_floor_due ? 0 : this->pops_since_floor + 1;
  const WaitTicket ticket = this->tickets[index];
  this->tickets[index] = this->tickets.back();
  this->tickets.pop_back();
  return ticket;
}

WaitLine::Index WaitLine::FindNext(MonotonicTime now) const {
  Index best = kNone;
  const auto rank = [&](const WaitTicket& ticket) {
    const bool is_late = now > ticket.start_in_time;
    // Requests in time go before late ones, then by priority, then by deadline.
    return std::tuple(is_late, ticket.priority,
                      is_late ? ticket.start_by : ticket.start_in_time);
  };
  for (Index i = 0; i < this->tickets.size(); ++i) {
    if (this->tickets[i].not_before > now) continue;
    if (best == kNone || rank(this->tickets[i]) < rank(this->tickets[best])) {
      best = i;
    }
  }
  return best;
}

WaitLine::Index WaitLine::FindLeastUrgent(MonotonicTime now) const {
  Index best = kNone;
  for (Index i = 0; i < this->tickets.size(); ++i) {
    const WaitTicket& ticket = this->tickets[i];
    if (ticket.not_before > now) continue;
    if (best == kNone || ticket.priority > this->tickets[best].priority ||
        (ticket.priority == this->tickets[best].priority &&
         ticket.arrived < this->tickets[best].arrived)) {
      best = i;
    }
  }
  return best;
}

bool WaitLine::Remove(std::uint64_t request) {
  return std::erase_if(this->tickets, [request](const WaitTicket& ticket) {
           return ticket.request == request;
         }) > 0;
}

std::vector<WaitTicket> WaitLine::TakeHopeless(MonotonicTime now) {
  std::vector<WaitTicket> hopeless;
  std::erase_if(this->tickets, [&](const WaitTicket& ticket) {
    if (now <= ticket.start_by) return false;
    hopeless.push_back(ticket);
    return true;
  });
  return hopeless;
}

void WaitLine::OnServed(MonotonicTime now) {
  const auto elapsed = now - this->period_start;
  if (elapsed > kPeriod) {
    this->served_before = elapsed > 2 * kPeriod ? 0 : this->served_now;
    this->served_now = 0;
    this->period_start = now;
  }
  ++this->served_now;
}

bool WaitLine::CanServe(const WaitTicket& ticket, MonotonicTime now) const {
  return now + this->ExpectedWait(ticket.priority, now) <= ticket.start_by;
}

nanoseconds WaitLine::ExpectedWait(std::uint32_t priority,
                                   MonotonicTime now) const {
  const auto ahead = std::count_if(this->tickets.begin(), this->tickets.end(),
                                   [priority](const WaitTicket& ticket) {
                                     return ticket.priority <= priority;
                                   });
  // Without a measured rate no wait is predicted, so nothing is refused.
  const double served = this->served_now + this->served_before;
  if (ahead == 0 || served == 0) return nanoseconds(0);
  const Seconds span =
      Seconds(kPeriod) +
      std::min(Seconds(now - this->period_start), Seconds(kPeriod));
  const double rate = served / span.count();
  return std::chrono::duration_cast<nanoseconds>(
      Seconds(static_cast<double>(ahead) / rate));
}

}  // namespace bamboorack::upstream
