#ifndef BAMBOORACK_LOG_SERVICE_CONFIG_RULES_H_
#define BAMBOORACK_LOG_SERVICE_CONFIG_RULES_H_

#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/config.h"
#include "bamboorack/core/ids.h"

namespace bamboorack::log_service {

/// More shards than this in one service are refused, because a single record
/// must not exhaust the memory of every daemon.
inline constexpr std::uint32_t kMaxShardsOfService = 1'048'576;

/// Returns whether `inventory` may replace the one of `state`: each number is
/// in range, names are unique, an existing service keeps its `shard_count`,
/// and the hot keys of the rules fit. A service that was removed and returns
/// must find its owned shards at the same indices.
bool IsAcceptable(const ClusterState& state, const Inventory& inventory);

/// Returns whether `rules` may replace the ones of `state`. Hot keys must be
/// well formed, and no key may pass from one owner to another: a key that
/// becomes hot, stops being hot or changes its shard needs a new shard that is
/// unowned or has the same group and owner as its old one.
bool IsAcceptable(const ClusterState& state, const Rules& rules);

/// A shard that starts with the group and owner of another one.
struct ShardSeed {
  ShardId to;
  ShardState from;
};

/// Returns the hot key shards of `service` that start anew if `rules` replace
/// the ones of `state`.
std::vector<ShardSeed> SeedsOf(const ClusterState& state,
                               const ServiceEntry& service, const Rules& rules);

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_CONFIG_RULES_H_
