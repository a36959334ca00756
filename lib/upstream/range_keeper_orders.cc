#include <algorithm>
#include <set>
#include <utility>

#include "bamboorack/upstream/range_keeper.h"

// Sends control calls to upstreams and evaluates their results.

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

// A lease is renewed when this percentage of it remains.
constexpr int kRenewAtPercent = 70;
constexpr milliseconds kGrantLimit{400};
constexpr milliseconds kRetryPause{150};
constexpr milliseconds kUnreachableTime{1'500};

}  // namespace

void RangeKeeper::Send(const ServiceName& service, Range& range,
                       const UpstreamRun& to, ControlRequest request,
                       MonotonicTime deadline) {
  range.call = ControlCallId(++this->last_call);
  range.call_sent = this->step_time;
  const bool is_release = std::holds_alternative<RangeReleaseCall>(request);
  const bool is_renewal =
      range.phase == Phase::kHeld && range.call_lease == this->leases.ordinary;
  if (is_release || !is_renewal) {
    this->NoteOrder(is_release ? "release_sent" : "grant_sent", service, range,
                    to.id);
  }
  this->calls.push_back({*range.call, to.id, *this->EndpointOf(to), deadline,
                         std::move(request)});
}

void RangeKeeper::SendGrant(const ServiceName& service, Range& range,
                            const UpstreamRun& to) {
  const bool is_first = range.phase == Phase::kGranting;
  if (range.has_unanswered_grant || is_first) range.token = this->DrawToken();
  range.call_lease =
      this->in_trouble ? this->leases.longest : this->leases.ordinary;
  range.held_before_call = range.may_hold_until;
  range.may_hold_until =
      std::max(range.may_hold_until,
               this->rules.lease_end(this->step_time + kMaxCallTransit,
                                     range.call_lease));
  range.is_extended = this->in_trouble;
  this->Send(service, range, to,
             RangeGrantCall{to.id, range.keys, range.token, range.call_lease,
                            is_first ? range.handover : Handover()},
             this->step_time + kGrantLimit);
}

void RangeKeeper::OnResult(const ControlResult& result, MonotonicTime now) {
  this->step_time = now;
  this->NoteReach(
      result.upstream,
      result.answer || result.answer.error() == ControlError::kStaleToken, now);
  for (auto& [service, ranges] : this->services) {
    for (Range& range : ranges) {
      if (range.call != result.id) continue;
      this->NoteResult(service, range, result);
      range.call.reset();
      if (range.phase == Phase::kReleasing) {
        this->OnReleaseResult(range, result, now);
      } else {
        this->OnGrantResult(service, range, result, now);
      }
      return;
    }
  }
}

void RangeKeeper::NoteResult(const ServiceName& service, const Range& range,
                             const ControlResult& result) {
  const bool is_release = range.phase == Phase::kReleasing;
  if (!result.answer) {
    this->NoteOrder(is_release ? "release_failed" : "grant_failed", service,
                    range, result.upstream, NameOf(result.answer.error()),
                    result.status);
    return;
  }
  if (is_release) {
    this->NoteOrder("release_answered", service, range, result.upstream);
    return;
  }
  const bool shortens =
      this->rules.lease_end(this->step_time, range.call_lease) <
      range.held_before_call;
  if (range.phase != Phase::kHeld || shortens) {
    this->NoteOrder("grant_answered", service, range, result.upstream);
  }
}

void RangeKeeper::NoteOrder(std::string_view what, const ServiceName& service,
                            const Range& range, const UpstreamId& to,
                            std::string_view error, int status) {
  this->order_events.push_back(
      {what, *range.call, service, range.keys, to, range.token,
       range.phase == Phase::kReleasing ? milliseconds(0) : range.call_lease,
       this->step_time - range.call_sent,
       range.may_hold_until - this->step_time, error, status});
}

void RangeKeeper::OnGrantResult(const ServiceName& service, Range& range,
                                const ControlResult& result,
                                MonotonicTime now) {
  if (!result.answer) {
    this->OnGrantFailed(range, result.answer.error(), now);
    // Another upstream answers at the address, so the holder's process has
    // ended.
    if (result.answer.error() == ControlError::kOtherInstance &&
        range.phase == Phase::kHeld) {
      this->LetGo(service, range, "holder_replaced");
    }
    return;
  }
  range.unanswered = 0;
  range.failed_attempts = 0;
  range.may_hold_until = this->rules.hold_end(
      range.held_before_call, this->rules.lease_end(now, range.call_lease));
  // The answered grant has a higher token than the unanswered ones and fences
  // them. During a move the record has to state this before the keys are
  // granted to the successor.
  const bool is_now_safe = std::exchange(range.has_unanswered_grant, false);
  if (is_now_safe && range.phase == Phase::kSaving) {
    range.needs_change = ++this->change;
  }
  range.next_call =
      range.call_sent + range.call_lease * (100 - kRenewAtPercent) / 100;
  if (range.phase != Phase::kGranting) return;
  range.holder = std::exchange(range.successor, std::nullopt);
  range.handover = Handover();
  range.successor_may_hold_until = MonotonicTime();
  ++this->change;
  this->SetPhase(service, range, Phase::kHeld, "granted");
}

void RangeKeeper::OnGrantFailed(Range& range, ControlError error,
                                MonotonicTime now) {
  range.next_call = now + kRetryPause;
  range.is_extended = false;
  ++range.failed_attempts;
  if (error == ControlError::kNotSent ||
      error == ControlError::kOtherInstance ||
      error == ControlError::kStaleToken) {
    // The grant did not take effect and never will.
    range.may_hold_until = range.held_before_call;
    return;
  }
  range.has_unanswered_grant = true;
  ++range.unanswered;
}

void RangeKeeper::OnReleaseResult(Range& range, const ControlResult& result,
                                  MonotonicTime now) {
  const bool has_ended =
      !result.answer && result.answer.error() == ControlError::kOtherInstance;
  if (!result.answer && !has_ended) {
    range.next_call = now + kRetryPause;
    return;
  }
  if (result.answer) {
    const auto& answer = std::get<RangeReleaseAnswer>(*result.answer);
    if (!answer.handover.IsEmpty()) range.handover = answer.handover;
  }
  range.holder_released = true;
}

void RangeKeeper::NoteReach(const UpstreamId& id, bool reached,
                            MonotonicTime now) {
  Reach& row = this->reach[id];
  row.failures = reached ? 0 : row.failures + 1;
  if (!reached) row.last_failure = now;
}

bool RangeKeeper::IsUnreachable(const UpstreamRun& run,
                                MonotonicTime now) const {
  const auto found = this->reach.find(run.id);
  return found != this->reach.end() && found->second.failures >= 2 &&
         now - found->second.last_failure < kUnreachableTime;
}

double RangeKeeper::UnreachableShare(MonotonicTime now) const {
  std::set<UpstreamRun> holders;
  for (const auto& [service, ranges] : this->services) {
    for (const Range& range : ranges) {
      if (range.holder && this->Find(*range.holder) != nullptr) {
        holders.insert(*range.holder);
      }
    }
  }
  if (holders.empty()) return 0;
  const auto lost = std::count_if(holders.begin(), holders.end(),
                                  [this, now](const UpstreamRun& run) {
                                    return this->IsUnreachable(run, now);
                                  });
  return static_cast<double>(lost) / static_cast<double>(holders.size());
}

}  // namespace bamboorack::upstream
