#include "bamboorack/daemon/gateway_router.h"

#include <algorithm>
#include <array>
#include <utility>

#include "bamboorack/core/hash.h"
#include "bamboorack/core/http_text.h"
#include "bamboorack/daemon/router_policy.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using upstream::UpstreamOutcome;

// Over all daemons, retries must not exceed a fifth of the requests. The
// difference allows for requests that are spread unevenly over the daemons.
constexpr double kRetryBudgetRatio = 0.15;
// Added to the deadline that the upstream gets, so that its own answer at its
// deadline still arrives here.
constexpr milliseconds kAnswerTransitTime{80};
// A key in a planned move has an owner again when the requests that run on it
// have ended. A request waits for that for this percentage of its time left.
constexpr int kOwnerWaitPercent = 35;
// The keys of a lost upstream are granted again when its lease has expired.
constexpr milliseconds kLostOwnerRetryAfter{900};
constexpr milliseconds kNoStateRetryAfter{500};
// Another daemon can take the request immediately.
constexpr milliseconds kStoppingRetryAfter{60};
// A request to a cold upstream that waits longer for a connection is not sent,
// since it would come in the turn of another daemon.
constexpr milliseconds kMaxTurnDelay{250};
constexpr milliseconds kExpiryCheckInterval{20};
constexpr milliseconds kLoadReportInterval{100};
// The report interval is multiplied by the number of other daemons divided by
// this (at least 1), so that the number of messages does not grow with the
// square of the number of daemons.
constexpr std::size_t kPeersPerReportInterval = 13;
constexpr std::chrono::seconds kPeerTimeout{3};
constexpr milliseconds kKeepaliveInterval{700};

/// Answers that cannot be passed on, and count against the upstream.
constexpr std::array kFailedAnswers = {Reason::kUpstreamBadAnswer,
                                       Reason::kUpstreamAnswerCut,
                                       Reason::kUpstreamUnmarkedRejection};

UpstreamOutcome OutcomeOf(const Result& result) {
  if (result) {
    return result->status >= 500 ? UpstreamOutcome::kFailed
                                 : UpstreamOutcome::kAnswered;
  }
  const Refusal& refusal = result.error();
  if (refusal.reason == Reason::kUpstreamShed) return UpstreamOutcome::kFull;
  if (refusal.reason == Reason::kDeadlinePassed) {
    return refusal.ending == Ending::kUnknown ? UpstreamOutcome::kTimedOut
                                              : UpstreamOutcome::kNeutral;
  }
  if (refusal.reason == Reason::kUpstreamLost) return UpstreamOutcome::kLost;
  if (refusal.reason == Reason::kUpstreamReplaced) {
    return UpstreamOutcome::kReplaced;
  }
  return Contains(kFailedAnswers, refusal.reason) ? UpstreamOutcome::kFailed
                                                  : UpstreamOutcome::kNeutral;
}

/// Returns the key of a request. Requests without a valid key are spread by the
/// hash of their target.
ShardKey ShardKeyOf(const Request& request) {
  const auto number = ParseDecimal(request.key);
  if (number && *number <= kLastKey.value) {
    return ShardKey(static_cast<std::uint16_t>(*number));
  }
  return ShardKey(static_cast<std::uint16_t>(HashText(request.target)));
}

}  // namespace

GatewayRouter::GatewayRouter(const Identity& own_identity,
                             Metrics& metrics_registry)
    : identity(own_identity),
      metrics(metrics_registry),
      load_balancer(own_identity.failure_domain,
                    HashText(own_identity.daemon.value)),
      placement(own_identity.placement, load_balancer),
      key_demand(HashText(own_identity.daemon.value)) {}

GatewayActions GatewayRouter::TakeActions() {
  return std::exchange(this->actions, {});
}

GatewayActions GatewayRouter::OnTables(const GatewayTables& new_tables,
                                       MonotonicTime time) {
  this->now = time;
  const bool is_new_state = this->tables.desired != new_tables.desired;
  const bool is_new_map = this->tables.owners != new_tables.owners;
  const bool is_new_evacuation =
      this->tables.evacuated_domains != new_tables.evacuated_domains;
  const bool has_new_turns =
      is_new_state || this->tables.daemons != new_tables.daemons;
  this->tables = new_tables;
  if (is_new_state && this->tables.desired) {
    this->routes = RouteTable(*this->tables.desired);
  }
  if (is_new_evacuation) this->ApplyEvacuations();
  if (has_new_turns) this->UpdateWarmUpSchedule();
  if (this->tables.upstreams) {
    this->load_balancer.SetUpstreams(*this->tables.upstreams, time);
    this->by_hash.clear();
    for (const RegisteredUpstream& entry : *this->tables.upstreams) {
      this->by_hash.emplace(peer::HashOf(entry.run.id), entry.run.id);
    }
  }
  if (is_new_map || is_new_evacuation) this->RescheduleWaiting();
  this->RescheduleColdQueues();
  this->DrainAllQueues();
  return this->TakeActions();
}

GatewayActions GatewayRouter::OnCallerMessage(caller::FromCaller message,
                                              MonotonicTime time) {
  this->now = time;
  if (auto* arrived = std::get_if<caller::RequestArrived>(&message)) {
    this->OnRequestArrived(std::move(*arrived));
  } else {
    this->OnCallerGone(std::get<caller::CallerGone>(message));
  }
  return this->TakeActions();
}

GatewayActions GatewayRouter::OnUpstreamMessage(
    upstream::UpstreamToRouting message, MonotonicTime time) {
  this->now = time;
  if (auto* result = std::get_if<upstream::DispatchResult>(&message)) {
    this->OnDispatchResult(std::move(*result));
  }
  return this->TakeActions();
}

GatewayActions GatewayRouter::OnLoadReport(const peer::LoadReport& report,
                                           MonotonicTime time) {
  this->now = time;
  this->peer_reported_at[report.sender] = time;
  std::map<UpstreamId, std::uint32_t> in_flight;
  for (const peer::UpstreamLoad& load : report.upstreams) {
    const auto found = this->by_hash.find(load.upstream);
    if (found != this->by_hash.end()) in_flight[found->second] = load.in_flight;
  }
  this->load_balancer.SetPeerLoad(report.sender, std::move(in_flight), time);
  this->ApplyReportedWork(report);
  for (const peer::UpstreamDeparture& departure : report.departures) {
    const auto found = this->by_hash.find(departure.upstream);
    if (found == this->by_hash.end()) continue;
    this->MarkLeaving({found->second, departure.life});
  }
  this->DrainAllQueues();
  return this->TakeActions();
}

void GatewayRouter::OnRequestArrived(caller::RequestArrived arrived) {
  if (arrived.is_sent_ahead && this->MustBeFirst(arrived.request)) {
    this->actions.emplace_back(
        caller::ToCaller{arrived.slot, Result(), std::move(arrived.request)});
    return;
  }
  PendingRequest pending;
  pending.handle = ++this->last_handle;
  pending.slot = arrived.slot;
  pending.arrived_at = std::min(arrived.arrived_at, this->now);
  auto refusal = this->Admit(pending, arrived);
  pending.request = std::move(arrived.request);
  const Handle handle = pending.handle;
  this->handles_by_slot.emplace(pending.slot.value, handle);
  PendingRequest& stored =
      this->requests.emplace(handle, std::move(pending)).first->second;
  if (refusal) {
    this->Finish(stored, tl::make_unexpected(std::move(*refusal)));
    return;
  }
  this->budgets.try_emplace(stored.service, kRetryBudgetRatio)
      .first->second.OnRequest();
  if (stored.is_sharded) {
    const auto known = this->average_latencies.find(stored.route);
    const bool is_known = known != this->average_latencies.end();
    this->key_demand.Add(
        stored.service, stored.key,
        is_known ? std::optional(known->second) : std::nullopt);
  }
  this->ScheduleRequest(stored, true);
}

bool GatewayRouter::MustBeFirst(const Request& request) const {
  if (!this->tables.desired) return false;
  const Route* route = this->routes.Find(request.host, request.target);
  return route != nullptr && !IsIdempotent(route->repeatability);
}

std::optional<Refusal> GatewayRouter::Admit(
    PendingRequest& pending, const caller::RequestArrived& arrived) {
  const Request& request = arrived.request;
  if (this->is_stopping) {
    return Refusal{Ending::kNotRun, Reason::kStopping, "the daemon stops",
                   kStoppingRetryAfter};
  }
  if (!this->tables.desired || !this->tables.upstreams) {
    return Refusal{Ending::kNotRun, Reason::kNoState,
                   "no desired state is known yet", kNoStateRetryAfter};
  }
  const Route* route = this->routes.Find(request.host, request.target);
  if (route == nullptr) {
    return Refusal{Ending::kNotRun, Reason::kUnknownService,
                   "no route for host " + request.host};
  }
  pending.route = route->name;
  pending.repeatability = route->repeatability;
  pending.priority = route->priority;
  pending.max_attempts = route->max_attempts;
  pending.soft_deadline = pending.arrived_at + route->latency_target;
  pending.hard_deadline =
      std::min(request.deadline, pending.arrived_at + route->timeout);
  if (this->now >= pending.hard_deadline) {
    return Refusal{Ending::kNotRun, Reason::kDeadlinePassed,
                   "the request waited too long behind others",
                   kNoOwnerRetryAfter};
  }
  const std::size_t share =
      route->shares.size() == 1
          ? 0
          : this->share_dealers[route->name].Next(route->shares);
  pending.service = route->shares.at(share).service;
  const ServiceSpec* service =
      this->tables.desired->FindService(pending.service);
  pending.is_sharded = service != nullptr && service->is_sharded;
  if (pending.is_sharded) pending.key = ShardKeyOf(request);
  return std::nullopt;
}

void GatewayRouter::ScheduleRequest(PendingRequest& pending, bool is_new) {
  if (pending.is_sharded) {
    this->ScheduleSharded(pending, is_new);
    return;
  }
  if (!this->load_balancer.HasActiveUpstream(pending.service)) {
    if (this->RefuseIfEvacuated(pending)) return;
    this->Refuse(pending, Reason::kOwnerUnreachable,
                 "service " + pending.service.value + " has no upstream",
                 kNoOwnerRetryAfter);
    return;
  }
  this->SendOrEnqueue(pending, {pending.service, UpstreamId()}, is_new);
}

void GatewayRouter::ScheduleSharded(PendingRequest& pending, bool is_new) {
  const UpstreamRun* owner =
      this->tables.owners == nullptr
          ? nullptr
          : this->tables.owners->FindOwner(pending.service, pending.key);
  const bool is_disputed =
      this->tables.owners != nullptr && pending.attempts > 0 &&
      pending.refused_owner_map == this->tables.owners->version &&
      this->now < pending.not_before;
  if (owner == nullptr || is_disputed ||
      !this->load_balancer.MayServeKeys(owner->id, this->now)) {
    if (!this->RefuseIfEvacuated(pending)) this->WaitForOwner(pending);
    return;
  }
  const MonotonicTime paused_until = this->load_balancer.PausedUntil(owner->id);
  if (this->RefuseIfPausedTooLong(pending, paused_until)) return;
  pending.not_before = std::max(pending.not_before, paused_until);
  if (this->RefuseIfColdTooLong(pending, {pending.service, owner->id})) return;
  // An ejected upstream gets probe requests only; all others are refused
  // instead of being queued for an upstream that does not answer.
  const UpstreamId id = owner->id;
  if (this->load_balancer.IsEjected(id, this->now) &&
      !this->load_balancer.TryProbe(id, this->now)) {
    this->Refuse(pending, Reason::kOwnerUnreachable,
                 "the key's owner does not answer", kLostOwnerRetryAfter);
    return;
  }
  this->SendOrEnqueue(pending, {pending.service, id}, is_new);
}

void GatewayRouter::WaitForOwner(PendingRequest& pending) {
  if (pending.stage != Stage::kUnowned) {
    pending.owner_wait_deadline =
        this->now +
        (pending.hard_deadline - this->now) * kOwnerWaitPercent / 100;
  }
  pending.stage = Stage::kUnowned;
  this->unowned.insert(pending.handle);
}

void GatewayRouter::SendOrEnqueue(PendingRequest& pending, const QueueKey& key,
                                  bool is_new) {
  upstream::WaitQueue& queue = this->queues[key];
  if (queue.IsEmpty() && this->now >= pending.not_before) {
    if (const auto upstream = this->PickUpstream(pending, key)) {
      this->Send(pending, *upstream);
      return;
    }
  }
  if (key.upstream.IsEmpty()) {
    const auto paused_until =
        this->load_balancer.ServicePausedUntil(key.service, this->now);
    if (paused_until && this->RefuseIfPausedTooLong(pending, *paused_until)) {
      return;
    }
    if (this->RefuseIfColdTooLong(pending, key)) return;
  }
  const nanoseconds average_latency = this->AverageLatency(pending.route);
  // Some requests take less time than the average, so half of it is enough to
  // try before the deadline. For the latency target a margin of a quarter is
  // kept.
  const upstream::QueueEntry entry{
      pending.handle,
      pending.priority,
      pending.arrived_at,
      pending.soft_deadline - average_latency * 5 / 4,
      pending.hard_deadline - average_latency / 2,
      std::max(pending.not_before, pending.turn_start)};
  if (is_new && !queue.CanStartInTime(entry, this->now)) {
    this->Refuse(pending, Reason::kDeadlineWouldPass,
                 "the line is longer than the time left",
                 queue.ExpectedWait(pending.priority, this->now));
    return;
  }
  pending.stage = Stage::kQueued;
  pending.queue_key = key;
  queue.Push(entry);
}

std::optional<UpstreamId> GatewayRouter::PickUpstream(
    const PendingRequest& pending, const QueueKey& key) {
  if (!key.upstream.IsEmpty()) {
    if (!this->load_balancer.HasCapacity(key.upstream, this->now))
      return std::nullopt;
    return key.upstream;
  }
  auto chosen = this->placement.Choose(key.service, pending.route,
                                       pending.tried_upstreams, this->now);
  if (!chosen && !pending.tried_upstreams.empty()) {
    chosen = this->placement.Choose(key.service, pending.route, {}, this->now);
  }
  return chosen;
}

void GatewayRouter::Send(PendingRequest& pending, const UpstreamId& upstream) {
  const UpstreamId id = upstream;
  pending.stage = Stage::kInFlight;
  pending.upstream = id;
  pending.sent_at = this->now;
  pending.is_contended = this->load_balancer.IsContended(id, this->now);
  pending.dispatch = DispatchId(++this->last_dispatch_id);
  ++pending.attempts;
  pending.tried_upstreams.insert(id);
  this->handles_by_dispatch.emplace(pending.dispatch, pending.handle);
  const bool is_cold = this->load_balancer.IsCold(id, this->now);
  if (is_cold) this->metrics.Count("warm_up_turns_used");
  this->load_balancer.OnSent(id, this->now);
  if (!pending.is_sharded) {
    this->placement.OnSent(id, pending.dispatch, pending.service, pending.route,
                           pending.is_contended, this->now);
  }
  upstream::Dispatch dispatch;
  dispatch.id = pending.dispatch;
  dispatch.upstream = {id, UpstreamInstance(id.value)};
  if (const auto* entry = this->load_balancer.Entry(id)) {
    dispatch.endpoint = entry->endpoint;
    pending.upstream_life = entry->run.life;
  }
  dispatch.send_before =
      std::min(pending.hard_deadline, this->load_balancer.LatestSend(id));
  if (is_cold) {
    dispatch.send_before =
        std::min(dispatch.send_before, this->now + kMaxTurnDelay);
  }
  dispatch.finish_before = pending.hard_deadline;
  dispatch.request = pending.request;
  dispatch.request.deadline = pending.hard_deadline + kAnswerTransitTime;
  this->actions.emplace_back(std::move(dispatch));
}

void GatewayRouter::OnCallerGone(const caller::CallerGone& gone) {
  const auto found = this->handles_by_slot.find(gone.slot.value);
  if (found == this->handles_by_slot.end()) return;
  PendingRequest& pending = this->requests.at(found->second);
  this->handles_by_slot.erase(found);
  if (pending.stage != Stage::kInFlight) {
    this->RemoveFromQueue(pending);
    this->requests.erase(pending.handle);
    return;
  }
  pending.is_caller_gone = true;
  // A request that must not be repeated runs to completion, so that its outcome
  // is known; other requests are cancelled.
  if (IsIdempotent(pending.repeatability)) {
    this->actions.emplace_back(upstream::CancelDispatch{pending.dispatch});
  }
}

void GatewayRouter::OnDispatchResult(upstream::DispatchResult result) {
  const auto found = this->handles_by_dispatch.find(result.id);
  if (found == this->handles_by_dispatch.end()) return;
  PendingRequest& pending = this->requests.at(found->second);
  this->handles_by_dispatch.erase(found);
  pending.stage = Stage::kUnscheduled;
  const UpstreamId upstream = pending.upstream;
  const ServiceName service = pending.service;
  const QueueKey upstream_queue{service, upstream};
  const QueueKey service_queue{service, UpstreamId()};
  const nanoseconds latency = this->now - pending.sent_at;
  this->ApplyNotice(pending, result.notice);
  // An upstream that asked for time gets none of the requests that a lower
  // limit would keep from it.
  const bool is_neutral =
      pending.is_caller_gone || result.notice.retry_after.has_value();
  const UpstreamOutcome outcome =
      is_neutral ? UpstreamOutcome::kNeutral : OutcomeOf(result.result);
  // Only requests that were sent to a free slot measure the speed of an
  // upstream.
  const nanoseconds average_latency = pending.is_contended
                                          ? nanoseconds(0)
                                          : this->AverageLatency(pending.route);
  this->LearnFromEnd(pending, result.id, outcome, result.notice);
  this->load_balancer.OnEnded(upstream, outcome, latency, average_latency,
                              this->now);
  this->queues[pending.is_sharded ? upstream_queue : service_queue].OnServed(
      this->now);
  if (outcome == UpstreamOutcome::kAnswered && !pending.is_contended) {
    this->UpdateAverageLatency(pending.route, latency);
  }
  if (pending.is_caller_gone) {
    this->requests.erase(pending.handle);
  } else if (!result.result && this->MayRetry(pending, result.result.error())) {
    this->Retry(pending, result.result.error());
  } else {
    this->Finish(pending, std::move(result.result));
  }
  this->DrainQueue(upstream_queue);
  this->DrainQueue(service_queue);
}

GatewayActions GatewayRouter::Tick(MonotonicTime time) {
  this->now = time;
  if (time >= this->next_expiry_check) {
    this->next_expiry_check = time + kExpiryCheckInterval;
    this->RefuseExpired();
    this->DrainAllQueues();
  }
  if (time >= this->next_report) {
    const milliseconds interval = this->LoadReportInterval();
    this->load_balancer.SetReportInterval(interval);
    this->next_report = time + interval;
    this->ReportLoad();
  }
  return this->TakeActions();
}

milliseconds GatewayRouter::LoadReportInterval() const {
  const auto alive =
      std::count_if(this->peer_reported_at.begin(),
                    this->peer_reported_at.end(), [this](const auto& item) {
                      return this->now - item.second < kPeerTimeout;
                    });
  const auto factor = std::max<std::size_t>(
      1, static_cast<std::size_t>(alive) / kPeersPerReportInterval);
  return kLoadReportInterval * factor;
}

void GatewayRouter::ReportLoad() {
  peer::LoadReport report;
  report.sender = this->identity.daemon;
  for (const UpstreamId& id : this->load_balancer.Ids()) {
    const std::uint32_t in_flight = this->load_balancer.OwnInFlight(id);
    const double ratio = this->load_balancer.TakeUpdatedLatencyRatio(id);
    if (in_flight == 0 && ratio == 0) continue;
    report.upstreams.push_back({peer::HashOf(id), in_flight, ratio});
  }
  for (auto& [service, keys] : this->key_demand.Take()) {
    if (keys.empty()) continue;
    report.demands.push_back(
        {service, std::move(keys), this->stating_services.contains(service)});
  }
  std::erase_if(this->departures,
                [this](const auto& item) { return this->now >= item.second; });
  for (const auto& [run, until] : this->departures) {
    report.departures.push_back({peer::HashOf(run.id), run.life});
  }
  this->AddStatements(report);
  this->CountPlacements();
  if (this->tables.upstreams_read_at != MonotonicTime{}) {
    report.log_contact_age = std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(
                             this->now - this->tables.upstreams_read_at));
  }
  const bool has_load = !report.upstreams.empty() || !report.demands.empty() ||
                        !report.departures.empty() ||
                        !report.statements.empty();
  // A daemon without load still reports at a lower rate, so that the leader
  // knows it and sends it the owners.
  if (!has_load && !this->had_load && this->now < this->next_keepalive) return;
  this->had_load = has_load;
  this->next_keepalive = this->now + kKeepaliveInterval;
  this->actions.emplace_back(std::move(report));
}

MonotonicTime GatewayRouter::NextWakeup() const {
  const bool is_waiting =
      !this->unowned.empty() ||
      std::any_of(this->queues.begin(), this->queues.end(),
                  [](const auto& item) { return !item.second.IsEmpty(); });
  return is_waiting ? std::min(this->next_expiry_check, this->next_report)
                    : this->next_report;
}

}  // namespace bamboorack::daemon
