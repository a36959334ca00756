#include <algorithm>
#include <utility>
#include <vector>

#include "bamboorack/daemon/gateway_router.h"

// Requests that wait: for their turn, for the next owner of their key, or until
// they can no longer be answered in time.

namespace bamboorack::daemon {

void GatewayRouter::RemoveFromQueue(PendingRequest& pending) {
  if (pending.stage == Stage::kQueued) {
    this->queues[pending.queue_key].Remove(pending.handle);
  }
  if (pending.stage == Stage::kUnowned) this->unowned.erase(pending.handle);
  pending.stage = Stage::kUnscheduled;
}

void GatewayRouter::DrainQueue(const QueueKey& key) {
  const auto found = this->queues.find(key);
  if (found == this->queues.end()) return;
  upstream::WaitQueue& queue = found->second;
  if (this->IsClosed(key)) {
    this->RescheduleQueue(queue);
    return;
  }
  while (!queue.IsEmpty()) {
    const auto entry = queue.Pop(this->now);
    if (!entry) return;
    PendingRequest& pending = this->requests.at(entry->request);
    const auto upstream = this->PickUpstream(pending, key);
    if (!upstream) {
      queue.PutBack(*entry);
      return;
    }
    this->Send(pending, *upstream);
  }
}

bool GatewayRouter::IsClosed(const QueueKey& key) const {
  if (key.upstream.IsEmpty()) {
    return this->load_balancer.IsEvacuated(key.service);
  }
  return !this->load_balancer.MayServeKeys(key.upstream, this->now);
}

void GatewayRouter::RescheduleQueue(upstream::WaitQueue& queue) {
  for (const upstream::QueueEntry& entry : queue.TakeAll()) {
    PendingRequest& pending = this->requests.at(entry.request);
    pending.stage = Stage::kUnscheduled;
    this->ScheduleRequest(pending, false);
  }
}

void GatewayRouter::DrainAllQueues() {
  for (auto& [key, queue] : this->queues) {
    if (!queue.IsEmpty()) this->DrainQueue(key);
  }
}

void GatewayRouter::RescheduleWaiting() {
  std::vector<Handle> waiting;
  for (const auto& [handle, pending] : this->requests) {
    const bool is_waiting =
        pending.stage == Stage::kQueued || pending.stage == Stage::kUnowned;
    if (is_waiting && pending.is_sharded) waiting.push_back(handle);
  }
  std::sort(waiting.begin(), waiting.end());
  // None must count as ahead of a request that came before it.
  for (const Handle handle : waiting) {
    PendingRequest& pending = this->requests.at(handle);
    if (pending.stage == Stage::kQueued) this->RemoveFromQueue(pending);
  }
  for (const Handle handle : waiting) {
    PendingRequest& pending = this->requests.at(handle);
    const bool was_unowned = pending.stage == Stage::kUnowned;
    const MonotonicTime until = pending.owner_wait_deadline;
    this->RemoveFromQueue(pending);
    if (was_unowned) {
      // The wait counts from the time at which the owner was first missing.
      pending.stage = Stage::kUnowned;
      pending.owner_wait_deadline = until;
    }
    this->ScheduleRequest(pending, false);
    if (was_unowned && this->requests.contains(handle) &&
        pending.stage != Stage::kUnowned) {
      this->unowned.erase(handle);
    }
  }
}

void GatewayRouter::RefuseExpired() {
  std::vector<Handle> expired;
  for (auto& [key, queue] : this->queues) {
    for (const upstream::QueueEntry& entry : queue.RemoveExpired(this->now)) {
      expired.push_back(entry.request);
    }
  }
  for (const Handle handle : expired) {
    PendingRequest& pending = this->requests.at(handle);
    pending.stage = Stage::kUnscheduled;
    this->Refuse(pending, Reason::kDeadlineWouldPass,
                 "the time left is too short", kNoOwnerRetryAfter);
  }
  const std::vector<Handle> waiting(this->unowned.begin(), this->unowned.end());
  for (const Handle handle : waiting) {
    PendingRequest& pending = this->requests.at(handle);
    if (this->now >= pending.owner_wait_deadline) {
      this->Refuse(pending, Reason::kOwnerMoving,
                   "nobody serves the key at the moment", kNoOwnerRetryAfter);
      continue;
    }
    if (pending.attempts == 0 || this->now < pending.not_before) continue;
    // The upstream may have learned by now that it owns the key: try again.
    this->ScheduleRequest(pending, false);
    if (this->requests.contains(handle) && pending.stage != Stage::kUnowned) {
      this->unowned.erase(handle);
    }
  }
}

std::size_t GatewayRouter::WaitingCount() const {
  std::size_t waiting = this->unowned.size();
  for (const auto& [key, queue] : this->queues) waiting += queue.Size();
  return waiting;
}

}  // namespace bamboorack::daemon
