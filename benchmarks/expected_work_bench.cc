#include <array>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "shared_upstreams_model.h"

// Strategies for choosing an upstream, on the same draws: share of requests
// that are answered within their target, and the median and the 99th percentile
// of the latency. An argument, if given, is the seed.

namespace bamboorack::bench {
namespace {

using upstream::LoadBalancer;
using upstream::PlacementPolicy;
using upstream::RequestPlacement;
using upstream::ScoreVariation;
using upstream::UpstreamState;

/// The choice of the product, by its mode.
class ProductChooser final : public Chooser {
 public:
  std::optional<UpstreamId> Choose(LoadBalancer& /*balancer*/,
                                   RequestPlacement& placement,
                                   const RouteName& route,
                                   const std::set<UpstreamId>& tried,
                                   MonotonicTime now) override {
    return placement.Choose(kService, route, tried, now);
  }
};

/// The latency score with the variation of expected work, which shows how much
/// of the difference comes from that.
class SpreadLatencyScore final : public PlacementPolicy {
 public:
  double Score(const UpstreamState& state, const FailureDomain& own_domain,
               MonotonicTime now) const override {
    return this->score.Score(state, own_domain, now);
  }
  ScoreVariation Variation() const override { return {0.1, 2}; }

 private:
  upstream::LatencyScore score;
};

class SpreadLatencyChooser final : public Chooser {
 public:
  std::optional<UpstreamId> Choose(LoadBalancer& balancer,
                                   RequestPlacement& /*placement*/,
                                   const RouteName& /*route*/,
                                   const std::set<UpstreamId>& tried,
                                   MonotonicTime now) override {
    return balancer.Choose(kService, tried, now, SpreadLatencyScore());
  }
};

class LeastRequests final : public PlacementPolicy {
 public:
  double Score(const UpstreamState& state, const FailureDomain& /*own_domain*/,
               MonotonicTime /*now*/) const override {
    return (state.TotalInFlight() + 1) / state.entry.slots;
  }
  ScoreVariation Variation() const override { return {}; }
};

class LeastRequestsChooser final : public Chooser {
 public:
  std::optional<UpstreamId> Choose(LoadBalancer& balancer,
                                   RequestPlacement& /*placement*/,
                                   const RouteName& /*route*/,
                                   const std::set<UpstreamId>& tried,
                                   MonotonicTime now) override {
    return balancer.Choose(kService, tried, now, LeastRequests());
  }
};

/// Ranks the upstreams at random.
class RandomOrder final : public PlacementPolicy {
 public:
  explicit RandomOrder(std::mt19937_64& generator) : random(generator) {}
  double Score(const UpstreamState& /*state*/,
               const FailureDomain& /*own_domain*/,
               MonotonicTime /*now*/) const override {
    return 1 + static_cast<double>(this->random() % 1'000'000U);
  }
  ScoreVariation Variation() const override { return {}; }

 private:
  std::mt19937_64& random;
};

/// The one of two upstreams that has fewer requests.
class LeastOfTwo final : public PlacementPolicy {
 public:
  LeastOfTwo(const UpstreamId& one, const UpstreamId& other)
      : first(one), second(other) {}
  double Score(const UpstreamState& state, const FailureDomain& /*own_domain*/,
               MonotonicTime /*now*/) const override {
    const UpstreamId& id = state.entry.run.id;
    constexpr double kNeither = 1e9;
    const bool is_drawn = id == this->first || id == this->second;
    return is_drawn ? state.TotalInFlight() + 1 : kNeither;
  }
  ScoreVariation Variation() const override { return {}; }

 private:
  const UpstreamId& first;
  const UpstreamId& second;
};

class TwoChoicesChooser final : public Chooser {
 public:
  explicit TwoChoicesChooser(std::uint64_t seed) : random(seed) {}
  std::optional<UpstreamId> Choose(LoadBalancer& balancer,
                                   RequestPlacement& /*placement*/,
                                   const RouteName& /*route*/,
                                   const std::set<UpstreamId>& tried,
                                   MonotonicTime now) override {
    const RandomOrder order(this->random);
    auto first = balancer.Choose(kService, tried, now, order);
    if (!first) return std::nullopt;
    std::set<UpstreamId> without_first = tried;
    without_first.insert(*first);
    const auto second = balancer.Choose(kService, without_first, now, order);
    if (!second) return first;
    return balancer.Choose(kService, tried, now, LeastOfTwo(*first, *second));
  }

 private:
  std::mt19937_64 random;
};

template <typename Type>
std::unique_ptr<Chooser> Make(std::uint64_t /*seed*/) {
  return std::make_unique<Type>();
}

std::unique_ptr<Chooser> MakeTwoChoices(std::uint64_t seed) {
  return std::make_unique<TwoChoicesChooser>(seed);
}

struct Strategy {
  std::string_view name;
  PlacementMode mode;
  std::unique_ptr<Chooser> (*make)(std::uint64_t);
};

constexpr std::array kStrategies = {
    Strategy{"latency score", PlacementMode::kLatencyScore,
             &Make<ProductChooser>},
    Strategy{"latency score, spread", PlacementMode::kLatencyScore,
             &Make<SpreadLatencyChooser>},
    Strategy{"least requests", PlacementMode::kLatencyScore,
             &Make<LeastRequestsChooser>},
    Strategy{"two choices", PlacementMode::kLatencyScore, &MakeTwoChoices},
    Strategy{"expected work", PlacementMode::kExpectedWork,
             &Make<ProductChooser>}};

constexpr std::array kLoads = {0.6, 0.9, 1.1, 1.4};

Kind MakeKind(const std::string& name, milliseconds mean, double spread,
              milliseconds target) {
  Kind kind;
  kind.route = RouteName(name);
  kind.mean_work = mean;
  kind.spread = spread;
  kind.tail_share = 0.01;
  kind.tail_factor = 5;
  kind.target = target;
  return kind;
}

Deployment WithStatements(const std::string& name, const Kind& kind,
                          std::size_t upstreams) {
  Deployment deployment;
  deployment.name = name;
  deployment.upstreams = upstreams;
  deployment.speeds = {0.6, 1.0, 1.4};
  deployment.kinds = {kind};
  return deployment;
}

Deployment WithoutStatements() {
  Deployment deployment;
  deployment.name = "150 and 50 ms, 40 upstreams of 2 slots, no statements";
  deployment.daemons = 65;
  deployment.upstreams = 40;
  deployment.slots = 2;
  deployment.queue = 4;
  deployment.speeds = {0.5, 0.7, 0.9, 1.1, 1.3, 1.6};
  Kind costly = MakeKind("costly", milliseconds(150), 0.5, milliseconds(600));
  Kind cheap = MakeKind("cheap", milliseconds(50), 0.5, milliseconds(300));
  for (Kind* kind : {&costly, &cheap}) {
    kind->tail_share = 0.03;
    kind->tail_factor = 7;
  }
  deployment.kinds = {costly, cheap};
  deployment.states_load = false;
  deployment.slow_share = 0;
  deployment.report_interval = milliseconds(500);
  return deployment;
}

void Print(const Deployment& deployment, std::string_view name, double load,
           Outcome outcome) {
  std::cout << "| " << deployment.name << " | " << std::fixed
            << std::setprecision(1) << load << " | " << name << " | "
            << std::setprecision(3) << outcome.Share() << " | "
            << std::setprecision(0) << outcome.Quantile(0.5) << " | "
            << outcome.Quantile(0.99) << " | " << std::setprecision(2)
            << static_cast<double>(outcome.statements) /
                   static_cast<double>(
                       std::max<std::uint64_t>(outcome.reports, 1))
            << " |\n"
            << std::flush;
}

void Measure(const Deployment& deployment, const Strategy& strategy,
             double load, std::string_view name, std::uint64_t seed) {
  Print(deployment, name, load,
        SharedUpstreams(deployment, load, strategy.mode, strategy.make, seed)
            .Run());
}

void MeasureAll(std::uint64_t seed) {
  const std::array deployments = {
      WithStatements(
          "230 ms, 67 upstreams",
          MakeKind("lookup", milliseconds(230), 0.8, milliseconds(500)), 67),
      WithStatements(
          "570 ms, 67 upstreams",
          MakeKind("sheet", milliseconds(570), 0.3, milliseconds(3'000)), 67),
      WithoutStatements()};
  for (const Deployment& deployment : deployments) {
    for (const double load : kLoads) {
      for (const Strategy& strategy : kStrategies) {
        Measure(deployment, strategy, load, strategy.name, seed);
      }
    }
  }
}

/// How old a statement may be and still help.
void MeasureAges(std::uint64_t seed) {
  constexpr std::array kDelays = {milliseconds(0), milliseconds(100),
                                  milliseconds(300), milliseconds(600),
                                  milliseconds(1'000)};
  const Strategy& strategy = kStrategies.back();
  Deployment deployment = WithStatements(
      "230 ms, 67 upstreams",
      MakeKind("lookup", milliseconds(230), 0.8, milliseconds(500)), 67);
  deployment.report_interval = milliseconds(100);
  deployment.tells_statements = true;
  for (const milliseconds delay : kDelays) {
    deployment.statement_delay = delay;
    Measure(deployment, strategy, 0.9,
            "told " + std::to_string(delay.count()) + " ms later", seed);
  }
  deployment.tells_statements = false;
  Measure(deployment, strategy, 0.9, "not told", seed);
  deployment.states_load = false;
  Measure(deployment, strategy, 0.9, "not stated", seed);
}

}  // namespace
}  // namespace bamboorack::bench

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
  std::cout << "| deployment | load | strategy | within target | p50 ms | p99 "
               "ms | statements in a report |\n"
               "| --- | --- | --- | --- | --- | --- | --- |\n";
  bamboorack::bench::MeasureAll(seed);
  bamboorack::bench::MeasureAges(seed);
  return 0;
}
