#include "bamboorack/core/routing_table.h"

#include "bamboorack/core/hash.h"

namespace bamboorack {
namespace {

bool IsGranted(const RoutingTable& table, const ServiceName& service,
               ShardId shard) {
  const auto found = table.granted.find(service);
  return found != table.granted.end() && shard.value < found->second.size() &&
         found->second[shard.value];
}

tl::expected<Route, Refusal> FindLocalOwner(const RoutingTable& table,
                                            const ServiceName& service,
                                            const ShardState& state,
                                            Route route) {
  if (!state.owner) return NotRun(Reason::kOwnerMoving);
  if (!IsGranted(table, service, route.shard)) {
    const bool is_known = table.local_upstreams.contains(*state.owner);
    return NotRun(is_known ? Reason::kOwnerMoving : Reason::kOwnerUnreachable,
                  state.owner->id.value);
  }
  route.local_owner = state.owner;
  return route;
}

}  // namespace

tl::expected<Route, Refusal> FindRoute(const RoutingTable& table,
                                       const DaemonId& self,
                                       const ServiceName& service,
                                       std::string_view key) {
  if (table.state == nullptr || table.state->inventory_revision.value == 0) {
    return NotRun(Reason::kNoState);
  }
  const ClusterState& state = *table.state;
  const ServiceEntry* entry = state.FindService(service);
  if (entry == nullptr) {
    return NotRun(Reason::kUnknownService, service.value);
  }
  const auto shards = state.shards.find(service);
  Route route;
  route.shard = state.ShardOf(*entry, HashText(key));
  if (shards == state.shards.end() ||
      route.shard.value >= shards->second.size()) {
    return NotRun(Reason::kOwnerMoving);
  }
  const ShardState& shard = shards->second[route.shard.value];
  route.group = shard.group;
  if (table.local_groups.contains(shard.group)) {
    return FindLocalOwner(table, service, shard, std::move(route));
  }
  const auto authority = state.authorities.find(shard.group);
  if (authority == state.authorities.end() ||
      authority->second.token.value == 0 || authority->second.daemon == self) {
    return NotRun(Reason::kNoAuthority);
  }
  route.authority = authority->second.daemon;
  return route;
}

}  // namespace bamboorack
