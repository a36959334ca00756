#ifndef BAMBOORACK_DAEMON_OWNER_HISTORY_H_
#define BAMBOORACK_DAEMON_OWNER_HISTORY_H_

#include <chrono>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack::daemon {

/// Earlier owners of each shard, as observed in the routing tables of this
/// daemon. A new authority must also ask them whether a once-only request ran,
/// because the current owner knows only the requests that it ran itself.
class OwnerHistory {
 public:
  /// Records the owner changes between the previous state and `state`.
  void OnState(std::shared_ptr<const ClusterState> state, MonotonicTime now);
  /// Removes owners that lost their shard before `oldest`.
  void ForgetBefore(MonotonicTime oldest);
  /// Returns the recorded earlier owners of `shard`.
  std::vector<UpstreamRef> EarlierOwners(const ServiceName& service,
                                         ShardId shard) const;
  /// Returns whether `shard` belonged to another group under one of its earlier
  /// owners. The authority of that group has the request ids of that time.
  bool CameFromOtherGroup(const ServiceName& service, ShardId shard) const;

 private:
  struct EarlierOwner {
    UpstreamRef owner;
    MonotonicTime lost_at;
    GroupId group;
  };

  struct History {
    std::vector<EarlierOwner> earlier_owners;
    GroupId current_group;
  };

  void RecordChanges(const ServiceName& service,
                     const std::vector<ShardState>& before,
                     const std::vector<ShardState>& after, MonotonicTime now);

  std::shared_ptr<const ClusterState> last_state;
  std::map<std::pair<ServiceName, ShardId>, History> shards;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNER_HISTORY_H_
