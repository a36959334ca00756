#include "bamboorack/upstream/cost_model.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace bamboorack::upstream {
namespace {

constexpr Work kMean{0.2};

/// Draws work with mean `kMean`, of which `tail_share` costs ten times as much.
class Draws {
 public:
  Draws(double spread, double tail_share)
      : normal(-spread * spread / 2, spread), tail(tail_share) {}

  Work Next() {
    const double unit = std::exp(this->normal(this->random));
    return kMean * unit * (this->uniform(this->random) < this->tail ? 10 : 1);
  }

 private:
  std::mt19937_64 random{7};
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform{0, 1};
  double tail;
};

WorkDistribution Learn(double spread, double tail_share, int answers = 2'000) {
  Draws draws(spread, tail_share);
  WorkDistribution cost;
  for (int i = 0; i < answers; ++i) cost.Add(draws.Next());
  return cost;
}

SCENARIO("a request that runs for long counts as nearly done") {
  GIVEN("requests of which one in fifty costs ten times the mean") {
    const WorkDistribution cost = Learn(0.3, 0.02);
    THEN("one that has run for three times the mean has long to go") {
      CHECK(cost.MeanRest(kMean / 2) < kMean);
      CHECK(cost.MeanRest(kMean * 3) > kMean * 3);
    }
  }
  GIVEN("requests that all cost about the same") {
    const WorkDistribution cost = Learn(0.2, 0);
    THEN("the rest shrinks with the age") {
      CHECK(cost.MeanRest(kMean * 0.2) > kMean * 0.6);
      CHECK(cost.MeanRest(kMean * 0.9) < kMean * 0.5);
    }
    THEN("one that is older than all before may have the mean to go") {
      CHECK(cost.MeanRest(kMean * 50) == cost.Mean());
    }
  }
}

SCENARIO("a few costly requests distort what a request is expected to cost") {
  SECTION("one in a hundred costs ten times as much") {
    const Work expected = kMean * (0.99 + 0.01 * 10);
    CHECK(Learn(0.5, 0.01).Mean() / expected == Approx(1).margin(0.15));
  }
  SECTION("one that was held up for a minute") {
    WorkDistribution cost = Learn(0.3, 0);
    const Work before = cost.Mean();
    cost.Add(Work(60));
    CHECK(cost.Mean() < before * 1.15);
  }
  SECTION("the mean follows a change within some hundred answers") {
    WorkDistribution cost = Learn(0.3, 0);
    for (int i = 0; i < 600; ++i) cost.Add(kMean * 3);
    CHECK(cost.Mean() > kMean * 2.4);
  }
  SECTION("before the first answer there is a usable estimate") {
    CHECK(WorkDistribution().Mean() > Work::zero());
    CHECK(WorkDistribution().MeanRest(Work(5)) > Work::zero());
  }
  SECTION("work of nothing, less and without end is taken") {
    WorkDistribution cost;
    for (const double seconds : {0.0, -1.0, 1e9}) cost.Add(Work(seconds));
    CHECK(cost.MeanRest(Work(1e12)) >= Work::zero());
  }
}

SCENARIO("a slow upstream is taken for one that gets costly requests") {
  // Learns as the placement does: from the product of both only.
  CostModel costs;
  const ServiceName service("desk");
  const auto cheap = costs.Find(service, RouteName("cheap"));
  const auto costly = costs.Find(service, RouteName("costly"));
  LearnedSlowness slow;
  LearnedSlowness fast;
  Draws draws(0.5, 0);
  const auto answer = [&](CostModel::Index route, LearnedSlowness& upstream,
                          double cost, double slowness) {
    const Work latency = draws.Next() * cost * slowness;
    const Work mean = costs.At(route).Mean();
    costs.Add(route, latency / upstream.Value());
    upstream.AddAnswer(latency / mean);
  };

  GIVEN("a slow upstream that gets mostly costly requests") {
    for (int i = 0; i < 3'000; ++i) {
      const bool is_costly_at_slow = i % 4 != 0;
      answer(is_costly_at_slow ? costly : cheap, slow,
             is_costly_at_slow ? 4 : 1, 1.4);
      answer(is_costly_at_slow ? cheap : costly, fast,
             is_costly_at_slow ? 1 : 4, 0.7);
    }
    THEN("costs and speeds are told apart") {
      CHECK(costs.At(costly).Mean() / costs.At(cheap).Mean() ==
            Approx(4).margin(1.2));
      CHECK(slow.Value() / fast.Value() == Approx(2).margin(0.5));
    }
    THEN("their common scale has not drifted away") {
      CHECK(slow.Value() * fast.Value() == Approx(1).margin(0.5));
    }
  }
  GIVEN("reports of other daemons") {
    LearnedSlowness known;
    CHECK(known.Value() == 1);
    for (int i = 0; i < 60; ++i) known.AddReport(1.6);
    THEN("the speed is known without an answer of its own") {
      CHECK(known.Value() == Approx(1.6).margin(0.15));
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
