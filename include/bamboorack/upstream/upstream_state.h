#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_STATE_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_STATE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/upstream/burst_limit.h"
#include "bamboorack/upstream/ratio_mean.h"
#include "bamboorack/upstream/work_left.h"

namespace bamboorack::upstream {

/// Load and health of one upstream, as this daemon knows them.
struct UpstreamState {
  RegisteredUpstream entry;
  /// Another upstream has its address; cleared only by a new run.
  bool is_replaced = false;
  /// Set while the upstream is draining or no longer listed.
  std::optional<MonotonicTime> draining_since;
  std::uint32_t in_flight = 0;
  /// Sum over the load reports that are in use.
  std::uint32_t peer_in_flight = 0;
  MonotonicTime last_sent;
  BurstLimit burst;
  MonotonicTime paused_until;
  /// When this daemon last sent it a request while it was cold.
  std::optional<MonotonicTime> turn_used;
  /// Smoothed latency; 0 before the first answer.
  std::chrono::nanoseconds latency{0};
  /// Smoothed; 0 before the first answer.
  double latency_ratio = 0;
  RatioMean unreported_ratios;
  /// Concurrency limit over all daemons, lowered by refusals.
  double limit = 1;
  MonotonicTime limit_updated;
  /// Smoothed share of requests that failed.
  double failure_share = 0;
  int failures_in_a_row = 0;
  MonotonicTime ejected_until;
  int ejections = 0;
  MonotonicTime next_probe;
  UpstreamWork work;
  /// 0 to 1; high if this daemon should rather leave the upstream to others.
  /// Differs from daemon to daemon and does not change.
  double aversion = 0;

  /// The requests of this daemon and those that the others reported.
  double TotalInFlight() const {
    return static_cast<double>(this->in_flight) +
           static_cast<double>(this->peer_in_flight);
  }
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_STATE_H_
