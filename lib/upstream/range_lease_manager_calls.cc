#include <algorithm>
#include <set>
#include <utility>

#include "bamboorack/upstream/range_lease_manager.h"

// Sends control calls to upstreams and evaluates their results.

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

// A lease is renewed when this percentage of it remains.
constexpr int kRenewalThresholdPercent = 70;
constexpr milliseconds kGrantTimeout{400};
constexpr milliseconds kRetryDelay{150};
constexpr milliseconds kUnreachableWindow{1'500};

}  // namespace

void RangeLeaseManager::Send(const ServiceName& service, Range& range,
                             const UpstreamRun& to, ControlRequest request,
                             MonotonicTime deadline) {
  range.call = ControlCallId(++this->last_call);
  range.call_sent = this->step_time;
  const bool is_release = std::holds_alternative<RangeReleaseCall>(request);
  const bool is_renewal =
      range.phase == Phase::kHeld && range.call_lease == this->leases.ordinary;
  if (is_release || !is_renewal) {
    this->AddCallEvent(is_release ? "release_sent" : "grant_sent", service,
                       range, to.id);
  }
  this->calls.push_back({*range.call, to.id, *this->FindEndpoint(to), deadline,
                         std::move(request)});
}

void RangeLeaseManager::SendGrant(const ServiceName& service, Range& range,
                                  const UpstreamRun& to) {
  const bool is_first = range.phase == Phase::kGranting;
  if (range.has_unanswered_grant || is_first) range.token = this->IssueToken();
  range.call_lease =
      this->outage_expected ? this->leases.longest : this->leases.ordinary;
  range.previous_may_hold_until = range.may_hold_until;
  range.may_hold_until =
      std::max(range.may_hold_until,
               this->rules.lease_end(this->step_time + kMaxCallTransit,
                                     range.call_lease));
  range.has_longest_lease = this->outage_expected;
  this->Send(service, range, to,
             RangeGrantCall{to.id, range.keys, range.token, range.call_lease,
                            is_first ? range.handover : Handover()},
             this->step_time + kGrantTimeout);
}

void RangeLeaseManager::OnResult(const ControlResult& result,
                                 MonotonicTime now) {
  this->step_time = now;
  this->UpdateReachability(
      result.upstream,
      result.answer || result.answer.error() == ControlError::kStaleToken, now);
  for (auto& [service, ranges] : this->services) {
    for (Range& range : ranges) {
      if (range.call != result.id) continue;
      this->AddResultEvent(service, range, result);
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

void RangeLeaseManager::AddResultEvent(const ServiceName& service,
                                       const Range& range,
                                       const ControlResult& result) {
  const bool is_release = range.phase == Phase::kReleasing;
  if (!result.answer) {
    this->AddCallEvent(is_release ? "release_failed" : "grant_failed", service,
                       range, result.upstream, NameOf(result.answer.error()),
                       result.status);
    return;
  }
  if (is_release) {
    this->AddCallEvent("release_answered", service, range, result.upstream);
    return;
  }
  const bool shortens =
      this->rules.lease_end(this->step_time, range.call_lease) <
      range.previous_may_hold_until;
  if (range.phase != Phase::kHeld || shortens) {
    this->AddCallEvent("grant_answered", service, range, result.upstream);
  }
}

void RangeLeaseManager::AddCallEvent(std::string_view event_name,
                                     const ServiceName& service,
                                     const Range& range, const UpstreamId& to,
                                     std::string_view error, int status) {
  this->call_events.push_back(
      {event_name, *range.call, service, range.keys, to, range.token,
       range.phase == Phase::kReleasing ? milliseconds(0) : range.call_lease,
       this->step_time - range.call_sent,
       range.may_hold_until - this->step_time, error, status});
}

void RangeLeaseManager::OnGrantResult(const ServiceName& service, Range& range,
                                      const ControlResult& result,
                                      MonotonicTime now) {
  if (!result.answer) {
    this->OnGrantFailed(range, result.answer.error(), now);
    // Another upstream answers at the address, so the holder's process has
    // ended.
    if (result.answer.error() == ControlError::kOtherInstance &&
        range.phase == Phase::kHeld) {
      this->RemoveHolder(service, range, "holder_replaced");
    }
    return;
  }
  range.unanswered_grants = 0;
  range.failed_grants = 0;
  range.may_hold_until =
      this->rules.hold_end(range.previous_may_hold_until,
                           this->rules.lease_end(now, range.call_lease));
  // The answered grant has a higher token than the unanswered ones and fences
  // them. During a move the record has to state this before the keys are
  // granted to the successor.
  const bool had_unanswered_grant =
      std::exchange(range.has_unanswered_grant, false);
  if (had_unanswered_grant && range.phase == Phase::kAwaitingRecord) {
    range.required_change = ++this->change;
  }
  range.next_call = range.call_sent +
                    range.call_lease * (100 - kRenewalThresholdPercent) / 100;
  if (range.phase != Phase::kGranting) return;
  range.holder = std::exchange(range.successor, std::nullopt);
  range.handover = Handover();
  range.successor_may_hold_until = MonotonicTime();
  ++this->change;
  this->SetPhase(service, range, Phase::kHeld, "granted");
}

void RangeLeaseManager::OnGrantFailed(Range& range, ControlError error,
                                      MonotonicTime now) {
  range.next_call = now + kRetryDelay;
  range.has_longest_lease = false;
  ++range.failed_grants;
  if (error == ControlError::kNotSent ||
      error == ControlError::kOtherInstance ||
      error == ControlError::kStaleToken) {
    // The grant did not take effect and never will.
    range.may_hold_until = range.previous_may_hold_until;
    return;
  }
  range.has_unanswered_grant = true;
  ++range.unanswered_grants;
}

void RangeLeaseManager::OnReleaseResult(Range& range,
                                        const ControlResult& result,
                                        MonotonicTime now) {
  const bool has_ended =
      !result.answer && result.answer.error() == ControlError::kOtherInstance;
  if (!result.answer && !has_ended) {
    range.next_call = now + kRetryDelay;
    return;
  }
  if (result.answer) {
    const auto& answer = std::get<RangeReleaseAnswer>(*result.answer);
    if (!answer.handover.IsEmpty()) range.handover = answer.handover;
  }
  range.holder_released = true;
}

void RangeLeaseManager::UpdateReachability(const UpstreamId& id, bool reached,
                                           MonotonicTime now) {
  Reachability& row = this->reachability[id];
  row.failures = reached ? 0 : row.failures + 1;
  if (!reached) row.last_failure = now;
}

bool RangeLeaseManager::IsUnreachable(const UpstreamRun& run,
                                      MonotonicTime now) const {
  const auto found = this->reachability.find(run.id);
  return found != this->reachability.end() && found->second.failures >= 2 &&
         now - found->second.last_failure < kUnreachableWindow;
}

double RangeLeaseManager::UnreachableShare(MonotonicTime now) const {
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
