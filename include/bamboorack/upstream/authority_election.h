#ifndef BAMBOORACK_UPSTREAM_AUTHORITY_ELECTION_H_
#define BAMBOORACK_UPSTREAM_AUTHORITY_ELECTION_H_

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// Interval between heartbeats from an authority to its standby daemons.
inline constexpr std::chrono::milliseconds kHeartbeatInterval{150};
/// An authority counts as silent when no heartbeat arrived for this long.
inline constexpr std::chrono::milliseconds kHeartbeatTimeout{450};
/// Additional delay per rank before a candidate requests the authority, so
/// that candidates do not all append at once.
inline constexpr std::chrono::milliseconds kTakeoverDelayPerRank{150};
/// Number of top-ranked candidates that receive heartbeats. One candidate
/// outside the group's failure domain is added if these include none.
inline constexpr std::size_t kHeartbeatCandidateCount = 3;

/// Decides when this daemon requests the authority over a group by appending
/// an `AuthorityTaken` record to the log.
class AuthorityElection {
 public:
  AuthorityElection(DaemonId self, DaemonInstance instance,
                    std::function<RecordId()> next_record_id);

  /// Returns the records to append. `last_heard` maps each daemon to the time
  /// of its last heartbeat; daemons without a heartbeat so far have no entry.
  std::vector<Record> Tick(const ClusterState& state,
                           const std::map<DaemonId, MonotonicTime>& last_heard,
                           bool has_log_contact, MonotonicTime now);

  /// Returns the daemons to send heartbeats to. For each group whose authority
  /// this daemon holds, these are the first three candidates and the first one
  /// outside the group's failure domain. For each group of which this daemon is
  /// such a candidate, it is the authority, which hands over only to a daemon
  /// that sends heartbeats.
  std::vector<DaemonId> HeartbeatTargets(const ClusterState& state) const;

  /// Returns the releases to append on a planned stop: for each group held, one
  /// release to the highest-ranked candidate that is not silent.
  std::vector<Record> ReleaseAuthorities(
      const ClusterState& state,
      const std::map<DaemonId, MonotonicTime>& last_heard, MonotonicTime now);

 private:
  /// Observed state of the authority over one group.
  struct GroupStatus {
    FencingToken token;
    /// When this daemon observed the current authority, or its absence, for the
    /// first time. Silence is counted from this time at the earliest.
    MonotonicTime since;
    std::optional<DaemonId> released_to;
    /// No further record is appended for this group before this time, unless
    /// the state shows that the log accepted an authority change in between.
    std::optional<MonotonicTime> append_retry_at;
  };
  /// Inputs of the decision whether to request the authority over one group.
  struct TakeoverContext {
    const GroupId& group;
    /// Null if the group never had an authority.
    const AuthorityState* authority = nullptr;
    const GroupStatus& status;
    /// Position of this daemon among the candidates other than the holder of
    /// the authority; 0 for the first.
    int rank = 0;
    std::optional<MonotonicTime> last_heard;
    MonotonicTime now;
  };
  struct TakeoverRule {
    bool (AuthorityElection::*applies)(const TakeoverContext&) const;
    Cause cause;
  };
  static const std::array<TakeoverRule, 4> kTakeoverRules;

  bool IsVacantAndRankDue(const TakeoverContext& context) const;
  bool IsReleasedToSelf(const TakeoverContext& context) const;
  bool IsHeldByEarlierInstance(const TakeoverContext& context) const;
  bool IsAuthoritySilent(const TakeoverContext& context) const;
  bool IsHeldBySelf(const AuthorityState& authority) const;
  void RestartTimersAfterPause(MonotonicTime now);
  GroupStatus& UpdateStatus(const GroupId& group,
                            const AuthorityState* authority, MonotonicTime now);
  std::optional<Cause> FindTakeoverCause(const TakeoverContext& context) const;

  DaemonId self;
  DaemonInstance instance;
  std::function<RecordId()> next_record_id;
  std::map<GroupId, GroupStatus> statuses;
  std::optional<MonotonicTime> last_tick;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_AUTHORITY_ELECTION_H_
