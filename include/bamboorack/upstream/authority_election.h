#ifndef BAMBOORACK_UPSTREAM_AUTHORITY_ELECTION_H_
#define BAMBOORACK_UPSTREAM_AUTHORITY_ELECTION_H_

#include <functional>
#include <map>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

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

  /// Returns the daemons that need this daemon's heartbeats: the first three
  /// candidates of each group whose authority it holds.
  std::vector<DaemonId> HeartbeatTargets(const ClusterState& state) const;

  /// Returns the releases to append on a planned stop: for each group held, to
  /// its best candidate that was heard lately.
  std::vector<Record> ReleaseAll(
      const ClusterState& state,
      const std::map<DaemonId, MonotonicTime>& last_heard, MonotonicTime now);
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_AUTHORITY_ELECTION_H_
