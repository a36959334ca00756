#ifndef BAMBOORACK_DAEMON_LOG_FOLLOWER_H_
#define BAMBOORACK_DAEMON_LOG_FOLLOWER_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"
#include "bamboorack/log_service/fold.h"
#include "bamboorack/log_service/messages.h"
#include "bamboorack/log_service/snapshot_plan.h"

namespace bamboorack::daemon {

/// Keeps the state that the log decides: folds what the log reader delivers,
/// starts from a snapshot where the log has forgotten its beginning, or takes
/// over the state of another daemon. Writes snapshots on request.
class LogFollower {
 public:
  using OnVerdict = std::function<void(const LogRecord&, Verdict)>;

  /// `retention` is how long the log keeps a record.
  LogFollower(std::chrono::milliseconds retention, Metrics& registry);

  /// Takes one message of the log reader and reports each judged record.
  void OnMessage(const log_service::FromLog& message, MonotonicTime now,
                 const OnVerdict& on_verdict);

  /// Takes an encoded snapshot of another daemon. Returns false if it is not
  /// newer, would bring an older revision back, or cannot be read.
  bool OnPeerState(std::string_view snapshot, const OnVerdict& on_verdict);

  /// Returns the next piece of a snapshot to append, if one is due at `now`.
  /// `is_writer` tells whether this daemon writes the snapshots.
  std::optional<Record> DueSnapshotPiece(
      bool is_writer, MonotonicTime now,
      const std::function<RecordId()>& next_record_id);

  /// Returns whether there is a state to serve by: the log was read to its
  /// head, or a state was taken from another daemon.
  bool HasState() const { return this->has_state; }
  /// Returns whether the state of another daemon is needed at `now`: the log
  /// does not answer, or has forgotten records that were not read.
  bool NeedsPeerState(MonotonicTime now) const;

  const ClusterState& State() const { return this->fold.State(); }
  /// Returns the state for another daemon.
  Body EncodedSnapshot() const;
  /// Returns whether the state changed since the last call.
  bool TakeStateChanged();

  /// Returns when the last read that reached the head was sent.
  MonotonicTime HeadContact() const { return this->head_contact; }
  /// Returns whether the log answered within the last second.
  bool HasContact(MonotonicTime now) const;
  /// Returns whether `group` had an authority before the current one.
  bool HadAuthorityBefore(const GroupId& group) const;

 private:
  void ApplyRecord(const LogRecord& record, const OnVerdict& on_verdict);
  void EnterGap(LogOffset first_kept);
  void RecoverFromSnapshot(LogOffset first_kept, const OnVerdict& on_verdict);
  void ApplyWaiting(const OnVerdict& on_verdict);
  bool CollectPiece(const LogRecord& record);
  void NoteAuthority(const LogRecord& record);

  Metrics& metrics;
  log_service::Fold fold;
  log_service::SnapshotAssembler assembler;
  log_service::SnapshotPlan plan;
  bool has_state = false;
  /// The log forgot records between the state and what it still has.
  bool has_gap = false;
  /// Records behind a gap, kept until a snapshot closes it.
  std::vector<LogRecord> waiting;
  bool is_changed = false;
  MonotonicTime head_contact;
  MonotonicTime last_answer;
  std::map<GroupId, bool> had_authority;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_LOG_FOLLOWER_H_
