#include "bamboorack/daemon/local_dispatcher.h"

#include <algorithm>
#include <array>
#include <utility>

#include "bamboorack/daemon/router_policy.h"

namespace bamboorack::daemon {

using upstream::QueuedWork;

LocalDispatcher::LocalDispatcher(DaemonId self_id, Metrics& metrics_sink,
                                 ControlCallId first_call_id,
                                 std::size_t memory_bytes)
    : self(std::move(self_id)),
      metrics(metrics_sink),
      once_only_bytes(memory_bytes),
      next_call(first_call_id) {}

void LocalDispatcher::Submit(WorkId id, std::shared_ptr<const Request> request,
                             const Route& route, MonotonicTime now,
                             LocalOutput& out) {
  this->waiter_deadlines[id] = request->deadline;
  this->job_by_waiter[id] = id;
  this->ArmTimer(id, request->deadline);
  this->groups.at(route.group).budget.OnRequest();
  Job job;
  job.id = id;
  job.shard = route.shard;
  job.group = route.group;
  job.upstream = *route.local_owner;
  job.request = std::move(request);
  if (PolicyOf(job.request->rank).is_once_only) {
    this->SubmitOnceOnly(job, now, out);
    return;
  }
  job.waiters = {id};
  this->Enqueue(this->jobs.emplace(id, std::move(job)).first->second, now, out);
}

void LocalDispatcher::Enqueue(Job& job, MonotonicTime now, LocalOutput& out) {
  UpstreamState* state = this->FindUpstreamState(job.upstream);
  if (state == nullptr) {
    this->End(job, NotRun(Reason::kOwnerUnreachable, job.upstream.id.value),
              now, out);
    return;
  }
  job.stage = Stage::kQueued;
  const auto pushed = state->queue.Push(
      QueuedWork{job.id, job.request->rank, job.request->deadline},
      *state->estimator, state->limit.Current(), now);
  if (!pushed) {
    this->End(job, NotRun(pushed.error(), job.upstream.id.value), now, out);
    return;
  }
  this->SendQueued(*state, now, out);
}

void LocalDispatcher::SendQueued(UpstreamState& state, MonotonicTime now,
                                 LocalOutput& out) {
  while (true) {
    std::vector<upstream::DroppedWork> dropped = state.queue.RemoveExpired(now);
    std::optional<QueuedWork> work;
    if (this->CanSend(state, now)) {
      work = state.queue.Pop(*state.estimator, state.limit.Current(), now,
                             dropped);
    }
    for (const upstream::DroppedWork& dropped_work : dropped) {
      this->End(this->jobs.at(dropped_work.id), NotRun(dropped_work.reason),
                now, out);
    }
    if (!work) return;
    this->Send(state, this->jobs.at(work->id), now, out);
  }
}

bool LocalDispatcher::CanSend(const UpstreamState& state,
                              MonotonicTime now) const {
  if (!state.info || !state.info->accepts_work || now < state.paused_until) {
    return false;
  }
  const auto group = this->table->local_groups.find(state.info->group);
  return group != this->table->local_groups.end() &&
         now < group->second.mandate_until;
}

void LocalDispatcher::Send(UpstreamState& state, Job& job, MonotonicTime now,
                           LocalOutput& out) {
  const LocalUpstream& info = *state.info;
  const LocalGroup& group = this->table->local_groups.at(info.group);
  const MonotonicTime deadline = job.request->deadline;
  job.stage = Stage::kInFlight;
  job.sent_at = now;
  ++job.attempts;
  job.dispatch = this->next_dispatch;
  ++this->next_dispatch.value;
  this->dispatches.emplace(job.dispatch, job.id);
  state.estimator->OnStart(job.dispatch, job.request->rank, now);
  this->ArmTimer(job.id, deadline + kResultGrace);
  const auto remaining = std::chrono::floor<std::chrono::milliseconds>(
      deadline - info.reading_received);
  out.actions.emplace_back(upstream::Dispatch{
      job.dispatch, info.ref, info.endpoint, info.token, job.shard,
      info.reading + remaining, std::min(deadline, group.mandate_until),
      *job.request});
}

void LocalDispatcher::OnDispatchResult(upstream::DispatchResult&& message,
                                       MonotonicTime now, LocalOutput& out) {
  const auto found = this->dispatches.find(message.id);
  if (found == this->dispatches.end()) {
    this->metrics.Count("dispatch_results_unexpected");
    return;
  }
  Job& job = this->jobs.at(found->second);
  this->dispatches.erase(found);
  this->timers.erase({job.request->deadline + kResultGrace, job.id});
  const UpstreamRef ref = job.upstream;
  UpstreamState& state = this->upstream_states.at(ref);
  const bool is_answered = message.result.has_value();
  state.estimator->OnEnd(message.id, is_answered, now);
  if (is_answered) {
    state.limit.OnAnswer(job.request->rank, job.sent_at, now);
    this->End(job, std::move(message.result), now, out);
  }
  if (!is_answered) this->OnFailure(job, message.result.error(), now, out);
  this->SendQueued(state, now, out);
}

void LocalDispatcher::OnFailure(Job& job, const Refusal& refusal,
                                MonotonicTime now, LocalOutput& out) {
  UpstreamState& state = this->upstream_states.at(job.upstream);
  const FailurePolicy policy = FailurePolicyOf(refusal.reason);
  const bool is_unknown = refusal.ending == Ending::kUnknown;
  if (policy.is_overload) state.limit.OnShed(job.sent_at, now);
  if (is_unknown && !job.is_cancelled) {
    this->ReportNoAnswer(state, job, refusal.reason, now);
  }
  if (policy.action == FailureAction::kPauseAndRetry) {
    state.paused_until = now + kUpstreamPause;
  }
  if (policy.action == FailureAction::kAwaitTableAndRetry) {
    state.paused_until = now + kTablePause;
    state.awaits_table = true;
  }
  const RankPolicy& rank = PolicyOf(job.request->rank);
  if (is_unknown && rank.settles_unknown) {
    this->SettleAfterDispatch(job, refusal, now, out);
    return;
  }
  job.may_have_run |= is_unknown;
  if (this->TryRetry(job, refusal, now, out)) return;
  this->End(job, tl::make_unexpected(refusal), now, out);
}

void LocalDispatcher::ReportNoAnswer(UpstreamState& state, const Job& job,
                                     Reason reason, MonotonicTime now) {
  if (reason == Reason::kUpstreamLost) {
    state.limit.OnLost(job.sent_at, now);
    return;
  }
  state.limit.OnTimeout(job.request->rank, job.sent_at, now);
}

bool LocalDispatcher::TryRetry(Job& job, const Refusal& refusal,
                               MonotonicTime now, LocalOutput& out) {
  if (FailurePolicyOf(refusal.reason).action == FailureAction::kGiveUp ||
      job.attempts >= kMaxAttempts || job.request->deadline <= now ||
      !this->HasWaiters(job)) {
    return false;
  }
  if (!this->table->local_groups.contains(job.group)) {
    // Only the group's new authority may retry. The entry daemon forwards the
    // request to it.
    if (refusal.ending == Ending::kUnknown) return false;
    this->End(job, NotRun(Reason::kNoAuthority, refusal.detail), now, out);
    return true;
  }
  if (!this->groups.at(job.group).budget.TryTake()) {
    this->End(
        job,
        tl::make_unexpected(Refusal{refusal.ending, Reason::kRetryBudgetEmpty,
                                    std::string(InfoOf(refusal.reason).name)}),
        now, out);
    return true;
  }
  this->metrics.CountRetry(refusal.reason);
  this->Resubmit(job, now, out);
  return true;
}

void LocalDispatcher::Resubmit(Job& job, MonotonicTime now, LocalOutput& out) {
  const auto route = FindRoute(*this->table, this->self, job.request->service,
                               job.request->key);
  if (!route) {
    this->End(job, NotRun(route.error().reason, route.error().detail), now,
              out);
    return;
  }
  if (!route->local_owner) {
    this->End(job, NotRun(Reason::kNoAuthority), now, out);
    return;
  }
  const bool is_once_only = PolicyOf(job.request->rank).is_once_only;
  if (is_once_only && route->group != job.group) {
    // Each group has its own deduplication table, so the id has to be checked
    // again.
    this->End(job, NotRun(Reason::kOwnerMoving), now, out);
    return;
  }
  job.group = route->group;
  job.shard = route->shard;
  job.upstream = *route->local_owner;
  if (is_once_only && job.checked_token != this->groups.at(job.group).token) {
    this->SettleBeforeDispatch(job, now, out);
    return;
  }
  this->Enqueue(job, now, out);
}

void LocalDispatcher::End(Job& job, Result result, MonotonicTime now,
                          LocalOutput& out) {
  if (!result && job.may_have_run) result.error().ending = Ending::kUnknown;
  const bool is_once_only = PolicyOf(job.request->rank).is_once_only;
  const std::vector<WorkId> waiters =
      is_once_only
          ? this->DeduplicationTableOf(job).End(job.request->id, result, now)
          : std::move(job.waiters);
  this->jobs.erase(job.id);
  this->EndWaiters(waiters, result, out);
}

void LocalDispatcher::EndWaiters(const std::vector<WorkId>& waiters,
                                 const Result& result, LocalOutput& out) {
  for (const WorkId id : waiters) this->EndWaiter(id, result, out);
}

void LocalDispatcher::EndWaiter(WorkId id, Result result, LocalOutput& out) {
  const auto deadline = this->waiter_deadlines.find(id);
  if (deadline == this->waiter_deadlines.end()) return;
  this->timers.erase({deadline->second, id});
  this->timers.erase({deadline->second + kAnswerGrace, id});
  this->waiter_deadlines.erase(deadline);
  this->job_by_waiter.erase(id);
  out.endings.push_back({id, std::move(result)});
}

std::size_t LocalDispatcher::RemoveWaiter(Job& job, WorkId id) {
  LocalOutput ignored;
  this->EndWaiter(id, NotRun(Reason::kCancelled), ignored);
  // The first waiter shares its id, and so its timers, with the job.
  if (id == job.id) this->ArmTimer(job.id, job.request->deadline);
  if (PolicyOf(job.request->rank).is_once_only) {
    return this->DeduplicationTableOf(job).RemoveWaiter(job.request->id, id);
  }
  std::erase(job.waiters, id);
  return job.waiters.size();
}

bool LocalDispatcher::HasWaiters(const Job& job) const {
  if (!PolicyOf(job.request->rank).is_once_only) return !job.waiters.empty();
  return this->groups.at(job.group).deduplication_table.WaiterCount(
             job.request->id) > 0;
}

void LocalDispatcher::Abandon(WorkId id, MonotonicTime now, LocalOutput& out) {
  const auto found = this->job_by_waiter.find(id);
  if (found == this->job_by_waiter.end()) return;
  Job& job = this->jobs.at(found->second);
  if (this->RemoveWaiter(job, id) == 0) this->OnLastWaiterLeft(job, now, out);
}

void LocalDispatcher::OnLastWaiterLeft(Job& job, MonotonicTime now,
                                       LocalOutput& out) {
  if (job.stage == Stage::kQueued) {
    UpstreamState* state = this->FindUpstreamState(job.upstream);
    if (state != nullptr) state->queue.Remove(job.id);
    this->End(job, NotRun(Reason::kCancelled), now, out);
    return;
  }
  if (job.stage == Stage::kSettlingBeforeDispatch) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  if (job.stage == Stage::kInFlight) this->CancelInFlight(job, out);
}

void LocalDispatcher::CancelInFlight(Job& job, LocalOutput& out) {
  if (job.is_cancelled || !PolicyOf(job.request->rank).cancels_in_flight) {
    return;
  }
  job.is_cancelled = true;
  out.actions.emplace_back(upstream::CancelDispatch{job.dispatch});
}

void LocalDispatcher::ArmTimer(WorkId id, MonotonicTime at) {
  this->timers.emplace(at, id);
}

void LocalDispatcher::Tick(MonotonicTime now, LocalOutput& out) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const WorkId id = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    this->OnTimer(id, now, out);
  }
  for (auto& [ref, state] : this->upstream_states) {
    if (state.paused_until > now) continue;
    state.paused_until = MonotonicTime::min();
    this->SendQueued(state, now, out);
  }
  for (auto& [id, group] : this->groups) group.deduplication_table.Expire(now);
}

MonotonicTime LocalDispatcher::NextWakeup() const {
  MonotonicTime next =
      this->timers.empty() ? MonotonicTime::max() : this->timers.begin()->first;
  for (const auto& [ref, state] : this->upstream_states) {
    if (state.paused_until == MonotonicTime::min()) continue;
    if (state.queue.Size() > 0) next = std::min(next, state.paused_until);
  }
  return next;
}

void LocalDispatcher::OnTimer(WorkId id, MonotonicTime now, LocalOutput& out) {
  static constexpr std::array<JobHandler, 4> kTimerHandlers = {
      &LocalDispatcher::OnSettlingTimer,
      &LocalDispatcher::OnQueuedTimer,
      &LocalDispatcher::OnInFlightTimer,
      &LocalDispatcher::OnSettlingTimer,
  };
  Job* job = this->FindJob(id);
  if (job != nullptr) {
    (this->*kTimerHandlers.at(static_cast<std::size_t>(job->stage)))(*job, now,
                                                                     out);
  }
  this->OnWaiterTimer(id, now, out);
}

void LocalDispatcher::OnWaiterTimer(WorkId id, MonotonicTime now,
                                    LocalOutput& out) {
  const auto found = this->job_by_waiter.find(id);
  if (found == this->job_by_waiter.end()) return;
  const MonotonicTime deadline = this->waiter_deadlines.at(id);
  if (now < deadline) return;
  Job& job = this->jobs.at(found->second);
  if (job.stage != Stage::kQueued && now < deadline + kAnswerGrace) {
    this->ArmTimer(id, deadline + kAnswerGrace);
    return;
  }
  const Reason reason =
      id == job.id ? Reason::kDeadlinePassed : Reason::kIdInProgress;
  const std::size_t remaining = this->RemoveWaiter(job, id);
  out.endings.push_back({id, Unknown(reason)});
  if (remaining > 0) return;
  if (job.stage == Stage::kInFlight && !job.is_cancelled) {
    this->upstream_states.at(job.upstream)
        .limit.OnTimeout(job.request->rank, job.sent_at, now);
  }
  this->OnLastWaiterLeft(job, now, out);
}

void LocalDispatcher::OnQueuedTimer(Job& job, MonotonicTime now,
                                    LocalOutput& out) {
  if (now < job.request->deadline) return;
  UpstreamState* state = this->FindUpstreamState(job.upstream);
  if (state != nullptr) state->queue.Remove(job.id);
  this->End(job, NotRun(Reason::kDeadlinePassed), now, out);
}

void LocalDispatcher::OnInFlightTimer(Job& job, MonotonicTime now,
                                      LocalOutput& out) {
  if (now < job.request->deadline + kResultGrace) return;
  this->metrics.Count("dispatch_results_missing");
  this->OnDispatchResult({job.dispatch, Unknown(Reason::kUpstreamLost)}, now,
                         out);
}

LocalDispatcher::Job* LocalDispatcher::FindJob(WorkId id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : &found->second;
}

LocalDispatcher::UpstreamState* LocalDispatcher::FindUpstreamState(
    const UpstreamRef& ref) {
  const auto found = this->upstream_states.find(ref);
  return found == this->upstream_states.end() ? nullptr : &found->second;
}

upstream::DeduplicationTable& LocalDispatcher::DeduplicationTableOf(
    const Job& job) {
  return this->groups.at(job.group).deduplication_table;
}

}  // namespace bamboorack::daemon
