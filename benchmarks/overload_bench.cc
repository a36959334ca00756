// Prints what each rank keeps during an overload, with the daemon's own
// decision code and with simpler policies, in a simulation with a fixed seed.

#include <cstdio>
#include <map>
#include <string>
#include <utility>

#include "overload_policies.h"

namespace bamboorack::bench {
namespace {

void PrintHeader() {
  std::printf("%-10s %5s |", "policy", "good");
  for (const Rank rank : kRanks) {
    std::printf(" %6s  disp   p50   p99  p999 late |",
                std::string(NameOf(rank)).c_str());
  }
  std::printf("\n");
}

void PrintRow(std::string_view name, Figures& figures) {
  std::printf("%-10s %4.0f%% |", std::string(name).c_str(),
              100.0 * figures.goodput);
  for (const Rank rank : kRanks) {
    const RankFigures& one = figures.ranks.at(IndexOf(rank));
    const double late = one.dispatched == 0
                            ? 0.0
                            : 100.0 * static_cast<double>(one.wasted) /
                                  static_cast<double>(one.dispatched);
    std::printf(" %5.1f%% %4.0f%% %5.0f %5.0f %5.0f %3.0f%% |",
                100.0 * figures.ServedShare(rank),
                100.0 * figures.DispatchShare(rank),
                figures.Quantile(rank, 0.5), figures.Quantile(rank, 0.99),
                figures.Quantile(rank, 0.999), late);
  }
  std::printf("\n");
}

Figures RunAndPrint(const Scenario& scenario, const NamedPolicy& policy) {
  Figures figures = Simulate(scenario, policy.make);
  PrintRow(policy.name, figures);
  return figures;
}

void PrintTarget(std::string_view what, double value, double target) {
  std::printf("target: %-60s %6.1f%% (%s %.0f%%)\n", std::string(what).c_str(),
              100.0 * value, value >= target ? "met, at least" : "MISSED,",
              100.0 * target);
}

/// What the authority policy reached, to compare with the targets.
struct Reached {
  Figures ordinary;
  std::map<Rank, Figures> at_capacity;
  std::map<Rank, Figures> at_ten_times;
  /// The same with the other estimator.
  std::map<Rank, Figures> load_per_request;
};

void RunLoads(const Cluster& cluster, Rank flood, Reached& reached) {
  for (const double load : {1.0, 2.0, 10.0}) {
    std::printf("\n%s, flood of %s, %.1f x capacity\n",
                std::string(cluster.name).c_str(),
                std::string(NameOf(flood)).c_str(), load);
    PrintHeader();
    for (const NamedPolicy& policy : AllPolicies()) {
      Figures figures = RunAndPrint({cluster, load, flood, false}, policy);
      if (policy.name == "  load/req" && load == 10.0) {
        reached.load_per_request[flood] = std::move(figures);
        continue;
      }
      if (policy.name != "authority") continue;
      if (load == 1.0) reached.at_capacity[flood] = figures;
      if (load == 10.0) reached.at_ten_times[flood] = std::move(figures);
    }
  }
}

void RunSpecial(const Cluster& cluster, std::string_view title,
                const Scenario& scenario) {
  std::printf("\n%s, %s\n", std::string(cluster.name).c_str(),
              std::string(title).c_str());
  PrintHeader();
  for (const NamedPolicy& policy : AllPolicies()) RunAndPrint(scenario, policy);
}

/// A rank keeps its floor if it has its share of the dispatches, or if all its
/// work is served anyway.
double FloorKept(const Figures& figures, Rank rank) {
  const double floor = ServiceRules().floors.at(IndexOf(rank));
  return std::min(1.0, std::max(figures.DispatchShare(rank) / floor,
                                figures.ServedShare(rank) / 0.99));
}

void PrintTargets(const Cluster& cluster, const Reached& reached) {
  std::printf("\n%s, targets\n", std::string(cluster.name).c_str());
  const Figures& bulk = reached.at_ten_times.at(Rank::kBulk);
  PrintTarget("lookups kept with bulk at 10 x capacity",
              bulk.ServedShare(Rank::kLookup) /
                  reached.ordinary.ServedShare(Rank::kLookup),
              0.99);
  const Figures& lookup = reached.at_ten_times.at(Rank::kLookup);
  PrintTarget("floor of once kept with lookups at 10 x capacity",
              FloorKept(lookup, Rank::kOnce), 1.0);
  PrintTarget("floor of bulk kept with lookups at 10 x capacity",
              FloorKept(lookup, Rank::kBulk), 1.0);
  for (const Rank flood : kRanks) {
    const double ratio = reached.at_ten_times.at(flood).goodput /
                         reached.at_capacity.at(flood).goodput;
    PrintTarget("goodput at 10 x against 1 x capacity, flood of " +
                    std::string(NameOf(flood)),
                ratio, 0.95);
  }
}

void PrintEstimators(const Reached& reached) {
  for (const Rank flood : kRanks) {
    const Figures& smoothed = reached.at_ten_times.at(flood);
    const Figures& load = reached.load_per_request.at(flood);
    std::printf(
        "estimators, %6s at 10 x: smoothed service time / load per request:",
        std::string(NameOf(flood)).c_str());
    for (const Rank rank : kRanks) {
      std::printf(" %s %.1f/%.1f %%", std::string(NameOf(rank)).c_str(),
                  100.0 * smoothed.ServedShare(rank),
                  100.0 * load.ServedShare(rank));
    }
    std::printf(" goodput %.1f/%.1f %%\n", 100.0 * smoothed.goodput,
                100.0 * load.goodput);
  }
}

void RunCluster(const Cluster& cluster) {
  Reached reached;
  std::printf("\n%s, ordinary mix at 0.5 x capacity\n",
              std::string(cluster.name).c_str());
  PrintHeader();
  for (const NamedPolicy& policy : AllPolicies()) {
    Figures figures =
        RunAndPrint({cluster, kOrdinaryLoad, Rank::kBulk, false}, policy);
    if (policy.name == "authority") reached.ordinary = std::move(figures);
  }
  for (const Rank flood : kRanks) RunLoads(cluster, flood, reached);
  RunSpecial(cluster, "one of five daemons lost, 0.5 x capacity",
             {cluster, kOrdinaryLoad, Rank::kBulk, true});
  RunSpecial(cluster, "one of five daemons lost, bulk at 10 x capacity",
             {cluster, 10.0, Rank::kBulk, true});
  RunSpecial(cluster, "3 times slower from the middle on, lookups at 2 x",
             {cluster, 2.0, Rank::kLookup, false, 3.0});
  PrintTargets(cluster, reached);
  PrintEstimators(reached);
}

}  // namespace
}  // namespace bamboorack::bench

int main() {
  for (const auto& cluster : bamboorack::bench::kClusters) {
    bamboorack::bench::RunCluster(cluster);
  }
  return 0;
}
