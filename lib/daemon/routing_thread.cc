#include "bamboorack/daemon/routing_thread.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace bamboorack::daemon {
namespace {

// Upper bound of the wait, in case a stop or a wake-up is missed.
constexpr std::chrono::milliseconds kMaxWait{100};

}  // namespace

RoutingThread::RoutingThread(const DaemonId& self, Rings& all_rings,
                             Metrics& registry)
    : rings(all_rings),
      metrics(registry),
      router(self, registry),
      loop([this](MonotonicTime now) { return this->RunOnce(now); }) {
  const auto notify = [this] { this->loop.Notify(); };
  this->rings.caller_to_routing.SetWaker(notify);
  this->rings.peer_to_routing.SetWaker(notify);
  this->rings.upstream_to_routing.SetWaker(notify);
  this->rings.tables.SetWaker(notify);
}

MonotonicTime RoutingThread::RunOnce(MonotonicTime now) {
  const bool had_input = this->HandleInputs(now);
  this->ExecuteActions(this->router.Tick(now), now);
  this->is_idle = this->router.IsIdle();
  if (had_input) return now;
  return std::min(this->router.NextWakeup(), now + kMaxWait);
}

template <typename Message>
bool RoutingThread::HandleFrom(BoundedRing<Message>& ring,
                               RouterActions (Router::*handle)(Message,
                                                               MonotonicTime),
                               MonotonicTime now) {
  return HandleSome(ring, [&](Message&& message) {
    this->ExecuteActions((this->router.*handle)(std::move(message), now), now);
  });
}

bool RoutingThread::HandleInputs(MonotonicTime now) {
  bool had_input = false;
  // Handle tables first, so that requests are routed to the current owners.
  while (auto table = this->rings.tables.TryPop()) {
    this->ExecuteActions(this->router.OnTable(std::move(*table), now), now);
    had_input = true;
  }
  had_input |= this->HandleFrom(this->rings.upstream_to_routing,
                                &Router::OnUpstream, now);
  had_input |=
      this->HandleFrom(this->rings.peer_to_routing, &Router::OnPeer, now);
  had_input |=
      this->HandleFrom(this->rings.caller_to_routing, &Router::OnCaller, now);
  return had_input;
}

void RoutingThread::ExecuteActions(RouterActions&& actions, MonotonicTime now) {
  // Indexed by the alternatives of `RouterAction`.
  static constexpr std::array<ActionHandler, std::variant_size_v<RouterAction>>
      kHandlers = {
          &RoutingThread::AnswerCaller,  &RoutingThread::Forward,
          &RoutingThread::CancelForward, &RoutingThread::AnswerPeer,
          &RoutingThread::Dispatch,      &RoutingThread::CancelDispatch,
          &RoutingThread::Settle};
  for (RouterAction& action : actions) {
    (this->*kHandlers.at(action.index()))(action, now);
  }
}

void RoutingThread::AnswerCaller(RouterAction& action, MonotonicTime) {
  auto& answer = std::get<caller::ToCaller>(action);
  if (!this->rings.routing_to_caller.TryPush(std::move(answer))) {
    this->metrics.Count("caller_answers_dropped");
  }
}

void RoutingThread::Forward(RouterAction& action, MonotonicTime now) {
  auto& forward = std::get<peer::SendForward>(action);
  const ForwardId id = forward.id;
  if (this->rings.to_peer.TryPush(std::move(forward))) return;
  this->ExecuteActions(
      this->router.OnPeer(peer::ForwardAnswered{id, NotRun(Reason::kRingFull)},
                          now),
      now);
}

void RoutingThread::CancelForward(RouterAction& action, MonotonicTime) {
  auto& cancel = std::get<peer::SendCancel>(action);
  if (!this->rings.to_peer.TryPush(std::move(cancel))) {
    this->metrics.Count("cancels_dropped");
  }
}

void RoutingThread::AnswerPeer(RouterAction& action, MonotonicTime) {
  auto& answer = std::get<peer::SendAnswer>(action);
  if (!this->rings.to_peer.TryPush(std::move(answer))) {
    this->metrics.Count("peer_answers_dropped");
  }
}

void RoutingThread::Dispatch(RouterAction& action, MonotonicTime now) {
  auto& dispatch = std::get<upstream::Dispatch>(action);
  const DispatchId id = dispatch.id;
  if (this->rings.to_upstream.TryPush(std::move(dispatch))) return;
  this->ExecuteActions(
      this->router.OnUpstream(
          upstream::DispatchResult{id, NotRun(Reason::kRingFull)}, now),
      now);
}

void RoutingThread::CancelDispatch(RouterAction& action, MonotonicTime) {
  const auto& cancel = std::get<upstream::CancelDispatch>(action);
  if (!this->rings.to_upstream.TryPush(upstream::ToUpstream(cancel))) {
    this->metrics.Count("cancels_dropped");
  }
}

void RoutingThread::Settle(RouterAction& action, MonotonicTime now) {
  auto& call = std::get<upstream::ControlCall>(action);
  upstream::ControlResult refused{
      call.id, call.upstream,
      tl::make_unexpected(upstream::ControlError::kUnreachable)};
  if (this->rings.to_upstream.TryPush(std::move(call))) return;
  this->ExecuteActions(this->router.OnUpstream(std::move(refused), now), now);
}

}  // namespace bamboorack::daemon
