#include "bamboorack/upstream/upstream_board.h"

#include <algorithm>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Older load reports of peers are ignored.
constexpr milliseconds kReportAge{1'200};
// Requests above the slots that may queue at an upstream, so that no slot is
// idle while an answer is in transit.
constexpr double kReserve = 4.0;
// A refused request reduces the limit by this factor. The limit then grows by
// one request per `kLimitGrowth`.
constexpr double kLimitBackoff = 0.8;
constexpr Seconds kLimitGrowth{0.5};
constexpr double kSpeedWeight = 0.08;
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 8.0;
constexpr double kFailureWeight = 0.15;
constexpr int kEjectAfter = 3;
constexpr milliseconds kFirstEjection{600};
constexpr int kMaxDoublings = 3;
constexpr milliseconds kProbeEvery{250};
// If a larger share of a service's upstreams is ejected, the cause is unlikely
// to be in single upstreams, and ejections are ignored.
constexpr double kMaxEjected = 0.4;
// Score penalty of upstreams in another failure domain: they cost network
// latency and billed traffic.
constexpr double kOtherDomainFactor = 1.12;
// Random variation of the scores, so that daemons with the same reports do not
// all choose the same upstream.
constexpr double kChoiceSpread = 0.04;

}  // namespace

UpstreamBoard::UpstreamBoard(FailureDomain own_domain, std::uint64_t seed)
    : domain(std::move(own_domain)), random_state(seed | 1U) {}

void UpstreamBoard::SetUpstreams(const std::vector<RegisteredUpstream>& entries,
                                 MonotonicTime now) {
  std::set<UpstreamId> listed;
  for (const RegisteredUpstream& entry : entries) {
    listed.insert(entry.run.id);
    Row& row = this->rows[entry.run.id];
    const bool is_new = row.entry.run != entry.run;
    const std::uint32_t in_flight = row.in_flight;
    if (is_new) {
      row = Row{};
      row.in_flight = in_flight;
      row.limit = entry.slots + kReserve;
      row.limit_updated = now;
    }
    row.entry = entry;
  }
  std::erase_if(this->rows, [&listed](const auto& item) {
    return !listed.contains(item.first) && item.second.in_flight == 0;
  });
  for (auto& [id, row] : this->rows) {
    // An unlisted upstream is kept only until its requests in flight end.
    if (!listed.contains(id)) row.entry.is_draining = true;
    if (!row.entry.is_draining) row.draining_since.reset();
    if (row.entry.is_draining && !row.draining_since) row.draining_since = now;
  }
}

void UpstreamBoard::SetPeerLoad(
    const DaemonId& peer, const std::map<UpstreamId, std::uint32_t>& in_flight,
    MonotonicTime now) {
  this->peers[peer] = {in_flight, now};
}

void UpstreamBoard::OnSent(const UpstreamId& id, MonotonicTime now) {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return;
  ++found->second.in_flight;
  found->second.last_sent = now;
}

void UpstreamBoard::OnEnded(const UpstreamId& id, UpstreamOutcome outcome,
                            std::chrono::nanoseconds latency,
                            std::chrono::nanoseconds usual, MonotonicTime now) {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return;
  Row& row = found->second;
  if (row.in_flight > 0) --row.in_flight;
  if (outcome == UpstreamOutcome::kNeutral) return;
  if (outcome == UpstreamOutcome::kFull) this->LowerLimit(row, now);
  if (outcome == UpstreamOutcome::kReplaced) {
    row.is_replaced = true;
    return;
  }
  const bool failed = outcome != UpstreamOutcome::kAnswered;
  row.failure_share +=
      ((failed ? 1.0 : 0.0) - row.failure_share) * kFailureWeight;
  const bool is_loss = outcome == UpstreamOutcome::kLost ||
                       outcome == UpstreamOutcome::kTimedOut;
  if (is_loss) {
    if (++row.failures_in_a_row >= kEjectAfter) this->Eject(row, now);
    return;
  }
  row.failures_in_a_row = 0;
  if (!failed) {
    row.ejections = 0;
    row.ejected_until = now;
  }
  if (failed) return;
  row.latency =
      row.latency.count() == 0
          ? latency
          : row.latency + std::chrono::duration_cast<std::chrono::nanoseconds>(
                              (latency - row.latency) * kSpeedWeight);
  if (usual.count() <= 0) return;
  const double ratio =
      std::clamp(Seconds(latency) / Seconds(usual), kMinRatio, kMaxRatio);
  row.has_new_ratio = true;
  row.latency_ratio =
      row.latency_ratio == 0
          ? 1 + (ratio - 1) * kSpeedWeight
          : row.latency_ratio + (ratio - row.latency_ratio) * kSpeedWeight;
}

void UpstreamBoard::LowerLimit(Row& row, MonotonicTime now) {
  const double in_hand = this->InHand(row, now) + 1;
  // A refusal while slots are free has another cause, which a lower limit would
  // not remove.
  if (in_hand <= row.entry.slots) return;
  row.limit = std::max<double>(
      row.entry.slots,
      std::min(this->LimitOf(row, now), in_hand) * kLimitBackoff);
  row.limit_updated = now;
}

void UpstreamBoard::Eject(Row& row, MonotonicTime now) {
  row.failures_in_a_row = 0;
  row.next_probe = now + kProbeEvery;
  row.ejected_until =
      now + kFirstEjection * (1 << std::min(row.ejections, kMaxDoublings));
  ++row.ejections;
}

double UpstreamBoard::EjectedShare(const ServiceName& service,
                                   MonotonicTime now) const {
  double all = 0;
  double ejected = 0;
  for (const auto& [id, row] : this->rows) {
    if (row.entry.service != service || row.entry.is_draining) continue;
    ++all;
    if (now < row.ejected_until) ++ejected;
  }
  return all == 0 ? 0 : ejected / all;
}

double UpstreamBoard::InHand(const Row& row, MonotonicTime now) const {
  double in_hand = row.in_flight;
  for (const auto& [peer, load] : this->peers) {
    if (now - load.at > kReportAge) continue;
    const auto found = load.in_flight.find(row.entry.run.id);
    if (found != load.in_flight.end()) in_hand += found->second;
  }
  return in_hand;
}

double UpstreamBoard::LimitOf(const Row& row, MonotonicTime now) const {
  const double grown =
      row.limit + Seconds(now - row.limit_updated) / kLimitGrowth;
  return std::min(grown, row.entry.slots + kReserve);
}

double UpstreamBoard::Score(const Row& row, MonotonicTime now) const {
  const double ratio = row.latency_ratio == 0 ? 1 : row.latency_ratio;
  const double slots = row.entry.slots;
  const double in_hand = this->InHand(row, now);
  // Up to its slots the latency does not depend on the load; above, requests
  // queue.
  const double queueing = std::max(1.0, (in_hand + 1) / slots);
  const double usage = 1 + 0.3 * in_hand / slots;
  const double distance =
      row.entry.failure_domain == this->domain ? 1 : kOtherDomainFactor;
  const double trust = 1 - std::min(row.failure_share, 0.9);
  const bool is_cold = row.entry.warm_up_left.count() > 0;
  return ratio * queueing * usage * distance * (is_cold ? 1.5 : 1) /
         (trust * trust);
}

const RegisteredUpstream* UpstreamBoard::Find(const UpstreamId& id) const {
  const auto found = this->rows.find(id);
  if (found == this->rows.end() || found->second.entry.is_draining ||
      found->second.is_replaced) {
    return nullptr;
  }
  return &found->second.entry;
}

bool UpstreamBoard::MayServeKeys(const UpstreamId& id,
                                 MonotonicTime now) const {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return false;
  const auto& since = found->second.draining_since;
  return !since || now - *since < kDrainingUse;
}

bool UpstreamBoard::HasRoom(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return false;
  const Row& row = found->second;
  const double limit = this->LimitOf(row, now);
  const auto daemons = static_cast<double>(this->ActivePeers(now) + 1);
  if (this->InHand(row, now) + 1 <= limit) return true;
  // At the limit, the daemons without a request there take turns.
  if (row.in_flight > 0) return false;
  const Seconds turn = Seconds(row.latency) * daemons / limit;
  return now - row.last_sent >= turn;
}

std::size_t UpstreamBoard::ActivePeers(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      this->peers.begin(), this->peers.end(),
      [now](const auto& item) { return now - item.second.at <= kReportAge; }));
}

double UpstreamBoard::DrawSpread() {
  // xorshift64 is random enough to decorrelate the daemons.
  this->random_state ^= this->random_state << 13U;
  this->random_state ^= this->random_state >> 7U;
  this->random_state ^= this->random_state << 17U;
  constexpr double kSteps = 1'024;
  return 1 + kChoiceSpread * static_cast<double>(this->random_state % 1'024U) /
                 kSteps;
}

bool UpstreamBoard::IsContended(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->rows.find(id);
  return found != this->rows.end() &&
         this->InHand(found->second, now) >= found->second.entry.slots;
}

std::optional<UpstreamId> UpstreamBoard::Choose(
    const ServiceName& service, const std::set<UpstreamId>& tried,
    MonotonicTime now) {
  const bool uses_all = this->EjectedShare(service, now) > kMaxEjected;
  const Row* best = nullptr;
  double best_score = 0;
  for (const auto& [id, row] : this->rows) {
    if (row.entry.service != service || row.entry.is_draining) continue;
    if (tried.contains(id) || row.is_replaced) continue;
    if (!uses_all && now < row.ejected_until) continue;
    if (!this->HasRoom(id, now)) continue;
    const double score = this->Score(row, now) * this->DrawSpread();
    if (best != nullptr && best_score <= score) continue;
    best = &row;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return best->entry.run.id;
}

bool UpstreamBoard::HasAny(const ServiceName& service) const {
  return std::any_of(this->rows.begin(), this->rows.end(),
                     [&service](const auto& item) {
                       return item.second.entry.service == service &&
                              !item.second.entry.is_draining;
                     });
}

std::uint32_t UpstreamBoard::OwnInFlight(const UpstreamId& id) const {
  const auto found = this->rows.find(id);
  return found == this->rows.end() ? 0 : found->second.in_flight;
}

double UpstreamBoard::LatencyRatio(const UpstreamId& id) const {
  const auto found = this->rows.find(id);
  return found == this->rows.end() ? 0 : found->second.latency_ratio;
}

double UpstreamBoard::TakeNewRatio(const UpstreamId& id) {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return 0;
  const bool is_new = std::exchange(found->second.has_new_ratio, false);
  return is_new ? found->second.latency_ratio : 0;
}

std::vector<UpstreamId> UpstreamBoard::Ids() const {
  std::vector<UpstreamId> ids;
  ids.reserve(this->rows.size());
  for (const auto& [id, row] : this->rows) ids.push_back(id);
  return ids;
}

bool UpstreamBoard::IsEjected(const UpstreamId& id, MonotonicTime now) const {
  const auto found = this->rows.find(id);
  if (found == this->rows.end()) return false;
  return found->second.is_replaced || now < found->second.ejected_until;
}

bool UpstreamBoard::TakeProbe(const UpstreamId& id, MonotonicTime now) {
  const auto found = this->rows.find(id);
  if (found == this->rows.end() || found->second.is_replaced) return false;
  if (now < found->second.next_probe) return false;
  found->second.next_probe = now + kProbeEvery;
  return true;
}

}  // namespace bamboorack::upstream
