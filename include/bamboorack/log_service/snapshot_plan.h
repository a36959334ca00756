#ifndef BAMBOORACK_LOG_SERVICE_SNAPSHOT_PLAN_H_
#define BAMBOORACK_LOG_SERVICE_SNAPSHOT_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"

namespace bamboorack::log_service {

/// Bytes of a snapshot in one record.
inline constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;
/// At most two pieces a second, so that a snapshot leaves the log's several
/// hundred appends a second to others.
inline constexpr std::chrono::milliseconds kPieceInterval{500};
/// Bounds the memory that a snapshot takes to 64 MiB.
inline constexpr std::uint32_t kMaxPieces = 1024;

/// Decides when the daemon that writes the snapshots writes one, and cuts it.
class SnapshotPlan {
 public:
  /// `retention` is how long the log keeps a record.
  explicit SnapshotPlan(std::chrono::milliseconds retention);

  /// A snapshot became complete while the reader was at the head of the log.
  /// Older snapshots are not reported here: their age is not known, so a new
  /// writer starts with one of its own.
  void OnComplete(MonotonicTime now);

  /// Whether to start a snapshot: half of the retention time has passed since
  /// the last complete one.
  bool IsDue(MonotonicTime now) const;

  /// Starts to write `text`. Replaces a snapshot that is being written.
  /// Returns false, and writes nothing, if `text` is empty or needs more than
  /// `kMaxPieces`.
  bool Start(const RecordId& snapshot, LogOffset covers_before,
             const std::string& text, MonotonicTime now);

  /// Returns the next piece to append, if it is time for one.
  std::optional<SnapshotPiece> NextPiece(MonotonicTime now);

  bool IsWriting() const { return !this->pieces.empty(); }

  /// Stops writing, such as when another daemon becomes the writer.
  void Cancel() { this->pieces.clear(); }

 private:
  std::chrono::milliseconds interval;
  /// In the past at first, so that a new writer begins at once.
  MonotonicTime due_at = MonotonicTime::min();
  MonotonicTime next_piece_at = MonotonicTime::min();
  std::deque<SnapshotPiece> pieces;
};

/// A snapshot whose pieces were all read.
struct CompleteSnapshot {
  RecordId id;
  /// The snapshot holds every record before this offset.
  LogOffset covers_before;
  std::string text;
};

/// Records that neither the newest snapshot nor the log holds.
struct LogGap {
  /// The first missing offset.
  LogOffset from;
  /// The first offset that the log still has.
  LogOffset first_kept;
};

/// Collects the pieces of snapshots and keeps the newest complete one.
class SnapshotAssembler {
 public:
  /// Adds a piece. Returns true if it makes a snapshot complete that is newer
  /// than `Newest()`. Pieces that contradict earlier ones are ignored.
  bool Add(const SnapshotPiece& piece);

  const std::optional<CompleteSnapshot>& Newest() const { return this->newest; }

  /// Returns what is missing if the log begins at `first_kept`: nothing if the
  /// newest snapshot or the start of the log reaches that far. The caller asks
  /// a peer for the rest.
  std::optional<LogGap> GapBefore(LogOffset first_kept) const;

 private:
  struct Collection {
    LogOffset covers_before;
    std::uint32_t count = 0;
    std::map<std::uint32_t, std::string> bodies;
  };

  void DropOldest();

  std::map<RecordId, Collection> open;
  std::optional<CompleteSnapshot> newest;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_SNAPSHOT_PLAN_H_
