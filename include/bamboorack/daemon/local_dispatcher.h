#ifndef BAMBOORACK_DAEMON_LOCAL_DISPATCHER_H_
#define BAMBOORACK_DAEMON_LOCAL_DISPATCHER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bamboorack/core/metrics.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/daemon/owner_history.h"
#include "bamboorack/daemon/router_action.h"
#include "bamboorack/upstream/concurrency_limit.h"
#include "bamboorack/upstream/deduplication_table.h"
#include "bamboorack/upstream/dispatch_queue.h"
#include "bamboorack/upstream/retry_budget.h"
#include "bamboorack/upstream/service_time_estimator.h"
#include "bamboorack/upstream/work_id.h"

namespace bamboorack::daemon {

using upstream::WorkId;

/// The outcome of a submitted request.
struct LocalEnding {
  WorkId id;
  Result result;
};

/// Actions and outcomes produced by a call to `LocalDispatcher`.
struct LocalOutput {
  RouterActions actions;
  std::vector<LocalEnding> endings;
};

/// The part of the request path that runs only at the authority of a group:
/// queueing, concurrency limits, retries and the deduplication of once-only
/// requests. Every submitted request gets exactly one ending unless it is
/// abandoned.
class LocalDispatcher {
 public:
  LocalDispatcher(DaemonId self_id, Metrics& metrics_sink,
                  ControlCallId first_call_id, std::size_t once_only_bytes);

  void OnTable(std::shared_ptr<const RoutingTable> new_table, MonotonicTime now,
               LocalOutput& out);
  /// Submits a request. `route` must have a local owner.
  void Submit(WorkId id, std::shared_ptr<const Request> request,
              const Route& route, MonotonicTime now, LocalOutput& out);
  /// Removes `id`, whose caller is gone. It gets no ending.
  void Abandon(WorkId id, MonotonicTime now, LocalOutput& out);
  void OnDispatchResult(upstream::DispatchResult&& message, MonotonicTime now,
                        LocalOutput& out);
  void OnControlResult(const upstream::ControlResult& message,
                       MonotonicTime now, LocalOutput& out);
  void Tick(MonotonicTime now, LocalOutput& out);
  MonotonicTime NextWakeup() const;
  bool IsIdle() const { return this->jobs.empty(); }

 private:
  enum class Stage : std::uint8_t {
    /// Asking upstreams whether an earlier attempt ran, before dispatching.
    kSettlingBeforeDispatch,
    kQueued,
    kInFlight,
    /// Asking the upstream whether an attempt without an answer ran.
    kSettlingAfterDispatch,
  };

  /// A request and all callers that wait for its outcome.
  struct Job {
    WorkId id;
    std::shared_ptr<const Request> request;
    ShardId shard;
    GroupId group;
    UpstreamRef upstream;
    Stage stage = Stage::kQueued;
    int attempts = 0;
    /// Set if an earlier attempt may have run, which rules out "not run".
    bool may_have_run = false;
    DispatchId dispatch;
    MonotonicTime sent_at;
    bool is_cancelled = false;
    /// The group's token when the once-only id was checked. The id has to be
    /// checked again under another token.
    FencingToken checked_token;
    /// Waiting callers. Unused for once-only requests, whose waiters are kept
    /// in `DeduplicationTable`.
    std::vector<WorkId> waiters;
    /// Upstreams still to be asked, in reverse order.
    std::vector<UpstreamRef> settle_targets;
    ControlCallId settle_call;
    /// When to send the next settle call; not set while a call is pending.
    std::optional<MonotonicTime> settle_retry_at;
    /// The ending if settling gives no definite answer.
    Refusal settle_fallback;
  };

  /// Queue, limit and state of one upstream that this daemon dispatches to.
  struct UpstreamState {
    /// Not set while the upstream is not in the table.
    std::optional<LocalUpstream> info;
    upstream::DispatchQueue queue;
    upstream::ConcurrencyLimit limit;
    std::unique_ptr<upstream::ServiceTimeEstimator> estimator;
    /// No dispatch is sent before this time.
    MonotonicTime paused_until = MonotonicTime::min();
    /// Set if a new routing table ends the pause early.
    bool awaits_table = false;
  };

  /// State of a group that is kept when this daemon loses and regains its
  /// authority.
  struct Group {
    FencingToken token;
    upstream::DeduplicationTable deduplication_table;
    upstream::RetryBudget budget;
  };

  using JobHandler = void (LocalDispatcher::*)(Job&, MonotonicTime,
                                               LocalOutput&);

  // Dispatch, results, waiters and timers (local_dispatcher.cc).
  void Enqueue(Job& job, MonotonicTime now, LocalOutput& out);
  void SendQueued(UpstreamState& state, MonotonicTime now, LocalOutput& out);
  bool CanSend(const UpstreamState& state, MonotonicTime now) const;
  void Send(UpstreamState& state, Job& job, MonotonicTime now,
            LocalOutput& out);
  void OnFailure(Job& job, const Refusal& refusal, MonotonicTime now,
                 LocalOutput& out);
  void ReportNoAnswer(UpstreamState& state, const Job& job, Reason reason,
                      MonotonicTime now);
  bool TryRetry(Job& job, const Refusal& refusal, MonotonicTime now,
                LocalOutput& out);
  void Resubmit(Job& job, MonotonicTime now, LocalOutput& out);
  void End(Job& job, Result result, MonotonicTime now, LocalOutput& out);
  void EndWaiters(const std::vector<WorkId>& waiters, const Result& result,
                  LocalOutput& out);
  void EndWaiter(WorkId id, Result result, LocalOutput& out);
  std::size_t RemoveWaiter(Job& job, WorkId id);
  bool HasWaiters(const Job& job) const;
  void OnLastWaiterLeft(Job& job, MonotonicTime now, LocalOutput& out);
  void CancelInFlight(Job& job, LocalOutput& out);
  void ArmTimer(WorkId id, MonotonicTime at);
  void OnTimer(WorkId id, MonotonicTime now, LocalOutput& out);
  void OnWaiterTimer(WorkId id, MonotonicTime now, LocalOutput& out);
  void OnQueuedTimer(Job& job, MonotonicTime now, LocalOutput& out);
  void OnInFlightTimer(Job& job, MonotonicTime now, LocalOutput& out);
  void OnSettlingTimer(Job& job, MonotonicTime now, LocalOutput& out);
  Job* FindJob(WorkId id);
  UpstreamState* FindUpstreamState(const UpstreamRef& ref);

  // Updates from a new routing table (local_dispatcher_tables.cc).
  void UpdateGroups(MonotonicTime now);
  void UpdateUpstreamStates();
  void RerouteQueued(MonotonicTime now, LocalOutput& out);
  bool CanStayQueued(const upstream::QueuedWork& work);
  void DropIdleState(MonotonicTime now);

  upstream::DeduplicationTable& DeduplicationTableOf(const Job& job);

  // Once-only ids and settling (local_dispatcher_settle.cc).
  void SubmitOnceOnly(Job& job, MonotonicTime now, LocalOutput& out);
  void JoinAttempt(Job& job, MonotonicTime now, LocalOutput& out);
  void RepeatAnswer(Job& job, MonotonicTime now, LocalOutput& out);
  void RepeatAnswerLost(Job& job, MonotonicTime now, LocalOutput& out);
  void SubmitAbsentId(Job& job, MonotonicTime now, LocalOutput& out);
  void SubmitUnknownId(Job& job, MonotonicTime now, LocalOutput& out);
  Job& BeginAttempt(Job& job, MonotonicTime now);
  void SettleBeforeDispatch(Job& job, MonotonicTime now, LocalOutput& out);
  void SettleAfterDispatch(Job& job, const Refusal& refusal, MonotonicTime now,
                           LocalOutput& out);
  void SendSettleCall(Job& job, MonotonicTime now, LocalOutput& out);
  void ScheduleSettleRetry(Job& job, MonotonicTime now, LocalOutput& out);
  void OnSettledDone(Job& job, MonotonicTime now, LocalOutput& out);
  void OnSettledNotRun(Job& job, MonotonicTime now, LocalOutput& out);
  void GiveUpSettling(Job& job, MonotonicTime now, LocalOutput& out);
  bool CanSettle(const Job& job) const;
  std::optional<Endpoint> EndpointOf(const UpstreamRef& ref) const;

  DaemonId self;
  Metrics& metrics;
  std::size_t once_only_bytes;
  std::shared_ptr<const RoutingTable> table;
  OwnerHistory owners;
  std::map<GroupId, Group> groups;
  std::map<UpstreamRef, UpstreamState> upstream_states;
  std::unordered_map<WorkId, Job> jobs;
  /// Maps each waiting request to its job.
  std::unordered_map<WorkId, WorkId> job_by_waiter;
  std::unordered_map<WorkId, MonotonicTime> waiter_deadlines;
  std::unordered_map<DispatchId, WorkId> dispatches;
  std::unordered_map<ControlCallId, WorkId> settle_calls;
  std::set<std::pair<MonotonicTime, WorkId>> timers;
  DispatchId next_dispatch{1};
  ControlCallId next_call;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_LOCAL_DISPATCHER_H_
