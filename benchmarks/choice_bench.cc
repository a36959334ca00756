#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "bamboorack/upstream/load_balancer.h"
#include "bamboorack/upstream/request_placement.h"

// Cost of choosing an upstream without a key by each policy, and of taking one
// load report of another daemon, at growing numbers of daemons and upstreams.
// Each request without a key makes one choice, and each waiting one another
// when it is tried again.

namespace bamboorack {
namespace {

using std::chrono::steady_clock;
using upstream::LoadBalancer;
using upstream::RequestPlacement;
using upstream::StatedLoad;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::size_t kServices = 3;
constexpr int kChoices = 2'000;
constexpr int kReports = 200;

struct Size {
  std::size_t daemons;
  std::size_t upstreams;
};

constexpr Size kSizes[] = {{6, 36}, {30, 219}, {118, 990}, {300, 2'500}};

std::vector<RegisteredUpstream> MakeUpstreams(std::size_t count) {
  std::vector<RegisteredUpstream> entries;
  for (std::size_t i = 0; i < count; ++i) {
    RegisteredUpstream entry;
    entry.run = {UpstreamId("upstream-" + std::to_string(i)), UpstreamLife(1)};
    entry.service = ServiceName("service-" + std::to_string(i % kServices));
    entry.failure_domain = FailureDomain("zone-" + std::to_string(i % 5));
    entry.slots = 6;
    entries.push_back(entry);
  }
  return entries;
}

/// A daemon has a request at every fourth upstream.
std::map<UpstreamId, std::uint32_t> MakeLoad(
    const std::vector<RegisteredUpstream>& entries, std::size_t daemon) {
  std::map<UpstreamId, std::uint32_t> in_flight;
  for (std::size_t i = daemon % 4; i < entries.size(); i += 4) {
    in_flight[entries[i].run.id] = 1;
  }
  return in_flight;
}

/// Prepares `balancer` and measures choices by `mode`.
Microseconds MeasureChoice(const Size& size,
                           const std::vector<RegisteredUpstream>& entries,
                           PlacementMode mode, LoadBalancer& balancer,
                           MonotonicTime now) {
  const ServiceName service("service-0");
  const RouteName route("route");
  RequestPlacement placement(mode, balancer);
  balancer.SetUpstreams(entries, now);
  for (std::size_t i = 1; i < size.daemons; ++i) {
    balancer.SetPeerLoad(DaemonId("d" + std::to_string(i)),
                         MakeLoad(entries, i), now);
  }
  // A statement for each third upstream.
  for (std::size_t i = 0; i < entries.size(); i += kServices) {
    placement.OnLoadTold(entries[i].run.id, StatedLoad{3, 0, 6, 1},
                         std::chrono::milliseconds(i % 500), now);
  }
  // As many in flight as the daemon's share, so that choices differ.
  const auto begin = steady_clock::now();
  for (int i = 0; i < kChoices; ++i) {
    const auto id = placement.Choose(service, route, {}, now);
    if (!id) continue;
    const DispatchId dispatch(static_cast<std::uint64_t>(i));
    balancer.OnSent(*id, now);
    placement.OnSent(*id, dispatch, service, route, false, now);
    if (i % 2 != 1) continue;
    balancer.OnEnded(*id, upstream::UpstreamOutcome::kNeutral, {}, {}, now);
    placement.OnEnded(*id, dispatch, service, true, {}, now);
  }
  return (steady_clock::now() - begin) / kChoices;
}

void Measure(const Size& size) {
  const auto entries = MakeUpstreams(size.upstreams);
  const MonotonicTime now{std::chrono::seconds(10)};
  LoadBalancer balancer(FailureDomain("zone-0"), 7);
  const Microseconds choice =
      MeasureChoice(size, entries, PlacementMode::kLatencyScore, balancer, now);
  LoadBalancer other(FailureDomain("zone-0"), 7);
  const Microseconds by_work =
      MeasureChoice(size, entries, PlacementMode::kExpectedWork, other, now);
  const auto load = MakeLoad(entries, 1);
  const auto begin = steady_clock::now();
  for (int i = 0; i < kReports; ++i) {
    balancer.SetPeerLoad(DaemonId("d1"), load, now);
  }
  const Microseconds report = (steady_clock::now() - begin) / kReports;
  std::cout << std::setw(8) << size.daemons << std::setw(11) << size.upstreams
            << std::fixed << std::setprecision(2) << std::setw(12)
            << choice.count() << std::setw(12) << by_work.count()
            << std::setw(12) << report.count() << '\n';
}

}  // namespace
}  // namespace bamboorack

int main() {
  std::cout << " daemons  upstreams   choice us  by work us   report us\n";
  for (const bamboorack::Size& size : bamboorack::kSizes) {
    bamboorack::Measure(size);
  }
  return 0;
}
