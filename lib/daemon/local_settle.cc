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

bool MayAnswerLater(ControlError error) {
  return error == ControlError::kUnreachable ||
         error == ControlError::kBadAnswer;
}

}  // namespace

void LocalDispatcher::SubmitOnceOnly(Job& job, MonotonicTime now,
                                     LocalOutput& out) {
  static constexpr std::array<JobHandler, 5> kStart = {
      &LocalDispatcher::StartAbsent,  &LocalDispatcher::JoinAttempt,
      &LocalDispatcher::RepeatAnswer, &LocalDispatcher::RepeatAnswerLost,
      &LocalDispatcher::StartUnknown,
  };
  upstream::DeduplicationTable& memory = this->MemoryOf(job);
  memory.Expire(now);
  const RequestId& id = job.request->id;
  if (memory.HasOtherFingerprint(id, FingerprintOf(*job.request))) {
    this->EndWaiter(
        job.id,
        NotRun(Reason::kMalformedRequest,
               "request id " + id.value + " was used for a different request"),
        out);
    return;
  }
  const auto state = static_cast<std::size_t>(memory.StateOf(id));
  (this->*kStart.at(state))(job, now, out);
}

void LocalDispatcher::JoinAttempt(Job& job, MonotonicTime /*now*/,
                                  LocalOutput& /*out*/) {
  upstream::DeduplicationTable& memory = this->MemoryOf(job);
  memory.AddWaiter(job.request->id, job.id);
  this->job_of_waiter[job.id] = memory.AttemptOf(job.request->id);
  this->metrics.Count("once_only_joined");
}

void LocalDispatcher::RepeatAnswer(Job& job, MonotonicTime /*now*/,
                                   LocalOutput& out) {
  this->metrics.Count("once_only_repeated");
  this->EndWaiter(job.id, *this->MemoryOf(job).AnswerOf(job.request->id), out);
}

void LocalDispatcher::RepeatAnswerLost(Job& job, MonotonicTime /*now*/,
                                       LocalOutput& out) {
  this->EndWaiter(
      job.id, Unknown(Reason::kUpstreamLost, std::string(kAnswerLost)), out);
}

void LocalDispatcher::StartAbsent(Job& job, MonotonicTime now,
                                  LocalOutput& out) {
  const ServiceName& service = job.request->service;
  const bool is_known_new =
      this->MemoryOf(job).IsComplete(now) &&
      !this->owners.CameFromOtherGroup(service, job.shard);
  if (!is_known_new) {
    this->StartUnknown(job, now, out);
    return;
  }
  this->Enqueue(this->Begin(job, now), now, out);
}

void LocalDispatcher::StartUnknown(Job& job, MonotonicTime now,
                                   LocalOutput& out) {
  this->SettleBefore(this->Begin(job, now), now, out);
}

LocalDispatcher::Job& LocalDispatcher::Begin(Job& job, MonotonicTime now) {
  this->MemoryOf(job).Begin(job.request->id, FingerprintOf(*job.request),
                            job.id, now);
  job.checked_under = this->groups.at(job.group).token;
  return this->jobs.emplace(job.id, std::move(job)).first->second;
}

void LocalDispatcher::SettleBefore(Job& job, MonotonicTime now,
                                   LocalOutput& out) {
  job.stage = Stage::kSettlingBefore;
  job.checked_under = this->groups.at(job.group).token;
  job.unsettled = {Ending::kUnknown, Reason::kIdMemoryLost, {}};
  job.settle_targets =
      this->owners.EarlierOwners(job.request->service, job.shard);
  std::erase(job.settle_targets, job.upstream);
  job.settle_targets.push_back(job.upstream);
  if (!this->CanSettle(job)) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  this->Arm(job.id, job.request->deadline + kAnswerGrace);
  this->AskNext(job, now, out);
}

void LocalDispatcher::SettleAfter(Job& job, const Refusal& refusal,
                                  MonotonicTime now, LocalOutput& out) {
  job.stage = Stage::kSettlingAfter;
  job.unsettled = refusal;
  job.settle_targets = {job.upstream};
  if (job.request->id.IsEmpty() || job.request->deadline <= now ||
      !this->CanSettle(job)) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  this->Arm(job.id, job.request->deadline + kAnswerGrace);
  this->AskNext(job, now, out);
}

void LocalDispatcher::AskNext(Job& job, MonotonicTime now, LocalOutput& out) {
  const UpstreamRef target = job.settle_targets.back();
  const auto endpoint = this->EndpointOf(target);
  if (!endpoint) {
    this->GiveUpSettling(job, now, out);
    return;
  }
  job.settle_again.reset();
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

void LocalDispatcher::AskAgainLater(Job& job, MonotonicTime now,
                                    LocalOutput& /*out*/) {
  job.settle_again = now + kSettleInterval;
  this->Arm(job.id, *job.settle_again);
}

void LocalDispatcher::OnControlResult(const upstream::ControlResult& message,
                                      MonotonicTime now, LocalOutput& out) {
  static constexpr std::array<JobHandler, 3> kSettled = {
      &LocalDispatcher::OnSettledDone,
      &LocalDispatcher::AskAgainLater,
      &LocalDispatcher::OnSettledNotRun,
  };
  const auto found = this->settle_calls.find(message.id);
  if (found == this->settle_calls.end()) return;
  Job* job = this->FindJob(found->second);
  this->settle_calls.erase(found);
  if (job == nullptr || job->settle_call != message.id) return;
  if (!message.answer) {
    const bool may_answer = MayAnswerLater(message.answer.error());
    (this->*(may_answer ? &LocalDispatcher::AskAgainLater
                        : &LocalDispatcher::GiveUpSettling))(*job, now, out);
    return;
  }
  const auto* settled = std::get_if<SettleAnswer>(&*message.answer);
  if (settled == nullptr) {
    this->AskAgainLater(*job, now, out);
    return;
  }
  const auto state = static_cast<std::size_t>(settled->state);
  (this->*kSettled.at(state))(*job, now, out);
}

void LocalDispatcher::OnSettledDone(Job& job, MonotonicTime now,
                                    LocalOutput& out) {
  const bool is_before = job.stage == Stage::kSettlingBefore;
  const Result result =
      Unknown(is_before ? Reason::kIdMemoryLost : job.unsettled.reason,
              std::string(kAnswerLost));
  if (!PolicyOf(job.request->rank).is_once_only) {
    this->End(job, result, now, out);
    return;
  }
  const auto waiters = this->MemoryOf(job).EndAnswerLost(job.request->id, now);
  this->jobs.erase(job.id);
  this->EndWaiters(waiters, result, out);
}

void LocalDispatcher::OnSettledNotRun(Job& job, MonotonicTime now,
                                      LocalOutput& out) {
  if (job.stage == Stage::kSettlingAfter) {
    this->End(job, NotRun(job.unsettled.reason, job.unsettled.detail), now,
              out);
    return;
  }
  job.settle_targets.pop_back();
  if (!job.settle_targets.empty()) {
    this->AskNext(job, now, out);
    return;
  }
  this->Resubmit(job, now, out);
}

void LocalDispatcher::GiveUpSettling(Job& job, MonotonicTime now,
                                     LocalOutput& out) {
  if (job.stage == Stage::kSettlingAfter) {
    this->End(job, tl::make_unexpected(job.unsettled), now, out);
    return;
  }
  const auto waiters = this->MemoryOf(job).Abort(job.request->id);
  const Result result = tl::make_unexpected(job.unsettled);
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
  this->Arm(job.id, last);
  if (job.settle_again && *job.settle_again <= now) {
    this->AskNext(job, now, out);
  }
}

bool LocalDispatcher::CanSettle(const Job& job) const {
  const ServiceEntry* service =
      this->table->state->FindService(job.request->service);
  return service != nullptr && service->can_settle;
}

std::optional<Endpoint> LocalDispatcher::EndpointOf(
    const UpstreamRef& ref) const {
  const auto lane = this->lanes.find(ref);
  if (lane != this->lanes.end() && lane->second.info) {
    return lane->second.info->endpoint;
  }
  const UpstreamEntry* entry = this->table->state->FindUpstream(ref.id);
  if (entry == nullptr) return std::nullopt;
  return entry->endpoint;
}

}  // namespace bamboorack::daemon
