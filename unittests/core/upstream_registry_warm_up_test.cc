#include <chrono>
#include <string>

#include "bamboorack/core/upstream_registry.h"
#include "catch2/catch.hpp"

namespace bamboorack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RegisteredUpstream Record(milliseconds left, std::uint64_t life = 1) {
  RegisteredUpstream entry;
  entry.run = {UpstreamId("a"), UpstreamLife(life)};
  entry.service = ServiceName("s");
  entry.warm_up_left = left;
  return entry;
}

TEST_CASE("daemons do not learn that an upstream is cold, or for how long") {
  UpstreamRegistry registry;
  MonotonicTime now{seconds(100)};
  const MonotonicTime end = now + seconds(3);
  const auto read = [&](milliseconds left, std::uint64_t life = 1) {
    registry.Set(UpstreamId("a"), Record(left, life), now);
    return registry.Update(now);
  };
  const auto cold_until = [&] { return registry.Entries().at(0).cold_until; };
  REQUIRE(read(seconds(3)));
  CHECK(cold_until() == end);
  CHECK(registry.Entries().at(0).warm_up_left == milliseconds(0));

  SECTION("records of a warm-up that runs are no change") {
    now += milliseconds(870);
    CHECK_FALSE(read(milliseconds(2'130)));
    SECTION("also if they are read later or earlier than the first") {
      now += milliseconds(1'100);
      CHECK_FALSE(read(milliseconds(2'130)));
      CHECK_FALSE(read(milliseconds(200)));
      CHECK(cold_until() == end);
    }
    SECTION("nor is the first one after its end") {
      now += milliseconds(2'000);
      CHECK_FALSE(read(milliseconds(0)));
      now += seconds(9);
      CHECK_FALSE(read(milliseconds(0)));
      CHECK(cold_until() == end);
    }
  }
  SECTION("an upstream that becomes cold again is a change") {
    now += seconds(60);
    REQUIRE_FALSE(read(milliseconds(0)));
    CHECK(read(seconds(4)));
    CHECK(cold_until() == now + seconds(4));
  }
  SECTION("a warm-up that is extended is a change") {
    now += seconds(1);
    CHECK(read(milliseconds(2'000) + kWarmUpEndTolerance));
    CHECK(cold_until() == end + kWarmUpEndTolerance);
  }
  SECTION("a warm-up that ends early is a change") {
    now += seconds(1);
    CHECK(read(milliseconds(0)));
    CHECK(cold_until() == now);
  }
  SECTION("a new run starts without the warm-up of the former") {
    now += seconds(1);
    CHECK(read(milliseconds(0), 2));
    CHECK(cold_until() == MonotonicTime{});
    CHECK(read(milliseconds(500), 3));
    CHECK(cold_until() == now + milliseconds(500));
  }
}

}  // namespace
}  // namespace bamboorack
