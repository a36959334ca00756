#ifndef BAMBOORACK_DAEMON_GATEWAY_ROUTER_H_
#define BAMBOORACK_DAEMON_GATEWAY_ROUTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bamboorack/caller/messages.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/placement_mode.h"
#include "bamboorack/core/route_table.h"
#include "bamboorack/core/time.h"
#include "bamboorack/daemon/gateway_messages.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/upstream/demand_counter.h"
#include "bamboorack/upstream/load_balancer.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/request_placement.h"
#include "bamboorack/upstream/retry_budget.h"
#include "bamboorack/upstream/wait_queue.h"

namespace bamboorack::daemon {

/// Routes, queues, retries and refuses the requests of the callers of this
/// daemon. Dispatches requests to upstreams directly; key ownership is decided
/// by the leader and arrives in `GatewayTables`.
class GatewayRouter {
 public:
  struct Identity {
    DaemonId daemon;
    FailureDomain failure_domain;
    PlacementMode placement = PlacementMode::kAutomatic;
    /// Whether the other daemons are told what upstreams state of their load.
    bool tells_stated_loads = false;
  };

  GatewayRouter(const Identity& own_identity, Metrics& metrics_registry);

  GatewayActions OnTables(const GatewayTables& new_tables, MonotonicTime now);
  GatewayActions OnCallerMessage(caller::FromCaller message, MonotonicTime now);
  GatewayActions OnUpstreamMessage(upstream::UpstreamToRouting message,
                                   MonotonicTime now);
  GatewayActions OnLoadReport(const peer::LoadReport& report,
                              MonotonicTime now);
  /// Refuses all later requests, because the process may exit before it could
  /// answer them.
  void BeginStop() { this->is_stopping = true; }
  /// Refuses requests that can no longer meet their deadline and reports the
  /// load, each at its own interval.
  GatewayActions Tick(MonotonicTime now);
  MonotonicTime NextWakeup() const;

  std::size_t WaitingCount() const;
  std::size_t InFlightCount() const { return this->handles_by_dispatch.size(); }
  bool IsIdle() const { return this->requests.empty(); }

 private:
  /// `Retry-After` of requests whose key has no owner.
  static constexpr std::chrono::milliseconds kNoOwnerRetryAfter{500};

  /// Identifies a request within this daemon; never reused.
  using Handle = std::uint64_t;

  /// Identifies a queue. Its requests wait for `upstream` if the service is
  /// sharded, otherwise for any upstream of `service` (`upstream` is empty).
  struct QueueKey {
    ServiceName service;
    UpstreamId upstream;

    auto operator<=>(const QueueKey&) const = default;
  };

  enum class Stage : std::uint8_t {
    kUnscheduled,
    kQueued,
    kUnowned,
    kInFlight
  };

  struct PendingRequest {
    Handle handle = 0;
    caller::CallerSlot slot;
    Request request;
    RouteName route;
    Repeatability repeatability = Repeatability::kOnce;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    ServiceName service;
    bool is_sharded = false;
    ShardKey key;
    MonotonicTime arrived_at;
    MonotonicTime soft_deadline;
    MonotonicTime hard_deadline;
    MonotonicTime not_before;
    /// When the request may be sent to the cold upstream that it waits for.
    MonotonicTime turn_start;
    /// When a request that waits for its key to get an owner is refused.
    MonotonicTime owner_wait_deadline;
    std::uint32_t attempts = 0;
    std::set<UpstreamId> tried_upstreams;
    Stage stage = Stage::kUnscheduled;
    QueueKey queue_key;
    DispatchId dispatch;
    UpstreamId upstream;
    /// The run that the last attempt was sent to.
    UpstreamLife upstream_life;
    MonotonicTime sent_at;
    /// The upstream had no free slot when the request was sent, so the latency
    /// includes queueing time there.
    bool is_contended = false;
    bool is_caller_gone = false;
    /// The outcome of an earlier attempt is unknown.
    bool may_have_run = false;
    /// Version of the owner map in use when an upstream refused the request
    /// because it does not own the key.
    OwnerMapVersion refused_owner_map;
  };

  void OnRequestArrived(caller::RequestArrived arrived);
  void OnCallerGone(const caller::CallerGone& gone);
  void OnDispatchResult(upstream::DispatchResult result);

  /// Whether a request that its caller may send again must not start before the
  /// answers in front of it are sent.
  bool MustBeFirst(const Request& request) const;
  std::optional<Refusal> Admit(PendingRequest& pending,
                               const caller::RequestArrived& arrived);
  /// Sends, queues or refuses the request. Only a request that has not been
  /// queued before (`is_new`) is refused because the queue is too long.
  void ScheduleRequest(PendingRequest& pending, bool is_new);
  void ScheduleSharded(PendingRequest& pending, bool is_new);
  void SendOrEnqueue(PendingRequest& pending, const QueueKey& key, bool is_new);
  void WaitForOwner(PendingRequest& pending);
  void DrainQueue(const QueueKey& key);
  /// Whether the requests in a queue must no longer be sent to its upstreams.
  bool IsClosed(const QueueKey& key) const;
  /// Schedules the requests of `queue` again; they wait for the next owner of
  /// their keys if theirs has left.
  void RescheduleQueue(upstream::WaitQueue& queue);
  void DrainAllQueues();
  void RescheduleWaiting();
  std::optional<UpstreamId> PickUpstream(const PendingRequest& pending,
                                         const QueueKey& key);
  void Send(PendingRequest& pending, const UpstreamId& upstream);
  void RemoveFromQueue(PendingRequest& pending);

  /// Applies what an upstream said of itself in its answer to `pending`.
  void ApplyNotice(const PendingRequest& pending,
                   const upstream::UpstreamNotice& notice);
  void PauseUpstream(const PendingRequest& pending,
                     std::chrono::milliseconds requested);
  /// Applies the evacuated failure domains in `tables`.
  void ApplyEvacuations();
  /// Refuses a request of a service whose upstreams are all in evacuated
  /// failure domains. Returns whether it did.
  bool RefuseIfEvacuated(PendingRequest& pending);
  /// Makes this daemon and the others stop using a run that leaves.
  void MarkLeaving(const UpstreamRun& run);
  /// Refuses a request whose upstreams want none before `paused_until`, if it
  /// cannot wait for that. Returns whether it did.
  bool RefuseIfPausedTooLong(PendingRequest& pending,
                             MonotonicTime paused_until);
  /// Gives the load balancer the turns of this daemon at upstreams that warm
  /// up.
  void UpdateWarmUpSchedule();
  /// Schedules the requests again that wait for an upstream that has become
  /// cold.
  void RescheduleColdQueues();
  /// Refuses a request whose upstreams are cold, if no turn of this daemon
  /// comes and no warm-up ends in time; otherwise makes one that waits for a
  /// single upstream wait until then. Returns whether it was refused.
  bool RefuseIfColdTooLong(PendingRequest& pending, const QueueKey& key);
  /// Returns a Retry-After of at least `wait`.
  std::chrono::milliseconds RetryAfterPause(
      const PendingRequest& pending, std::chrono::nanoseconds wait) const;

  void Retry(PendingRequest& pending, const Refusal& refusal);
  /// Whether the upstream that a request was sent to owns its key now.
  bool OwnsKeyOf(const PendingRequest& pending) const;
  bool MayRetry(const PendingRequest& pending, const Refusal& refusal);
  void Finish(PendingRequest& pending, Result result);
  void Refuse(PendingRequest& pending, Reason reason, std::string detail,
              std::chrono::nanoseconds retry_after);
  void LogRequest(const PendingRequest& pending, EventKind kind,
                  std::string_view name, std::optional<Reason> reason,
                  std::chrono::nanoseconds wait = {});
  std::chrono::nanoseconds AverageLatency(const RouteName& route) const;
  void UpdateAverageLatency(const RouteName& route,
                            std::chrono::nanoseconds latency);
  std::chrono::milliseconds JitterRetryAfter(
      const PendingRequest& pending, std::chrono::nanoseconds wait) const;
  void RefuseExpired();
  /// Learns from the end of a dispatch what requests cost and how busy the
  /// upstream is.
  void LearnFromEnd(const PendingRequest& pending, DispatchId dispatch,
                    upstream::UpstreamOutcome outcome,
                    const upstream::UpstreamNotice& notice);
  void ApplyReportedWork(const peer::LoadReport& report);
  void AddStatements(peer::LoadReport& report);
  void CountPlacements();
  void ReportLoad();
  std::chrono::milliseconds LoadReportInterval() const;
  GatewayActions TakeActions();

  const Identity identity;
  Metrics& metrics;
  GatewayTables tables;
  RouteTable routes;
  upstream::LoadBalancer load_balancer;
  upstream::RequestPlacement placement;
  std::map<RouteName, ShareDealer> share_dealers;
  std::map<ServiceName, upstream::RetryBudget> budgets;
  std::map<RouteName, std::chrono::nanoseconds> average_latencies;
  std::map<peer::UpstreamHash, UpstreamId> by_hash;

  std::unordered_map<Handle, PendingRequest> requests;
  std::unordered_map<std::uint64_t, Handle> handles_by_slot;
  std::unordered_map<DispatchId, Handle> handles_by_dispatch;
  std::map<QueueKey, upstream::WaitQueue> queues;
  std::set<Handle> unowned;
  upstream::DemandCounter key_demand;
  /// Services whose upstreams stated their load to this daemon.
  std::set<ServiceName> stating_services;
  std::map<DaemonId, MonotonicTime> peer_reported_at;
  /// Runs that said that they leave, and until when the others are told.
  std::map<UpstreamRun, MonotonicTime> departures;
  Handle last_handle = 0;
  std::uint64_t last_dispatch_id = 0;
  MonotonicTime next_expiry_check;
  MonotonicTime next_report;
  bool had_load = false;
  MonotonicTime next_keepalive;
  bool is_stopping = false;

  // Valid during a call of a public member function only.
  MonotonicTime now;
  GatewayActions actions;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_ROUTER_H_
