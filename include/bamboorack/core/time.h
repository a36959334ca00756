#ifndef BAMBOORACK_CORE_TIME_H_
#define BAMBOORACK_CORE_TIME_H_

#include <chrono>

namespace bamboorack {

/// A point on this process's monotonic clock. Leases, mandates and deadlines
/// use it because wall clocks can step.
using MonotonicTime = std::chrono::steady_clock::time_point;

/// A point in wall time. It is only recorded, never compared for decisions.
using WallTime = std::chrono::system_clock::time_point;

/// The monotonic clock of one upstream instance. Readings of two instances
/// cannot be compared with each other.
struct UpstreamClock {
  using rep = std::chrono::milliseconds::rep;
  using period = std::chrono::milliseconds::period;
  using duration = std::chrono::milliseconds;
  using time_point = std::chrono::time_point<UpstreamClock>;
  static constexpr bool is_steady = true;
};

/// A reading of an upstream's own clock, with a resolution of 1 ms.
using UpstreamReading = UpstreamClock::time_point;

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_TIME_H_
