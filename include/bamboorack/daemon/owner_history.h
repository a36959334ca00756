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

/// The upstreams that shards had before, as far as this daemon saw it in its
/// routing tables. A new authority has to ask them too whether a once-only
/// request ran: the present owner knows only what it ran itself.
class OwnerHistory {
 public:
  /// Compares `state` with the state before and notes what changed.
  void OnState(std::shared_ptr<const ClusterState> state, MonotonicTime now);
  /// Forgets owners that lost their shard before `oldest`.
  void ForgetBefore(MonotonicTime oldest);
  /// Returns the earlier owners of `shard` that are not forgotten.
  std::vector<UpstreamRef> EarlierOwners(const ServiceName& service,
                                         ShardId shard) const;
  /// Returns whether one of them belonged to another group, whose authority
  /// remembers the ids of that time.
  bool CameFromOtherGroup(const ServiceName& service, ShardId shard) const;

 private:
  struct Earlier {
    UpstreamRef owner;
    MonotonicTime until;
    GroupId group;
  };

  struct History {
    std::vector<Earlier> earlier;
    GroupId current_group;
  };

  void Compare(const ServiceName& service,
               const std::vector<ShardState>& before,
               const std::vector<ShardState>& after, MonotonicTime now);

  std::shared_ptr<const ClusterState> last;
  std::map<std::pair<ServiceName, ShardId>, History> shards;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNER_HISTORY_H_
