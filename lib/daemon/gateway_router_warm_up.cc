#include <algorithm>
#include <vector>

#include "bamboorack/daemon/gateway_router.h"
#include "bamboorack/upstream/warm_up_schedule.h"

// Requests for upstreams that warm up: refuses those that cannot be served in
// time and lets the others wait.

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// The leader moves the keys of a cold upstream to warm ones within this time.
constexpr milliseconds kMovedKeysRetryAfter{900};

}  // namespace

void GatewayRouter::UpdateWarmUpSchedule() {
  if (!this->tables.desired) return;
  const std::vector<DaemonId> daemons =
      this->tables.daemons ? *this->tables.daemons : std::vector<DaemonId>();
  this->load_balancer.SetWarmUpSchedule(upstream::WarmUpSchedule(
      *this->tables.desired, daemons, this->identity.daemon));
}

void GatewayRouter::RescheduleColdQueues() {
  for (auto& [key, queue] : this->queues) {
    if (queue.IsEmpty() || key.upstream.IsEmpty()) continue;
    if (!this->load_balancer.IsCold(key.upstream, this->now)) continue;
    this->RescheduleQueue(queue);
  }
}

bool GatewayRouter::RefuseIfColdTooLong(PendingRequest& pending,
                                        const QueueKey& key) {
  const std::size_t ahead = this->queues[key].Size();
  const bool has_single_upstream = !key.upstream.IsEmpty();
  const MonotonicTime start =
      has_single_upstream
          ? this->load_balancer.NextStart(key.upstream, ahead, this->now)
          : this->load_balancer.NextServiceStart(key.service, ahead, this->now)
                .value_or(this->now);
  // A request that is scheduled again for the same start is counted once.
  const bool is_new_start = start > pending.turn_start;
  pending.turn_start = MonotonicTime{};
  if (start <= this->now) return false;
  const nanoseconds needed = this->AverageLatency(pending.route) / 2;
  if (start + needed < pending.hard_deadline) {
    if (is_new_start) this->metrics.Count("warm_up_waits");
    if (has_single_upstream) pending.turn_start = start;
    return false;
  }
  this->metrics.Count("warm_up_refusals");
  nanoseconds wait = start - this->now;
  const bool has_warm_upstream =
      this->load_balancer.HasActiveUpstream(key.service) &&
      !this->load_balancer.NextServiceStart(key.service, 0, this->now);
  if (has_warm_upstream)
    wait = std::min<nanoseconds>(wait, kMovedKeysRetryAfter);
  this->RemoveFromQueue(pending);
  this->Finish(pending,
               tl::make_unexpected(Refusal{
                   Ending::kNotRun, Reason::kUpstreamShed,
                   "the upstream warms up for longer than the time left",
                   this->RetryAfterPause(pending, wait)}));
  return true;
}

}  // namespace bamboorack::daemon
