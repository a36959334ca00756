#ifndef BAMBOORACK_UPSTREAM_OWNERSHIP_RULES_H_
#define BAMBOORACK_UPSTREAM_OWNERSHIP_RULES_H_

#include <chrono>
#include <optional>

#include "bamboorack/core/membership.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// The rules that prove that an upstream no longer owns a shard. Mutation tests
/// replace one rule at a time and expect an ownership violation.
struct OwnershipRules {
  /// Returns when a lease of duration `lease`, which the upstream counts from a
  /// reading received here at `reading_received`, has expired on every clock.
  MonotonicTime (*lease_end)(MonotonicTime reading_received,
                             std::chrono::milliseconds lease);
  /// Returns whether the VM list proves that an instance no longer runs. This
  /// daemon has known the instance since `known_since` and received its last
  /// answer at `last_answer`.
  bool (*is_vm_gone)(const VmFacts& facts, MonotonicTime known_since,
                     std::optional<MonotonicTime> last_answer);
  /// Returns when no action of a predecessor can have an effect any more, if
  /// it acts for at most `period` after `taken_at`, when this daemon read back
  /// its own `authority_taken` record.
  MonotonicTime (*predecessor_end)(MonotonicTime taken_at,
                                   std::chrono::milliseconds period);
};

/// A period is extended by 1/499 to cover a clock drift of 0.1 % on both sides:
/// 1.001 / 0.999 is slightly more than 1.002 and less than 1 + 1 / 499.
inline constexpr int kClockDriftDivisor = 499;

/// Maximum delay of the VM list. The disappearance of a VM from the list does
/// not apply to an instance that became known less than this time before,
/// because the list may still refer to an earlier instance on the same VM.
inline constexpr std::chrono::seconds kMaxVmListLag{10};

inline MonotonicTime EndWithDrift(MonotonicTime start,
                                  std::chrono::milliseconds period) {
  const std::chrono::nanoseconds exact = period;
  return start + exact + exact / kClockDriftDivisor;
}

inline bool IsVmGone(const VmFacts& facts, MonotonicTime known_since,
                     std::optional<MonotonicTime> last_answer) {
  if (!facts.gone_seen_at) return false;
  if (*facts.gone_seen_at < known_since + kMaxVmListLag) return false;
  return !last_answer || *last_answer < *facts.gone_seen_at;
}

inline constexpr OwnershipRules kOwnershipRules = {&EndWithDrift, &IsVmGone,
                                                   &EndWithDrift};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OWNERSHIP_RULES_H_
