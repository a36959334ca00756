#ifndef BAMBOORACK_UPSTREAM_RANGE_RULES_H_
#define BAMBOORACK_UPSTREAM_RANGE_RULES_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/ownership_record.h"

namespace bamboorack::upstream {

/// Rules on which the safety of moving keys depends. Tests replace single rules
/// to show that two upstreams then hold a key at the same time.
struct RangeRules {
  /// Returns when a lease of duration `lease` that began no later than `start`
  /// has expired on every clock.
  MonotonicTime (*lease_end)(MonotonicTime start,
                             std::chrono::milliseconds lease);
  /// Returns until when an upstream may hold keys that are granted to it until
  /// `granted`, if earlier grants let it hold them until `earlier`.
  MonotonicTime (*hold_end)(MonotonicTime earlier, MonotonicTime granted);
  /// Whether the answer to a release call proves that the upstream no longer
  /// holds the keys.
  bool (*is_release_proof)(bool has_unanswered_grant);
  /// Whether a call that depends on `required_change` may be sent when the
  /// record in the log includes all changes up to `saved_change`.
  bool (*may_send_call)(std::uint64_t saved_change,
                        std::uint64_t required_change);
  /// Returns until when the successor of a move that a former leader began may
  /// hold the keys, if the leases of that leader end at `leases_end`.
  MonotonicTime (*successor_hold_end)(MonotonicTime leases_end);
  /// Returns the first fencing token of a term.
  FencingToken (*first_token)(Term term);
};

/// The most by which the clock of an upstream may run slow.
inline constexpr int kMaxClockDriftPercent = 2;
/// The longest transit time of an unanswered call: its timeout of 0.4 s, and
/// then the time for which it can remain in the send queue of a slow link, from
/// which it cannot be withdrawn.
inline constexpr std::chrono::milliseconds kMaxCallTransit{1'000};

inline MonotonicTime EndOfLease(MonotonicTime start,
                                std::chrono::milliseconds lease) {
  const std::chrono::nanoseconds on_slow_clock =
      std::chrono::nanoseconds(lease) * 100 / (100 - kMaxClockDriftPercent);
  return start + std::chrono::ceil<std::chrono::milliseconds>(on_slow_clock);
}

/// A later grant does not reliably shorten a longer one, whatever its token.
inline MonotonicTime EndOfHold(MonotonicTime earlier, MonotonicTime granted) {
  return std::max(earlier, granted);
}

inline bool IsReleaseProof(bool has_unanswered_grant) {
  return !has_unanswered_grant;
}

inline bool MaySendCall(std::uint64_t saved_change,
                        std::uint64_t required_change) {
  return saved_change >= required_change;
}

inline MonotonicTime EndOfSuccessorHold(MonotonicTime leases_end) {
  return leases_end;
}

inline constexpr RangeRules kRangeRules = {&EndOfLease,         &EndOfHold,
                                           &IsReleaseProof,     &MaySendCall,
                                           &EndOfSuccessorHold, &FirstTokenOf};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_RULES_H_
