#include <algorithm>
#include <cmath>
#include <utility>

#include "bamboorack/core/text_of.h"
#include "bamboorack/daemon/ownership_controller.h"

// Divides the keys among the upstreams by work and speed.

namespace bamboorack::daemon {
namespace {

constexpr double kMinSpeed = 0.25;
constexpr double kMaxSpeed = 2.5;

constexpr std::string_view kOfferedGauge = "range_offered_slots";
constexpr std::string_view kCapacityGauge = "range_capacity_slots";

std::string GaugeOf(std::string_view name, const ServiceName& service) {
  return std::string(name) + "{service=\"" + service.value + "\"}";
}

std::string PercentText(double part) {
  return std::to_string(std::lround(part * 100));
}

/// The lowest and the highest speed, in percent of the mean.
std::pair<std::string, std::string> SpeedSpread(
    const std::vector<upstream::RangeCandidate>& candidates) {
  double lowest = kMaxSpeed;
  double highest = 0;
  for (const upstream::RangeCandidate& candidate : candidates) {
    const double speed = candidate.capacity / candidate.slots;
    lowest = std::min(lowest, speed);
    highest = std::max(highest, speed);
  }
  return {PercentText(lowest), PercentText(highest)};
}

double CapacityOf(const std::vector<upstream::RangeCandidate>& candidates) {
  double capacity = 0;
  for (const upstream::RangeCandidate& candidate : candidates) {
    capacity += candidate.capacity;
  }
  return capacity;
}

}  // namespace

void OwnershipController::IndexUpstreams() {
  this->upstream_index.clear();
  const auto& entries = *this->tables.upstreams;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    this->upstream_index.emplace(peer::HashOf(entries[i].run.id), i);
  }
  this->speeds.Retain(entries);
}

void OwnershipController::LearnWork(const peer::LoadReport& report) {
  upstream::WorkByService work;
  for (const peer::UpstreamLoad& load : report.upstreams) {
    const auto found = this->upstream_index.find(load.upstream);
    if (found == this->upstream_index.end()) continue;
    const RegisteredUpstream& entry = this->tables.upstreams->at(found->second);
    this->speeds.Add(entry.run, load.latency_ratio, this->now);
    work[entry.service] += load.in_flight * this->SpeedOf(entry.run);
  }
  this->offered_load.SetReport(report.sender, std::move(work), this->now);
  for (const peer::KeyDemand& demand : report.demands) {
    if (demand.states_load) this->stating_services.insert(demand.service);
  }
}

double OwnershipController::SpeedOf(const UpstreamRun& run) const {
  return std::clamp(this->speeds.SpeedOf(run), kMinSpeed, kMaxSpeed);
}

const upstream::SharePolicy& OwnershipController::SharePolicyOf(
    const ServiceName& service) const {
  static const upstream::ShareByCapacity by_capacity;
  static const upstream::ShareByLatency by_latency;
  const PlacementMode mode = this->identity.placement;
  const bool is_by_latency = mode == PlacementMode::kExpectedWork ||
                             (mode == PlacementMode::kAutomatic &&
                              this->stating_services.contains(service));
  if (is_by_latency) return by_latency;
  return by_capacity;
}

void OwnershipController::PlanMoves() {
  this->offered_load.Update(this->now);
  for (const auto& [service, ignored] : this->lease_manager.ToRecord()) {
    upstream::ServiceKeyLoad& load = this->key_loads[service];
    load.Update(this->now);
    auto candidates = this->Candidates(service);
    if (candidates.empty()) continue;
    const double mean_speed = upstream::NormalizeSpeeds(candidates);
    const double capacity = CapacityOf(candidates);
    const double offered = this->offered_load.Smoothed(service) / mean_speed;
    this->SetPlanGauges(
        service, this->offered_load.Current(service) / mean_speed, capacity);
    const upstream::SharePolicy& policy = this->SharePolicyOf(service);
    const auto moves = upstream::RangePlanner::Plan(
        this->lease_manager.Ranges(service), candidates,
        policy.Shares(candidates, offered), load);
    for (const upstream::RangeMove& move : moves) {
      this->lease_manager.Move(service, move);
    }
    if (moves.empty()) continue;
    this->metrics.Count("range_moves", moves.size());
    const ShardKey hottest = load.Steady().HottestKey();
    const auto [slowest, fastest] = SpeedSpread(candidates);
    this->LogEvent(
        EventKind::kOwnership, "moves_planned",
        {{"service", service.value},
         {"moves", std::to_string(moves.size())},
         {"load", TextOf(load.Steady().Total())},
         {"hottest_key", TextOf(hottest)},
         {"hottest_load", TextOf(load.Steady().WeightOf({hottest, hottest}))},
         {"shares_by", std::string(policy.Name())},
         {"utilization_percent", PercentText(offered / capacity)},
         {"slowest_percent", slowest},
         {"fastest_percent", fastest}});
  }
}

void OwnershipController::SetPlanGauges(const ServiceName& service,
                                        double offered, double capacity) {
  this->metrics.SetGauge(GaugeOf(kOfferedGauge, service), offered);
  this->metrics.SetGauge(GaugeOf(kCapacityGauge, service), capacity);
}

void OwnershipController::ForgetPlanGauges() {
  for (const auto& [service, load] : this->key_loads) {
    this->SetPlanGauges(service, 0, 0);
  }
  // A later term starts with the requests of its own time.
  this->key_loads.clear();
}

}  // namespace bamboorack::daemon
