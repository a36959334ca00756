#ifndef BAMBOORACK_UPSTREAM_OWNERSHIP_RECORD_H_
#define BAMBOORACK_UPSTREAM_OWNERSHIP_RECORD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/key_range.h"
#include "bamboorack/core/owner_map.h"
#include "bamboorack/core/upstream_registry.h"

namespace bamboorack::upstream {

/// Keys and who may hold them, as a successor has to assume.
struct RecordedRange {
  KeyRange range;
  /// Empty if the keys are held by nobody.
  std::optional<UpstreamRun> holder;
  /// Set while the keys move: they may already be held there.
  std::optional<UpstreamRun> successor;
  /// Of keys that move away from a holder: a grant to the holder was not
  /// answered and may be carried out later; the successor has been granted
  /// nothing yet. If not set, no grant is sent to the holder while the move
  /// lasts, and the successor may have been granted the keys.
  bool has_unanswered_grant = false;

  bool operator==(const RecordedRange&) const = default;
};

/// The one record that decides on ownership. It is appended under the
/// condition that no other was appended meanwhile, so that its writers follow
/// each other. No keys are granted to an upstream that the newest record does
/// not name for them.
struct OwnershipRecord {
  Term term;
  DaemonId leader;
  DaemonInstance instance;
  /// Grows with each record of a term.
  std::uint64_t change = 0;
  /// The leader has ended its duty and sends no more orders.
  bool is_released = false;
  /// Of a released record: all leases end within this time after it was read.
  std::chrono::milliseconds leases_left{0};
  std::map<ServiceName, std::vector<RecordedRange>> services;

  bool operator==(const OwnershipRecord&) const = default;
};

/// Returns the first fencing token of a term. Tokens of a term are above all
/// tokens of earlier terms, so a leader draws tokens without a call to the log.
constexpr FencingToken FirstTokenOf(Term term) {
  constexpr unsigned kTokenBits = 24;
  return FencingToken(term.value << kTokenBits);
}

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OWNERSHIP_RECORD_H_
