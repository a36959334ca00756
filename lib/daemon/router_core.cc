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
  HeldRequest& held = this->held_requests.at(id);
  if (event.result) {
    this->Finish(id, held, std::move(event.result), now);
    return;
  }
  const Refusal refusal = std::move(event.result.error());
  if (!this->CanReroute(held, refusal, now)) {
    this->Finish(id, held, tl::make_unexpected(refusal), now);
    return;
  }
  held.refusal = refusal;
  held.awaits_new_authority = true;
  this->Resolve(id, held, now);
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
  HeldRequest& held = this->held_requests[id];
  held.request = std::make_shared<const Request>(std::move(request));
  held.arrived = now;
  held.origin = std::move(origin);
  this->by_origin[held.origin] = id;
  if (this->is_stopping && IsFromCaller(held)) {
    this->Finish(id, held, NotRun(Reason::kStopping), now);
    return;
  }
  if (this->held_requests.size() > this->options.max_requests) {
    this->Finish(id, held, NotRun(Reason::kQueueFull, "requests held"), now);
    return;
  }
  this->Resolve(id, held, now);
}

void Router::Core::Resolve(WorkId id, HeldRequest& held, MonotonicTime now) {
  if (held.request->deadline <= now) {
    this->Finish(id, held, NotRun(Reason::kDeadlinePassed), now);
    return;
  }
  if (held.awaits_new_authority && !this->HasOtherAuthority(held)) {
    this->Park(id, held, now);
    return;
  }
  const auto route = FindRoute(*this->table, this->self, held.request->service,
                               held.request->key);
  if (!route) {
    this->OnRefusal(id, held, route.error(), now);
    return;
  }
  if (held.awaits_new_authority) {
    held.awaits_new_authority = false;
    held.was_rerouted = true;
    this->metrics.CountRetry(held.refusal.reason);
  }
  if (route->local_owner) {
    held.stage = Stage::kLocal;
    this->local.Submit(id, held.request, *route, now, this->output);
    return;
  }
  if (!IsFromCaller(held)) {
    this->Finish(id, held, NotRun(Reason::kNoAuthority), now);
    return;
  }
  this->Forward(id, held, *route);
}

void Router::Core::Forward(WorkId id, HeldRequest& held, const Route& route) {
  held.stage = Stage::kForwarded;
  held.forwarded_to = *route.authority;
  held.forwarded_group = route.group;
  held.forwarded_token = this->table->state->authorities.at(route.group).token;
  held.forward = this->next_forward;
  ++this->next_forward.value;
  this->by_forward.emplace(held.forward, id);
  this->ArmTimer(id, held.request->deadline + kForwardGrace);
  this->output.actions.emplace_back(
      peer::SendForward{held.forwarded_to, held.forward, *held.request});
}

bool Router::Core::CanReroute(const HeldRequest& held, const Refusal& refusal,
                              MonotonicTime now) const {
  return refusal.ending == Ending::kNotRun && IsFromCaller(held) &&
         !held.was_rerouted && now < held.request->deadline &&
         Contains(kReroutedReasons, refusal.reason);
}

bool Router::Core::HasOtherAuthority(const HeldRequest& held) const {
  if (this->table->state == nullptr) return false;
  const auto& authorities = this->table->state->authorities;
  const auto found = authorities.find(held.forwarded_group);
  return found == authorities.end() ||
         found->second.token != held.forwarded_token;
}

void Router::Core::OnRefusal(WorkId id, HeldRequest& held,
                             const Refusal& refusal, MonotonicTime now) {
  if (!Contains(kParkedReasons, refusal.reason)) {
    this->Finish(id, held, tl::make_unexpected(refusal), now);
    return;
  }
  if (!held.awaits_new_authority) held.refusal = refusal;
  this->Park(id, held, now);
}

void Router::Core::Park(WorkId id, HeldRequest& held, MonotonicTime now) {
  if (!held.park_until) {
    held.park_until = std::min(held.request->deadline, now + kMaxParkTime);
  }
  if (*held.park_until <= now || this->parked.size() >= kMaxParkedRequests) {
    this->Finish(id, held, tl::make_unexpected(held.refusal), now);
    return;
  }
  held.stage = Stage::kParked;
  this->parked.insert(id);
  this->ArmTimer(id, *held.park_until);
}

void Router::Core::ResolveParked(MonotonicTime now) {
  const std::set<WorkId> waiting = std::exchange(this->parked, {});
  for (const WorkId id : waiting) {
    this->Resolve(id, this->held_requests.at(id), now);
  }
}

void Router::Core::OnLocalEnding(LocalEnding&& ending, MonotonicTime now) {
  HeldRequest& held = this->held_requests.at(ending.id);
  const bool is_resolvable =
      !ending.result && ending.result.error().ending == Ending::kNotRun &&
      Contains(kParkedReasons, ending.result.error().reason);
  if (!is_resolvable) {
    this->Finish(ending.id, held, std::move(ending.result), now);
    return;
  }
  // The group or the shard moved away from this daemon while the request was
  // queued.
  held.refusal = ending.result.error();
  this->Resolve(ending.id, held, now);
}

void Router::Core::Finish(WorkId id, HeldRequest& held, Result result,
                          MonotonicTime now) {
  std::visit(
      [&](const auto& origin) {
        this->Answer(origin, held, std::move(result), now);
      },
      held.origin);
  this->Remove(id, held);
}

void Router::Core::Answer(const caller::CallerSlot& slot,
                          const HeldRequest& held, Result&& result,
                          MonotonicTime now) {
  const Ending ending = result ? Ending::kDone : result.error().ending;
  if (!result) this->metrics.CountRefusal(result.error().reason);
  this->metrics.ObserveLatency(held.request->rank, ending, now - held.arrived);
  this->output.actions.emplace_back(caller::ToCaller{slot, std::move(result)});
}

void Router::Core::Answer(const peer::ReturnPath& path,
                          const HeldRequest& /*held*/, Result&& result,
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
  HeldRequest& held = this->held_requests.at(id);
  if (IsFromCaller(held)) this->metrics.CountRefusal(Reason::kCancelled);
  (this->*kAbandonHandlers.at(static_cast<std::size_t>(held.stage)))(id, held,
                                                                     now);
  this->Remove(id, held);
}

void Router::Core::AbandonLocal(WorkId id, HeldRequest& /*held*/,
                                MonotonicTime now) {
  this->local.Abandon(id, now, this->output);
}

void Router::Core::AbandonForwarded(WorkId /*id*/, HeldRequest& held,
                                    MonotonicTime /*now*/) {
  this->by_forward.erase(held.forward);
  this->output.actions.emplace_back(
      peer::SendCancel{held.forwarded_to, held.forward});
}

void Router::Core::AbandonParked(WorkId id, HeldRequest& /*held*/,
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
  const auto found = this->held_requests.find(id);
  if (found == this->held_requests.end()) return;
  HeldRequest& held = found->second;
  if (held.stage == Stage::kParked) {
    this->parked.erase(id);
    this->Finish(id, held, tl::make_unexpected(held.refusal), now);
    return;
  }
  if (held.stage != Stage::kForwarded) return;
  this->AbandonForwarded(id, held, now);
  this->Finish(id, held, Unknown(Reason::kDeadlinePassed), now);
}

MonotonicTime Router::Core::NextWakeup() const {
  const MonotonicTime next_timer =
      this->timers.empty() ? MonotonicTime::max() : this->timers.begin()->first;
  return std::min(next_timer, this->local.NextWakeup());
}

bool Router::Core::IsIdle() const {
  return this->held_requests.empty() && this->local.IsIdle();
}

RouterActions Router::Core::TakeActions(MonotonicTime now) {
  // Handling an ending can start a new attempt, which can end immediately.
  while (!this->output.endings.empty()) {
    auto endings = std::exchange(this->output.endings, {});
    for (LocalEnding& ending : endings) {
      if (!this->held_requests.contains(ending.id)) continue;
      this->OnLocalEnding(std::move(ending), now);
    }
  }
  return std::exchange(this->output.actions, {});
}

void Router::Core::Remove(WorkId id, const HeldRequest& held) {
  const auto timer = this->timer_by_request.find(id);
  if (timer != this->timer_by_request.end()) {
    this->timers.erase({timer->second, id});
    this->timer_by_request.erase(timer);
  }
  this->by_origin.erase(held.origin);
  this->held_requests.erase(id);
}

void Router::Core::ArmTimer(WorkId id, MonotonicTime at) {
  const auto timer = this->timer_by_request.find(id);
  if (timer != this->timer_by_request.end())
    this->timers.erase({timer->second, id});
  this->timer_by_request[id] = at;
  this->timers.emplace(at, id);
}

bool Router::Core::IsFromCaller(const HeldRequest& held) {
  return std::holds_alternative<caller::CallerSlot>(held.origin);
}

}  // namespace bamboorack::daemon
