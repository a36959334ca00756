#include <string>

#include "bamboorack/upstream/upstream_thread.h"
#include "catch2/catch.hpp"
#include "support/raw_peer.h"
#include "upstream/upstream_fixture.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::steady_clock;

const char kConflict[] = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";

RangeGrantCall MakeGrant(std::uint64_t token) {
  return {UpstreamId("u"),
          {ShardKey(0), ShardKey(9)},
          FencingToken(token),
          milliseconds(3'000),
          {}};
}

ControlResult NextControlResult(Fixture& fixture) {
  auto result = fixture.to_control.PopUntil(TestDeadline());
  REQUIRE(result.has_value());
  return std::move(*result);
}

// Answers to control calls bear no id. Taken for the answer to another grant,
// a late "409" would end the lease of a holder that goes on.
SCENARIO("a second answer to a grant is taken for the next grant's") {
  Fixture fixture;
  fixture.Push(fixture.MakeCall(1, MakeGrant(1)));
  RawPeer first = fixture.Accept();
  first.ReadMessage();
  first.Send(kConflict);
  CHECK(NextControlResult(fixture).answer.error() == ControlError::kStaleToken);
  fixture.Push(fixture.MakeCall(2, MakeGrant(2)));
  RawPeer second = fixture.Accept();
  first.TrySend(kConflict);
  second.ReadMessage();
  CHECK_FALSE(
      fixture.to_control.PopUntil(steady_clock::now() + milliseconds(50))
          .has_value());
  second.Send(Ok("{}"));
  CHECK(NextControlResult(fixture).answer.has_value());
}

SCENARIO("each grant opens a connection") {
  Fixture fixture;
  fixture.Push(fixture.MakeCall(1, MakeGrant(1)));
  RawPeer connection = fixture.Accept();
  connection.ReadMessage();
  connection.Send(Ok("{}"));
  CHECK(NextControlResult(fixture).answer.has_value());
  const RangeGrantCall grant = MakeGrant(1);
  fixture.Push(fixture.MakeCall(2, grant));
  connection.ReadMessage();
  connection.Send(Ok("{}"));
  CHECK(NextControlResult(fixture).answer.has_value());
  CHECK_FALSE(fixture.HasNewConnection(milliseconds(0)));
}

SCENARIO("a second answer to a control call is taken for a grant's") {
  Fixture fixture;
  const RangeGrantCall grant = MakeGrant(1);
  fixture.Push(fixture.MakeCall(1, grant));
  RawPeer connection = fixture.Accept();
  connection.ReadMessage();
  connection.Send(Ok("{}"));
  CHECK(NextControlResult(fixture).answer.has_value());
  fixture.Push(fixture.MakeCall(2, grant));
  connection.ReadMessage();
  SECTION("a success counts, and the connection is kept") {
    connection.Send(Ok("{}"));
    CHECK(NextControlResult(fixture).answer.has_value());
    CHECK_FALSE(fixture.HasNewConnection(milliseconds(0)));
  }
  SECTION("a failure would end the lease, so the outcome is unknown") {
    connection.Send(GENERATE(values(
        {std::string(kConflict), std::string("HTTP/1.1 410 Gone\r\n"
                                             "Content-Length: 0\r\n\r\n")})));
    CHECK(NextControlResult(fixture).answer.error() ==
          ControlError::kBadAnswer);
    CHECK(connection.IsResetByPeer());
    WHEN("the grant is sent again") {
      fixture.Push(fixture.MakeCall(3, MakeGrant(2)));
      THEN("the answer on its own connection counts") {
        RawPeer second = fixture.Accept();
        second.ReadMessage();
        second.Send(kConflict);
        CHECK(NextControlResult(fixture).answer.error() ==
              ControlError::kStaleToken);
      }
    }
  }
  SECTION("another call does not use the connection") {
    connection.Send(Ok("{}"));
    CHECK(NextControlResult(fixture).answer.has_value());
    fixture.Push(
        fixture.MakeCall(3, SettleCall{RequestId("r"), Attempt{}, {}}));
    RawPeer second = fixture.Accept();
    CHECK(second.ReadMessage().find("/control/settle") != std::string::npos);
  }
}

}  // namespace
}  // namespace bamboorack::upstream
