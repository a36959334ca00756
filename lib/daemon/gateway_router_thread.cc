#include "bamboorack/daemon/gateway_router_thread.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

// Bounds the time until a stop request is noticed.
constexpr milliseconds kMaxWait{200};

}  // namespace

GatewayRouterThread::GatewayRouterThread(
    const GatewayRouter::Identity& identity, GatewayRings& all_rings,
    EventLog& event_log, Metrics& metrics_registry)
    : rings(all_rings),
      log(event_log),
      metrics(metrics_registry),
      router(identity, metrics_registry),
      loop([this](MonotonicTime now) { return this->RunOnce(now); }) {
  const auto notify = [this] { this->loop.Notify(); };
  this->rings.caller_to_routing.SetWaker(notify);
  this->rings.upstream_to_routing.SetWaker(notify);
  this->rings.tables.SetWaker(notify);
  // Load reports of other daemons do not wake the thread: they are frequent and
  // can wait until the next wake-up.
}

MonotonicTime GatewayRouterThread::RunOnce(MonotonicTime now) {
  if (this->must_begin_stop.exchange(false)) this->router.BeginStop();
  const bool had_input = this->HandleInputs(now);
  this->Execute(this->router.Tick(now), now);
  this->is_idle = this->router.IsIdle();
  if (had_input) return now;
  return std::min(this->router.NextWakeup(), now + kMaxWait);
}

template <typename Message, typename Handler>
bool GatewayRouterThread::HandleFrom(BoundedRing<Message>& ring,
                                     Handler handler, MonotonicTime now) {
  return HandleSome(ring, [&](Message&& message) {
    this->Execute((this->router.*handler)(std::move(message), now), now);
  });
}

bool GatewayRouterThread::HandleInputs(MonotonicTime now) {
  bool had_input =
      this->HandleFrom(this->rings.tables, &GatewayRouter::OnTables, now);
  had_input |= this->HandleFrom(this->rings.gossip_to_routing,
                                &GatewayRouter::OnLoadReport, now);
  had_input |= this->HandleFrom(this->rings.upstream_to_routing,
                                &GatewayRouter::OnUpstreamMessage, now);
  had_input |= this->HandleFrom(this->rings.caller_to_routing,
                                &GatewayRouter::OnCallerMessage, now);
  return had_input;
}

void GatewayRouterThread::Execute(GatewayActions&& actions, MonotonicTime now) {
  // One handler per alternative of `GatewayAction`, in the same order.
  static constexpr std::array<ActionHandler, std::variant_size_v<GatewayAction>>
      kHandlers = {
          &GatewayRouterThread::AnswerCaller, &GatewayRouterThread::Dispatch,
          &GatewayRouterThread::CancelDispatch,
          &GatewayRouterThread::ReportLoad, &GatewayRouterThread::LogRequest};
  for (GatewayAction& action : actions) {
    (this->*kHandlers.at(action.index()))(action, now);
  }
}

void GatewayRouterThread::AnswerCaller(GatewayAction& action, MonotonicTime) {
  auto& answer = std::get<caller::ToCaller>(action);
  if (!this->rings.routing_to_caller.TryPush(std::move(answer))) {
    this->metrics.Count("caller_answers_dropped");
  }
}

void GatewayRouterThread::Dispatch(GatewayAction& action, MonotonicTime now) {
  auto& dispatch = std::get<upstream::Dispatch>(action);
  const DispatchId id = dispatch.id;
  if (this->rings.to_upstream.TryPush(std::move(dispatch))) return;
  this->Execute(
      this->router.OnUpstreamMessage(
          upstream::DispatchResult{id, NotRun(Reason::kRingFull)}, now),
      now);
}

void GatewayRouterThread::CancelDispatch(GatewayAction& action, MonotonicTime) {
  const auto& cancel = std::get<upstream::CancelDispatch>(action);
  if (!this->rings.to_upstream.TryPush(upstream::ToUpstream(cancel))) {
    this->metrics.Count("cancels_dropped");
  }
}

void GatewayRouterThread::ReportLoad(GatewayAction& action, MonotonicTime) {
  auto& report = std::get<peer::LoadReport>(action);
  this->metrics.SetGauge("requests_waiting",
                         static_cast<double>(this->router.WaitingCount()));
  this->metrics.SetGauge("requests_in_flight",
                         static_cast<double>(this->router.InFlightCount()));
  // This daemon may be the leader, so its own control thread gets the report
  // too.
  if (!this->rings.gossip_to_control.TryPush(peer::Gossip(report)) ||
      !this->rings.to_gossip.TryPush(peer::ToGossip(std::move(report)))) {
    this->metrics.Count("reports_dropped");
  }
}

void GatewayRouterThread::LogRequest(GatewayAction& action, MonotonicTime) {
  const auto& event = std::get<RequestEvent>(action);
  EventLine line = this->log.Line(event.kind, event.name);
  line.Text("request", event.request.value)
      .Text("route", event.route.value)
      .Text("upstream", event.upstream.value)
      .Count("attempts", event.attempts)
      .Duration("age", event.age);
  if (event.reason) line.Text("reason", InfoOf(*event.reason).name);
  if (event.status != 0) {
    line.Count("status", static_cast<std::uint64_t>(event.status));
  }
  line.Duration("expected_wait", event.expected_wait)
      .Count("config", event.config.value)
      .Count("owners_term", event.owners.term.value)
      .Count("owners_change", event.owners.change)
      .Duration("registry_age", event.registry_age);
}

}  // namespace bamboorack::daemon
