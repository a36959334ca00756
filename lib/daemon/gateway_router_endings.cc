#include <algorithm>
#include <utility>

#include "bamboorack/core/hash.h"
#include "bamboorack/daemon/gateway_router.h"

// Completion of requests: retry, answer or refusal.

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds kMinRetryAfter{60};
// Delay before a request is sent again to an upstream that was full or refused
// it as not the owner.
constexpr milliseconds kSameUpstreamDelay{40};
constexpr double kLatencySmoothingFactor = 0.05;
// Estimate used until the first answer on a route.
constexpr nanoseconds kInitialLatency = milliseconds(120);

}  // namespace

bool GatewayRouter::OwnsKeyOf(const PendingRequest& pending) const {
  if (!pending.is_sharded || this->tables.owners == nullptr) return false;
  const UpstreamRun* owner =
      this->tables.owners->FindOwner(pending.service, pending.key);
  return owner != nullptr && owner->id == pending.upstream;
}

bool GatewayRouter::MayRetry(const PendingRequest& pending,
                             const Refusal& refusal) {
  const bool is_safe =
      refusal.ending == Ending::kNotRun || IsIdempotent(pending.repeatability);
  if (!is_safe || pending.attempts >= pending.max_attempts) return false;
  if (refusal.reason == Reason::kCancelled) return false;
  if (refusal.reason == Reason::kStopping) return false;
  const nanoseconds needed = this->AverageLatency(pending.route) / 2;
  // The next owner of a key that has moved may take the request at once.
  const MonotonicTime start =
      this->OwnsKeyOf(pending)
          ? std::max(
                this->load_balancer.NextStart(pending.upstream, 0, this->now),
                this->load_balancer.PausedUntil(pending.upstream))
          : this->now;
  if (start + needed >= pending.hard_deadline) return false;
  if (this->budgets.at(pending.service).TryTake()) return true;
  this->metrics.Count("retry_budget_empty");
  return false;
}

void GatewayRouter::Retry(PendingRequest& pending, const Refusal& refusal) {
  this->metrics.CountRetry(refusal.reason);
  pending.may_have_run |= refusal.ending == Ending::kUnknown;
  this->LogRequest(pending, EventKind::kRequestTrouble, "retry",
                   refusal.reason);
  if (refusal.reason == Reason::kUpstreamRefusedOwner &&
      this->tables.owners != nullptr) {
    pending.refused_owner_map = this->tables.owners->version;
  }
  // A sharded request can only go to the same upstream again, so it is delayed.
  if (pending.is_sharded) pending.not_before = this->now + kSameUpstreamDelay;
  this->ScheduleRequest(pending, false);
}

void GatewayRouter::Finish(PendingRequest& pending, Result result) {
  const bool is_done = result.has_value();
  if (!is_done) {
    Refusal& refusal = result.error();
    this->metrics.CountRefusal(refusal.reason);
    // The refusal must not claim that the request did not run if an earlier
    // attempt may have run it.
    if (pending.may_have_run) refusal.ending = Ending::kUnknown;
    if (refusal.ending == Ending::kNotRun && !refusal.retry_after) {
      const QueueKey key{pending.service,
                         pending.is_sharded ? pending.upstream : UpstreamId()};
      const auto queue = this->queues.find(key);
      refusal.retry_after = this->JitterRetryAfter(
          pending,
          queue == this->queues.end()
              ? nanoseconds(0)
              : queue->second.ExpectedWait(pending.priority, this->now));
      const MonotonicTime paused_until =
          this->load_balancer.PausedUntil(key.upstream);
      if (paused_until > this->now) {
        refusal.retry_after =
            std::max(*refusal.retry_after,
                     this->RetryAfterPause(pending, paused_until - this->now));
      }
    }
    this->LogRequest(pending, EventKind::kRequestTrouble,
                     refusal.ending == Ending::kNotRun ? "refused" : "failed",
                     refusal.reason,
                     refusal.retry_after.value_or(milliseconds(0)));
  } else {
    this->LogRequest(pending, EventKind::kRequestDone, "answered",
                     std::nullopt);
    std::get<RequestEvent>(this->actions.back()).status = result->status;
  }
  this->handles_by_slot.erase(pending.slot.value);
  this->actions.emplace_back(caller::ToCaller{pending.slot, std::move(result)});
  this->requests.erase(pending.handle);
}

void GatewayRouter::Refuse(PendingRequest& pending, Reason reason,
                           std::string detail, nanoseconds retry_after) {
  this->RemoveFromQueue(pending);
  this->Finish(pending, tl::make_unexpected(Refusal{
                            Ending::kNotRun, reason, std::move(detail),
                            this->JitterRetryAfter(pending, retry_after)}));
}

milliseconds GatewayRouter::JitterRetryAfter(const PendingRequest& pending,
                                             nanoseconds wait) const {
  // Spreads the retries of callers that were refused together over half the
  // wait, by the hash of the request id.
  constexpr std::uint64_t kJitterSteps = 64;
  const std::uint64_t jitter_step =
      HashText(pending.request.id.value) % kJitterSteps;
  const nanoseconds jitter = wait / 2 * jitter_step / kJitterSteps;
  return std::max(kMinRetryAfter, std::chrono::duration_cast<milliseconds>(
                                      wait * 3 / 4 + jitter));
}

void GatewayRouter::LogRequest(const PendingRequest& pending, EventKind kind,
                               std::string_view name,
                               std::optional<Reason> reason, nanoseconds wait) {
  RequestEvent event;
  event.kind = kind;
  event.name = name;
  event.request = pending.request.id;
  event.route = pending.route;
  event.upstream = pending.upstream;
  event.attempts = pending.attempts;
  event.age = this->now - pending.arrived_at;
  event.reason = reason;
  event.expected_wait = wait;
  event.registry_age = this->now - this->tables.upstreams_read_at;
  if (this->tables.desired) event.config = this->tables.desired->version;
  if (this->tables.owners) event.owners = this->tables.owners->version;
  this->actions.emplace_back(std::move(event));
}

nanoseconds GatewayRouter::AverageLatency(const RouteName& route) const {
  const auto found = this->average_latencies.find(route);
  return found == this->average_latencies.end() ? kInitialLatency
                                                : found->second;
}

void GatewayRouter::UpdateAverageLatency(const RouteName& route,
                                         nanoseconds latency) {
  const auto [found, is_new] =
      this->average_latencies.try_emplace(route, latency);
  if (is_new) return;
  found->second += std::chrono::duration_cast<nanoseconds>(
      (latency - found->second) * kLatencySmoothingFactor);
}

}  // namespace bamboorack::daemon
