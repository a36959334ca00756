#ifndef BAMBOORACK_UPSTREAM_OWNERSHIP_RULES_H_
#define BAMBOORACK_UPSTREAM_OWNERSHIP_RULES_H_

#include <chrono>
#include <optional>

#include "bamboorack/core/membership.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// The rules that a proof of lost ownership rests on. Tests replace one of
/// them to show that a violation follows.
struct OwnershipRules {
  /// When a lease granted for `lease` with a reading received at
  /// `reading_received` is over on every clock.
  MonotonicTime (*lease_end)(MonotonicTime reading_received,
                             std::chrono::milliseconds lease);
  /// Whether the VM list proves an instance gone that this daemon knows since
  /// `known_since` and that answered last at `last_answer`.
  bool (*is_vm_gone)(const VmFacts& facts, MonotonicTime known_since,
                     std::optional<MonotonicTime> last_answer);
  /// When everything is over that a predecessor could do, if it acts for at
  /// most `period` after this daemon read its own record at `taken_at`.
  MonotonicTime (*predecessor_end)(MonotonicTime taken_at,
                                   std::chrono::milliseconds period);
};

/// Covers a drift of 0.1 % of the clocks on both sides: 1.001 / 0.999 is a
/// little more than 1.002, and 1 + 1 / 499 is above it.
inline constexpr int kDriftDivisor = 499;

/// How far the VM list may lag behind. A list that lost an instance of a VM
/// says nothing of an instance that started less than this time before,
/// because the list may mean the one that the VM ran earlier.
inline constexpr std::chrono::seconds kVmListLag{10};

inline MonotonicTime EndWithDrift(MonotonicTime start,
                                  std::chrono::milliseconds period) {
  const std::chrono::nanoseconds exact = period;
  return start + exact + exact / kDriftDivisor;
}

inline bool IsVmGone(const VmFacts& facts, MonotonicTime known_since,
                     std::optional<MonotonicTime> last_answer) {
  if (!facts.gone_seen_at) return false;
  if (*facts.gone_seen_at < known_since + kVmListLag) return false;
  return !last_answer || *last_answer < *facts.gone_seen_at;
}

inline constexpr OwnershipRules kOwnershipRules = {&EndWithDrift, &IsVmGone,
                                                   &EndWithDrift};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OWNERSHIP_RULES_H_
