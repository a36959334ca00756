#ifndef BAMBOORACK_UPSTREAM_BURST_LIMIT_H_
#define BAMBOORACK_UPSTREAM_BURST_LIMIT_H_

#include <cstddef>
#include <cstdint>

#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// Limits how many requests one daemon sends to one upstream before the other
/// daemons can have heard of them.
///
/// Load pattern: the owner of a hot key changes, and meanwhile every daemon
/// holds requests for the key. When the new owner is known, each daemon sees an
/// idle upstream. If each one filled it alone, dozens of daemons together would
/// send many times what it can queue; it would reset their connections, and
/// they would take it for failed and refuse its keys.
class BurstLimit {
 public:
  /// Whether one more request may be sent at `now` to an upstream that has room
  /// for `free_places` requests by the counts known here, that has `in_flight`
  /// requests of this daemon, and that `daemon_count` daemons share. Always
  /// allows one request at a time.
  bool Allows(double free_places, std::uint32_t in_flight,
              std::size_t daemon_count, MonotonicTime now) const;
  /// Counts a request. The other daemons hear of it by `report_due`.
  void OnSent(MonotonicTime now, MonotonicTime report_due);

 private:
  /// Requests sent since the interval began, which the others do not know of.
  /// An interval begins with the first request after the former one.
  std::uint32_t unreported = 0;
  MonotonicTime interval_end;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_BURST_LIMIT_H_
