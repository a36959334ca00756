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

/// Maintains the cluster state by applying the records of the log. If the log
/// has been trimmed, starts from a snapshot in the log or from the state of
/// another daemon. Also produces the snapshot pieces to append to the log.
class LogFollower {
 public:
  using VerdictHandler = std::function<void(const LogRecord&, Verdict)>;

  /// `retention` is the time for which the log keeps a record.
  LogFollower(std::chrono::milliseconds retention, Metrics& registry);

  /// Processes a message from the log reader and reports the verdict on each
  /// new record.
  void OnMessage(const log_service::FromLog& message, MonotonicTime now,
                 const VerdictHandler& on_verdict);

  /// Replaces the state by an encoded snapshot. Returns false if the snapshot
  /// is malformed, is not newer, or would restore an older revision.
  bool RestoreSnapshot(std::string_view snapshot,
                       const VerdictHandler& on_verdict);

  /// Returns the next snapshot piece to append to the log, if one is due at
  /// `now`. Only the daemon for which `is_writer` is true writes snapshots.
  std::optional<Record> NextSnapshotPiece(
      bool is_writer, MonotonicTime now,
      const std::function<RecordId()>& next_record_id);

  /// Returns whether the state can be used: the log was read to its head, or a
  /// snapshot was restored.
  bool HasState() const { return this->has_state; }
  /// Returns whether the state of another daemon is needed at `now`: there is
  /// no state yet and the log does not answer, or the log was trimmed past the
  /// last record that was read.
  bool NeedsPeerState(MonotonicTime now) const;

  const ClusterState& State() const { return this->fold.State(); }
  /// Returns the state in the encoding that other daemons can restore.
  Body EncodedSnapshot() const;
  /// Returns and clears the flag that the state has changed.
  bool ConsumeStateChanged();

  /// Returns the send time of the last read that reached the head of the log.
  MonotonicTime LastHeadContact() const { return this->last_head_contact; }
  /// Returns whether the log answered within the last second.
  bool HasLogContact(MonotonicTime now) const;
  /// Returns whether `group` had an authority before the current one.
  bool HadPredecessor(const GroupId& group) const;

 private:
  void ApplyRecord(const LogRecord& record, const VerdictHandler& on_verdict);
  void EnterGap(LogOffset first_kept);
  void RecoverFromSnapshot(LogOffset first_kept,
                           const VerdictHandler& on_verdict);
  void ApplyRecordsAfterGap(const VerdictHandler& on_verdict);
  bool CollectSnapshotPiece(const LogRecord& record);
  void RecordPredecessor(const LogRecord& record);

  Metrics& metrics;
  log_service::Fold fold;
  log_service::SnapshotAssembler assembler;
  log_service::SnapshotPlan plan;
  bool has_state = false;
  /// Set if the log was trimmed past the end of the state.
  bool has_gap = false;
  /// Records after the gap, kept until a snapshot covers the gap.
  std::vector<LogRecord> records_after_gap;
  bool has_state_changed = false;
  MonotonicTime last_head_contact;
  MonotonicTime last_answer;
  std::map<GroupId, bool> had_predecessor;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_LOG_FOLLOWER_H_
