#ifndef BAMBOORACK_UPSTREAM_LOAD_BALANCER_H_
#define BAMBOORACK_UPSTREAM_LOAD_BALANCER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboorack/core/evacuations.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/leaving_upstreams.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/upstream/placement_policy.h"
#include "bamboorack/upstream/upstream_state.h"
#include "bamboorack/upstream/warm_up_schedule.h"
#include "bamboorack/upstream/work_left.h"

namespace bamboorack::upstream {

/// What the end of a request says about the upstream's health.
enum class UpstreamOutcome : std::uint8_t {
  kAnswered,
  /// The upstream answered with an error of its own.
  kFailed,
  /// The upstream refused because it is at its limit.
  kFull,
  /// The connection failed, or the answer was malformed.
  kLost,
  /// No answer before the deadline.
  kTimedOut,
  /// Another upstream answers at its address, so this run has ended.
  kReplaced,
  /// Ended for a reason that is unrelated to the upstream.
  kNeutral,
};

/// Tracks load and health of the upstreams that this daemon sends to, and
/// selects the upstream for each request.
///
/// Handles these load patterns:
/// - Several daemons share upstreams of a few slots: each daemon adds the
///   requests that the others report.
/// - Dozens of daemons send to one upstream when a key becomes hot: while the
///   upstream is at its limit, the daemons send one request each in turns.
/// - Every daemon holds requests for a key that gets an owner again: none of
///   them fills the upstream before the others hear of it.
/// - An upstream refuses, fails or becomes slow: it gets fewer requests, but a
///   service always keeps some upstreams in use.
/// - An upstream says that it leaves, or asks for time: it gets no requests,
///   and those that cannot wait are not kept for it.
/// - The operator evacuates a failure domain: its upstreams get no requests,
///   those for keys that they still hold excepted until a deadline.
/// - An upstream warms up: it gets requests only in turns of this daemon.
/// - A service is at its limit: requests queue in the daemons, which can order
///   them by priority, and not at the upstreams.
class LoadBalancer {
 public:
  /// Daemons with different seeds break ties between upstreams differently.
  LoadBalancer(FailureDomain own_domain, std::uint64_t seed);

  void SetUpstreams(const std::vector<RegisteredUpstream>& entries,
                    MonotonicTime now);
  /// Replaces the failure domains that get no requests.
  void SetEvacuated(const EvacuatedDomains& domains);
  /// Replaces the number of requests that another daemon has in flight at each
  /// upstream.
  void SetPeerLoad(const DaemonId& peer,
                   std::map<UpstreamId, std::uint32_t> in_flight,
                   MonotonicTime now);

  /// Sets the time between two load reports of this daemon.
  void SetReportInterval(std::chrono::milliseconds interval) {
    this->report_interval = interval;
  }

  void OnSent(const UpstreamId& id, MonotonicTime now);
  /// `mean_latency` is the mean latency of similar requests at all upstreams, 0
  /// if unknown. The ratio of `latency` to it measures the upstream's speed.
  void OnEnded(const UpstreamId& id, UpstreamOutcome outcome,
               std::chrono::nanoseconds latency,
               std::chrono::nanoseconds mean_latency, MonotonicTime now);

  /// Records that a run said that it leaves. It gets no new requests from now
  /// on, whatever the registry says. Returns whether this is new.
  bool MarkLeaving(const UpstreamRun& run, MonotonicTime now);
  /// The upstream asked for no requests until `until`. Forgotten with its run.
  void Pause(const UpstreamId& id, MonotonicTime until);
  /// Returns until when the upstream wants no requests; not after `now` if it
  /// wants some.
  MonotonicTime PausedUntil(const UpstreamId& id) const;
  /// Returns when the first upstream of a service wants requests again, or
  /// nothing if one of them wants some.
  std::optional<MonotonicTime> ServicePausedUntil(const ServiceName& service,
                                                  MonotonicTime now) const;

  void SetWarmUpSchedule(WarmUpSchedule schedule);
  /// Whether the upstream warms up and must be protected.
  bool IsCold(const UpstreamId& id, MonotonicTime now) const;
  /// Returns when the upstream may get a request if `ahead` others are sent
  /// before it: `now` unless it is cold.
  MonotonicTime NextStart(const UpstreamId& id, std::size_t ahead,
                          MonotonicTime now) const;
  /// Returns when the first upstream of a service may get a request if `ahead`
  /// others are spread evenly over them before it. Nothing if one wants
  /// requests now, or if none is cold.
  std::optional<MonotonicTime> NextServiceStart(const ServiceName& service,
                                                std::size_t ahead,
                                                MonotonicTime now) const;

  /// Returns what the registry says of an upstream that it lists or that has
  /// requests in flight, or null.
  const RegisteredUpstream* Entry(const UpstreamId& id) const;
  /// Returns the entry of an upstream that may get new requests, or null.
  const RegisteredUpstream* Find(const UpstreamId& id) const;
  /// Whether the upstream may get requests for keys that it holds. A draining
  /// upstream still gets them for `kDrainGracePeriod`, until its keys have
  /// moved; one in an evacuated failure domain until `LatestSend`.
  bool MayServeKeys(const UpstreamId& id, MonotonicTime now) const;
  /// Returns the time after which no request may be sent to the upstream
  /// because its failure domain is evacuated, or the largest time.
  MonotonicTime LatestSend(const UpstreamId& id) const;
  /// Whether this daemon may send one more request to the upstream now.
  bool HasCapacity(const UpstreamId& id, MonotonicTime now);
  /// Whether all slots of the upstream are taken, so that a request sent now
  /// would queue there.
  bool IsContended(const UpstreamId& id, MonotonicTime now);
  /// Returns the upstream of a service that is below its limit and best by
  /// `policy`, or nothing. Skips `tried`.
  std::optional<UpstreamId> Choose(
      const ServiceName& service, const std::set<UpstreamId>& tried,
      MonotonicTime now, const PlacementPolicy& policy = LatencyScore());
  /// Whether the service has an upstream that is neither draining nor in an
  /// evacuated failure domain.
  bool HasActiveUpstream(const ServiceName& service) const;
  /// Whether the service has no active upstream, but would have one without the
  /// evacuation.
  bool IsEvacuated(const ServiceName& service) const;

  /// Returns the work at an upstream, or null if the upstream is not known.
  UpstreamWork* FindWork(const UpstreamId& id);
  std::uint32_t OwnInFlight(const UpstreamId& id) const;
  /// Smoothed ratio of the latency to the mean latency of similar requests: 1
  /// is average, 0 means no data.
  double LatencyRatio(const UpstreamId& id) const;
  /// Returns the mean latency ratio of the answers since the last call, 0 if
  /// there were none. Unlike `LatencyRatio` it is not smoothed.
  double TakeUpdatedLatencyRatio(const UpstreamId& id);
  std::vector<UpstreamId> Ids() const;
  /// Whether the upstream currently gets no requests, because several in a row
  /// failed or another upstream has its address.
  bool IsEjected(const UpstreamId& id, MonotonicTime now) const;
  /// Returns true at most once per probe interval: an ejected upstream then
  /// gets one request, to detect that it has recovered.
  bool TryProbe(const UpstreamId& id, MonotonicTime now);

 private:
  /// The time within which a leaving upstream must stop getting requests, less
  /// the time until the daemons learn that it is draining.
  static constexpr std::chrono::milliseconds kDrainGracePeriod{900};

  /// The last load report of another daemon.
  struct PeerLoad {
    std::map<UpstreamId, std::uint32_t> in_flight;
    MonotonicTime at;
  };

  /// Adds a report to the sums of the upstreams, or takes it back.
  void AddPeerLoad(const PeerLoad& load);
  void SubtractPeerLoad(const PeerLoad& load);
  /// Takes back the reports that have become too old.
  void DropOldReports(MonotonicTime now);
  void IndexByService();
  MonotonicTime LatestSend(const UpstreamState& state) const;
  bool HasCapacity(const UpstreamState& state, MonotonicTime now) const;
  /// Returns a number from 1 to 1 + `width`.
  double DrawJitter(double width);
  double LimitOf(const UpstreamState& state, MonotonicTime now) const;
  void LowerLimit(UpstreamState& state, MonotonicTime now);
  void Eject(UpstreamState& state, MonotonicTime now);
  double EjectedShare(const std::vector<UpstreamState*>& candidates,
                      MonotonicTime now) const;

  /// Returns the aversion of this daemon to an upstream.
  double AversionTo(const UpstreamId& id) const;

  const FailureDomain domain;
  const std::uint64_t seed;
  std::uint64_t random_state;
  std::map<UpstreamId, UpstreamState> states;
  EvacuatedDomains evacuated;
  /// The upstreams of each service that are neither draining nor in an
  /// evacuated failure domain, so that a choice does not walk those of other
  /// services. Points into `states`.
  std::map<ServiceName, std::vector<UpstreamState*>> by_service;
  /// Services with an upstream that is not in `by_service` only because of an
  /// evacuation.
  std::set<ServiceName> evacuated_services;
  LeavingUpstreams leaving;
  WarmUpSchedule warm_up;
  /// Reports that are not too old. The cost of a choice must not grow with
  /// their number, so they are summed up when they come and go.
  std::map<DaemonId, PeerLoad> peers;
  std::chrono::milliseconds report_interval{100};
  /// No report becomes too old before this time.
  MonotonicTime next_report_expiry = MonotonicTime::max();
  /// No upstream is ejected or paused after these times.
  MonotonicTime last_ejection_end;
  MonotonicTime last_pause_end;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_LOAD_BALANCER_H_
