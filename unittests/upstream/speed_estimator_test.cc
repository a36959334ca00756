#include "bamboorack/upstream/speed_estimator.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

UpstreamRun RunOf(const std::string& id, std::uint64_t life = 1) {
  return {UpstreamId(id), UpstreamLife(life)};
}

/// Answers with lognormal work, a mean of 1 and sigma 0.8, at 8 a second.
struct Fixture {
  void Run(const UpstreamRun& run, double speed, milliseconds span) {
    const MonotonicTime end = this->now + span;
    while (this->now < end) {
      this->now += milliseconds(125);
      this->estimator.Add(run, this->work(this->random) / speed, this->now);
    }
  }

  SpeedEstimator estimator;
  MonotonicTime now{seconds(100)};
  std::mt19937 random{GENERATE(1U, 2U, 3U, 4U, 5U)};
  std::lognormal_distribution<double> work{-0.32, 0.8};
};

SCENARIO("speeds of upstreams are learned too late or from chance") {
  Fixture fixture;
  SpeedEstimator& estimator = fixture.estimator;
  const UpstreamRun slow = RunOf("slow");
  const UpstreamRun fast = RunOf("fast");

  THEN("an upstream without samples is average") {
    CHECK(estimator.SpeedOf(slow) == 1);
  }
  GIVEN("upstreams with speeds 0.6 and 1.4") {
    fixture.Run(slow, 0.6, seconds(12));
    fixture.Run(fast, 1.4, seconds(12));
    THEN("their ratio is known") {
      CHECK(estimator.SpeedOf(fast) / estimator.SpeedOf(slow) ==
            Approx(1.4 / 0.6).epsilon(0.3));
    }
    WHEN("the fast one turns five times slower") {
      const double before = estimator.SpeedOf(fast);
      fixture.Run(fast, 1.4 / 5, milliseconds(1'250));
      THEN("this is seen within 1.25 s, and its measure after 6 s") {
        CHECK(estimator.SpeedOf(fast) < before / 1.9);
        fixture.Run(fast, 1.4 / 5, milliseconds(4'750));
        CHECK(estimator.SpeedOf(fast) == Approx(before / 5).epsilon(0.45));
      }
      AND_WHEN("it is as fast as before again") {
        fixture.Run(fast, 1.4, seconds(6));
        THEN("this is seen too") {
          CHECK(estimator.SpeedOf(fast) == Approx(before).epsilon(0.4));
        }
      }
    }
    WHEN("one answer takes 1,000 times as long") {
      const double before = estimator.SpeedOf(fast);
      estimator.Add(fast, 1'000, fixture.now);
      THEN("the speed hardly changes") {
        CHECK(estimator.SpeedOf(fast) == Approx(before).epsilon(0.1));
      }
    }
    WHEN("the slow one is full and reports nothing for a minute") {
      const double before = estimator.SpeedOf(slow);
      fixture.now += seconds(60);
      THEN("it is still slow") {
        fixture.Run(slow, 0.6, milliseconds(125));
        CHECK(estimator.SpeedOf(slow) == Approx(before).epsilon(0.15));
      }
    }
    WHEN("the registry lists a new run of the slow one only") {
      RegisteredUpstream entry;
      entry.run = RunOf("slow", 2);
      estimator.Retain({entry});
      THEN("the new run starts anew, and the others are forgotten") {
        CHECK(estimator.SpeedOf(entry.run) == 1);
        CHECK(estimator.RunCount() == 0);
      }
    }
  }
  GIVEN("a minute of answers at a constant speed") {
    double lowest = 10;
    double highest = 0;
    fixture.Run(slow, 1, seconds(20));
    for (int i = 0; i < 60; ++i) {
      fixture.Run(slow, 1, seconds(1));
      lowest = std::min(lowest, estimator.SpeedOf(slow));
      highest = std::max(highest, estimator.SpeedOf(slow));
    }
    THEN("chance alone does not look like a change of speed") {
      CHECK(highest / lowest < 1.6);
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
