#ifndef BAMBOORACK_UPSTREAM_WORK_LEFT_H_
#define BAMBOORACK_UPSTREAM_WORK_LEFT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/cost_model.h"
#include "bamboorack/upstream/stated_load.h"

namespace bamboorack::upstream {

/// A load that an upstream stated, and when.
struct HeardLoad {
  StatedLoad load;
  MonotonicTime stated_at;
  /// The requests of this daemon at the upstream when it heard of the load.
  std::uint32_t own_in_flight = 0;
};

/// Whether a load is worth telling the other daemons: the host is slowed, or
/// requests wait.
bool IsUnusual(const StatedLoad& load);

/// Returns how much a statement of this age still says about now: 1 all, 0
/// nothing.
double Freshness(std::chrono::nanoseconds age);

/// What this daemon knows about the work at one upstream.
class UpstreamWork {
 public:
  /// A request of this daemon that the upstream has not answered.
  struct Request {
    DispatchId dispatch;
    CostModel::Index cost = 0;
    MonotonicTime sent_at;
    /// All slots were taken when it was sent, so it is not known since when it
    /// runs.
    bool is_contended = false;
    /// Estimate of the slowdown when it was sent.
    double slowdown = 1;
  };

  void OnSent(const Request& request) { this->requests.push_back(request); }
  /// Forgets a request and returns it; nothing if it is not known.
  std::optional<Request> OnEnded(DispatchId dispatch);
  /// A later statement replaces an earlier one. Returns whether it did.
  bool OnLoad(const StatedLoad& load, MonotonicTime stated_at);
  /// The other daemons were told of the load.
  void OnTold(const StatedLoad& load, MonotonicTime stated_at) {
    this->told = HeardLoad{load, stated_at};
  }
  /// Whether the other daemons should hear of a load stated at `now`: it is
  /// unusual, or they believe that it is, and they have not just been told the
  /// same.
  bool ShouldTell(const StatedLoad& load, MonotonicTime now) const;
  /// Forgets what is only true of one run of the upstream.
  void OnNewRun();

  const std::vector<Request>& Requests() const { return this->requests; }
  const std::optional<HeardLoad>& Heard() const { return this->heard; }
  LearnedSlowness& Slowness() { return this->slowness; }
  const LearnedSlowness& Slowness() const { return this->slowness; }

 private:
  std::vector<Request> requests;
  std::optional<HeardLoad> heard;
  /// What the other daemons were last told, by whomever.
  std::optional<HeardLoad> told;
  LearnedSlowness slowness;
};

/// How slow the hosts of a service are, learned from what its upstreams state.
struct ServiceSlowdown {
  /// Mean over all statements.
  double mean = 1;
  /// Mean of the statements of upstreams that had said nothing for some time.
  /// Lower than `mean` if other daemons tell of slow hosts.
  double mean_if_silent = 1;

  void OnLoad(const StatedLoad& load, bool was_silent);
};

/// The inputs of an estimate that are the same for all upstreams of a service.
struct WorkContext {
  /// Of the request that is to be placed.
  Work cost{0};
  /// Of the typical request of other daemons.
  Work other_cost{0};
  /// Of a request of another daemon that runs.
  Work other_rest{0};
  ServiceSlowdown slowdown;
  MonotonicTime now;
};

/// The expected time until a request that is sent now gets a slot, and from
/// then until it ends.
struct ExpectedTimes {
  std::chrono::duration<double> wait{0};
  std::chrono::duration<double> run{0};
};

/// Returns the estimate of how slow the upstream's host is at `now`.
double EstimateSlowdown(const UpstreamWork& work,
                        const ServiceSlowdown& slowdown, MonotonicTime now);

/// Estimates how long a request sent now would take at an upstream.
/// `peer_in_flight` is what the other daemons last reported to have there.
ExpectedTimes EstimateTimes(const UpstreamWork& work, std::uint32_t slots,
                            std::uint32_t peer_in_flight,
                            const CostModel& costs, const WorkContext& context);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_WORK_LEFT_H_
