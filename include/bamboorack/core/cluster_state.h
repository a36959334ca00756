#ifndef BAMBOORACK_CORE_CLUSTER_STATE_H_
#define BAMBOORACK_CORE_CLUSTER_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboorack/core/config.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"

namespace bamboorack {

/// Who holds the authority over a group.
struct AuthorityState {
  /// 0 if the group never had an authority.
  FencingToken token;
  DaemonId daemon;
  DaemonInstance daemon_instance;
  /// Set while the authority is being handed over.
  std::optional<DaemonId> released_to;
};

/// Who owns a shard.
struct ShardState {
  GroupId group;
  std::optional<UpstreamRef> owner;
  /// The offset of the record that last changed the owner; 0 for none.
  LogOffset changed_at;
};

/// All that the log decides, as of `next_offset`. Every daemon that has read
/// the same records holds an equal state.
struct ClusterState {
  /// The first offset that is not yet applied.
  LogOffset next_offset;
  Revision inventory_revision;
  Revision rules_revision;
  Inventory inventory;
  Rules rules;
  std::map<GroupId, AuthorityState> authorities;
  /// Indexed by shard; hot key shards follow the ordinary ones.
  std::map<ServiceName, std::vector<ShardState>> shards;
  std::set<UpstreamRef> declared_lost;

  /// Returns the service called `name`, or null.
  const ServiceEntry* FindService(const ServiceName& name) const;
  /// Returns the rules of `service`, or the defaults.
  const ServiceRules& RulesOf(const ServiceName& service) const;
  /// Returns the upstream `id` of any service, or null.
  const UpstreamEntry* FindUpstream(const UpstreamId& id) const;
  /// Returns the daemon `id`, or null.
  const DaemonEntry* FindDaemon(const DaemonId& id) const;
  /// Returns the group that `upstream` of `service` belongs to.
  static GroupId GroupOf(const ServiceEntry& service,
                         const UpstreamEntry& upstream);
  /// Returns every group of the inventory that has upstreams, in order.
  std::vector<GroupId> Groups() const;
  /// Returns the upstreams of `group`, in inventory order.
  std::vector<const UpstreamEntry*> UpstreamsOf(const GroupId& group) const;
  /// Returns the number of shards of `service`, hot keys included.
  std::uint32_t ShardTotal(const ServiceEntry& service) const;
  /// Returns the shard of the key with hash `key_hash`: its own shard if it
  /// is a hot key, else `key_hash` modulo `shard_count`.
  ShardId ShardOf(const ServiceEntry& service, std::uint64_t key_hash) const;
};

/// Returns the daemons that may take the authority over `group`, best first:
/// daemons of the group's own failure domain before all others, each part
/// ranked by rendezvous hash.
std::vector<DaemonId> AuthorityCandidates(const Inventory& inventory,
                                          const GroupId& group);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_CLUSTER_STATE_H_
