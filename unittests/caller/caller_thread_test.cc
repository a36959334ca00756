#include "bamboorack/caller/caller_thread.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "caller/caller_fixture.h"

namespace bamboorack::caller {
namespace {

using bamboorack::testing::RawPeer;
using bamboorack::testing::TestDeadline;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using std::chrono::milliseconds;

SCENARIO("a caller receives no answer, a broken one or another caller's") {
  Fixture fixture;
  RawPeer caller = fixture.Connect();

  SECTION("a request and its answer pass whole") {
    caller.Send(Post("hello", "Content-Type: text/plain\r\n"));
    const auto arrived = fixture.NextRequest();
    CHECK(arrived.request.key == "k");
    CHECK(*arrived.request.body == "hello");
    CHECK(arrived.request.content_type == "text/plain");
    CHECK_FALSE(arrived.request.id.IsEmpty());
    fixture.Reply(arrived.slot, MakeAnswer("world"));
    CHECK(caller.ReadMessage() ==
          "HTTP/1.1 200 OK\r\nX-Bamboorack-Outcome: done\r\nX-Own: 1\r\n"
          "Content-Length: 5\r\n\r\nworld");
    SECTION("and the connection serves the next request") {
      caller.Send(Get("next"));
      CHECK(fixture.NextRequest().request.key == "next");
    }
  }
  SECTION("a request that arrives byte by byte") {
    caller.SendByteByByte(Post("hello"));
    CHECK(*fixture.NextRequest().request.body == "hello");
  }
  SECTION("HEAD has no body") {
    std::string head = Get("k");
    caller.Send("HEAD" + head.substr(3));
    fixture.Reply(fixture.NextRequest().slot, MakeAnswer("body"));
    CHECK_THAT(caller.ReadHead(), Contains("Content-Length: 4\r\n"));
    caller.Send(Get("k"));
    fixture.Reply(fixture.NextRequest().slot, MakeAnswer("next"));
    CHECK_THAT(caller.ReadMessage(), StartsWith("HTTP/1.1 200 OK"));
  }
  SECTION("a caller that waits for 100 Continue") {
    const std::string request = Post("body", "Expect: 100-continue\r\n");
    caller.Send(request.substr(0, request.size() - 4));
    CHECK(caller.ReadHead() == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.Send("body");
    CHECK(*fixture.NextRequest().request.body == "body");
  }
  SECTION("a refusal names its outcome and reason") {
    caller.Send(Get("k"));
    fixture.Reply(fixture.NextRequest().slot,
                  Unknown(Reason::kUpstreamLost, "a \"quoted\"\xff detail"));
    const std::string answer = caller.ReadMessage();
    CHECK_THAT(answer, StartsWith("HTTP/1.1 502 "));
    CHECK_THAT(answer, Contains("X-Bamboorack-Outcome: unknown\r\n") &&
                           Contains("X-Bamboorack-Reason: upstream_lost\r\n") &&
                           Contains(R"("reason":"upstream_lost")") &&
                           Contains(R"(a \"quoted\"? detail)"));
  }
  SECTION("a caller that leaves before its answer") {
    caller.Send(Get("k"));
    const auto arrived = fixture.NextRequest();
    caller.Close();
    const auto gone = fixture.out.PopUntil(TestDeadline());
    REQUIRE(gone.has_value());
    REQUIRE(std::holds_alternative<CallerGone>(*gone));
    CHECK(std::get<CallerGone>(*gone).slot == arrived.slot);
    SECTION("does not pass it to the next caller") {
      RawPeer other = fixture.Connect();
      other.Send(Get("other"));
      const auto second = fixture.NextRequest();
      fixture.Reply(arrived.slot, MakeAnswer("first"));
      fixture.Reply(second.slot, MakeAnswer("second"));
      CHECK_THAT(other.ReadMessage(), Contains("second"));
      CHECK(fixture.metrics.CountOf("caller_answers_dropped") == 1);
    }
  }
  SECTION("a caller that does not read its answer") {
    caller.Send(Get("k"));
    fixture.Reply(fixture.NextRequest().slot,
                  MakeAnswer(std::string(std::size_t{32} << 20U, 'x')));
    SECTION("delays no other caller") {
      RawPeer other = fixture.Connect();
      other.Send(Get("other"));
      fixture.Reply(fixture.NextRequest().slot, MakeAnswer("quick"));
      CHECK_THAT(other.ReadMessage(), Contains("quick"));
    }
    SECTION("gets it whole once it reads") {
      caller.ReadHead();
      CHECK(caller.ReadBytes(std::size_t{32} << 20U).size() == std::size_t{32}
                                                                   << 20U);
    }
  }
}

struct Fault {
  const char* title;
  std::string bytes;
  Reason reason;
};

SCENARIO("a faulty request reaches the routing thread") {
  const Fault faults[] = {
      {"no HTTP", "hello\r\n\r\n", Reason::kMalformedRequest},
      {"lone line feeds", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n",
       Reason::kMalformedRequest},
      {"a control character in a header name", Get("k", "A\x01: b\r\n"),
       Reason::kMalformedRequest},
      {"a control character in a header value", Get("k", "A: b\x01\r\n"),
       Reason::kMalformedRequest},
      {"oversize head", Get("k", "A: " + std::string(16'384, 'a') + "\r\n"),
       Reason::kHeadTooLarge},
      {"oversize head without an end",
       "GET / HTTP/1.1\r\nA: " + std::string(40'000, 'a'),
       Reason::kHeadTooLarge},
      {"oversize body", Post(std::string(1'048'577, 'b')),
       Reason::kBodyTooLarge},
      {"chunked", Get("k", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n",
       Reason::kLengthRequired},
      {"no deadline", "GET /v1/reader/k HTTP/1.1\r\nX-Rank: lookup\r\n\r\n",
       Reason::kMissingDeadline},
      {"conflicting lengths",
       Get("k",
           "Content-Length: 1\r\n"
           "Content-Length: 2\r\n"),
       Reason::kMalformedRequest},
  };
  for (const Fault& fault : faults) {
    SECTION(fault.title) {
      Fixture fixture;
      RawPeer caller = fixture.Connect();
      caller.Send(fault.bytes);
      const std::string answer = caller.ReadMessage();
      const ReasonInfo& info = InfoOf(fault.reason);
      CHECK_THAT(answer,
                 StartsWith("HTTP/1.1 " + std::to_string(info.http_status)));
      CHECK_THAT(answer, Contains("X-Bamboorack-Outcome: not_run\r\n"));
      CHECK_THAT(
          answer,
          Contains("X-Bamboorack-Reason: " + std::string(info.name) + "\r\n"));
      CHECK(caller.IsClosedByPeer());
      CHECK(fixture.metrics.Refusals(fault.reason) == 1);
      CHECK(fixture.out.Size() == 0);
    }
  }
}

SCENARIO("a slow, silent or greedy caller holds resources") {
  CallerThreadSettings settings;

  SECTION("a head that never ends") {
    settings.head_timeout = milliseconds(20);
    Fixture fixture(settings);
    RawPeer caller = fixture.Connect();
    caller.Send("GET /v1");
    CHECK(caller.IsClosedByPeer());
    CHECK(fixture.metrics.CountOf("caller_head_timeouts") == 1);
  }
  SECTION("a body that never ends") {
    settings.idle_timeout = milliseconds(20);
    Fixture fixture(settings);
    RawPeer caller = fixture.Connect();
    const std::string request = Post("body");
    caller.Send(request.substr(0, request.size() - 1));
    CHECK(caller.IsClosedByPeer());
    CHECK(fixture.metrics.CountOf("caller_body_timeouts") == 1);
  }
  SECTION("a connection without a request") {
    settings.idle_timeout = milliseconds(20);
    Fixture fixture(settings);
    CHECK(fixture.Connect().IsClosedByPeer());
    CHECK(fixture.metrics.CountOf("caller_idle_closes") == 1);
  }
  SECTION("a request that is cut off") {
    Fixture fixture;
    const std::string request = Post("body");
    RawPeer caller = fixture.Connect();
    caller.Send(request.substr(0, request.size() - 1));
    caller.Close();
    RawPeer other = fixture.Connect();
    other.Send(Get("other"));
    CHECK(fixture.NextRequest().request.key == "other");
  }
  SECTION("more connections than allowed") {
    settings.max_connections = 1;
    Fixture fixture(settings);
    RawPeer first = fixture.Connect();
    CHECK(fixture.Connect().IsClosedByPeer());
    first.Send(Get("first"));
    CHECK(fixture.NextRequest().request.key == "first");
  }
  SECTION("more requests than the ring holds") {
    Fixture fixture(settings, 1);
    REQUIRE(fixture.out.TryPush(CallerGone{}));
    RawPeer caller = fixture.Connect();
    caller.Send(Get("k"));
    const std::string answer = caller.ReadMessage();
    CHECK_THAT(answer, StartsWith("HTTP/1.1 503 "));
    CHECK_THAT(answer, Contains("X-Bamboorack-Reason: ring_full\r\n"));
    CHECK(fixture.metrics.Refusals(Reason::kRingFull) == 1);
    SECTION("and the refused caller may try again") {
      REQUIRE(fixture.out.TryPop().has_value());
      caller.Send(Get("again"));
      CHECK(fixture.NextRequest().request.key == "again");
    }
  }
  SECTION("a request that is never answered") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    caller.Send(
        "GET /v1/reader/k HTTP/1.1\r\nX-Rank: lookup\r\n"
        "X-Deadline-Ms: 1\r\n\r\n");
    const std::string answer = caller.ReadMessage();
    CHECK_THAT(answer, Contains("X-Bamboorack-Outcome: unknown\r\n") &&
                           Contains("deadline_passed"));
  }
}

SCENARIO("a planned stop cuts off a request in flight") {
  GIVEN("an idle connection, a request in flight and half a request") {
    Fixture fixture;
    RawPeer idle = fixture.Connect();
    RawPeer busy = fixture.Connect();
    RawPeer slow = fixture.Connect();
    const std::string request = Post("body");
    slow.Send(request.substr(0, 10));
    busy.Send(Get("busy"));
    const auto arrived = fixture.NextRequest();
    WHEN("the stop begins") {
      fixture.thread->BeginStop();
      THEN("the idle connection closes and the others are served") {
        CHECK(idle.IsClosedByPeer());
        slow.Send(request.substr(10));
        const auto second = fixture.NextRequest();
        fixture.Reply(second.slot, MakeAnswer("slow"));
        fixture.Reply(arrived.slot, MakeAnswer("busy"));
        CHECK_THAT(slow.ReadMessage(),
                   Contains("Connection: close\r\n") && Contains("slow"));
        CHECK_THAT(busy.ReadMessage(),
                   Contains("Connection: close\r\n") && Contains("busy"));
        CHECK(busy.IsClosedByPeer());
        CHECK_THROWS_AS(fixture.Connect(), Poco::Exception);
      }
    }
    WHEN("the deadline of the stop passes") {
      fixture.thread->Stop(std::chrono::steady_clock::now());
      THEN("the open request is unknown, not cut off") {
        const std::string answer = busy.ReadMessage();
        CHECK_THAT(answer, Contains("X-Bamboorack-Outcome: unknown\r\n") &&
                               Contains("stopping"));
      }
    }
  }
  SECTION("a listener on a port in use says so") {
    Fixture first;
    CallerThreadSettings settings;
    settings.listen = {"127.0.0.1", first.thread->Port()};
    BoundedRing<FromCaller> out(1);
    BoundedRing<ToCaller> in(1);
    CallerThread second(settings, out, in, first.metrics);
    const auto started = second.Start();
    REQUIRE_FALSE(started.has_value());
    CHECK_THAT(started.error(), StartsWith("cannot listen on 127.0.0.1:"));
  }
}

}  // namespace
}  // namespace bamboorack::caller
