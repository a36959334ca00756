#ifndef BAMBOORACK_CORE_ROUTING_TABLE_H_
#define BAMBOORACK_CORE_ROUTING_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

/// What the local authority may do for one upstream of a local group.
struct LocalUpstream {
  UpstreamRef ref;
  Endpoint endpoint;
  GroupId group;
  FencingToken token;
  std::uint32_t slots = 1;
  bool checks_tokens = true;
  bool can_settle = true;
  /// False while the upstream drains or is not reachable: nothing new is sent.
  bool accepts_work = true;
  /// Reading of the upstream's clock and when it was received here, so that a
  /// deadline can be given on the upstream's own clock.
  UpstreamReading reading;
  MonotonicTime reading_received;
};

/// A group whose authority this daemon holds.
struct LocalGroup {
  FencingToken token;
  /// When this daemon took the authority. Ids seen before are not remembered.
  MonotonicTime taken_at;
  /// Nothing is dispatched after this time.
  MonotonicTime mandate_until = MonotonicTime::max();
  /// False for the first authority of a group: no id was seen before it.
  bool has_predecessor = true;
};

/// What the control thread lets the routing thread know. A table is never
/// changed after it was handed over; a newer one replaces it.
struct RoutingTable {
  std::shared_ptr<const ClusterState> state;
  /// Groups whose authority this daemon holds.
  std::map<GroupId, LocalGroup> local_groups;
  /// Upstreams of the local groups.
  std::map<UpstreamRef, LocalUpstream> local_upstreams;
  /// Shards of local groups whose current owner confirmed its grant.
  std::map<ServiceName, std::vector<bool>> granted;
};

/// Where a request goes next.
struct Route {
  ShardId shard;
  GroupId group;
  /// Set if this daemon holds the authority.
  std::optional<UpstreamRef> local_owner;
  /// Set if another daemon holds the authority.
  std::optional<DaemonId> authority;
};

/// Finds the next hop for `key` of `service`. Refuses with `unknown_service`,
/// `no_state`, `no_authority`, `owner_moving` or `owner_unreachable`.
tl::expected<Route, Refusal> FindRoute(const RoutingTable& table,
                                       const DaemonId& self,
                                       const ServiceName& service,
                                       std::string_view key);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_ROUTING_TABLE_H_
