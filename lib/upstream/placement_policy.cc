#include "bamboorack/upstream/placement_policy.h"

#include <algorithm>

namespace bamboorack::upstream {
namespace {

// Score penalty of upstreams in another failure domain: they cost network
// latency and billed traffic.
constexpr double kOtherDomainPenalty = 1.12;
constexpr double kColdPenalty = 1.5;
constexpr ScoreVariation kLatencyScoreVariation{0.04, 0};
// Daemons that share all news would all choose the upstream that looked best in
// the last reports. With preferences each has upstreams of which it sends most
// of the requests itself, and of these it knows the load without delay.
constexpr ScoreVariation kExpectedEndVariation{0.1, 2};
constexpr double kMaxFailureShare = 0.9;

/// Returns the factor for reasons that have nothing to do with load.
double Penalty(const UpstreamState& state, const FailureDomain& own_domain,
               MonotonicTime now) {
  const double domain_penalty =
      state.entry.failure_domain == own_domain ? 1 : kOtherDomainPenalty;
  const double success_share =
      1 - std::min(state.failure_share, kMaxFailureShare);
  const bool is_cold = now < state.entry.cold_until;
  return domain_penalty * (is_cold ? kColdPenalty : 1) /
         (success_share * success_share);
}

}  // namespace

double LatencyScore::Score(const UpstreamState& state,
                           const FailureDomain& own_domain,
                           MonotonicTime now) const {
  const double ratio = state.latency_ratio == 0 ? 1 : state.latency_ratio;
  const double slots = state.entry.slots;
  const double total_in_flight = state.TotalInFlight();
  // Up to its slots the latency does not depend on the load; above, requests
  // queue.
  const double queueing = std::max(1.0, (total_in_flight + 1) / slots);
  const double usage = 1 + 0.3 * total_in_flight / slots;
  return ratio * queueing * usage * Penalty(state, own_domain, now);
}

ScoreVariation LatencyScore::Variation() const {
  return kLatencyScoreVariation;
}

ScoreVariation ExpectedEnd::Variation() const { return kExpectedEndVariation; }

double ExpectedEnd::Score(const UpstreamState& state,
                          const FailureDomain& own_domain,
                          MonotonicTime now) const {
  const ExpectedTimes times =
      EstimateTimes(state.work, state.entry.slots, state.peer_in_flight,
                    this->costs, this->context);
  return (times.wait + times.run).count() * Penalty(state, own_domain, now);
}

}  // namespace bamboorack::upstream
