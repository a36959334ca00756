#ifndef BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_
#define BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_

#include <vector>

#include "bamboorack/upstream/key_load.h"
#include "bamboorack/upstream/range_lease_manager.h"
#include "bamboorack/upstream/share_policy.h"

namespace bamboorack::upstream {

/// Distributes the keys of one service over its upstreams.
///
/// Designed for this load: a few adjacent keys suddenly receive a third of the
/// requests, all on one upstream with a few slots; the speed of upstreams
/// differs by a factor of three; upstreams join, leave and fail.
class RangePlanner {
 public:
  /// `shares` has the share of the load that each candidate should get.
  static std::vector<RangeMove> Plan(
      const std::vector<RangeView>& ranges,
      const std::vector<RangeCandidate>& candidates,
      const std::vector<double>& shares, const ServiceKeyLoad& load);
  /// Plans by one span of time and in proportion to the capacity.
  static std::vector<RangeMove> Plan(
      const std::vector<RangeView>& ranges,
      const std::vector<RangeCandidate>& candidates, const KeyLoad& load);
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_PLANNER_H_
