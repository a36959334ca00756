#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "bamboorack/daemon/local_dispatcher.h"
#include "bamboorack/daemon/router_policy.h"

namespace bamboorack::daemon {

void LocalDispatcher::OnTable(std::shared_ptr<const RoutingTable> new_table,
                              MonotonicTime now, LocalOutput& out) {
  this->table = std::move(new_table);
  this->owners.OnState(this->table->state, now);
  this->UpdateGroups(now);
  this->UpdateUpstreamStates();
  this->RerouteQueued(now, out);
  for (auto& [ref, state] : this->upstream_states)
    this->SendQueued(state, now, out);
  this->DropIdleState(now);
}

void LocalDispatcher::UpdateGroups(MonotonicTime now) {
  for (const auto& [id, local] : this->table->local_groups) {
    const ServiceRules& rules = this->table->state->RulesOf(id.service);
    const MonotonicTime complete_since = local.has_predecessor
                                             ? local.taken_at
                                             : local.taken_at - rules.id_memory;
    const auto found =
        this->groups
            .try_emplace(id, Group{local.token,
                                   upstream::DeduplicationTable(
                                       complete_since, {rules.id_memory,
                                                        this->once_only_bytes}),
                                   upstream::RetryBudget(rules.retry_share)})
            .first;
    Group& group = found->second;
    group.deduplication_table.SetRetention(rules.id_memory);
    group.budget.SetShare(rules.retry_share);
    if (group.token == local.token) continue;
    group.token = local.token;
    // The table may have been built before `now`, but this daemon dispatched no
    // id under the new token before the table arrived.
    group.deduplication_table.OnTakeover(std::min(local.taken_at, now));
  }
}

void LocalDispatcher::UpdateUpstreamStates() {
  for (auto& [ref, state] : this->upstream_states) {
    if (!this->table->local_upstreams.contains(ref)) state.info.reset();
  }
  for (const auto& [ref, info] : this->table->local_upstreams) {
    const ServiceRules& rules = this->table->state->RulesOf(info.group.service);
    auto found = this->upstream_states.find(ref);
    if (found == this->upstream_states.end()) {
      found =
          this->upstream_states
              .emplace(
                  ref,
                  UpstreamState{
                      info,
                      upstream::DispatchQueue(rules.floors, rules.queue_limit),
                      upstream::ConcurrencyLimit(info.slots),
                      std::make_unique<upstream::SmoothedServiceTime>(),
                      MonotonicTime::min(), false})
              .first;
    }
    UpstreamState& state = found->second;
    state.info = info;
    state.limit.SetSlots(info.slots);
    state.queue.Configure(rules.floors, rules.queue_limit);
    if (state.awaits_table) state.paused_until = MonotonicTime::min();
    state.awaits_table = false;
  }
}

bool LocalDispatcher::CanStayQueued(const upstream::QueuedWork& work) {
  const Job& job = this->jobs.at(work.id);
  const auto route = FindRoute(*this->table, this->self, job.request->service,
                               job.request->key);
  if (!route || route->local_owner != job.upstream) return false;
  return !PolicyOf(job.request->rank).is_once_only ||
         job.checked_token == this->groups.at(route->group).token;
}

void LocalDispatcher::RerouteQueued(MonotonicTime now, LocalOutput& out) {
  std::vector<upstream::QueuedWork> moved;
  for (auto& [ref, state] : this->upstream_states) {
    const auto removed =
        state.queue.RemoveIf([this](const upstream::QueuedWork& work) {
          return !this->CanStayQueued(work);
        });
    moved.insert(moved.end(), removed.begin(), removed.end());
  }
  for (const upstream::QueuedWork& work : moved) {
    Job* job = this->FindJob(work.id);
    if (job != nullptr) this->Resubmit(*job, now, out);
  }
}

void LocalDispatcher::DropIdleState(MonotonicTime now) {
  std::erase_if(this->upstream_states, [](const auto& item) {
    const UpstreamState& state = item.second;
    return !state.info && state.queue.Size() == 0 &&
           state.estimator->Active() == 0;
  });
  // Jobs in progress still need the token and the retry budget of their group.
  std::set<GroupId> in_use;
  for (const auto& [id, job] : this->jobs) in_use.insert(job.group);
  std::erase_if(this->groups, [this, &in_use](const auto& item) {
    return !this->table->local_groups.contains(item.first) &&
           item.second.deduplication_table.Size() == 0 &&
           !in_use.contains(item.first);
  });
  std::chrono::milliseconds longest = ServiceRules().id_memory;
  for (const auto& [service, rules] : this->table->state->rules.services) {
    longest = std::max(longest, rules.id_memory);
  }
  this->owners.ForgetBefore(now - longest);
}

}  // namespace bamboorack::daemon
