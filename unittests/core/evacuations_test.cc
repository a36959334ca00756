#include "bamboorack/core/evacuations.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace bamboorack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FailureDomain kEast("east");
const FailureDomain kWest("west");

SCENARIO("an order to evacuate is forgotten, or outlives its end") {
  Evacuations evacuations(milliseconds(5'000));
  CHECK(evacuations.Apply({}, true).IsEmpty());

  GIVEN("an order") {
    const auto changes = evacuations.Apply({{kWest}}, false);
    CHECK(changes.ordered == std::vector{kWest});
    CHECK(changes.ended.empty());
    THEN("it stands for its domain only, also when it is repeated") {
      CHECK(evacuations.Apply({{kWest}}, false).IsEmpty());
      CHECK(evacuations.Contains(kWest));
      CHECK_FALSE(evacuations.Contains(kEast));
    }
    THEN("it ends with the record that takes it back") {
      CHECK(evacuations.Apply({{kWest, true}}, false).ended ==
            std::vector{kWest});
      CHECK(evacuations.Domains().empty());
    }
    THEN("it ends with a complete read that lacks it") {
      const auto read = evacuations.Apply({{kEast}}, true);
      CHECK(read.ordered == std::vector{kEast});
      CHECK(read.ended == std::vector{kWest});
    }
  }
  GIVEN("an order that is taken back and given again in one read") {
    const auto changes =
        evacuations.Apply({{kWest}, {kWest, true}, {kWest}}, false);
    CHECK(changes.ordered == std::vector{kWest});
  }
}

SCENARIO("requests for keys reach the domain after the bound") {
  const MonotonicTime start{seconds(100)};
  const milliseconds bound(5'000);
  Evacuations evacuations(bound);

  SECTION("an order that stood before the process started has no time left") {
    evacuations.Apply({{kWest}}, true);
    evacuations.SetKnownUntil(start);
    CHECK(evacuations.Domains().at(kWest) < start);
  }
  SECTION("an order that is read after a suspension has no time left") {
    evacuations.Apply({}, true);
    evacuations.SetKnownUntil(start);
    evacuations.OnSuspended(seconds(10));
    evacuations.Apply({{kWest}}, false);
    CHECK(evacuations.Domains().at(kWest) < start);
  }
  SECTION("a suspension uses up the time of a known order") {
    evacuations.Apply({}, true);
    evacuations.SetKnownUntil(start);
    evacuations.Apply({{kWest}}, false);
    const MonotonicTime before = evacuations.Domains().at(kWest);
    evacuations.OnSuspended(seconds(3));
    CHECK(evacuations.Domains().at(kWest) == before - seconds(3));
  }
  SECTION("a new order counts from the last time without it") {
    evacuations.Apply({}, true);
    evacuations.SetKnownUntil(start);
    evacuations.Apply({{kWest}}, false);
    const MonotonicTime deadline = evacuations.Domains().at(kWest);
    CHECK(deadline > start + bound / 2);
    CHECK(deadline <= start + bound - milliseconds(500));
    SECTION("and keeps its deadline when it is read again") {
      evacuations.SetKnownUntil(start + seconds(60));
      evacuations.Apply({{kWest}}, true);
      CHECK(evacuations.Domains().at(kWest) == deadline);
    }
    SECTION("and gets a new one when it is taken back and given again") {
      evacuations.SetKnownUntil(start + seconds(60));
      evacuations.Apply({{kWest, true}}, false);
      evacuations.Apply({{kWest}}, false);
      CHECK(evacuations.Domains().at(kWest) == deadline + seconds(60));
    }
  }
  SECTION("a bound shorter than the time to send leaves none") {
    Evacuations strict(milliseconds(300));
    strict.SetKnownUntil(start);
    strict.Apply({{kWest}}, false);
    CHECK(strict.Domains().at(kWest) == start);
  }
}

}  // namespace
}  // namespace bamboorack
