#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "bamboorack/core/hash.h"
#include "bamboorack/daemon/local_dispatcher.h"
#include "bamboorack/daemon/router_policy.h"

namespace bamboorack::daemon {
namespace {

using upstream::ControlError;
using upstream::SettleAnswer;

constexpr std::string_view kAnswerLost =
    "the upstream ran the request; its answer is lost";

std::uint64_t FingerprintOf(const Request& request) {
  std::uint64_t hash = HashText(request.key);
  for (const std::string_view part :
       {std::string_view(request.method), std::string_view(request.rest),
        std::string_view(request.content_type),
        request.body == nullptr ? std::string_view()
                                : std::string_view(*request.body)}) {
    hash = CombineHashes(hash, HashText(part));
  }
  return hash;
}

bool IsRetryable(ControlError error) {
  return error == ControlError::kUnreachable ||
         error == ControlError::kBadAnswer;
}

}  // namespace

void LocalDispatcher::SubmitOnceOnly(Job& job, MonotonicTime now,
                                     LocalOutput& out) {
  static constexpr std::array<JobHandler, 5> kSubmitHandlers = {
      &LocalDispatcher::SubmitAbsentId,  &LocalDispatcher::JoinAttempt,
      &LocalDispatcher::RepeatAnswer,    &LocalDispatcher::RepeatAnswerLost,
      &LocalDispatcher::SubmitUnknownId,
  };
  upstream::DeduplicationTable& deduplication_table =
      this->DeduplicationTableOf(job);
  deduplication_table.Expire(now);
  const RequestId& id = job.request->id;
  if (deduplication_table.HasOtherFingerprint(id,
                                              FingerprintOf(*job.request))) {
    this->EndWaiter(
        job.id,
        NotRun(Reason::kMalformedRequest,
               "request id " + id.value + " was used for a different request"),
        out);
    return;
  }
  const auto state = static_cast<std::size_t>(deduplication_table.StateOf(id));
  (this->*kSubmitHandlers.at(state))(job, now, out);
}

void LocalDispatcher::JoinAttempt(Job& job, MonotonicTime /*now*/,
                                  LocalOutput& /*out*/) {
  upstream::DeduplicationTable& deduplication_table =
      this->DeduplicationTableOf(job);
  deduplication_table.AddWaiter(job.request->id, job.id);
  this->job_by_waiter[job.id] = deduplication_table.AttemptOf(job.request->id);
  this->metrics.Count("once_only_joined");
}

void LocalDispatcher::RepeatAnswer(Job& job, MonotonicTime /*now*/,
                                   LocalOutput& out) {
  this->metrics.Count("once_only_repeated");
  this->EndWaiter(
      job.id, *this->DeduplicationTableOf(job).AnswerOf(job.request->id), out);
}

void LocalDispatcher::RepeatAnswerLost(Job& job, MonotonicTime /*now*/,
                                       LocalOutput& out) {
  this->EndWaiter(
      job.id, Unknown(Reason::kUpstreamLost, std::string(kAnswerLost)), out);
}

void LocalDispatcher::SubmitAbsentId(Job& job, MonotonicTime now,
                                     LocalOutput& out) {
  const ServiceName& service = job.request->service;
  const bool is_known_new =
      this->DeduplicationTableOf(job).IsComplete(now) &&
      !this->owners.CameFromOtherGroup(service, job.shard);
  if (!is_known_new) {
    this->SubmitUnknownId(job, now, out);
    return;
  }
  this->Enqueue(this->BeginAttempt(job, now), now, out);
}

void LocalDispatcher::SubmitUnknownId(Job& job, MonotonicTime now,
                                      LocalOutput& out) {
  this->SettleBeforeDispatch(this->BeginAttempt(job, now), now, out);
}

LocalDispatcher::Job& LocalDispatcher::BeginAttempt(Job& job,
                                                    MonotonicTime now) {
  this->DeduplicationTableOf(job).Begin(
      job.request->id, FingerprintOf(*job.request), job.id, now);
  job.checked_token = this->groups.at(job.group).token;
  return this->jobs.emplace(job.id, std::move(job)).first->second;
}

void LocalDispatcher::SettleBeforeDispatch(Job& job, MonotonicTime now,
                                           LocalOutput& out) {
  job.stage = Stage::kSettlingBeforeDispatch;
  job.checked_token = this->groups.at(job.group).token;
  job.settle_fallback = {Ending::kUnknown, Reason::kIdMemoryLost, {}};
  job.settle_targets =
      this->owners.EarlierOwners(job.request->service, job.shard);
  std::erase(job.settle_targets, job.upstream);
  job.settle_targets.push_back(job.upstream);
  if (!this->CanSettle(job)) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  this->ArmTimer(job.id, job.request->deadline + kAnswerGrace);
  this->SendSettleCall(job, now, out);
}

void LocalDispatcher::SettleAfterDispatch(Job& job, const Refusal& refusal,
                                          MonotonicTime now, LocalOutput& out) {
  job.stage = Stage::kSettlingAfterDispatch;
  job.settle_fallback = refusal;
  job.settle_targets = {job.upstream};
  if (job.request->id.IsEmpty() || job.request->deadline <= now ||
      !this->CanSettle(job)) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  this->ArmTimer(job.id, job.request->deadline + kAnswerGrace);
  this->SendSettleCall(job, now, out);
}

void LocalDispatcher::SendSettleCall(Job& job, MonotonicTime now,
                                     LocalOutput& out) {
  const UpstreamRef target = job.settle_targets.back();
  const auto endpoint = this->EndpointOf(target);
  if (!endpoint) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  job.settle_retry_at.reset();
  job.settle_call = this->next_call;
  ++this->next_call.value;
  this->settle_calls.emplace(job.settle_call, job.id);
  this->metrics.Count("settle_calls");
  out.actions.emplace_back(upstream::ControlCall{
      job.settle_call, target.id, *endpoint,
      std::min(job.request->deadline, now + kSettleTimeout),
      upstream::SettleCall{job.request->id,
                           {this->groups.at(job.group).token,
                            DispatchId(this->next_dispatch.value - 1)},
                           target.instance}});
}

void LocalDispatcher::ScheduleSettleRetry(Job& job, MonotonicTime now,
                                          LocalOutput& /*out*/) {
  job.settle_retry_at = now + kSettleInterval;
  this->ArmTimer(job.id, *job.settle_retry_at);
}

void LocalDispatcher::OnControlResult(const upstream::ControlResult& message,
                                      MonotonicTime now, LocalOutput& out) {
  static constexpr std::array<JobHandler, 3> kSettleHandlers = {
      &LocalDispatcher::OnSettledDone,
      &LocalDispatcher::ScheduleSettleRetry,
      &LocalDispatcher::OnSettledNotRun,
  };
  const auto found = this->settle_calls.find(message.id);
  if (found == this->settle_calls.end()) return;
  Job* job = this->FindJob(found->second);
  this->settle_calls.erase(found);
  if (job == nullptr || job->settle_call != message.id) return;
  if (!message.answer) {
    const bool is_retryable = IsRetryable(message.answer.error());
    (this->*(is_retryable ? &LocalDispatcher::ScheduleSettleRetry
                          : &LocalDispatcher::GiveUpSettling))(*job, now, out);
    return;
  }
  const auto* settled = std::get_if<SettleAnswer>(&*message.answer);
  if (settled == nullptr) {
    this->ScheduleSettleRetry(*job, now, out);
    return;
  }
  const auto state = static_cast<std::size_t>(settled->state);
  (this->*kSettleHandlers.at(state))(*job, now, out);
}

void LocalDispatcher::OnSettledDone(Job& job, MonotonicTime now,
                                    LocalOutput& out) {
  const bool is_before = job.stage == Stage::kSettlingBeforeDispatch;
  const Result result =
      Unknown(is_before ? Reason::kIdMemoryLost : job.settle_fallback.reason,
              std::string(kAnswerLost));
  if (!PolicyOf(job.request->rank).is_once_only) {
    this->End(job, result, now, out);
    return;
  }
  const auto waiters =
      this->DeduplicationTableOf(job).EndAnswerLost(job.request->id, now);
  this->jobs.erase(job.id);
  this->EndWaiters(waiters, result, out);
}

void LocalDispatcher::OnSettledNotRun(Job& job, MonotonicTime now,
                                      LocalOutput& out) {
  if (job.stage == Stage::kSettlingAfterDispatch) {
    this->End(job,
              NotRun(job.settle_fallback.reason, job.settle_fallback.detail),
              now, out);
    return;
  }
  job.settle_targets.pop_back();
  if (!job.settle_targets.empty()) {
    this->SendSettleCall(job, now, out);
    return;
  }
  this->Resubmit(job, now, out);
}

void LocalDispatcher::GiveUpSettling(Job& job, MonotonicTime now,
                                     LocalOutput& out) {
  if (job.stage == Stage::kSettlingAfterDispatch) {
    this->End(job, tl::make_unexpected(job.settle_fallback), now, out);
    return;
  }
  const auto waiters = this->DeduplicationTableOf(job).Abort(job.request->id);
  const Result result = tl::make_unexpected(job.settle_fallback);
  this->jobs.erase(job.id);
  this->EndWaiters(waiters, result, out);
}

void LocalDispatcher::OnSettlingTimer(Job& job, MonotonicTime now,
                                      LocalOutput& out) {
  const MonotonicTime last = job.request->deadline + kAnswerGrace;
  if (now >= last) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  this->ArmTimer(job.id, last);
  if (job.settle_retry_at && *job.settle_retry_at <= now) {
    this->SendSettleCall(job, now, out);
  }
}

bool LocalDispatcher::CanSettle(const Job& job) const {
  const ServiceEntry* service =
      this->table->state->FindService(job.request->service);
  return service != nullptr && service->can_settle;
}

std::optional<Endpoint> LocalDispatcher::EndpointOf(
    const UpstreamRef& ref) const {
  const auto state = this->upstream_states.find(ref);
  if (state != this->upstream_states.end() && state->second.info) {
    return state->second.info->endpoint;
  }
  const UpstreamEntry* entry = this->table->state->FindUpstream(ref.id);
  if (entry == nullptr) return std::nullopt;
  return entry->endpoint;
}

}  // namespace bamboorack::daemon
