#include "bamboorack/daemon/gateway_router.h"

#include <algorithm>
#include <utility>

#include "bamboorack/core/hash.h"
#include "bamboorack/core/http_text.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using upstream::UpstreamOutcome;

// Over all daemons, retries must not exceed a fifth of the requests. The
// difference allows for requests that are spread unevenly over the daemons.
constexpr double kRetryShare = 0.15;
// Added to the deadline that the upstream gets, so that its own answer at its
// deadline still arrives here.
constexpr milliseconds kAnswerTravel{80};
// A key in a planned move has an owner again when the requests that run on it
// have ended. A request waits for that for this percentage of its time left.
constexpr int kOwnerPatiencePercent = 35;
constexpr milliseconds kNoOwnerRetry{500};
// The keys of a lost upstream are granted again when its lease has expired.
constexpr milliseconds kLostOwnerRetry{900};
constexpr milliseconds kNoStateRetry{500};
// Another daemon can take the request immediately.
constexpr milliseconds kStoppingRetry{60};
constexpr milliseconds kCheckEvery{20};
constexpr milliseconds kReportEvery{100};
// Up to this many daemons report their load at the full rate. More daemons
// report less often, so that the number of messages does not grow with the
// square of the number of daemons.
constexpr std::size_t kPeersAtFullPace = 13;
constexpr std::chrono::seconds kPeerMemory{3};
constexpr milliseconds kSignEvery{700};

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
  if (refusal.reason == Reason::kUpstreamBadAnswer) {
    return UpstreamOutcome::kFailed;
  }
  return UpstreamOutcome::kNeutral;
}

/// Returns the key of a request. Requests without a valid key are spread by the
/// hash of their target.
ShardKey KeyOf(const Request& request) {
  const auto number = ParseDecimal(request.key);
  if (number && *number <= kLastKey.value) {
    return ShardKey(static_cast<std::uint16_t>(*number));
  }
  return ShardKey(static_cast<std::uint16_t>(HashText(request.target)));
}

}  // namespace

GatewayRouter::GatewayRouter(const Identity& own_identity, Metrics& registry)
    : identity(own_identity),
      metrics(registry),
      board(own_identity.failure_domain, HashText(own_identity.daemon.value)) {}

GatewayActions GatewayRouter::Take() {
  return std::exchange(this->actions, {});
}

GatewayActions GatewayRouter::OnTables(const GatewayTables& new_tables,
                                       MonotonicTime time) {
  this->now = time;
  const bool is_new_state = this->tables.desired != new_tables.desired;
  const bool is_new_map = this->tables.owners != new_tables.owners;
  this->tables = new_tables;
  if (is_new_state && this->tables.desired) {
    this->routes = RouteTable(*this->tables.desired);
  }
  if (this->tables.upstreams) {
    this->board.SetUpstreams(*this->tables.upstreams, time);
    this->by_hash.clear();
    for (const RegisteredUpstream& entry : *this->tables.upstreams) {
      this->by_hash.emplace(peer::HashOf(entry.run.id), entry.run.id);
    }
  }
  if (is_new_map) this->ReplaceWaiting();
  this->DrainAll();
  return this->Take();
}

GatewayActions GatewayRouter::OnCaller(caller::FromCaller message,
                                       MonotonicTime time) {
  this->now = time;
  if (auto* arrived = std::get_if<caller::RequestArrived>(&message)) {
    this->OnArrived(std::move(*arrived));
  } else {
    this->OnGone(std::get<caller::CallerGone>(message));
  }
  return this->Take();
}

GatewayActions GatewayRouter::OnUpstream(upstream::UpstreamToRouting message,
                                         MonotonicTime time) {
  this->now = time;
  if (auto* result = std::get_if<upstream::DispatchResult>(&message)) {
    this->OnResult(std::move(*result));
  }
  return this->Take();
}

GatewayActions GatewayRouter::OnPeer(const peer::LoadReport& report,
                                     MonotonicTime time) {
  this->now = time;
  this->peers[report.sender] = time;
  std::map<UpstreamId, std::uint32_t> in_flight;
  for (const peer::UpstreamLoad& load : report.upstreams) {
    const auto found = this->by_hash.find(load.upstream);
    if (found != this->by_hash.end()) in_flight[found->second] = load.in_flight;
  }
  this->board.SetPeerLoad(report.sender, in_flight, time);
  this->DrainAll();
  return this->Take();
}

void GatewayRouter::OnArrived(caller::RequestArrived arrived) {
  Pending pending;
  pending.handle = ++this->last_handle;
  pending.slot = arrived.slot;
  pending.arrived = this->now;
  auto refusal = this->Admit(pending, arrived);
  pending.request = std::move(arrived.request);
  const Handle handle = pending.handle;
  this->by_slot.emplace(pending.slot.value, handle);
  Pending& stored =
      this->requests.emplace(handle, std::move(pending)).first->second;
  if (refusal) {
    this->Finish(stored, tl::make_unexpected(std::move(*refusal)));
    return;
  }
  this->budgets.try_emplace(stored.service, kRetryShare)
      .first->second.OnRequest();
  if (stored.is_sharded) this->demand[stored.service].push_back(stored.key);
  this->PlaceRequest(stored, true);
}

std::optional<Refusal> GatewayRouter::Admit(
    Pending& pending, const caller::RequestArrived& arrived) {
  const Request& request = arrived.request;
  if (this->is_stopping) {
    return Refusal{Ending::kNotRun, Reason::kStopping, "the daemon stops",
                   kStoppingRetry};
  }
  if (!this->tables.desired || !this->tables.upstreams) {
    return Refusal{Ending::kNotRun, Reason::kNoState,
                   "no desired state is known yet", kNoStateRetry};
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
  pending.target = this->now + route->latency_target;
  pending.limit = std::min(request.deadline, this->now + route->timeout);
  const std::size_t share =
      route->shares.size() == 1
          ? 0
          : this->dealers[route->name].Next(route->shares);
  pending.service = route->shares.at(share).service;
  const ServiceSpec* service =
      this->tables.desired->FindService(pending.service);
  pending.is_sharded = service != nullptr && service->is_sharded;
  if (pending.is_sharded) pending.key = KeyOf(request);
  return std::nullopt;
}

void GatewayRouter::PlaceRequest(Pending& pending, bool is_new) {
  if (pending.is_sharded) {
    this->PlaceSharded(pending, is_new);
    return;
  }
  if (!this->board.HasAny(pending.service)) {
    this->Refuse(pending, Reason::kOwnerUnreachable,
                 "service " + pending.service.value + " has no upstream",
                 kNoOwnerRetry);
    return;
  }
  this->WaitOrSend(pending, {pending.service, UpstreamId()}, is_new);
}

void GatewayRouter::PlaceSharded(Pending& pending, bool is_new) {
  const UpstreamRun* owner =
      this->tables.owners == nullptr
          ? nullptr
          : this->tables.owners->FindOwner(pending.service, pending.key);
  const bool is_disputed = this->tables.owners != nullptr &&
                           pending.attempts > 0 &&
                           pending.disputed == this->tables.owners->version &&
                           this->now < pending.not_before;
  if (owner == nullptr || is_disputed ||
      !this->board.MayServeKeys(owner->id, this->now)) {
    this->WaitForOwner(pending);
    return;
  }
  // An ejected upstream gets probe requests only; all others are refused
  // instead of being queued for an upstream that does not answer.
  const UpstreamId id = owner->id;
  if (this->board.IsEjected(id, this->now) &&
      !this->board.TakeProbe(id, this->now)) {
    this->Refuse(pending, Reason::kOwnerUnreachable,
                 "the key's owner does not answer", kLostOwnerRetry);
    return;
  }
  this->WaitOrSend(pending, {pending.service, id}, is_new);
}

void GatewayRouter::WaitForOwner(Pending& pending) {
  if (pending.place != Place::kUnowned) {
    pending.unowned_until =
        this->now + (pending.limit - this->now) * kOwnerPatiencePercent / 100;
  }
  pending.place = Place::kUnowned;
  this->unowned.insert(pending.handle);
}

void GatewayRouter::WaitOrSend(Pending& pending, const LineKey& key,
                               bool is_new) {
  upstream::WaitLine& line = this->lines[key];
  if (line.IsEmpty() && this->now >= pending.not_before) {
    if (const auto upstream = this->PickFor(pending, key)) {
      this->Send(pending, *upstream);
      return;
    }
  }
  const nanoseconds usual = this->UsualLatency(pending.route);
  // Some requests take less time than the average, so half of it is enough to
  // try before the deadline. For the latency target a margin of a quarter is
  // kept.
  const upstream::WaitTicket ticket{pending.handle,
                                    pending.priority,
                                    pending.arrived,
                                    pending.target - usual * 5 / 4,
                                    pending.limit - usual / 2,
                                    pending.not_before};
  if (is_new && !line.CanServe(ticket, this->now)) {
    this->Refuse(pending, Reason::kDeadlineWouldPass,
                 "the line is longer than the time left",
                 line.ExpectedWait(pending.priority, this->now));
    return;
  }
  pending.place = Place::kLine;
  pending.line = key;
  line.Push(ticket);
}

std::optional<UpstreamId> GatewayRouter::PickFor(const Pending& pending,
                                                 const LineKey& key) {
  if (!key.upstream.IsEmpty()) {
    if (!this->board.HasRoom(key.upstream, this->now)) return std::nullopt;
    return key.upstream;
  }
  auto chosen = this->board.Choose(key.service, pending.tried, this->now);
  if (!chosen && !pending.tried.empty()) {
    chosen = this->board.Choose(key.service, {}, this->now);
  }
  return chosen;
}

void GatewayRouter::Send(Pending& pending, const UpstreamId& upstream) {
  const UpstreamId id = upstream;
  pending.place = Place::kInFlight;
  pending.upstream = id;
  pending.sent = this->now;
  pending.is_contended = this->board.IsContended(id, this->now);
  pending.dispatch = DispatchId(++this->last_dispatch);
  ++pending.attempts;
  pending.tried.insert(id);
  this->by_dispatch.emplace(pending.dispatch, pending.handle);
  this->board.OnSent(id, this->now);
  upstream::Dispatch dispatch;
  dispatch.id = pending.dispatch;
  dispatch.upstream = {id, UpstreamInstance(id.value)};
  for (const RegisteredUpstream& entry : *this->tables.upstreams) {
    if (entry.run.id == id) dispatch.endpoint = entry.endpoint;
  }
  dispatch.send_before = pending.limit;
  dispatch.finish_before = pending.limit;
  dispatch.request = pending.request;
  dispatch.request.deadline = pending.limit + kAnswerTravel;
  this->actions.emplace_back(std::move(dispatch));
}

void GatewayRouter::LeaveLine(Pending& pending) {
  if (pending.place == Place::kLine) {
    this->lines[pending.line].Remove(pending.handle);
  }
  if (pending.place == Place::kUnowned) this->unowned.erase(pending.handle);
  pending.place = Place::kNowhere;
}

void GatewayRouter::DrainLine(const LineKey& key) {
  const auto found = this->lines.find(key);
  if (found == this->lines.end()) return;
  upstream::WaitLine& line = found->second;
  while (!line.IsEmpty()) {
    const auto ticket = line.Pop(this->now);
    if (!ticket) return;
    Pending& pending = this->requests.at(ticket->request);
    const auto upstream = this->PickFor(pending, key);
    if (!upstream) {
      line.Return(*ticket);
      return;
    }
    this->Send(pending, *upstream);
  }
}

void GatewayRouter::DrainAll() {
  for (auto& [key, line] : this->lines) {
    if (!line.IsEmpty()) this->DrainLine(key);
  }
}

void GatewayRouter::ReplaceWaiting() {
  std::vector<Handle> waiting;
  for (const auto& [handle, pending] : this->requests) {
    const bool is_waiting =
        pending.place == Place::kLine || pending.place == Place::kUnowned;
    if (is_waiting && pending.is_sharded) waiting.push_back(handle);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const Handle handle : waiting) {
    Pending& pending = this->requests.at(handle);
    const bool was_unowned = pending.place == Place::kUnowned;
    const MonotonicTime until = pending.unowned_until;
    this->LeaveLine(pending);
    if (was_unowned) {
      // The wait counts from the time at which the owner was first missing.
      pending.place = Place::kUnowned;
      pending.unowned_until = until;
    }
    this->PlaceRequest(pending, false);
    if (was_unowned && this->requests.contains(handle) &&
        pending.place != Place::kUnowned) {
      this->unowned.erase(handle);
    }
  }
}

void GatewayRouter::OnGone(const caller::CallerGone& gone) {
  const auto found = this->by_slot.find(gone.slot.value);
  if (found == this->by_slot.end()) return;
  Pending& pending = this->requests.at(found->second);
  this->by_slot.erase(found);
  if (pending.place != Place::kInFlight) {
    this->LeaveLine(pending);
    this->requests.erase(pending.handle);
    return;
  }
  pending.caller_gone = true;
  // A request that must not be repeated runs to completion, so that its outcome
  // is known; other requests are cancelled.
  if (IsIdempotent(pending.repeatability)) {
    this->actions.emplace_back(upstream::CancelDispatch{pending.dispatch});
  }
}

void GatewayRouter::OnResult(upstream::DispatchResult result) {
  const auto found = this->by_dispatch.find(result.id);
  if (found == this->by_dispatch.end()) return;
  Pending& pending = this->requests.at(found->second);
  this->by_dispatch.erase(found);
  pending.place = Place::kNowhere;
  const UpstreamId upstream = pending.upstream;
  const ServiceName service = pending.service;
  const LineKey own_line{service, upstream};
  const LineKey service_line{service, UpstreamId()};
  const nanoseconds latency = this->now - pending.sent;
  const UpstreamOutcome outcome = pending.caller_gone
                                      ? UpstreamOutcome::kNeutral
                                      : OutcomeOf(result.result);
  // Only requests that were sent to a free slot measure the speed of an
  // upstream.
  const nanoseconds usual =
      pending.is_contended ? nanoseconds(0) : this->UsualLatency(pending.route);
  this->board.OnEnded(upstream, outcome, latency, usual, this->now);
  this->lines[pending.is_sharded ? own_line : service_line].OnServed(this->now);
  if (outcome == UpstreamOutcome::kAnswered && !pending.is_contended) {
    this->LearnLatency(pending.route, latency);
  }
  if (pending.caller_gone) {
    this->requests.erase(pending.handle);
  } else if (!result.result && this->MayRetry(pending, result.result.error())) {
    this->Retry(pending, result.result.error());
  } else {
    this->Finish(pending, std::move(result.result));
  }
  this->DrainLine(own_line);
  this->DrainLine(service_line);
}

GatewayActions GatewayRouter::Tick(MonotonicTime time) {
  this->now = time;
  if (time >= this->next_check) {
    this->next_check = time + kCheckEvery;
    this->RefuseHopeless();
    this->DrainAll();
  }
  if (time >= this->next_report) {
    this->next_report = time + this->ReportInterval();
    this->ReportLoad();
  }
  return this->Take();
}

void GatewayRouter::RefuseHopeless() {
  std::vector<Handle> hopeless;
  for (auto& [key, line] : this->lines) {
    for (const upstream::WaitTicket& ticket : line.TakeHopeless(this->now)) {
      hopeless.push_back(ticket.request);
    }
  }
  for (const Handle handle : hopeless) {
    Pending& pending = this->requests.at(handle);
    pending.place = Place::kNowhere;
    this->Refuse(pending, Reason::kDeadlineWouldPass,
                 "the time left is too short", kNoOwnerRetry);
  }
  const std::vector<Handle> waiting(this->unowned.begin(), this->unowned.end());
  for (const Handle handle : waiting) {
    Pending& pending = this->requests.at(handle);
    if (this->now >= pending.unowned_until) {
      this->Refuse(pending, Reason::kOwnerMoving,
                   "nobody serves the key at the moment", kNoOwnerRetry);
      continue;
    }
    if (pending.attempts == 0 || this->now < pending.not_before) continue;
    // The upstream may have learned by now that it owns the key: try again.
    this->PlaceRequest(pending, false);
    if (this->requests.contains(handle) && pending.place != Place::kUnowned) {
      this->unowned.erase(handle);
    }
  }
}

milliseconds GatewayRouter::ReportInterval() const {
  const auto alive = std::count_if(
      this->peers.begin(), this->peers.end(), [this](const auto& item) {
        return this->now - item.second < kPeerMemory;
      });
  const auto factor = std::max<std::size_t>(
      1, static_cast<std::size_t>(alive) / kPeersAtFullPace);
  return kReportEvery * factor;
}

void GatewayRouter::ReportLoad() {
  peer::LoadReport report;
  report.sender = this->identity.daemon;
  for (const UpstreamId& id : this->board.Ids()) {
    const std::uint32_t in_flight = this->board.OwnInFlight(id);
    const double ratio = this->board.TakeNewRatio(id);
    if (in_flight == 0 && ratio == 0) continue;
    report.upstreams.push_back({peer::HashOf(id), in_flight, ratio});
  }
  for (auto& [service, keys] : this->demand) {
    if (!keys.empty()) report.demands.push_back({service, std::move(keys)});
  }
  this->demand.clear();
  if (this->tables.upstreams_read_at != MonotonicTime{}) {
    report.log_contact_age = std::max(
        milliseconds(0), std::chrono::duration_cast<milliseconds>(
                             this->now - this->tables.upstreams_read_at));
  }
  const bool has_load = !report.upstreams.empty() || !report.demands.empty();
  // A daemon without load still reports at a lower rate, so that the leader
  // knows it and sends it the owners.
  if (!has_load && !this->reported_load && this->now < this->next_sign) return;
  this->reported_load = has_load;
  this->next_sign = this->now + kSignEvery;
  this->actions.emplace_back(std::move(report));
}

MonotonicTime GatewayRouter::NextWakeup() const {
  const bool is_waiting =
      !this->unowned.empty() ||
      std::any_of(this->lines.begin(), this->lines.end(),
                  [](const auto& item) { return !item.second.IsEmpty(); });
  return is_waiting ? std::min(this->next_check, this->next_report)
                    : this->next_report;
}

std::size_t GatewayRouter::Waiting() const {
  std::size_t waiting = this->unowned.size();
  for (const auto& [key, line] : this->lines) waiting += line.Size();
  return waiting;
}

}  // namespace bamboorack::daemon
