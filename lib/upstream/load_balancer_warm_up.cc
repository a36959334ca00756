#include <algorithm>
#include <utility>

#include "bamboorack/upstream/load_balancer.h"

// Upstreams that warm up: when this daemon may send them requests.

namespace bamboorack::upstream {

void LoadBalancer::SetWarmUpSchedule(WarmUpSchedule schedule) {
  this->warm_up = std::move(schedule);
}

bool LoadBalancer::IsCold(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->states.find(id);
  return found != this->states.end() &&
         this->warm_up.IsCold(found->second.entry, now);
}

MonotonicTime LoadBalancer::NextStart(const UpstreamId& id, std::size_t ahead,
                                      MonotonicTime now) const {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return now;
  return this->warm_up.NextStart(found->second.entry, found->second.turn_used,
                                 ahead, now);
}

std::optional<MonotonicTime> LoadBalancer::NextServiceStart(
    const ServiceName& service, std::size_t ahead, MonotonicTime now) const {
  const auto candidates = this->by_service.find(service);
  if (candidates == this->by_service.end()) return std::nullopt;
  const std::size_t ahead_of_each = ahead / candidates->second.size();
  std::optional<MonotonicTime> first;
  bool has_cold = false;
  for (const UpstreamState* state : candidates->second) {
    if (state->is_replaced) continue;
    has_cold |= this->warm_up.IsCold(state->entry, now);
    const MonotonicTime start =
        std::max(state->paused_until,
                 this->warm_up.NextStart(state->entry, state->turn_used,
                                         ahead_of_each, now));
    if (start <= now) return std::nullopt;
    first = std::min(first.value_or(start), start);
  }
  return has_cold ? first : std::nullopt;
}

}  // namespace bamboorack::upstream
