#ifndef BAMBOORACK_UPSTREAM_ONCE_ONLY_MEMORY_H_
#define BAMBOORACK_UPSTREAM_ONCE_ONLY_MEMORY_H_

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

/// What one group's authority knows of a once-only request id.
enum class OnceOnlyState : std::uint8_t {
  /// Not seen; see `OnceOnlyMemory::IsComplete`.
  kAbsent,
  /// An attempt is queued, sent or being settled.
  kInProgress,
  /// Answered; the answer is kept.
  kDone,
  /// It ran, but its answer is lost or was dropped for its size.
  kRanAnswerLost,
  /// It may have run.
  kUnknown,
};

/// The once-only request ids of one group. Bounded by time and by bytes.
/// Forgetting an id early moves the time since when the memory is complete.
class OnceOnlyMemory {
 public:
  struct Settings {
    std::chrono::milliseconds keep_for{600'000};
    std::size_t max_bytes = 16U << 20U;
  };

  /// Ids that were seen before `taken_at` are not remembered.
  OnceOnlyMemory(MonotonicTime taken_at, Settings bounds);

  void SetKeepFor(std::chrono::milliseconds keep_for);
  /// The group was taken again at `taken_at` after another authority held it.
  /// What is remembered stays true, but other ids may have been sent meanwhile.
  void OnTakeover(MonotonicTime taken_at);

  OnceOnlyState StateOf(const RequestId& id) const;
  /// Returns whether an absent id is certain not to have been sent within
  /// `keep_for`.
  bool IsComplete(MonotonicTime now) const;
  /// Returns whether `id` is remembered with another fingerprint, so that two
  /// different requests share it.
  bool IsOtherRequest(const RequestId& id, std::uint64_t fingerprint) const;
  /// Returns the answer to an id in state `kDone`.
  const Answer* AnswerOf(const RequestId& id) const;

  /// Returns the attempt that `Begin` was called with last. The id must be
  /// remembered.
  WorkId AttemptOf(const RequestId& id) const;

  /// Starts an attempt of an id that is not in progress. `fingerprint` is a
  /// hash of the whole request.
  void Begin(const RequestId& id, std::uint64_t fingerprint, WorkId work,
             MonotonicTime now);
  /// Lets `work` wait for the ending of an id that is in progress.
  void Join(const RequestId& id, WorkId work);
  /// Stops `work` from waiting. Returns how many still wait.
  std::size_t Leave(const RequestId& id, WorkId work);
  std::size_t WaiterCount(const RequestId& id) const;
  /// Ends the attempt and returns everyone who waits. An id that did not run
  /// is forgotten, so that it can be tried again.
  std::vector<WorkId> End(const RequestId& id, const Result& result,
                          MonotonicTime now);
  /// Ends an attempt that was not sent and about which nothing was learned:
  /// the id is again as before `Begin`. Returns everyone who waits.
  std::vector<WorkId> Abort(const RequestId& id);
  /// Ends an attempt that ran but whose answer is lost.
  std::vector<WorkId> EndAnswerLost(const RequestId& id, MonotonicTime now);
  /// Forgets what is older than `keep_for`.
  void Expire(MonotonicTime now);

  std::size_t Bytes() const { return this->bytes; }
  std::size_t Size() const { return this->entries.size(); }
  MonotonicTime CompleteSince() const { return this->complete_since; }

 private:
  struct Entry {
    OnceOnlyState state = OnceOnlyState::kInProgress;
    std::uint64_t fingerprint = 0;
    WorkId attempt;
    std::optional<Answer> answer;
    std::vector<WorkId> waiters;
    MonotonicTime ended_at;
    /// What was known before the attempt in progress began.
    OnceOnlyState state_before = OnceOnlyState::kAbsent;
    std::size_t bytes = 0;
  };
  /// Endings in order of time; stale if the entry has a later ending.
  struct Ended {
    RequestId id;
    MonotonicTime at;
  };

  std::vector<WorkId> Finish(const RequestId& id, OnceOnlyState state,
                             std::optional<Answer> answer, MonotonicTime now);
  void Forget(const RequestId& id);
  bool IsCurrent(const Ended& end) const;
  void ShrinkToBytes();
  void DropOldestAnswer();
  void ForgetOldest();

  std::unordered_map<RequestId, Entry> entries;
  std::deque<Ended> ended;
  Settings settings;
  MonotonicTime complete_since;
  std::size_t bytes = 0;
  /// Position in `ended` before which all answers are already dropped.
  std::size_t answers_dropped = 0;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_ONCE_ONLY_MEMORY_H_
