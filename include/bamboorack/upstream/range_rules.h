#ifndef BAMBOORACK_UPSTREAM_RANGE_RULES_H_
#define BAMBOORACK_UPSTREAM_RANGE_RULES_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/ownership_record.h"

namespace bamboorack::upstream {

/// The rules that the safety of a move of keys rests on. Tests replace one of
/// them to show that two holders follow.
struct RangeRules {
  /// When a lease for `lease` that began at `start` or before is over on every
  /// clock.
  MonotonicTime (*lease_end)(MonotonicTime start,
                             std::chrono::milliseconds lease);
  /// Until when an upstream may hold keys that it was granted until `granted`,
  /// if it may have held them until `earlier` before.
  MonotonicTime (*hold_end)(MonotonicTime earlier, MonotonicTime granted);
  /// Whether an answered release proves that the upstream holds nothing.
  bool (*is_release_proof)(bool has_unanswered_grant);
  /// Whether an order that needs `needed_change` in the record may be sent.
  bool (*may_order)(std::uint64_t saved_change, std::uint64_t needed_change);
  /// Until when the successor of a move that a predecessor began may hold the
  /// keys, if the predecessor's leases end at `leases_end`.
  MonotonicTime (*successor_end)(MonotonicTime leases_end);
  /// The first fencing token of a term.
  FencingToken (*first_token)(Term term);
};

/// An upstream's clock may run this much too slow.
inline constexpr int kLeaseDriftPercent = 2;
/// The longest way of an order that is not answered: 0.4 s until it is
/// abandoned, and then what waits at a slow link and cannot be called back.
inline constexpr std::chrono::milliseconds kOrderTravel{1'000};

inline MonotonicTime EndOfLease(MonotonicTime start,
                                std::chrono::milliseconds lease) {
  const std::chrono::nanoseconds on_slow_clock =
      std::chrono::nanoseconds(lease) * 100 / (100 - kLeaseDriftPercent);
  return start + std::chrono::ceil<std::chrono::milliseconds>(on_slow_clock);
}

/// A later grant, under whatever token, is not known to end a longer one.
inline MonotonicTime EndOfHold(MonotonicTime earlier, MonotonicTime granted) {
  return std::max(earlier, granted);
}

inline bool IsReleaseProof(bool has_unanswered_grant) {
  return !has_unanswered_grant;
}

inline bool MayOrder(std::uint64_t saved_change, std::uint64_t needed_change) {
  return saved_change >= needed_change;
}

inline MonotonicTime EndOfSuccessor(MonotonicTime leases_end) {
  return leases_end;
}

inline constexpr RangeRules kRangeRules = {&EndOfLease,     &EndOfHold,
                                           &IsReleaseProof, &MayOrder,
                                           &EndOfSuccessor, &FirstTokenOf};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_RULES_H_
