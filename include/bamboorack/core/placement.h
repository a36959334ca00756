#ifndef BAMBOORACK_CORE_PLACEMENT_H_
#define BAMBOORACK_CORE_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bamboorack/core/config.h"
#include "bamboorack/core/ids.h"

namespace bamboorack {

/// Something that items can be placed on.
struct PlacementTarget {
  std::string name;
  /// Relative share of the items, greater than 0.
  double weight = 1.0;
};

/// No target gets more than this multiple of its fair share, rounded up.
inline constexpr double kLoadBound = 1.15;

/// Places the items 0 to `item_count` - 1 by weighted rendezvous hashing with
/// bounded load. Returns the index of each item's target. `salt` keeps the
/// placements of different services apart. The result depends only on names
/// and weights, not on the order of `targets`. Empty if there are no targets.
std::vector<std::size_t> Place(std::uint64_t salt, std::uint32_t item_count,
                               const std::vector<PlacementTarget>& targets);

/// Proposes the group of each shard of `service`, weighted by the groups'
/// upstreams. Empty if the service has no upstreams.
std::vector<GroupId> ProposeGroups(const ServiceEntry& service,
                                   std::uint32_t shard_total);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_PLACEMENT_H_
