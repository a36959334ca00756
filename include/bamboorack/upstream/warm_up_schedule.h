#ifndef BAMBOORACK_UPSTREAM_WARM_UP_SCHEDULE_H_
#define BAMBOORACK_UPSTREAM_WARM_UP_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/desired_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"

namespace bamboorack::upstream {

/// Decides when this daemon may send a request to an upstream that warms up.
///
/// Load pattern: an upstream that warms up looks idle to dozens of daemons,
/// some of which may not hear each other, and together they exceed the rate
/// that it tolerates. So each daemon has turns of its own, which follow from
/// the end of the upstream's warm-up and the daemon's place in the directory.
/// The turns of all daemons are spread evenly, at most the tolerated rate in
/// sum; turns that are not used are lost. A daemon without a place has none.
///
/// Services without a rate are not affected: their upstreams are never cold.
class WarmUpSchedule {
 public:
  /// A turn may be used for this long, so that a routing thread that wakes up
  /// late does not miss it.
  static constexpr std::chrono::milliseconds kTurnLength{150};
  /// How far apart daemons may place the same turn: by the different ages of
  /// the records that they read, and by the time that a relay takes.
  static constexpr std::chrono::milliseconds kMaxAnchorSpread{1'500};

  WarmUpSchedule() = default;
  /// `daemons` is the directory, ordered by id.
  WarmUpSchedule(const DesiredState& desired,
                 const std::vector<DaemonId>& daemons, const DaemonId& own);

  /// Whether the upstream needs protection now.
  bool IsCold(const RegisteredUpstream& entry, MonotonicTime now) const;
  /// Whether a request may be sent now. `turn_used` is when this daemon last
  /// sent one to this run while it was cold.
  bool MaySend(const RegisteredUpstream& entry,
               std::optional<MonotonicTime> turn_used, MonotonicTime now) const;
  /// Returns when a request may be sent if `ahead` others are sent before it:
  /// `now` if the upstream is not cold, else in a turn or when its warm-up
  /// ends.
  MonotonicTime NextStart(const RegisteredUpstream& entry,
                          std::optional<MonotonicTime> turn_used,
                          std::size_t ahead, MonotonicTime now) const;

 private:
  /// The turns of this daemon at one upstream.
  struct Turns {
    std::chrono::nanoseconds interval;
    std::chrono::nanoseconds length;
    /// From the last turn to the end of the warm-up.
    std::chrono::nanoseconds last_offset;
  };
  struct Place {
    std::size_t rank = 0;
    std::size_t daemon_count = 1;
  };

  std::optional<Turns> TurnsAt(const RegisteredUpstream& entry) const;

  /// Requests per second that all daemons together send to a cold upstream.
  std::map<ServiceName, double> rates;
  std::optional<Place> place;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_WARM_UP_SCHEDULE_H_
