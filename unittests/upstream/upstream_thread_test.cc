#include "bamboorack/upstream/upstream_thread.h"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include "support/raw_peer.h"
#include "upstream/upstream_fixture.h"

namespace bamboorack::upstream {
namespace {

using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using std::chrono::steady_clock;

const char kShedAnswer[] =
    "HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n";

SCENARIO("a control call is sent after its send_before has passed") {
  Fixture fixture;
  ControlCall call = fixture.MakeCall(
      1, RangeGrantCall{UpstreamId("u"), {}, FencingToken(1), {}, {}});
  call.send_before = steady_clock::now() - milliseconds(1);
  fixture.Push(call);
  const auto result = fixture.to_control.PopUntil(TestDeadline());
  REQUIRE(result.has_value());
  CHECK(result->answer.error() == ControlError::kNotSent);
}

SCENARIO("bytes arrive after the sender has abandoned the exchange") {
  Fixture fixture;
  ControlCall call = fixture.MakeCall(
      1, RangeGrantCall{UpstreamId("u"), {}, FencingToken(1), {}, {}});
  call.deadline = steady_clock::now() + milliseconds(150);
  fixture.Push(call);
  RawPeer upstream = fixture.Accept();
  upstream.ReadMessage();
  const auto result = fixture.to_control.PopUntil(TestDeadline());
  REQUIRE(result.has_value());
  CHECK(result->answer.error() == ControlError::kUnreachable);
  // An orderly close would still deliver bytes that a network partition delays.
  CHECK(upstream.IsResetByPeer());
}

SCENARIO("a request gets no answer or the answer to another request") {
  Fixture fixture;
  fixture.Push(fixture.MakeDispatch(1, "body"));
  RawPeer upstream = fixture.Accept();
  CHECK_THAT(upstream.ReadMessage(),
             StartsWith("POST /k1 HTTP/1.1\r\n") && Contains("\r\n\r\nbody"));

  SECTION("a complete answer is delivered") {
    upstream.SendByteByByte("HTTP/1.1 100 Continue\r\n\r\n" +
                            Ok("answer", "X-Request-Id: r1\r\n"));
    const auto result = fixture.NextResult();
    CHECK(result.id == DispatchId(1));
    CHECK(result.result->status == 200);
    CHECK(*result.result->body == "answer");
    SECTION("and the next request uses the same connection") {
      fixture.Push(fixture.MakeDispatch(2));
      CHECK_THAT(upstream.ReadMessage(), StartsWith("GET /k2 "));
      upstream.Send(Ok("second", "X-Request-Id: r2\r\n"));
      CHECK(*fixture.NextResult().result->body == "second");
      CHECK_FALSE(fixture.HasNewConnection(milliseconds(0)));
    }
    SECTION("and a connection that was closed while idle is not used") {
      upstream.Close();
      fixture.Push(fixture.MakeDispatch(2));
      RawPeer second = fixture.Accept();
      CHECK_THAT(second.ReadMessage(), StartsWith("GET /k2 "));
    }
    SECTION("and a second answer is not taken for the next request's") {
      upstream.Send(Ok("late"));
      CHECK(upstream.IsClosedByPeer());
      CHECK(fixture.metrics.CountOf("upstream_unmatched_answers") == 1);
    }
  }
  SECTION("a concurrent request uses a second connection") {
    fixture.Push(fixture.MakeDispatch(2));
    RawPeer second = fixture.Accept();
    second.ReadMessage();
    second.Send(Ok("second"));
    const auto result = fixture.NextResult();
    CHECK(result.id == DispatchId(2));
    CHECK(*result.result->body == "second");
  }
  SECTION("the upstream sheds it") {
    upstream.Send(kShedAnswer);
    CHECK(fixture.NextResult().result.error().reason == Reason::kUpstreamShed);
  }
  SECTION("the thread stops while it is in flight") {
    SECTION("and the answer comes in time") {
      upstream.Send(Ok("answer"));
      fixture.thread->Stop(TestDeadline());
      CHECK(fixture.NextResult().result.has_value());
    }
    SECTION("and no answer comes") {
      fixture.thread->Stop(steady_clock::now());
      const auto result = fixture.NextResult();
      CHECK(result.result.error().ending == Ending::kUnknown);
      CHECK(result.result.error().reason == Reason::kStopping);
    }
  }
}

struct BadAnswer {
  const char* title;
  std::string answer;
  Reason reason;
  const char* counter;
};

SCENARIO(
    "a request with an unknown outcome is reported as answered or not run") {
  const BadAnswer bad_answers[] = {
      {"early close", "", Reason::kUpstreamLost, "upstream_lost_connections"},
      {"incomplete head", "HTTP/1.1 200 OK\r\nConte", Reason::kUpstreamLost,
       "upstream_lost_connections"},
      {"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf",
       Reason::kUpstreamLost, "upstream_lost_connections"},
      {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       Reason::kUpstreamBadAnswer, "upstream_bad_answers"},
      {"no length", "HTTP/1.1 200 OK\r\n\r\nbody", Reason::kUpstreamBadAnswer,
       "upstream_bad_answers"},
      {"not HTTP", "hello\r\n\r\n", Reason::kUpstreamBadAnswer,
       "upstream_bad_answers"},
      {"endless head", std::string(40'000, 'a'), Reason::kUpstreamBadAnswer,
       "upstream_bad_answers"},
      {"another request's answer", Ok("", "X-Request-Id: r9\r\n"),
       Reason::kUpstreamBadAnswer, "upstream_unmatched_answers"},
  };
  for (const BadAnswer& bad_answer : bad_answers) {
    SECTION(bad_answer.title) {
      Fixture fixture;
      fixture.Push(fixture.MakeDispatch(1, "body"));
      RawPeer upstream = fixture.Accept();
      upstream.ReadMessage();
      upstream.Send(bad_answer.answer);
      upstream.Close();
      const auto result = fixture.NextResult();
      REQUIRE_FALSE(result.result.has_value());
      CHECK(result.result.error().ending == Ending::kUnknown);
      CHECK(result.result.error().reason == bad_answer.reason);
      CHECK(fixture.metrics.CountOf(bad_answer.counter) == 1);
    }
  }
  SECTION("an upstream that never answers") {
    Fixture fixture;
    Dispatch dispatch = fixture.MakeDispatch(1);
    dispatch.request.deadline = steady_clock::now() + milliseconds(50);
    fixture.Push(std::move(dispatch));
    RawPeer upstream = fixture.Accept();
    upstream.ReadMessage();
    const auto result = fixture.NextResult();
    CHECK(result.result.error().ending == Ending::kUnknown);
    CHECK(result.result.error().reason == Reason::kDeadlinePassed);
    CHECK(upstream.IsClosedByPeer());
    CHECK(fixture.metrics.CountOf("upstream_late_answers") == 1);
  }
  SECTION("an answer that arrives before the request is fully sent") {
    Fixture fixture;
    fixture.Push(
        fixture.MakeDispatch(1, std::string(std::size_t{32} << 20U, 'x')));
    RawPeer upstream = fixture.Accept();
    upstream.ReadHead();
    upstream.Send(kShedAnswer);
    CHECK(fixture.NextResult().result.error().reason == Reason::kUpstreamShed);
  }
}

SCENARIO("a request that was never sent is reported as unknown or is sent") {
  UpstreamThreadSettings settings;
  settings.connections_per_upstream = 1;
  settings.max_waiting = 1;
  Fixture fixture(settings);
  const auto expect_not_run = [&fixture](std::uint64_t id, Reason reason) {
    const auto result = fixture.NextResult();
    CHECK(result.id == DispatchId(id));
    CHECK(result.result.error().ending == Ending::kNotRun);
    CHECK(result.result.error().reason == reason);
  };

  SECTION("its send_before has passed") {
    Dispatch dispatch = fixture.MakeDispatch(1);
    dispatch.send_before = steady_clock::now() - milliseconds(1);
    fixture.Push(std::move(dispatch));
    expect_not_run(1, Reason::kDeadlinePassed);
  }
  SECTION("no upstream listens") {
    fixture.listener.close();
    fixture.Push(fixture.MakeDispatch(1));
    expect_not_run(1, Reason::kUpstreamLost);
    CHECK(fixture.metrics.CountOf("upstream_connect_failures") == 1);
  }
  SECTION("all connections are busy") {
    fixture.Push(fixture.MakeDispatch(1));
    RawPeer upstream = fixture.Accept();
    upstream.ReadMessage();
    Dispatch second = fixture.MakeDispatch(2);
    SECTION("until its send_before has passed") {
      second.send_before = steady_clock::now() + milliseconds(20);
      fixture.Push(std::move(second));
      expect_not_run(2, Reason::kDeadlinePassed);
    }
    SECTION("and it is cancelled while queued") {
      fixture.Push(std::move(second));
      fixture.Push(CancelDispatch{DispatchId(2)});
      expect_not_run(2, Reason::kCancelled);
    }
    SECTION("and too many requests are queued") {
      fixture.Push(std::move(second));
      fixture.Push(fixture.MakeDispatch(3));
      expect_not_run(3, Reason::kQueueFull);
    }
    SECTION("and control calls are still sent") {
      fixture.Push(fixture.MakeCall(5, ClockCall{}));
      RawPeer control = fixture.Accept();
      CHECK_THAT(control.ReadMessage(), StartsWith("GET /control/clock "));
      control.Send(
          Ok(R"({"instance":"i","clock_ms":5,"token":7,"draining":false})"));
      const auto result = fixture.to_control.PopUntil(TestDeadline());
      REQUIRE(result.has_value());
      CHECK(result->id == ControlCallId(5));
      CHECK(std::get<ClockAnswer>(*result->answer).token == FencingToken(7));
    }
    SECTION("and it is sent when the first has ended") {
      fixture.Push(std::move(second));
      upstream.Send(Ok("", "X-Request-Id: r1\r\n"));
      CHECK_THAT(upstream.ReadMessage(), StartsWith("GET /k2 "));
    }
    SECTION("and the thread stops") {
      fixture.Push(std::move(second));
      fixture.thread->Stop(steady_clock::now());
      expect_not_run(2, Reason::kStopping);
      CHECK(fixture.NextResult().result.error().ending == Ending::kUnknown);
    }
  }
}

// The time is turned into milliseconds, where a large one overflows.
SCENARIO("a connection is closed early since it may stay open for long") {
  const auto timeout = GENERATE(
      values<std::string>({"3600", "9300000000000000", "9223372036854775807",
                           "18446744073709551615", "99999999999999999999"}));
  GIVEN("an answer with Keep-Alive: timeout=" + timeout) {
    Fixture fixture;
    fixture.Push(fixture.MakeDispatch(1));
    RawPeer upstream = fixture.Accept();
    upstream.ReadMessage();
    upstream.Send(
        Ok("", "X-Request-Id: r1\r\nKeep-Alive: timeout=" + timeout + "\r\n"));
    REQUIRE(fixture.NextResult().result.has_value());
    std::this_thread::sleep_for(milliseconds(20));
    WHEN("another request follows") {
      fixture.Push(fixture.MakeDispatch(2));
      THEN("it comes on the same connection") {
        CHECK_THAT(upstream.ReadMessage(), StartsWith("GET /k2 "));
      }
    }
  }
}

SCENARIO("a cancelled request runs on at the upstream") {
  Fixture fixture;
  fixture.Push(fixture.MakeDispatch(1));
  RawPeer upstream = fixture.Accept();
  upstream.ReadMessage();
  WHEN("it is cancelled") {
    fixture.Push(CancelDispatch{DispatchId(1)});
    THEN(
        "it ends as unknown, its connection closes, the upstream is notified") {
      const auto result = fixture.NextResult();
      CHECK(result.result.error().ending == Ending::kUnknown);
      CHECK(result.result.error().reason == Reason::kCancelled);
      CHECK(upstream.IsClosedByPeer());
      RawPeer control = fixture.Accept();
      CHECK_THAT(control.ReadMessage(), StartsWith("POST /control/cancel ") &&
                                            Contains(R"({"request_id":"r1"})"));
    }
  }
  WHEN("it has already ended") {
    upstream.Send(Ok("", "X-Request-Id: r1\r\n"));
    CHECK(fixture.NextResult().result.has_value());
    fixture.Push(CancelDispatch{DispatchId(1)});
    THEN("the connection serves the next request") {
      fixture.Push(fixture.MakeDispatch(2));
      CHECK_THAT(upstream.ReadMessage(), StartsWith("GET /k2 "));
    }
  }
}

SCENARIO("a second answer to a release is taken for the next release's") {
  Fixture fixture;
  const RangeReleaseCall release{
      UpstreamId("u"), {ShardKey(0), ShardKey(9)}, FencingToken(1)};
  fixture.Push(fixture.MakeCall(1, release));
  RawPeer upstream = fixture.Accept();
  upstream.ReadMessage();
  upstream.Send(Ok(""));
  REQUIRE(fixture.to_control.PopUntil(TestDeadline()).has_value());
  fixture.Push(fixture.MakeCall(2, release));
  RawPeer second = fixture.Accept();
  // Nothing in an answer tells which call it belongs to, so each release has a
  // connection of its own.
  upstream.TrySend(Ok(""));
  second.ReadMessage();
  CHECK_FALSE(
      fixture.to_control.PopUntil(steady_clock::now() + milliseconds(50))
          .has_value());
  second.Send(Ok(""));
  CHECK(fixture.to_control.PopUntil(TestDeadline())->id == ControlCallId(2));
}

SCENARIO("a control call delays another or loses its result") {
  Fixture fixture;
  const GroupId group{ServiceName("reader"), FailureDomain("hartford"), 0};
  SECTION("a revocation that waits for running requests") {
    fixture.Push(fixture.MakeCall(1, RevokeCall{group, {}, {}, {}}));
    RawPeer revoke = fixture.Accept();
    revoke.ReadMessage();
    fixture.Push(fixture.MakeCall(2, FenceCall{group, {}, {}}));
    RawPeer fence = fixture.Accept();
    CHECK_THAT(fence.ReadMessage(), StartsWith("POST /control/fence "));
    fence.Send("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    const auto result = fixture.to_control.PopUntil(TestDeadline());
    CHECK(result->id == ControlCallId(2));
    CHECK(result->answer.error() == ControlError::kStaleToken);
  }
  SECTION("the result of a settle call goes to the routing thread") {
    fixture.Push(fixture.MakeCall(3, SettleCall{RequestId("r"), {}}));
    RawPeer control = fixture.Accept();
    control.ReadMessage();
    control.Send(Ok(R"({"state":"done"})"));
    const auto result = fixture.to_routing.PopUntil(TestDeadline());
    REQUIRE(result.has_value());
    CHECK(std::get<ControlResult>(*result).id == ControlCallId(3));
  }
  SECTION("an upstream that does not answer") {
    ControlCall call = fixture.MakeCall(4, ClockCall{});
    call.deadline = steady_clock::now() + milliseconds(30);
    fixture.Push(std::move(call));
    const auto result = fixture.to_control.PopUntil(TestDeadline());
    CHECK(result->answer.error() == ControlError::kUnreachable);
  }
}

SCENARIO("a result is lost because the routing ring is full") {
  Fixture fixture({}, 1);
  constexpr int kRequests = 5;
  for (int i = 0; i < kRequests; ++i) {
    Dispatch dispatch = fixture.MakeDispatch(static_cast<std::uint64_t>(i));
    dispatch.send_before = steady_clock::now() - milliseconds(1);
    fixture.Push(std::move(dispatch));
  }
  const auto expect_all = [&fixture] {
    for (int i = 0; i < kRequests; ++i) {
      CHECK(fixture.NextResult().id ==
            DispatchId(static_cast<std::uint64_t>(i)));
    }
  };
  SECTION("while the thread runs") { expect_all(); }
  SECTION("while the thread stops") {
    std::thread stopper([&fixture] { fixture.thread->Stop(TestDeadline()); });
    expect_all();
    stopper.join();
  }
}

}  // namespace
}  // namespace bamboorack::upstream
