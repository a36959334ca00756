#include <algorithm>
#include <utility>
#include <vector>

#include "bamboorack/daemon/gateway_router.h"

// What upstreams say of themselves: that they leave, or that they want time.

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// A longer time is taken as this one. An upstream that asks for it again gets
// it again.
constexpr std::chrono::seconds kMaxPause{30};
// Reports are repeated for this long, since datagrams may be lost and a daemon
// may just be starting.
constexpr std::chrono::seconds kDepartureReportTime{3};

}  // namespace

void GatewayRouter::ApplyNotice(const PendingRequest& pending,
                                const upstream::UpstreamNotice& notice) {
  if (notice.is_leaving) {
    this->MarkLeaving({pending.upstream, pending.upstream_life});
  }
  if (notice.is_retry_after_invalid) {
    this->metrics.Count("upstream_retry_after_invalid");
    this->LogRequest(pending, EventKind::kRequestTrouble,
                     "upstream_retry_after_invalid", std::nullopt);
  }
  if (notice.is_load_invalid) this->metrics.Count("upstream_load_invalid");
  if (notice.load) this->stating_services.insert(pending.service);
  if (notice.retry_after) this->PauseUpstream(pending, *notice.retry_after);
}

void GatewayRouter::MarkLeaving(const UpstreamRun& run) {
  if (!this->load_balancer.MarkLeaving(run, this->now)) return;
  this->metrics.Count("upstreams_leaving_told");
  this->departures.insert_or_assign(run, this->now + kDepartureReportTime);
}

void GatewayRouter::PauseUpstream(const PendingRequest& pending,
                                  milliseconds requested) {
  this->metrics.Count("upstream_pauses");
  if (requested > kMaxPause) this->metrics.Count("upstream_pauses_shortened");
  const MonotonicTime until =
      this->now + std::min<nanoseconds>(requested, kMaxPause);
  this->LogRequest(pending, EventKind::kRequestTrouble, "upstream_paused",
                   std::nullopt, until - this->now);
  this->load_balancer.Pause(pending.upstream, until);
  if (!pending.is_sharded) return;
  const auto queue =
      this->queues.find(QueueKey{pending.service, pending.upstream});
  if (queue == this->queues.end()) return;
  // These cannot start at another upstream, and by the estimate of their
  // arrival not at this one in time. They are refused, or wait by the estimate
  // of now.
  for (const upstream::QueueEntry& entry : queue->second.RemoveExpired(until)) {
    PendingRequest& waiting = this->requests.at(entry.request);
    waiting.stage = Stage::kUnscheduled;
    this->ScheduleRequest(waiting, false);
  }
}

bool GatewayRouter::RefuseIfPausedTooLong(PendingRequest& pending,
                                          MonotonicTime paused_until) {
  if (paused_until <= this->now) return false;
  const nanoseconds needed = this->AverageLatency(pending.route) / 2;
  if (paused_until + needed < pending.hard_deadline) return false;
  this->RemoveFromQueue(pending);
  this->Finish(pending,
               tl::make_unexpected(Refusal{
                   Ending::kNotRun, Reason::kUpstreamShed,
                   "the upstream wants no requests for longer than the time "
                   "left",
                   this->RetryAfterPause(pending, paused_until - this->now)}));
  return true;
}

milliseconds GatewayRouter::RetryAfterPause(const PendingRequest& pending,
                                            nanoseconds wait) const {
  return std::max(std::chrono::ceil<milliseconds>(wait),
                  this->JitterRetryAfter(pending, wait));
}

}  // namespace bamboorack::daemon
