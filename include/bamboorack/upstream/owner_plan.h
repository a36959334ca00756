#ifndef BAMBOORACK_UPSTREAM_OWNER_PLAN_H_
#define BAMBOORACK_UPSTREAM_OWNER_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"

namespace bamboorack::upstream {

/// An upstream that may own shards.
struct OwnerTarget {
  UpstreamRef ref;
  double weight = 1.0;

  bool operator==(const OwnerTarget&) const = default;
};

/// Assigns one of `targets` to each shard in `owners`, which maps shards to
/// their current owners. A shard keeps its owner unless the owner is not a
/// target, is above its bounded share, or another target is far below its
/// share. New owners are chosen by `Place`. Returns an empty map if there are
/// no targets.
std::map<ShardId, UpstreamRef> PlanOwners(
    std::uint64_t salt,
    const std::map<ShardId, std::optional<UpstreamRef>>& owners,
    const std::vector<OwnerTarget>& targets);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_OWNER_PLAN_H_
