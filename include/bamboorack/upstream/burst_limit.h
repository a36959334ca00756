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
  /// for `free_places` requests by the counts known here, and that `daemons`
  /// daemons share. Always allows one per interval.
  bool Allows(double free_places, std::size_t daemons, MonotonicTime now) const;
  /// Counts a request. The other daemons hear of it by `reported_by`.
  void OnSent(MonotonicTime now, MonotonicTime reported_by);

 private:
  /// Requests sent since the last one that the other daemons know of.
  std::uint32_t unreported = 0;
  MonotonicTime interval_end;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_BURST_LIMIT_H_
