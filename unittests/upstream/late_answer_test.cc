#include <cstdint>
#include <string>

#include "bamboorack/upstream/upstream_thread.h"
#include "catch2/catch.hpp"
#include "support/raw_peer.h"
#include "upstream/upstream_fixture.h"

namespace bamboorack::upstream {
namespace {

using Catch::Matchers::StartsWith;
using std::chrono::steady_clock;

std::string IdHeader(const std::string& id) {
  return "X-Request-Id: " + id + "\r\n";
}

std::string Rejection(const std::string& id) {
  return "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\n" + IdHeader(id) +
         "Content-Length: 0\r\n\r\n";
}

/// Another attempt to run the request with `request`.
Dispatch MakeAttempt(const Fixture& fixture, std::uint64_t id,
                     const std::string& request) {
  Dispatch attempt = fixture.MakeDispatch(id);
  attempt.request.id = RequestId(request);
  return attempt;
}

bool HasResult(Fixture& fixture, milliseconds wait) {
  return fixture.to_routing.PopUntil(steady_clock::now() + wait).has_value();
}

// The upstream sends the rejection of the first attempt a second time when it
// has read the second attempt. Taken for the answer to that attempt, it would
// report a request as not run which the upstream then runs.
SCENARIO(
    "a second copy of a rejection is taken for the answer to the next "
    "attempt") {
  UpstreamThreadSettings settings;
  GIVEN("a request that was rejected on a kept connection") {
    // With one connection the idle one has to make room.
    const bool has_spare_connection = GENERATE(true, false);
    if (!has_spare_connection) settings.connections_per_upstream = 1;
    Fixture fixture(settings);
    fixture.Push(fixture.MakeDispatch(1));
    RawPeer first = fixture.Accept();
    first.ReadMessage();
    first.Send(Rejection("r1"));
    CHECK(fixture.NextResult().result.error().ending == Ending::kNotRun);
    WHEN("it is sent again at once") {
      fixture.Push(MakeAttempt(fixture, 2, "r1"));
      THEN("the attempt has a connection that has not carried its id") {
        RawPeer second = fixture.Accept();
        CHECK_THAT(second.ReadMessage(), StartsWith("GET /k2 "));
        first.TrySend(Rejection("r1"));
        CHECK_FALSE(HasResult(fixture, milliseconds(50)));
        second.Send(Ok("done", IdHeader("r1")));
        CHECK(fixture.NextResult().result.has_value());
      }
    }
    WHEN("it is sent again after another request on the connection") {
      fixture.Push(fixture.MakeDispatch(2));
      CHECK_THAT(first.ReadMessage(), StartsWith("GET /k2 "));
      first.Send(Ok("other", IdHeader("r2")));
      CHECK(fixture.NextResult().result.has_value());
      fixture.Push(MakeAttempt(fixture, 3, "r1"));
      THEN("the attempt still has another connection") {
        RawPeer second = fixture.Accept();
        CHECK_THAT(second.ReadMessage(), StartsWith("GET /k3 "));
      }
    }
    WHEN("another request comes first and then the attempt") {
      fixture.Push(fixture.MakeDispatch(2));
      fixture.Push(MakeAttempt(fixture, 3, "r1"));
      THEN("the other request uses the connection, the attempt does not") {
        CHECK_THAT(first.ReadMessage(), StartsWith("GET /k2 "));
        first.Send(Ok("other", IdHeader("r2")));
        CHECK(fixture.NextResult().id == DispatchId(2));
        RawPeer second = fixture.Accept();
        CHECK_THAT(second.ReadMessage(), StartsWith("GET /k3 "));
      }
    }
  }
  GIVEN("two kept connections, one of which has carried the request") {
    Fixture fixture(settings);
    fixture.Push(fixture.MakeDispatch(1));
    RawPeer first = fixture.Accept();
    first.ReadMessage();
    fixture.Push(fixture.MakeDispatch(2));
    RawPeer second = fixture.Accept();
    second.ReadMessage();
    second.Send(Ok("other", IdHeader("r2")));
    CHECK(fixture.NextResult().id == DispatchId(2));
    first.Send(Rejection("r1"));
    CHECK(fixture.NextResult().id == DispatchId(1));
    WHEN("the request is sent again") {
      fixture.Push(MakeAttempt(fixture, 3, "r1"));
      THEN("it uses the other connection") {
        CHECK_THAT(second.ReadMessage(), StartsWith("GET /k3 "));
        CHECK_FALSE(fixture.HasNewConnection(milliseconds(0)));
      }
    }
  }
}

// The ids that a connection has carried are kept only up to a limit.
SCENARIO("a second copy arrives after more requests than are remembered") {
  Fixture fixture;
  fixture.Push(fixture.MakeDispatch(0));
  RawPeer first = fixture.Accept();
  constexpr std::uint64_t kMaxRequests = 1'024;
  for (std::uint64_t id = 0; id < kMaxRequests; ++id) {
    if (id > 0) fixture.Push(fixture.MakeDispatch(id));
    first.ReadMessage();
    first.Send(Ok("", IdHeader("r" + std::to_string(id))));
    REQUIRE(fixture.NextResult().id == DispatchId(id));
  }
  CHECK(first.IsClosedByPeer());
  fixture.Push(MakeAttempt(fixture, kMaxRequests, "r0"));
  RawPeer second = fixture.Accept();
  CHECK_THAT(second.ReadMessage(), StartsWith("GET /k1024 "));
}

// A late second answer without an id matches any request.
SCENARIO("an answer without an id is taken for the next request's") {
  Fixture fixture;
  fixture.Push(fixture.MakeDispatch(1));
  RawPeer first = fixture.Accept();
  first.ReadMessage();
  GIVEN("a connection that has carried another request") {
    first.Send(Ok("first", IdHeader("r1")));
    CHECK(fixture.NextResult().result.has_value());
    fixture.Push(fixture.MakeDispatch(2));
    CHECK_THAT(first.ReadMessage(), StartsWith("GET /k2 "));
    WHEN("an answer bears no id") {
      const auto answer = GENERATE(
          values({Ok("late"), Ok("late", "X-Request-Id: \r\n"),
                  std::string("HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\n"
                              "Content-Length: 0\r\n\r\n")}));
      first.Send(answer);
      THEN("the request ends as unknown and the connection is reset") {
        const auto result = fixture.NextResult();
        REQUIRE_FALSE(result.result.has_value());
        CHECK(result.result.error().ending == Ending::kUnknown);
        CHECK(result.result.error().reason == Reason::kUpstreamBadAnswer);
        CHECK(fixture.metrics.CountOf("upstream_unidentified_answers") == 1);
        CHECK(first.IsResetByPeer());
      }
    }
    WHEN("an interim answer without an id precedes the answer") {
      first.Send("HTTP/1.1 100 Continue\r\n\r\n" +
                 Ok("second", IdHeader("r2")));
      THEN("the answer is delivered") {
        CHECK(*fixture.NextResult().result->body == "second");
      }
    }
  }
  GIVEN("a connection that has carried no other request") {
    first.Send(Ok("first"));
    THEN("the answer is delivered and the connection not used again") {
      CHECK(*fixture.NextResult().result->body == "first");
      CHECK(first.IsClosedByPeer());
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
