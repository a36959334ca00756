#include "bamboorack/upstream/load_balancer.h"

#include <algorithm>
#include <utility>

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
// Score penalty of upstreams in another failure domain: they cost network
// latency and billed traffic.
constexpr double kOtherDomainPenalty = 1.12;
// Random variation of the scores, so that daemons with the same reports do not
// all choose the same upstream.
constexpr double kScoreJitter = 0.04;

}  // namespace

LoadBalancer::LoadBalancer(FailureDomain own_domain, std::uint64_t seed)
    : domain(std::move(own_domain)), random_state(seed | 1U) {}

void LoadBalancer::SetUpstreams(const std::vector<RegisteredUpstream>& entries,
                                MonotonicTime now) {
  std::set<UpstreamId> listed;
  for (const RegisteredUpstream& entry : entries) {
    listed.insert(entry.run.id);
    UpstreamState& state = this->states[entry.run.id];
    const bool is_new = state.entry.run != entry.run;
    const std::uint32_t in_flight = state.in_flight;
    if (is_new) {
      state = UpstreamState{};
      state.in_flight = in_flight;
      state.limit = entry.slots + kMaxQueuedAtUpstream;
      state.limit_updated = now;
    }
    state.entry = entry;
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
}

void LoadBalancer::SetPeerLoad(
    const DaemonId& peer, const std::map<UpstreamId, std::uint32_t>& in_flight,
    MonotonicTime now) {
  this->peers[peer] = {in_flight, now};
}

void LoadBalancer::OnSent(const UpstreamId& id, MonotonicTime now) {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return;
  ++found->second.in_flight;
  found->second.last_sent = now;
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
  state.is_latency_ratio_updated = true;
  state.latency_ratio =
      state.latency_ratio == 0
          ? 1 + (ratio - 1) * kLatencySmoothing
          : state.latency_ratio +
                (ratio - state.latency_ratio) * kLatencySmoothing;
}

void LoadBalancer::LowerLimit(UpstreamState& state, MonotonicTime now) {
  const double total_in_flight = this->TotalInFlight(state, now) + 1;
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
}

double LoadBalancer::EjectedShare(const ServiceName& service,
                                  MonotonicTime now) const {
  double all = 0;
  double ejected = 0;
  for (const auto& [id, state] : this->states) {
    if (state.entry.service != service || state.entry.is_draining) continue;
    ++all;
    if (now < state.ejected_until) ++ejected;
  }
  return all == 0 ? 0 : ejected / all;
}

double LoadBalancer::TotalInFlight(const UpstreamState& state,
                                   MonotonicTime now) const {
  double total_in_flight = state.in_flight;
  for (const auto& [peer, load] : this->peers) {
    if (now - load.at > kMaxReportAge) continue;
    const auto found = load.in_flight.find(state.entry.run.id);
    if (found != load.in_flight.end()) total_in_flight += found->second;
  }
  return total_in_flight;
}

double LoadBalancer::LimitOf(const UpstreamState& state,
                             MonotonicTime now) const {
  const double grown =
      state.limit + Seconds(now - state.limit_updated) / kLimitGrowthInterval;
  return std::min(grown, state.entry.slots + kMaxQueuedAtUpstream);
}

double LoadBalancer::Score(const UpstreamState& state,
                           MonotonicTime now) const {
  const double ratio = state.latency_ratio == 0 ? 1 : state.latency_ratio;
  const double slots = state.entry.slots;
  const double total_in_flight = this->TotalInFlight(state, now);
  // Up to its slots the latency does not depend on the load; above, requests
  // queue.
  const double queueing = std::max(1.0, (total_in_flight + 1) / slots);
  const double usage = 1 + 0.3 * total_in_flight / slots;
  const double domain_penalty =
      state.entry.failure_domain == this->domain ? 1 : kOtherDomainPenalty;
  const double success_share = 1 - std::min(state.failure_share, 0.9);
  const bool is_cold = state.entry.warm_up_left.count() > 0;
  return ratio * queueing * usage * domain_penalty * (is_cold ? 1.5 : 1) /
         (success_share * success_share);
}

const RegisteredUpstream* LoadBalancer::Find(const UpstreamId& id) const {
  const auto found = this->states.find(id);
  if (found == this->states.end() || found->second.entry.is_draining ||
      found->second.is_replaced) {
    return nullptr;
  }
  return &found->second.entry;
}

bool LoadBalancer::MayServeKeys(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return false;
  const auto& since = found->second.draining_since;
  return !since || now - *since < kDrainGracePeriod;
}

bool LoadBalancer::HasCapacity(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->states.find(id);
  if (found == this->states.end()) return false;
  const UpstreamState& state = found->second;
  const double limit = this->LimitOf(state, now);
  const auto daemons = static_cast<double>(this->ActivePeers(now) + 1);
  if (this->TotalInFlight(state, now) + 1 <= limit) return true;
  // At the limit, the daemons without a request there take turns.
  if (state.in_flight > 0) return false;
  const Seconds turn_interval = Seconds(state.latency) * daemons / limit;
  return now - state.last_sent >= turn_interval;
}

std::size_t LoadBalancer::ActivePeers(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [now](const auto& item) {
        return now - item.second.at <= kMaxReportAge;
      }));
}

double LoadBalancer::DrawJitter() {
  // xorshift64 is random enough to decorrelate the daemons.
  this->random_state ^= this->random_state << 13U;
  this->random_state ^= this->random_state >> 7U;
  this->random_state ^= this->random_state << 17U;
  constexpr double kSteps = 1'024;
  return 1 + kScoreJitter * static_cast<double>(this->random_state % 1'024U) /
                 kSteps;
}

bool LoadBalancer::IsContended(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->states.find(id);
  return found != this->states.end() &&
         this->TotalInFlight(found->second, now) >= found->second.entry.slots;
}

std::optional<UpstreamId> LoadBalancer::Choose(
    const ServiceName& service, const std::set<UpstreamId>& tried,
    MonotonicTime now) {
  const bool ignores_ejections =
      this->EjectedShare(service, now) > kMaxEjectedShare;
  const UpstreamState* best = nullptr;
  double best_score = 0;
  for (const auto& [id, state] : this->states) {
    if (state.entry.service != service || state.entry.is_draining) continue;
    if (tried.contains(id) || state.is_replaced) continue;
    if (!ignores_ejections && now < state.ejected_until) continue;
    if (!this->HasCapacity(id, now)) continue;
    const double score = this->Score(state, now) * this->DrawJitter();
    if (best != nullptr && best_score <= score) continue;
    best = &state;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return best->entry.run.id;
}

bool LoadBalancer::HasActiveUpstream(const ServiceName& service) const {
  return std::any_of(this->states.begin(), this->states.end(),
                     [&service](const auto& item) {
                       return item.second.entry.service == service &&
                              !item.second.entry.is_draining;
                     });
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
  const bool is_new =
      std::exchange(found->second.is_latency_ratio_updated, false);
  return is_new ? found->second.latency_ratio : 0;
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
  found->second.next_probe = now + kProbeInterval;
  return true;
}

}  // namespace bamboorack::upstream
