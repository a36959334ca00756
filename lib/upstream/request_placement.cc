#include "bamboorack/upstream/request_placement.h"

#include <algorithm>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// A service whose upstreams no longer state their load is placed by latency
// score again.
constexpr seconds kStatementTimeout{10};
// An upstream that stated nothing for this long counts as silent.
constexpr milliseconds kSilentAge{600};

}  // namespace

bool RequestPlacement::UsesExpectedWork(const ServiceName& service,
                                        MonotonicTime now) const {
  if (this->mode != PlacementMode::kAutomatic) {
    return this->mode == PlacementMode::kExpectedWork;
  }
  const auto found = this->services.find(service);
  return found != this->services.end() && found->second.last_load &&
         now - *found->second.last_load < kStatementTimeout;
}

WorkContext RequestPlacement::MakeContext(const ServiceName& service,
                                          const RouteName& route,
                                          MonotonicTime now) {
  // A new route may move the distributions, so both are found before either is
  // used.
  const CostModel::Index service_index = this->costs.FindService(service);
  const CostModel::Index route_index = this->costs.Find(service, route);
  const WorkDistribution& all = this->costs.At(service_index);
  // Before the first answers on a route, its requests count as average ones.
  const WorkDistribution& own = this->costs.At(route_index);
  return {own.Count() == 0 ? all.Mean() : own.Mean(), all.Mean(),
          all.MeanRestOfRunning(), this->services[service].slowdown, now};
}

std::optional<UpstreamId> RequestPlacement::Choose(
    const ServiceName& service, const RouteName& route,
    const std::set<UpstreamId>& tried, MonotonicTime now) {
  if (!this->UsesExpectedWork(service, now)) {
    auto chosen = this->balancer.Choose(service, tried, now);
    if (chosen) ++this->counts.by_latency_score;
    return chosen;
  }
  auto chosen = this->balancer.Choose(
      service, tried, now,
      ExpectedEnd(this->costs, this->MakeContext(service, route, now)));
  if (chosen) ++this->counts.by_expected_work;
  return chosen;
}

void RequestPlacement::OnSent(const UpstreamId& upstream, DispatchId dispatch,
                              const ServiceName& service,
                              const RouteName& route, bool is_contended,
                              MonotonicTime now) {
  UpstreamWork* work = this->balancer.FindWork(upstream);
  if (work == nullptr) return;
  work->OnSent(
      {dispatch, this->costs.Find(service, route), now, is_contended,
       EstimateSlowdown(*work, this->services[service].slowdown, now)});
}

void RequestPlacement::OnEnded(const UpstreamId& upstream, DispatchId dispatch,
                               const ServiceName& service, bool was_answered,
                               const std::optional<StatedLoad>& load,
                               MonotonicTime now) {
  UpstreamWork* work = this->balancer.FindWork(upstream);
  if (work == nullptr) return;
  const auto request = work->OnEnded(dispatch);
  if (load) this->OnLoad(upstream, *work, this->services[service], *load, now);
  if (request && was_answered && !request->is_contended) {
    this->LearnFrom(*request, *work, service, now);
  }
}

void RequestPlacement::LearnFrom(const UpstreamWork::Request& request,
                                 UpstreamWork& work, const ServiceName& service,
                                 MonotonicTime now) {
  const double slowdown_at_end =
      EstimateSlowdown(work, this->services[service].slowdown, now);
  // The work that was done per unit of time, if half of the time was spent at
  // each of the slowdowns.
  const double rate = (1 / request.slowdown + 1 / slowdown_at_end) / 2;
  const Work at_ordinary_speed = (now - request.sent_at) * rate;
  const WorkDistribution& cost = this->costs.At(request.cost);
  const bool is_cost_known = cost.Count() > 0;
  const Work mean = cost.Mean();
  const Work sample = at_ordinary_speed / work.Slowness().Value();
  this->costs.Add(request.cost, sample);
  this->costs.Add(this->costs.FindService(service), sample);
  if (is_cost_known) work.Slowness().AddAnswer(at_ordinary_speed / mean);
}

void RequestPlacement::OnLoad(const UpstreamId& upstream, UpstreamWork& work,
                              Service& service, const StatedLoad& load,
                              MonotonicTime now) {
  ++this->counts.loads_heard;
  const auto& before = work.Heard();
  service.last_load = now;
  service.slowdown.OnLoad(load,
                          !before || now - before->stated_at > kSilentAge);
  if (!work.OnLoad(load, now)) return;
  if (work.ShouldTell(load, now)) {
    this->to_tell.insert_or_assign(upstream, HeardLoad{load, now});
  }
}

void RequestPlacement::OnLoadTold(const UpstreamId& upstream,
                                  const StatedLoad& load, nanoseconds age,
                                  MonotonicTime now) {
  UpstreamWork* work = this->balancer.FindWork(upstream);
  if (work == nullptr) return;
  ++this->counts.loads_told;
  if (Freshness(age) == 0 || !work->OnLoad(load, now - age)) {
    ++this->counts.loads_too_old;
    return;
  }
  // The sender has told all others as well.
  work->OnTold(load, now - age);
  this->to_tell.erase(upstream);
}

void RequestPlacement::OnLatencyRatioTold(const UpstreamId& upstream,
                                          double ratio) {
  UpstreamWork* work = this->balancer.FindWork(upstream);
  if (work != nullptr && ratio > 0) work->Slowness().AddReport(ratio);
}

std::vector<LoadToTell> RequestPlacement::TakeLoadsToTell(MonotonicTime now) {
  std::vector<LoadToTell> loads;
  loads.reserve(this->to_tell.size());
  for (const auto& [upstream, heard] : this->to_tell) {
    loads.push_back({upstream, heard.load, now - heard.stated_at});
  }
  this->to_tell.clear();
  std::stable_sort(loads.begin(), loads.end(),
                   [](const LoadToTell& first, const LoadToTell& second) {
                     return first.age < second.age;
                   });
  if (loads.size() > kMaxLoadsToTell) loads.resize(kMaxLoadsToTell);
  for (const LoadToTell& told : loads) {
    UpstreamWork* work = this->balancer.FindWork(told.upstream);
    if (work != nullptr) work->OnTold(told.load, now - told.age);
  }
  return loads;
}

PlacementCounts RequestPlacement::TakeCounts() {
  return std::exchange(this->counts, {});
}

}  // namespace bamboorack::upstream
