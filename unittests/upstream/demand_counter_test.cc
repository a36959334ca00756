#include "bamboorack/upstream/demand_counter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

SCENARIO("a load report hides which keys cause the work") {
  const ServiceName service("reader");
  DemandCounter counter(7);
  GIVEN("requests of one kind") {
    for (std::uint16_t i = 0; i < 5; ++i) {
      counter.Add(service, ShardKey(i), milliseconds(40));
    }
    THEN("each is listed once, and only in one report") {
      CHECK(counter.Take().at(service).size() == 5);
      CHECK(counter.Take().empty());
    }
  }
  GIVEN("requests whose cost is not known yet, then some of 1 s") {
    for (int i = 0; i < 5; ++i) counter.Add(service, ShardKey(1), {});
    for (int i = 0; i < 5; ++i) {
      counter.Add(service, ShardKey(2), milliseconds(1'000));
    }
    THEN("each is listed once") {
      CHECK(counter.Take().at(service).size() == 10);
    }
  }
  GIVEN("as many requests for one key that cost 300 ms as for one of 100 ms") {
    constexpr int kRequests = 5'000;
    for (int i = 0; i < kRequests; ++i) {
      counter.Add(service, ShardKey(1), milliseconds(300));
      counter.Add(service, ShardKey(2), milliseconds(100));
    }
    const auto keys = counter.Take().at(service);
    THEN("the first is listed three times as often, the report is as long") {
      const auto costly = std::count(keys.begin(), keys.end(), ShardKey(1));
      const auto cheap = std::count(keys.begin(), keys.end(), ShardKey(2));
      CHECK(static_cast<double>(costly) / static_cast<double>(cheap) ==
            Approx(3).epsilon(0.1));
      CHECK(keys.size() == Approx(2 * kRequests).epsilon(0.05));
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
