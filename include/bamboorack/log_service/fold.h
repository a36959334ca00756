#ifndef BAMBOORACK_LOG_SERVICE_FOLD_H_
#define BAMBOORACK_LOG_SERVICE_FOLD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"

namespace bamboorack::log_service {

/// Number of record ids that the fold remembers. A writer resends a record for
/// tens of seconds at most, and at 500 appends/s these ids span 65 s. Every
/// snapshot holds them, which bounds the number from above.
inline constexpr std::size_t kRememberedIds = 32'768;

/// Hashes of the last `kRememberedIds` record ids, oldest first.
class RecentIds {
 public:
  RecentIds() = default;
  /// Takes the newest `kRememberedIds` of `oldest_first`.
  explicit RecentIds(const std::vector<std::uint64_t>& oldest_first);

  /// Adds `id` and forgets the oldest one if there are too many. Returns false
  /// if `id` is already there.
  bool Insert(const RecordId& id);

  std::vector<std::uint64_t> OldestFirst() const;

 private:
  bool InsertHash(std::uint64_t hash);

  std::deque<std::uint64_t> order;
  std::unordered_set<std::uint64_t> known;
};

/// What a snapshot holds. The ids belong to it: without them a reader that
/// starts from a snapshot would judge a duplicate that other readers ignore.
struct FoldSnapshot {
  ClusterState state;
  /// See `RecentIds::OldestFirst`.
  std::vector<std::uint64_t> recent_ids;
};

/// Applies the records of the log in order. Every reader of the same records
/// reaches the same state and the same verdicts.
class Fold {
 public:
  /// Starts before the first record of the log.
  Fold() : Fold(ClusterState{}) {}
  /// Starts from `state`, without remembered ids.
  explicit Fold(ClusterState state);
  explicit Fold(FoldSnapshot snapshot);

  /// Judges `record` and applies it if it is accepted. A record before
  /// `State().next_offset` changes nothing and is a duplicate. Records must
  /// come in the order of the log; offsets that hold no readable record may be
  /// left out.
  Verdict Apply(const LogRecord& record);

  /// Marks the offsets before `next` as read. Call it at the end of each read,
  /// because unreadable records at its end are never applied.
  void AdvanceTo(LogOffset next);

  /// Continues from `snapshot`. Returns false, and changes nothing, unless its
  /// position is higher and its revisions are not older.
  bool TakeOver(FoldSnapshot snapshot);

  const ClusterState& State() const { return this->state; }

  /// Copies what a snapshot needs.
  FoldSnapshot Snapshot() const;

 private:
  using Handler = Verdict (Fold::*)(const LogRecord&);
  struct Handlers;

  Verdict ApplyInventory(const LogRecord& record);
  Verdict ApplyRules(const LogRecord& record);
  Verdict ApplyAuthorityTaken(const LogRecord& record);
  Verdict ApplyAuthorityReleased(const LogRecord& record);
  Verdict ApplyShardsAssigned(const LogRecord& record);
  Verdict ApplyDeclaredLost(const LogRecord& record);
  Verdict ApplySnapshotPiece(const LogRecord& record);

  Verdict CheckChange(const ShardsAssigned& assigned,
                      const ShardChange& change) const;
  /// Gives the shards that `assigned` releases their proposed group.
  void RegroupReleased(const ShardsAssigned& assigned);
  bool IsKnownGroup(const GroupId& group) const;
  bool IsOwner(const UpstreamRef& upstream) const;
  /// Returns the group's token, 0 if it never had an authority.
  FencingToken TokenOf(const GroupId& group) const;
  /// Sizes the shards of `service` and gives the unowned ones from index
  /// `first` on their proposed group.
  void PlaceShards(const ServiceEntry& service, std::size_t first);
  void ForgetLostUpstreams();

  ClusterState state;
  RecentIds ids;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_FOLD_H_
