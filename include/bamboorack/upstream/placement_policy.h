#ifndef BAMBOORACK_UPSTREAM_PLACEMENT_POLICY_H_
#define BAMBOORACK_UPSTREAM_PLACEMENT_POLICY_H_

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/cost_model.h"
#include "bamboorack/upstream/upstream_state.h"
#include "bamboorack/upstream/work_left.h"

namespace bamboorack::upstream {

/// How far scores are varied, so that daemons with the same reports do not all
/// choose the same upstream.
struct ScoreVariation {
  /// Scores are multiplied by random numbers from 1 to 1 + this.
  double random = 0;
  /// Scores are also multiplied by numbers from 1 to 1 + this, which always
  /// stay the same for a daemon and an upstream.
  double preference = 0;
};

/// Ranks the upstreams that may get a request.
class PlacementPolicy {
 public:
  PlacementPolicy() = default;
  virtual ~PlacementPolicy() = default;
  PlacementPolicy(const PlacementPolicy&) = delete;
  PlacementPolicy& operator=(const PlacementPolicy&) = delete;

  /// Returns a positive number; the upstream with the lowest is chosen. Numbers
  /// of different policies cannot be compared.
  virtual double Score(const UpstreamState& state,
                       const FailureDomain& own_domain,
                       MonotonicTime now) const = 0;
  virtual ScoreVariation Variation() const = 0;
};

/// By smoothed latency and the number of requests in flight. Uses nothing that
/// an upstream states.
class LatencyScore final : public PlacementPolicy {
 public:
  double Score(const UpstreamState& state, const FailureDomain& own_domain,
               MonotonicTime now) const override;
  ScoreVariation Variation() const override;
};

/// By the time at which the request would end there: the wait for a slot, from
/// the work that is left, and the cost of the request at that upstream.
class ExpectedEnd final : public PlacementPolicy {
 public:
  /// `costs` must outlive the policy.
  ExpectedEnd(const CostModel& cost_model, const WorkContext& work_context)
      : costs(cost_model), context(work_context) {}

  double Score(const UpstreamState& state, const FailureDomain& own_domain,
               MonotonicTime now) const override;
  ScoreVariation Variation() const override;

 private:
  const CostModel& costs;
  WorkContext context;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_PLACEMENT_POLICY_H_
