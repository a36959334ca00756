#include "platform_soak/checks.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <sstream>

namespace bamboorack::soak {
namespace {

using std::chrono::milliseconds;
using Kind = UpstreamEvent::Kind;

Time At(int ms) { return Time(milliseconds(ms)); }

UpstreamEvent Grant(int at, std::uint32_t first, std::uint32_t last,
                    int until) {
  return {Kind::kGrant, At(at), first, last, At(until), "", false};
}

UpstreamEvent Release(int at, std::uint32_t first, std::uint32_t last) {
  return {Kind::kRelease, At(at), first, last, {}, "", false};
}

UpstreamEvent Run(int at, const std::string& id) {
  return {Kind::kRun, At(at), 0, 0, {}, id, true};
}

TEST_CASE("the soak misses a broken promise") {
  SECTION("two holders of a key") {
    const UpstreamRecord a{"a", {Grant(0, 0, 99, 1'000)}};
    CHECK(FindBreaches({a, {"b", {Grant(500, 50, 60, 900)}}}, {}).size() == 1);
    CHECK(FindBreaches({a, {"b", {Grant(1'000, 50, 60, 2'000)}}}, {}).empty());
    CHECK(FindBreaches({a, {"b", {Grant(500, 100, 110, 900)}}}, {}).empty());
  }
  SECTION("a release or a kill ends a hold, for its keys only") {
    UpstreamRecord a{"a", {Grant(0, 0, 99, 1'000), Release(400, 50, 60)}};
    CHECK(FindBreaches({a, {"b", {Grant(500, 50, 60, 900)}}}, {}).empty());
    CHECK(FindBreaches({a, {"b", {Grant(500, 40, 60, 900)}}}, {}).size() == 1);
    a.ended = At(450);
    CHECK(FindBreaches({a, {"b", {Grant(500, 40, 60, 900)}}}, {}).empty());
  }
  SECTION("a renewal lengthens a hold") {
    const UpstreamRecord a{"a",
                           {Grant(0, 0, 99, 1'000), Grant(800, 0, 99, 1'800)}};
    CHECK(FindBreaches({a, {"b", {Grant(1'500, 0, 9, 1'900)}}}, {}).size() ==
          1);
  }
  SECTION("a later grant for less time does not end a longer hold") {
    const UpstreamRecord a{"a",
                           {Grant(0, 0, 99, 10'000), Grant(500, 0, 99, 1'000)}};
    CHECK(FindBreaches({a, {"b", {Grant(2'000, 0, 9, 3'000)}}}, {}).size() ==
          1);
  }
  SECTION("a request that ran twice, or although it was refused") {
    const UpstreamRecord a{"a", {Run(1, "q1"), Run(2, "q2")}};
    CHECK(FindBreaches({a, {"b", {Run(3, "q1")}}}, {}).size() == 1);
    CHECK(FindBreaches({a}, {{"q1", 503, false}}).size() == 1);
    CHECK(FindBreaches({a}, {{"q3", 503, false}}).empty());
    CHECK(FindBreaches({a}, {{"q1", 502, false}}).empty());
  }
  SECTION("an answer to another request") {
    const UpstreamRecord a{"a", {Run(1, "q1")}};
    CHECK(FindBreaches({a}, {{"q1", 200, true}}).empty());
    CHECK(FindBreaches({a}, {{"q1", 200, false}}).size() == 1);
    CHECK(FindBreaches({a}, {{"q2", 200, true}}).size() == 1);
  }
  SECTION("a request in an evacuated zone, after the bound") {
    const ClosedZone closed{"west", At(500), At(900)};
    UpstreamRecord a{"a", {Run(499, "q1"), Run(500, "q2"), Run(900, "q3")}};
    CHECK(FindEvacuationBreaches({a}, closed).empty());
    a.zone = "west";
    CHECK(FindEvacuationBreaches({a}, closed).size() == 1);
  }
  SECTION("an answer that is no HTTP message") {
    const UpstreamRecord a{"a", {Run(1, "q1")}};
    CHECK(FindBreaches({a}, {{"q1", 200, true, false}}).size() == 1);
    CHECK(FindBreaches({a}, {{"q1", 502, false, false}}).size() == 1);
    CHECK(FindBreaches({a}, {{"q1", 100, true}}).size() == 1);
    CHECK(FindBreaches({a}, {{"q1", 0, false}}).empty());
  }
  SECTION("lines are read as they were written") {
    std::istringstream in(
        "listening port=1\n"
        R"({"event":"grant","at":5,"first":1,"last":2,"token":3,"until":9})"
        "\n"
        R"({"event":"run","at":6,"id":"q","method":"POST","key":1,"body":0})"
        "\n{\"event\":\"ru");
    const auto events = ReadEvents(in);
    REQUIRE(events.size() == 2);
    CHECK(events[0].last == 2);
    CHECK(events[1].is_once);
  }
}

}  // namespace
}  // namespace bamboorack::soak
