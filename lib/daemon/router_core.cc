#include "bamboorack/daemon/router_core.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "bamboorack/daemon/router_policy.h"

namespace bamboorack::daemon {

Router::Core::Core(DaemonId self_id, Metrics& metrics_sink,
                   const RouterOptions& settings)
    : self(std::move(self_id)),
      metrics(metrics_sink),
      options(settings),
      table(std::make_shared<RoutingTable>()),
      local(this->self, metrics_sink, settings.first_call_id,
            settings.once_only_bytes) {}

void Router::Core::On(caller::RequestArrived&& event, MonotonicTime now) {
  this->Accept(event.slot, std::move(event.request), now);
}

void Router::Core::On(caller::CallerGone&& event, MonotonicTime now) {
  this->Abandon(event.slot, now);
}

void Router::Core::On(peer::ForwardArrived&& event, MonotonicTime now) {
  this->Accept(std::move(event.from), std::move(event.request), now);
}

void Router::Core::On(peer::ForwardCancelled&& event, MonotonicTime now) {
  this->Abandon(event.from, now);
}

void Router::Core::On(peer::ForwardAnswered&& event, MonotonicTime now) {
  const auto found = this->by_forward.find(event.id);
  if (found == this->by_forward.end()) {
    this->metrics.Count("forward_answers_unexpected");
    return;
  }
  const WorkId id = found->second;
  this->by_forward.erase(found);
  PendingRequest& pending = this->requests.at(id);
  if (event.result) {
    this->Finish(id, pending, std::move(event.result), now);
    return;
  }
  const Refusal refusal = std::move(event.result.error());
  if (!this->CanReroute(pending, refusal, now)) {
    this->Finish(id, pending, tl::make_unexpected(refusal), now);
    return;
  }
  pending.refusal = refusal;
  pending.awaits_new_authority = true;
  this->Resolve(id, pending, now);
}

void Router::Core::On(upstream::DispatchResult&& event, MonotonicTime now) {
  this->local.OnDispatchResult(std::move(event), now, this->output);
}

void Router::Core::On(upstream::ControlResult&& event, MonotonicTime now) {
  this->local.OnControlResult(event, now, this->output);
}

void Router::Core::OnTable(std::shared_ptr<const RoutingTable> new_table,
                           MonotonicTime now) {
  this->table = std::move(new_table);
  this->local.OnTable(this->table, now, this->output);
  this->ResolveParked(now);
}

void Router::Core::Accept(Origin origin, Request&& request, MonotonicTime now) {
  const WorkId id = this->next_work;
  ++this->next_work.value;
  PendingRequest& pending = this->requests[id];
  pending.request = std::make_shared<const Request>(std::move(request));
  pending.arrived_at = now;
  pending.origin = std::move(origin);
  this->by_origin[pending.origin] = id;
  if (this->is_stopping && IsFromCaller(pending)) {
    this->Finish(id, pending, NotRun(Reason::kStopping), now);
    return;
  }
  if (this->requests.size() > this->options.max_requests) {
    this->Finish(id, pending, NotRun(Reason::kQueueFull, "requests held"), now);
    return;
  }
  this->Resolve(id, pending, now);
}

void Router::Core::Resolve(WorkId id, PendingRequest& pending,
                           MonotonicTime now) {
  if (pending.request->deadline <= now) {
    this->Finish(id, pending, NotRun(Reason::kDeadlinePassed), now);
    return;
  }
  if (pending.awaits_new_authority && !this->HasOtherAuthority(pending)) {
    this->Park(id, pending, now);
    return;
  }
  const auto route = FindRoute(*this->table, this->self,
                               pending.request->service, pending.request->key);
  if (!route) {
    this->OnRefusal(id, pending, route.error(), now);
    return;
  }
  if (pending.awaits_new_authority) {
    pending.awaits_new_authority = false;
    pending.was_rerouted = true;
    this->metrics.CountRetry(pending.refusal.reason);
  }
  if (route->local_owner) {
    pending.stage = Stage::kLocal;
    this->local.Submit(id, pending.request, *route, now, this->output);
    return;
  }
  if (!IsFromCaller(pending)) {
    this->Finish(id, pending, NotRun(Reason::kNoAuthority), now);
    return;
  }
  this->Forward(id, pending, *route);
}

void Router::Core::Forward(WorkId id, PendingRequest& pending,
                           const Route& route) {
  pending.stage = Stage::kForwarded;
  pending.forwarded_to = *route.authority;
  pending.forwarded_group = route.group;
  pending.forwarded_token =
      this->table->state->authorities.at(route.group).token;
  pending.forward = this->next_forward;
  ++this->next_forward.value;
  this->by_forward.emplace(pending.forward, id);
  this->ArmTimer(id, pending.request->deadline + kForwardGrace);
  this->output.actions.emplace_back(peer::SendForward{
      pending.forwarded_to, pending.forward, *pending.request});
}

bool Router::Core::CanReroute(const PendingRequest& pending,
                              const Refusal& refusal, MonotonicTime now) const {
  return refusal.ending == Ending::kNotRun && IsFromCaller(pending) &&
         !pending.was_rerouted && now < pending.request->deadline &&
         Contains(kReroutedReasons, refusal.reason);
}

bool Router::Core::HasOtherAuthority(const PendingRequest& pending) const {
  if (this->table->state == nullptr) return false;
  const auto& authorities = this->table->state->authorities;
  const auto found = authorities.find(pending.forwarded_group);
  return found == authorities.end() ||
         found->second.token != pending.forwarded_token;
}

void Router::Core::OnRefusal(WorkId id, PendingRequest& pending,
                             const Refusal& refusal, MonotonicTime now) {
  if (!Contains(kParkedReasons, refusal.reason)) {
    this->Finish(id, pending, tl::make_unexpected(refusal), now);
    return;
  }
  if (!pending.awaits_new_authority) pending.refusal = refusal;
  this->Park(id, pending, now);
}

void Router::Core::Park(WorkId id, PendingRequest& pending, MonotonicTime now) {
  if (!pending.park_until) {
    pending.park_until =
        std::min(pending.request->deadline, now + kMaxParkTime);
  }
  if (*pending.park_until <= now || this->parked.size() >= kMaxParkedRequests) {
    this->Finish(id, pending, tl::make_unexpected(pending.refusal), now);
    return;
  }
  pending.stage = Stage::kParked;
  this->parked.insert(id);
  this->ArmTimer(id, *pending.park_until);
}

void Router::Core::ResolveParked(MonotonicTime now) {
  const std::set<WorkId> waiting = std::exchange(this->parked, {});
  for (const WorkId id : waiting) {
    this->Resolve(id, this->requests.at(id), now);
  }
}

void Router::Core::OnLocalEnding(LocalEnding&& ending, MonotonicTime now) {
  PendingRequest& pending = this->requests.at(ending.id);
  const bool is_resolvable =
      !ending.result && ending.result.error().ending == Ending::kNotRun &&
      Contains(kParkedReasons, ending.result.error().reason);
  if (!is_resolvable) {
    this->Finish(ending.id, pending, std::move(ending.result), now);
    return;
  }
  // The group or the shard moved away from this daemon while the request was
  // queued.
  pending.refusal = ending.result.error();
  this->Resolve(ending.id, pending, now);
}

void Router::Core::Finish(WorkId id, PendingRequest& pending, Result result,
                          MonotonicTime now) {
  std::visit(
      [&](const auto& origin) {
        this->Answer(origin, pending, std::move(result), now);
      },
      pending.origin);
  this->Remove(id, pending);
}

void Router::Core::Answer(const caller::CallerSlot& slot,
                          const PendingRequest& pending, Result&& result,
                          MonotonicTime now) {
  const Ending ending = result ? Ending::kDone : result.error().ending;
  if (!result) this->metrics.CountRefusal(result.error().reason);
  this->metrics.ObserveLatency(pending.request->rank, ending,
                               now - pending.arrived_at);
  this->output.actions.emplace_back(caller::ToCaller{slot, std::move(result)});
}

void Router::Core::Answer(const peer::ReturnPath& path,
                          const PendingRequest& /*pending*/, Result&& result,
                          MonotonicTime /*now*/) {
  // Only the entry daemon counts refusals, so that each is counted once.
  this->metrics.Count(result ? "forwards_answered" : "forwards_refused");
  this->output.actions.emplace_back(peer::SendAnswer{path, std::move(result)});
}

void Router::Core::Abandon(const Origin& origin, MonotonicTime now) {
  static constexpr std::array<StageHandler, 3> kAbandonHandlers = {
      &Core::AbandonLocal, &Core::AbandonForwarded, &Core::AbandonParked};
  const auto found = this->by_origin.find(origin);
  if (found == this->by_origin.end()) return;
  const WorkId id = found->second;
  PendingRequest& pending = this->requests.at(id);
  if (IsFromCaller(pending)) this->metrics.CountRefusal(Reason::kCancelled);
  (this->*kAbandonHandlers.at(static_cast<std::size_t>(pending.stage)))(
      id, pending, now);
  this->Remove(id, pending);
}

void Router::Core::AbandonLocal(WorkId id, PendingRequest& /*pending*/,
                                MonotonicTime now) {
  this->local.Abandon(id, now, this->output);
}

void Router::Core::AbandonForwarded(WorkId /*id*/, PendingRequest& pending,
                                    MonotonicTime /*now*/) {
  this->by_forward.erase(pending.forward);
  this->output.actions.emplace_back(
      peer::SendCancel{pending.forwarded_to, pending.forward});
}

void Router::Core::AbandonParked(WorkId id, PendingRequest& /*pending*/,
                                 MonotonicTime /*now*/) {
  this->parked.erase(id);
}

void Router::Core::Tick(MonotonicTime now) {
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    const WorkId id = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    this->timer_by_request.erase(id);
    this->OnTimer(id, now);
  }
  this->local.Tick(now, this->output);
}

void Router::Core::OnTimer(WorkId id, MonotonicTime now) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) return;
  PendingRequest& pending = found->second;
  if (pending.stage == Stage::kParked) {
    this->parked.erase(id);
    this->Finish(id, pending, tl::make_unexpected(pending.refusal), now);
    return;
  }
  if (pending.stage != Stage::kForwarded) return;
  this->AbandonForwarded(id, pending, now);
  this->Finish(id, pending, Unknown(Reason::kDeadlinePassed), now);
}

MonotonicTime Router::Core::NextWakeup() const {
  const MonotonicTime next_timer =
      this->timers.empty() ? MonotonicTime::max() : this->timers.begin()->first;
  return std::min(next_timer, this->local.NextWakeup());
}

bool Router::Core::IsIdle() const {
  return this->requests.empty() && this->local.IsIdle();
}

RouterActions Router::Core::TakeActions(MonotonicTime now) {
  // Handling an ending can start a new attempt, which can end immediately.
  while (!this->output.endings.empty()) {
    auto endings = std::exchange(this->output.endings, {});
    for (LocalEnding& ending : endings) {
      if (!this->requests.contains(ending.id)) continue;
      this->OnLocalEnding(std::move(ending), now);
    }
  }
  return std::exchange(this->output.actions, {});
}

void Router::Core::Remove(WorkId id, const PendingRequest& pending) {
  const auto timer = this->timer_by_request.find(id);
  if (timer != this->timer_by_request.end()) {
    this->timers.erase({timer->second, id});
    this->timer_by_request.erase(timer);
  }
  this->by_origin.erase(pending.origin);
  this->requests.erase(id);
}

void Router::Core::ArmTimer(WorkId id, MonotonicTime at) {
  const auto timer = this->timer_by_request.find(id);
  if (timer != this->timer_by_request.end())
    this->timers.erase({timer->second, id});
  this->timer_by_request[id] = at;
  this->timers.emplace(at, id);
}

bool Router::Core::IsFromCaller(const PendingRequest& pending) {
  return std::holds_alternative<caller::CallerSlot>(pending.origin);
}

}  // namespace bamboorack::daemon
