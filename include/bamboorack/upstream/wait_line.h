#ifndef BAMBOORACK_UPSTREAM_WAIT_LINE_H_
#define BAMBOORACK_UPSTREAM_WAIT_LINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// A request that waits for room at an upstream.
struct WaitTicket {
  std::uint64_t request = 0;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  MonotonicTime arrived;
  /// Started later, it is answered after its latency target.
  MonotonicTime start_in_time;
  /// Started later, it is not answered within its time limit.
  MonotonicTime start_by;
  /// Not to be taken earlier, after a refusal by the upstream.
  MonotonicTime not_before;
};

/// The requests of one daemon that wait for the same upstream or service.
///
/// Load pattern: one kind of request floods in at twice to ten times what the
/// upstreams can take. Urgent requests go first, and within a priority those
/// that can still be answered in time; each priority keeps a floor, so that
/// none starves. What cannot start before its limit is refused on arrival.
class WaitLine {
 public:
  void Push(const WaitTicket& ticket);
  /// Takes the request that goes next, or nothing.
  std::optional<WaitTicket> Pop(MonotonicTime now);
  /// Returns the request to the line, as if it had not been taken.
  void Return(const WaitTicket& ticket) { this->Push(ticket); }
  bool Remove(std::uint64_t request);
  /// Removes and returns the requests that cannot be answered by their limit.
  std::vector<WaitTicket> TakeHopeless(MonotonicTime now);

  /// Counts one request that left an upstream, to learn how fast the line
  /// moves.
  void OnServed(MonotonicTime now);
  /// Whether a new request can be served, as far as this can be foreseen.
  bool CanServe(const WaitTicket& ticket, MonotonicTime now) const;
  /// Returns how long a request of `priority` that arrives now would wait.
  std::chrono::nanoseconds ExpectedWait(std::uint32_t priority,
                                        MonotonicTime now) const;

  bool IsEmpty() const { return this->tickets.empty(); }
  std::size_t Size() const { return this->tickets.size(); }

 private:
  using Index = std::size_t;

  Index FindNext(MonotonicTime now) const;
  Index FindLeastUrgent(MonotonicTime now) const;

  std::vector<WaitTicket> tickets;
  /// Pops since the floor was served.
  int pops_since_floor = 0;
  /// Requests served in the current and in the last period.
  double served_now = 0;
  double served_before = 0;
  MonotonicTime period_start;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_WAIT_LINE_H_
