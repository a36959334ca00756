#ifndef BAMBOORACK_UPSTREAM_DEDUPLICATION_TABLE_H_
#define BAMBOORACK_UPSTREAM_DEDUPLICATION_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/work_id.h"

namespace bamboorack::upstream {

/// State of a once-only request id at the authority of its group.
enum class DeduplicationState : std::uint8_t {
  /// No entry; see `DeduplicationTable::IsComplete`.
  kAbsent,
  /// An attempt is queued, sent or being settled.
  kInProgress,
  /// Answered, and the answer is stored.
  kDone,
  /// It ran, but its answer is lost or was dropped to free memory.
  kRanAnswerLost,
  /// It may have run.
  kUnknown,
};

/// Stores the once-only request ids of one group and their answers, to
/// deduplicate repeated requests. Bounded by time and by bytes. Evicting an id
/// before its retention time advances `CompleteSince`.
class DeduplicationTable {
 public:
  struct Settings {
    std::chrono::milliseconds retention{600'000};
    std::size_t max_bytes = 16U << 20U;
  };

  /// The table has no ids from before `taken_at`.
  DeduplicationTable(MonotonicTime taken_at, Settings initial_settings);

  void SetRetention(std::chrono::milliseconds retention);
  /// Records that the group was taken over again at `taken_at` from another
  /// authority. Stored ids stay valid, but the other authority may have sent
  /// ids that are not stored here.
  void OnTakeover(MonotonicTime taken_at);

  DeduplicationState StateOf(const RequestId& id) const;
  /// Returns whether an absent id was certainly not sent within the last
  /// `retention`.
  bool IsComplete(MonotonicTime now) const;
  /// Returns whether `id` is stored with another fingerprint, that is, whether
  /// two different requests have the same id.
  bool HasOtherFingerprint(const RequestId& id,
                           std::uint64_t fingerprint) const;
  /// Returns the answer to an id in state `kDone`, otherwise null.
  const Answer* AnswerOf(const RequestId& id) const;

  /// Returns the `work` of the last call of `Begin` for `id`. The id must be
  /// stored.
  WorkId AttemptOf(const RequestId& id) const;

  /// Starts an attempt of an id that is not in progress. `fingerprint` is a
  /// hash of the whole request.
  void Begin(const RequestId& id, std::uint64_t fingerprint, WorkId work,
             MonotonicTime now);
  /// Adds `work` to the waiters for the result of an id that is in progress.
  void AddWaiter(const RequestId& id, WorkId work);
  /// Removes `work` from the waiters. Returns the number of remaining waiters.
  std::size_t RemoveWaiter(const RequestId& id, WorkId work);
  std::size_t WaiterCount(const RequestId& id) const;
  /// Records the result of the attempt and returns all waiters. An id that did
  /// not run is removed, so that the request can be retried.
  std::vector<WorkId> End(const RequestId& id, const Result& result,
                          MonotonicTime now);
  /// Ends an attempt that was not sent and whose outcome gives no information:
  /// restores the state from before `Begin`. Returns all waiters.
  std::vector<WorkId> Abort(const RequestId& id);
  /// Ends an attempt that ran but whose answer is lost. Returns all waiters.
  std::vector<WorkId> EndAnswerLost(const RequestId& id, MonotonicTime now);
  /// Removes ids that ended at least `retention` ago.
  void Expire(MonotonicTime now);

  std::size_t Bytes() const { return this->bytes; }
  std::size_t Size() const { return this->entries.size(); }
  MonotonicTime CompleteSince() const { return this->complete_since; }

 private:
  struct Entry {
    DeduplicationState state = DeduplicationState::kInProgress;
    std::uint64_t fingerprint = 0;
    WorkId attempt;
    std::optional<Answer> answer;
    std::vector<WorkId> waiters;
    MonotonicTime ended_at;
    /// State before the attempt in progress began.
    DeduplicationState previous_state = DeduplicationState::kAbsent;
    std::size_t bytes = 0;
  };
  /// The end of one attempt. Stale if the entry has ended again since.
  struct EndRecord {
    RequestId id;
    MonotonicTime at;
  };

  std::vector<WorkId> Finish(const RequestId& id, DeduplicationState state,
                             std::optional<Answer> answer, MonotonicTime now);
  void Erase(const RequestId& id);
  bool IsCurrent(const EndRecord& end) const;
  void EvictToLimit();
  void DropOldestAnswer();
  void EvictOldest();

  std::unordered_map<RequestId, Entry> entries;
  std::deque<EndRecord> end_records;
  Settings settings;
  MonotonicTime complete_since;
  std::size_t bytes = 0;
  /// Index into `end_records`; the answers of all earlier elements are dropped.
  std::size_t answers_dropped = 0;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_DEDUPLICATION_TABLE_H_
