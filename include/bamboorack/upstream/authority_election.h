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

/// An authority sends a heartbeat to its candidates this often.
inline constexpr std::chrono::milliseconds kHeartbeatInterval{150};
/// An authority that is not heard for this time is silent.
inline constexpr std::chrono::milliseconds kSilenceLimit{450};
/// Each candidate waits this much longer than the one before it.
inline constexpr std::chrono::milliseconds kRankDelay{150};
/// Candidates of a group that get heartbeats from its authority.
inline constexpr std::size_t kHeartbeatCandidates = 3;

/// Decides when this daemon asks for the authority over a group.
class AuthorityElection {
 public:
  AuthorityElection(DaemonId self, DaemonInstance instance,
                    std::function<RecordId()> next_record_id);

  /// Returns the records to append. `last_heard` gives the time of the last
  /// heartbeat from each daemon; daemons that were never heard are missing.
  std::vector<Record> Tick(const ClusterState& state,
                           const std::map<DaemonId, MonotonicTime>& last_heard,
                           bool has_log_contact, MonotonicTime now);

  /// Returns the daemons that need this daemon's heartbeats: for each group
  /// whose authority it holds, the first three candidates and the first one
  /// outside the group's failure domain; for each group that it is such a
  /// candidate of, the authority, which hands over only to a live daemon.
  std::vector<DaemonId> HeartbeatTargets(const ClusterState& state) const;

  /// Returns the releases to append on a planned stop: for each group held, to
  /// its best candidate that was heard lately.
  std::vector<Record> ReleaseAll(
      const ClusterState& state,
      const std::map<DaemonId, MonotonicTime>& last_heard, MonotonicTime now);

 private:
  /// What this daemon knows of one group.
  struct Watch {
    FencingToken token;
    /// Since when this daemon knows the current authority, or that there is
    /// none; a silence is not longer than this.
    MonotonicTime since;
    std::optional<DaemonId> released_to;
    /// Nothing is appended for this group before this time, unless the state
    /// shows that the last append was judged.
    std::optional<MonotonicTime> pending_until;
  };
  /// Everything that decides on one group.
  struct Situation {
    const GroupId& group;
    /// Null if the group never had an authority.
    const AuthorityState* authority = nullptr;
    const Watch& watch;
    /// Position of this daemon among the candidates that do not hold the
    /// authority, 0 for the first.
    int rank = 0;
    std::optional<MonotonicTime> last_heard;
    MonotonicTime now;
  };
  struct TakeRule {
    bool (AuthorityElection::*applies)(const Situation&) const;
    Cause cause;
  };
  static const std::array<TakeRule, 4> kTakeRules;

  bool IsVacantForMe(const Situation& situation) const;
  bool IsReleasedToMe(const Situation& situation) const;
  bool IsMyEarlierStart(const Situation& situation) const;
  bool IsSilent(const Situation& situation) const;
  bool Holds(const AuthorityState& authority) const;
  void NotePause(MonotonicTime now);
  Watch& UpdateWatch(const GroupId& group, const AuthorityState* authority,
                     MonotonicTime now);
  std::optional<Cause> CauseToTake(const Situation& situation) const;

  DaemonId self;
  DaemonInstance instance;
  std::function<RecordId()> next_record_id;
  std::map<GroupId, Watch> watches;
  std::optional<MonotonicTime> last_tick;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_AUTHORITY_ELECTION_H_
