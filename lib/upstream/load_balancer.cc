#include "bamboorack/upstream/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bamboorack/core/hash.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Older load reports of peers are ignored.
constexpr milliseconds kMaxReportAge{1'200};
// Requests above the slots that may queue at an upstream, so that no slot is
// idle while an answer is in transit.
constexpr double kMaxQueuedAtUpstream = 4.0;
// A refused request reduces the limit by this factor. The limit then grows by
// one request per `kLimitGrowthInterval`.
constexpr double kLimitBackoff = 0.8;
constexpr Seconds kLimitGrowthInterval{0.5};
constexpr double kLatencySmoothing = 0.08;
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxLatencyRatio = 8.0;
constexpr double kFailureSmoothing = 0.15;
constexpr int kFailuresBeforeEjection = 3;
constexpr milliseconds kFirstEjectionTime{600};
constexpr int kMaxEjectionDoublings = 3;
constexpr milliseconds kProbeInterval{250};
// If a larger share of a service's upstreams is ejected, the cause is unlikely
// to be in single upstreams, and ejections are ignored.
constexpr double kMaxEjectedShare = 0.4;

}  // namespace

LoadBalancer::LoadBalancer(FailureDomain own_domain, std::uint64_t own_seed)
    : domain(std::move(own_domain)),
      seed(own_seed),
      random_state(own_seed | 1U) {}

double LoadBalancer::AversionTo(const UpstreamId& id) const {
  constexpr std::uint64_t kSteps = 1'000'000;
  const std::uint64_t hash = CombineHashes(this->seed, HashText(id.value));
  // The square root makes low values rare, so that few upstreams stand out.
  return std::sqrt(static_cast<double>(hash % kSteps) / kSteps);
}

void LoadBalancer::SetUpstreams(const std::vector<RegisteredUpstream>& entries,
                                MonotonicTime now) {
  std::set<UpstreamId> listed;
  for (const RegisteredUpstream& entry : entries) {
    listed.insert(entry.run.id);
    UpstreamState& state = this->states[entry.run.id];
    const bool is_new = state.entry.run != entry.run;
    if (is_new) {
      const std::uint32_t in_flight = state.in_flight;
      UpstreamWork work = std::move(state.work);
      state = UpstreamState{};
      state.in_flight = in_flight;
      state.work = std::move(work);
      state.work.OnNewRun();
      state.aversion = this->AversionTo(entry.run.id);
      for (const auto& [peer, load] : this->peers) {
        const auto reported = load.in_flight.find(entry.run.id);
        if (reported == load.in_flight.end()) continue;
        state.peer_in_flight += reported->second;
      }
      state.limit = entry.slots + kMaxQueuedAtUpstream;
      state.limit_updated = now;
    }
    state.entry = entry;
    state.entry.is_draining |= this->leaving.Contains(entry.run);
  }
  std::erase_if(this->states, [&listed](const auto& item) {
    return !listed.contains(item.first) && item.second.in_flight == 0;
  });
  for (auto& [id, state] : this->states) {
    // An unlisted upstream is kept only until its requests in flight end.
    if (!listed.contains(id)) state.entry.is_draining = true;
    if (!state.entry.is_draining) state.draining_since.reset();
    if (state.entry.is_draining && !state.draining_since)
      state.draining_since = now;
  }
  this->IndexByService();
}

void LoadBalancer::IndexByService() {
  this->by_service.clear();
  this->evacuated_services.clear();
  for (auto& [id, state] : this->states) {
    if (state.entry.is_draining) continue;
    if (this->evacuated.contains(state.entry.failure_domain)) {
      this->evacuated_services.insert(state.entry.service);
      continue;
    }
    this->by_service[state.entry.service].push_back(&state);
  }
}

void LoadBalancer::SetEvacuated(const EvacuatedDomains& domains) {
  this->evacuated = domains;
  this->IndexByService();
}

MonotonicTime LoadBalancer::LatestSend(const UpstreamId& id) const {
  const auto found = this->states.find(id);
  return found == this->states.end() ? MonotonicTime::max()
                                     : this->LatestSend(found->second);
}

MonotonicTime LoadBalancer::LatestSend(const UpstreamState& state) const {
  const auto found = this->evacuated.find(state.entry.failure_domain);
  return found == this->evacuated.end() ? MonotonicTime::max() : found->second;
}

bool LoadBalancer::MarkLeaving(const UpstreamRun& run, MonotonicTime now) {
  if (!this->leaving.Add(run)) return false;
  const auto found = this->states.find(run.id);
  if (found == this->states.end() || found->second.entry.run != run) {
    return true;
  }
  UpstreamState& state = found->second;
  state.entry.is_draining = true;
  if (!state.draining_since) state.draining_since = now;
  this->IndexByService();
  return true;
}

void LoadBalancer::Pause(const UpstreamId& id, MonotonicTime until) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  MonotonicTime& paused_until = found->second.paused_until;
  paused_until = std::max(paused_until, until);
  this->last_pause_end = std::max(this->last_pause_end, until);
}

MonotonicTime LoadBalancer::PausedUntil(const UpstreamId& id) const {
  const auto found = this->states.find(id);
  return found == this->states.end() ? MonotonicTime{}
                                     : found->second.paused_until;
}

std::optional<MonotonicTime> LoadBalancer::ServicePausedUntil(
    const ServiceName& service, MonotonicTime now) const {
  if (now >= this->last_pause_end) return std::nullopt;
  const auto candidates = this->by_service.find(service);
  if (candidates == this->by_service.end()) return std::nullopt;
  MonotonicTime first_end = MonotonicTime::max();
  for (const UpstreamState* state : candidates->second) {
    if (!state->is_replaced) {
      first_end = std::min(first_end, state->paused_until);
    }
  }
  if (first_end <= now || first_end == MonotonicTime::max()) {
    return std::nullopt;
  }
  return first_end;
}

const RegisteredUpstream* LoadBalancer::Entry(const UpstreamId& id) const {
  const auto found = this->states.find(id);
  return found == this->states.end() ? nullptr : &found->second.entry;
}

void LoadBalancer::SetPeerLoad(const DaemonId& peer,
                               std::map<UpstreamId, std::uint32_t> in_flight,
                               MonotonicTime now) {
  this->DropOldReports(now);
  PeerLoad& load = this->peers[peer];
  this->SubtractPeerLoad(load);
  load = {std::move(in_flight), now};
  this->AddPeerLoad(load);
  this->next_report_expiry =
      std::min(this->next_report_expiry, now + kMaxReportAge);
}

void LoadBalancer::AddPeerLoad(const PeerLoad& load) {
  for (const auto& [id, in_flight] : load.in_flight) {
    const auto found = this->states.find(id);
    if (found != this->states.end()) found->second.peer_in_flight += in_flight;
  }
}

void LoadBalancer::SubtractPeerLoad(const PeerLoad& load) {
  for (const auto& [id, in_flight] : load.in_flight) {
    const auto found = this->states.find(id);
    if (found != this->states.end()) found->second.peer_in_flight -= in_flight;
  }
}

void LoadBalancer::DropOldReports(MonotonicTime now) {
  if (now <= this->next_report_expiry) return;
  this->next_report_expiry = MonotonicTime::max();
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    const MonotonicTime expiry = peer->second.at + kMaxReportAge;
    if (now > expiry) {
      this->SubtractPeerLoad(peer->second);
      peer = this->peers.erase(peer);
      continue;
    }
    this->next_report_expiry = std::min(this->next_report_expiry, expiry);
    ++peer;
  }
}

void LoadBalancer::OnSent(const UpstreamId& id, MonotonicTime now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  UpstreamState& state = found->second;
  ++state.in_flight;
  state.last_sent = now;
  state.burst.OnSent(now, now + this->report_interval);
  if (this->warm_up.IsCold(state.entry, now)) state.turn_used = now;
}

void LoadBalancer::OnEnded(const UpstreamId& id, UpstreamOutcome outcome,
                           std::chrono::nanoseconds latency,
                           std::chrono::nanoseconds mean_latency,
                           MonotonicTime now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  UpstreamState& state = found->second;
  if (state.in_flight > 0) --state.in_flight;
  if (outcome == UpstreamOutcome::kNeutral) return;
  if (outcome == UpstreamOutcome::kFull) this->LowerLimit(state, now);
  if (outcome == UpstreamOutcome::kReplaced) {
    state.is_replaced = true;
    return;
  }
  const bool is_failure = outcome != UpstreamOutcome::kAnswered;
  state.failure_share +=
      ((is_failure ? 1.0 : 0.0) - state.failure_share) * kFailureSmoothing;
  const bool is_loss = outcome == UpstreamOutcome::kLost ||
                       outcome == UpstreamOutcome::kTimedOut;
  if (is_loss) {
    if (++state.failures_in_a_row >= kFailuresBeforeEjection)
      this->Eject(state, now);
    return;
  }
  state.failures_in_a_row = 0;
  if (!is_failure) {
    state.ejections = 0;
    state.ejected_until = now;
  }
  if (is_failure) return;
  state.latency =
      state.latency.count() == 0
          ? latency
          : state.latency +
                std::chrono::duration_cast<std::chrono::nanoseconds>(
                    (latency - state.latency) * kLatencySmoothing);
  if (mean_latency.count() <= 0) return;
  const double ratio = std::clamp(Seconds(latency) / Seconds(mean_latency),
                                  kMinLatencyRatio, kMaxLatencyRatio);
  state.unreported_ratios.Add(ratio);
  state.latency_ratio =
      state.latency_ratio == 0
          ? 1 + (ratio - 1) * kLatencySmoothing
          : state.latency_ratio +
                (ratio - state.latency_ratio) * kLatencySmoothing;
}

void LoadBalancer::LowerLimit(UpstreamState& state, MonotonicTime now) {
  this->DropOldReports(now);
  const double total_in_flight = state.TotalInFlight() + 1;
  // A refusal while slots are free has another cause, which a lower limit would
  // not remove.
  if (total_in_flight <= state.entry.slots) return;
  state.limit = std::max<double>(
      state.entry.slots,
      std::min(this->LimitOf(state, now), total_in_flight) * kLimitBackoff);
  state.limit_updated = now;
}

void LoadBalancer::Eject(UpstreamState& state, MonotonicTime now) {
  state.failures_in_a_row = 0;
  state.next_probe = now + kProbeInterval;
  state.ejected_until =
      now + kFirstEjectionTime *
                (1 << std::min(state.ejections, kMaxEjectionDoublings));
  ++state.ejections;
  this->last_ejection_end =
      std::max(this->last_ejection_end, state.ejected_until);
}

double LoadBalancer::EjectedShare(const std::vector<UpstreamState*>& candidates,
                                  MonotonicTime now) const {
  if (now >= this->last_ejection_end || candidates.empty()) return 0;
  const auto ejected = std::count_if(
      candidates.begin(), candidates.end(),
      [now](const UpstreamState* state) { return now < state->ejected_until; });
  return static_cast<double>(ejected) / static_cast<double>(candidates.size());
}

double LoadBalancer::LimitOf(const UpstreamState& state,
                             MonotonicTime now) const {
  const double grown =
      state.limit + Seconds(now - state.limit_updated) / kLimitGrowthInterval;
  return std::min(grown, state.entry.slots + kMaxQueuedAtUpstream);
}

const RegisteredUpstream* LoadBalancer::Find(const UpstreamId& id) const {
  const auto found = this->states.find(id);
  if (found == this->states.end() || found->second.entry.is_draining ||
      found->second.is_replaced ||
      this->evacuated.contains(found->second.entry.failure_domain)) {
    return nullptr;
  }
  return &found->second.entry;
}

bool LoadBalancer::MayServeKeys(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return false;
  if (now >= this->LatestSend(found->second)) return false;
  const auto& since = found->second.draining_since;
  return !since || now - *since < kDrainGracePeriod;
}

bool LoadBalancer::HasCapacity(const UpstreamId& id, MonotonicTime now) {
  this->DropOldReports(now);
  const auto found = this->states.find(id);
  return found != this->states.end() && this->HasCapacity(found->second, now);
}

bool LoadBalancer::HasCapacity(const UpstreamState& state,
                               MonotonicTime now) const {
  if (now < state.paused_until) return false;
  if (!this->warm_up.MaySend(state.entry, state.turn_used, now)) return false;
  const double limit = this->LimitOf(state, now);
  const std::size_t daemons = this->peers.size() + 1;
  const double free_places = limit - state.TotalInFlight();
  if (free_places >= 1)
    return state.burst.Allows(free_places, state.in_flight, daemons, now);
  // At the limit, the daemons without a request there take turns.
  if (state.in_flight > 0) return false;
  const Seconds turn_interval =
      Seconds(state.latency) * static_cast<double>(daemons) / limit;
  return now - state.last_sent >= turn_interval;
}

double LoadBalancer::DrawJitter(double width) {
  // xorshift64 is random enough to decorrelate the daemons.
  this->random_state ^= this->random_state << 13U;
  this->random_state ^= this->random_state >> 7U;
  this->random_state ^= this->random_state << 17U;
  constexpr double kSteps = 1'024;
  return 1 + width * static_cast<double>(this->random_state % 1'024U) / kSteps;
}

bool LoadBalancer::IsContended(const UpstreamId& id, MonotonicTime now) {
  this->DropOldReports(now);
  const auto found = this->states.find(id);
  return found != this->states.end() &&
         found->second.TotalInFlight() >= found->second.entry.slots;
}

std::optional<UpstreamId> LoadBalancer::Choose(
    const ServiceName& service, const std::set<UpstreamId>& tried,
    MonotonicTime now, const PlacementPolicy& policy) {
  this->DropOldReports(now);
  const auto candidates = this->by_service.find(service);
  if (candidates == this->by_service.end()) return std::nullopt;
  const bool ignores_ejections =
      this->EjectedShare(candidates->second, now) > kMaxEjectedShare;
  const ScoreVariation variation = policy.Variation();
  // A daemon that has the upstreams for itself needs no preferences.
  const auto others = static_cast<double>(this->peers.size());
  const double preference = variation.preference * others / (others + 1);
  const UpstreamState* best = nullptr;
  double best_score = 0;
  for (const UpstreamState* state : candidates->second) {
    if (state->is_replaced || tried.contains(state->entry.run.id)) continue;
    if (!ignores_ejections && now < state->ejected_until) continue;
    if (!this->HasCapacity(*state, now)) continue;
    const double score = policy.Score(*state, this->domain, now) *
                         this->DrawJitter(variation.random) *
                         (1 + state->aversion * preference);
    if (best != nullptr && best_score <= score) continue;
    best = state;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return best->entry.run.id;
}

bool LoadBalancer::HasActiveUpstream(const ServiceName& service) const {
  return this->by_service.contains(service);
}

bool LoadBalancer::IsEvacuated(const ServiceName& service) const {
  return !this->by_service.contains(service) &&
         this->evacuated_services.contains(service);
}

UpstreamWork* LoadBalancer::FindWork(const UpstreamId& id) {
  const auto found = this->states.find(id);
  return found == this->states.end() ? nullptr : &found->second.work;
}

std::uint32_t LoadBalancer::OwnInFlight(const UpstreamId& id) const {
  const auto found = this->states.find(id);
  return found == this->states.end() ? 0 : found->second.in_flight;
}

double LoadBalancer::LatencyRatio(const UpstreamId& id) const {
  const auto found = this->states.find(id);
  return found == this->states.end() ? 0 : found->second.latency_ratio;
}

double LoadBalancer::TakeUpdatedLatencyRatio(const UpstreamId& id) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return 0;
  return found->second.unreported_ratios.Take();
}

std::vector<UpstreamId> LoadBalancer::Ids() const {
  std::vector<UpstreamId> ids;
  ids.reserve(this->states.size());
  for (const auto& [id, state] : this->states) ids.push_back(id);
  return ids;
}

bool LoadBalancer::IsEjected(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return false;
  return found->second.is_replaced || now < found->second.ejected_until;
}

bool LoadBalancer::TryProbe(const UpstreamId& id, MonotonicTime now) {
  const auto found = this->states.find(id);
  if (found == this->states.end() || found->second.is_replaced) return false;
  if (now < found->second.next_probe) return false;
  if (now < found->second.paused_until) return false;
  if (!this->warm_up.MaySend(found->second.entry, found->second.turn_used,
                             now)) {
    return false;
  }
  found->second.next_probe = now + kProbeInterval;
  return true;
}

}  // namespace bamboorack::upstream
