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

/// A key range and the upstreams that a later leader must assume may hold it.
struct RecordedRange {
  KeyRange range;
  /// Empty if no upstream holds the keys.
  std::optional<UpstreamRun> holder;
  /// Set during a move, when this upstream may already hold the keys.
  std::optional<UpstreamRun> successor;
  /// Meaningful during a move away from a holder. If set, a grant to the holder
  /// was not answered and may still take effect, and the keys have not yet been
  /// granted to the successor. If not set, no grant is sent to the holder
  /// during the move, and the keys may have been granted to the successor.
  bool has_unanswered_grant = false;

  bool operator==(const RecordedRange&) const = default;
};

/// The record in the log that determines key ownership. It is appended by
/// compare-and-append, on the condition that no other record was appended in
/// the meantime, so that writers are serialized. Keys are granted only to
/// upstreams that the newest record names for them.
struct OwnershipRecord {
  Term term;
  DaemonId leader;
  DaemonInstance instance;
  /// Number of the latest change included. Grows within a term.
  std::uint64_t change = 0;
  /// The leader has resigned and sends no more control calls.
  bool is_released = false;
  /// If `is_released`: all leases end within this time after the read of the
  /// record.
  std::chrono::milliseconds leases_left{0};
  std::map<ServiceName, std::vector<RecordedRange>> services;

  bool operator==(const OwnershipRecord&) const = default;
};

/// Returns the first fencing token of a term. The tokens of a term are greater
/// than all tokens of earlier terms, so a leader can issue tokens without a
/// call to the log.
constexpr FencingToken FirstTokenOf(Term term) {
  constexpr unsigned kTokenBitsPerTerm = 24;
  return FencingToken(term.value << kTokenBitsPerTerm);
}

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OWNERSHIP_RECORD_H_
