#include <catch2/catch.hpp>
#include <vector>

#include "support/raw_peer.h"
#include "upstream/upstream_fixture.h"

namespace bamboorack::upstream {
namespace {

SCENARIO("releases that wait for running requests hold up all others") {
  GIVEN("an upstream that releases 40 ranges, ten of which have requests") {
    Fixture fixture;
    constexpr std::uint16_t kRanges = 40;
    constexpr std::uint16_t kBusy = 10;
    for (std::uint16_t i = 0; i < kRanges; ++i) {
      const RangeReleaseCall release{
          UpstreamId("u"), {ShardKey(i), ShardKey(i)}, FencingToken(1)};
      fixture.Push(fixture.MakeCall(i, release));
    }
    std::vector<RawPeer> busy;
    for (std::uint16_t i = 0; i < kBusy; ++i) {
      busy.push_back(fixture.Accept());
      busy.back().ReadMessage();
    }
    THEN("the others are released meanwhile") {
      for (std::uint16_t i = kBusy; i < kRanges; ++i) {
        RawPeer idle = fixture.Accept();
        idle.ReadMessage();
        idle.Send(Ok(""));
        REQUIRE(fixture.to_control.PopUntil(TestDeadline()).has_value());
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
