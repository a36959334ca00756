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
#include "bamboorack/upstream/dispatch_queue.h"
#include "bamboorack/upstream/once_only_memory.h"
#include "bamboorack/upstream/retry_budget.h"
#include "bamboorack/upstream/service_time_estimator.h"
#include "bamboorack/upstream/work_id.h"

namespace bamboorack::daemon {

using upstream::WorkId;

/// The end of a request that was submitted.
struct LocalEnding {
  WorkId id;
  Result result;
};

/// What a call on `LocalDispatcher` leads to.
struct LocalOutput {
  RouterActions actions;
  std::vector<LocalEnding> endings;
};

/// The part of the request path that only a group's authority has: queues,
/// limits, retries and the memory of once-only ids. Every submitted request
/// gets exactly one ending unless it is abandoned.
class LocalDispatcher {
 public:
  LocalDispatcher(DaemonId self_id, Metrics& metrics_sink,
                  ControlCallId first_call_id, std::size_t once_only_bytes);

  void OnTable(std::shared_ptr<const RoutingTable> new_table, MonotonicTime now,
               LocalOutput& out);
  /// Takes a request whose `route` has a local owner.
  void Submit(WorkId id, std::shared_ptr<const Request> request,
              const Route& route, MonotonicTime now, LocalOutput& out);
  /// Nobody waits for `id` any more. It gets no ending.
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
    /// Asks upstreams whether an earlier attempt ran.
    kSettlingBefore,
    kQueued,
    kInFlight,
    /// Asks the upstream whether the attempt that got no answer ran.
    kSettlingAfter,
  };

  /// One request, with everyone who waits for it.
  struct Job {
    WorkId id;
    std::shared_ptr<const Request> request;
    ShardId shard;
    GroupId group;
    UpstreamRef upstream;
    Stage stage = Stage::kQueued;
    int attempts = 0;
    /// An earlier attempt may have run, so the ending can't be "not run".
    bool may_have_run = false;
    DispatchId dispatch;
    MonotonicTime sent;
    bool is_cancelled = false;
    /// The tenure in which the once-only id was checked.
    FencingToken checked_under;
    /// Who waits, unless the request is once-only: then its memory knows.
    std::vector<WorkId> waiters;
    /// Upstreams that still have to be asked, the next one last.
    std::vector<UpstreamRef> settle_targets;
    ControlCallId settle_call;
    /// When to ask again; set if no call is under way.
    std::optional<MonotonicTime> settle_again;
    /// The ending if settling leads to nothing.
    Refusal unsettled;
  };

  /// One upstream that this daemon dispatches to.
  struct Lane {
    /// Not set while the upstream is not in the table.
    std::optional<LocalUpstream> info;
    upstream::DispatchQueue queue;
    upstream::ConcurrencyLimit limit;
    std::unique_ptr<upstream::ServiceTimeEstimator> estimator;
    /// Nothing is sent before this time.
    MonotonicTime paused_until = MonotonicTime::min();
    /// A new table ends the pause.
    bool awaits_table = false;
  };

  /// What outlives the single tenure of an authority.
  struct Group {
    FencingToken token;
    upstream::DeduplicationTable memory;
    upstream::RetryBudget budget;
  };

  using JobHandler = void (LocalDispatcher::*)(Job&, MonotonicTime,
                                               LocalOutput&);

  // local_dispatcher.cc: dispatch, results, waiters and timers.
  void Enqueue(Job& job, MonotonicTime now, LocalOutput& out);
  void Pump(Lane& lane, MonotonicTime now, LocalOutput& out);
  bool CanSend(const Lane& lane, MonotonicTime now) const;
  void Send(Lane& lane, Job& job, MonotonicTime now, LocalOutput& out);
  void OnFailure(Job& job, const Refusal& refusal, MonotonicTime now,
                 LocalOutput& out);
  void NoteUnanswered(Lane& lane, const Job& job, Reason reason,
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
  void OnNobodyWaits(Job& job, MonotonicTime now, LocalOutput& out);
  void CancelInFlight(Job& job, LocalOutput& out);
  void Arm(WorkId id, MonotonicTime at);
  void OnTimer(WorkId id, MonotonicTime now, LocalOutput& out);
  void OnWaiterTimer(WorkId id, MonotonicTime now, LocalOutput& out);
  void OnQueuedTimer(Job& job, MonotonicTime now, LocalOutput& out);
  void OnInFlightTimer(Job& job, MonotonicTime now, LocalOutput& out);
  void OnSettlingTimer(Job& job, MonotonicTime now, LocalOutput& out);
  Job* FindJob(WorkId id);
  Lane* FindLane(const UpstreamRef& ref);

  // local_tables.cc: what changes with a routing table.
  void UpdateGroups(MonotonicTime now);
  void UpdateLanes();
  void RerouteQueued(MonotonicTime now, LocalOutput& out);
  bool StaysQueued(const upstream::QueuedWork& work);
  void DropIdleState(MonotonicTime now);

  upstream::DeduplicationTable& MemoryOf(const Job& job);

  // local_settle.cc: once-only ids and settling.
  void SubmitOnceOnly(Job& job, MonotonicTime now, LocalOutput& out);
  void JoinAttempt(Job& job, MonotonicTime now, LocalOutput& out);
  void RepeatAnswer(Job& job, MonotonicTime now, LocalOutput& out);
  void RepeatAnswerLost(Job& job, MonotonicTime now, LocalOutput& out);
  void StartAbsent(Job& job, MonotonicTime now, LocalOutput& out);
  void StartUnknown(Job& job, MonotonicTime now, LocalOutput& out);
  Job& Begin(Job& job, MonotonicTime now);
  void SettleBefore(Job& job, MonotonicTime now, LocalOutput& out);
  void SettleAfter(Job& job, const Refusal& refusal, MonotonicTime now,
                   LocalOutput& out);
  void AskNext(Job& job, MonotonicTime now, LocalOutput& out);
  void AskAgainLater(Job& job, MonotonicTime now, LocalOutput& out);
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
  std::map<UpstreamRef, Lane> lanes;
  std::unordered_map<WorkId, Job> jobs;
  /// The job that each waiting request belongs to.
  std::unordered_map<WorkId, WorkId> job_of_waiter;
  std::unordered_map<WorkId, MonotonicTime> waiter_deadlines;
  std::unordered_map<DispatchId, WorkId> dispatches;
  std::unordered_map<ControlCallId, WorkId> settle_calls;
  std::set<std::pair<MonotonicTime, WorkId>> timers;
  DispatchId next_dispatch{1};
  ControlCallId next_call;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_LOCAL_DISPATCHER_H_
