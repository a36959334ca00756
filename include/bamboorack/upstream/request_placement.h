#ifndef BAMBOORACK_UPSTREAM_REQUEST_PLACEMENT_H_
#define BAMBOORACK_UPSTREAM_REQUEST_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboorack/core/desired_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/placement_mode.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/cost_model.h"
#include "bamboorack/upstream/load_balancer.h"
#include "bamboorack/upstream/stated_load.h"
#include "bamboorack/upstream/work_left.h"

namespace bamboorack::upstream {

/// A load that an upstream stated to this daemon, for the others.
struct LoadToTell {
  UpstreamId upstream;
  StatedLoad load;
  std::chrono::nanoseconds age{0};
};

/// What `RequestPlacement` did since it was last asked.
struct PlacementCounts {
  std::uint64_t by_expected_work = 0;
  std::uint64_t by_latency_score = 0;
  std::uint64_t loads_heard = 0;
  /// Loads that another daemon heard.
  std::uint64_t loads_told = 0;
  /// Of these, the ones that were too old or older than what was known.
  std::uint64_t loads_too_old = 0;
};

/// Chooses the upstreams of requests that any upstream of their service may
/// run, and learns from the answers what requests cost and how slow upstreams
/// are.
class RequestPlacement {
 public:
  /// `upstreams` must outlive this object.
  RequestPlacement(PlacementMode placement_mode, LoadBalancer& upstreams)
      : mode(placement_mode), balancer(upstreams) {}
  RequestPlacement(const RequestPlacement&) = delete;
  RequestPlacement& operator=(const RequestPlacement&) = delete;
  ~RequestPlacement() = default;

  /// Returns the upstream for a request of `route`, or nothing if all are at
  /// their limits. Skips `tried`.
  std::optional<UpstreamId> Choose(const ServiceName& service,
                                   const RouteName& route,
                                   const std::set<UpstreamId>& tried,
                                   MonotonicTime now);
  /// Whether requests of the service are placed by expected work at `now`.
  bool UsesExpectedWork(const ServiceName& service, MonotonicTime now) const;

  /// `is_contended` says that all slots of the upstream were taken.
  void OnSent(const UpstreamId& upstream, DispatchId dispatch,
              const ServiceName& service, const RouteName& route,
              bool is_contended, MonotonicTime now);
  /// `was_answered` says that the upstream ran the request to its end. `load`
  /// is what it stated in its answer, if it did.
  void OnEnded(const UpstreamId& upstream, DispatchId dispatch,
               const ServiceName& service, bool was_answered,
               const std::optional<StatedLoad>& load, MonotonicTime now);
  /// Another daemon heard the load `age` ago.
  void OnLoadTold(const UpstreamId& upstream, const StatedLoad& load,
                  std::chrono::nanoseconds age, MonotonicTime now);
  /// Another daemon reported a latency ratio.
  void OnLatencyRatioTold(const UpstreamId& upstream, double ratio);

  /// Returns the loads since the last call that the other daemons should know:
  /// unusual ones, and the first usual one after these. The latest come first,
  /// at most `kMaxLoadsToTell`.
  std::vector<LoadToTell> TakeLoadsToTell(MonotonicTime now);
  PlacementCounts TakeCounts();

  static constexpr std::size_t kMaxLoadsToTell = 24;

 private:
  struct Service {
    ServiceSlowdown slowdown;
    /// When one of its upstreams last stated its load to this daemon.
    std::optional<MonotonicTime> last_load;
  };

  WorkContext MakeContext(const ServiceName& service, const RouteName& route,
                          MonotonicTime now);
  void OnLoad(const UpstreamId& upstream, UpstreamWork& work, Service& service,
              const StatedLoad& load, MonotonicTime now);
  void LearnFrom(const UpstreamWork::Request& request, UpstreamWork& work,
                 const ServiceName& service, MonotonicTime now);

  const PlacementMode mode;
  LoadBalancer& balancer;
  CostModel costs;
  std::map<ServiceName, Service> services;
  /// Loads that the others have not been told.
  std::map<UpstreamId, HeardLoad> to_tell;
  PlacementCounts counts;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_REQUEST_PLACEMENT_H_
