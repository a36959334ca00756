#include <string>
#include <variant>

#include "caller/caller_fixture.h"
#include "catch2/catch.hpp"

namespace bamboorack::caller {
namespace {

using bamboorack::testing::RawPeer;
using Catch::Matchers::Contains;
using std::chrono::milliseconds;

SCENARIO(
    "a request that is sent ahead waits unseen, runs twice or gets "
    "another one's answer") {
  GIVEN("three requests that may be repeated, sent at once") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    caller.Send(Get("a") + Get("b") + Get("c"));
    const auto first = fixture.NextRequest();
    const auto second = fixture.NextRequest();
    const auto third = fixture.NextRequest();
    CHECK(second.request.key == "b");
    CHECK_FALSE(first.is_sent_ahead);
    CHECK(second.is_sent_ahead);
    CHECK(third.is_sent_ahead);

    WHEN("the last is answered first") {
      fixture.Reply(third.slot, MakeAnswer("three"));
      fixture.Reply(second.slot, MakeAnswer("two"));
      fixture.Reply(first.slot, MakeAnswer("one"));
      THEN("the caller gets the answers in the order of its requests") {
        CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("one"));
        CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("two"));
        CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("three"));
      }
    }
    WHEN("one has no answer by its deadline") {
      caller.Send(
          "GET /v1/reader/d HTTP/1.1\r\nX-Rank: lookup\r\n"
          "X-Deadline-Ms: 1\r\n\r\n");
      fixture.NextRequest();
      fixture.Reply(third.slot, MakeAnswer("three"));
      THEN("the others are answered and it is told in its turn") {
        // The grace of a second after the deadline has passed by then.
        std::this_thread::sleep_for(milliseconds(1'100));
        fixture.Reply(first.slot, MakeAnswer("one"));
        fixture.Reply(second.slot, MakeAnswer("two"));
        CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("one"));
        CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("two"));
        CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("three"));
        CHECK_THAT(caller.ReadMessage(), Contains("deadline_passed"));
      }
    }
    WHEN("the caller leaves") {
      caller.Close();
      THEN("all three are cancelled") {
        for (const auto& arrived : {first, second, third}) {
          const auto gone = fixture.out.PopUntil(testing::TestDeadline());
          REQUIRE(gone.has_value());
          CHECK(std::get<CallerGone>(*gone).slot == arrived.slot);
        }
      }
    }
    WHEN("the process begins a planned stop") {
      caller.Send(Get("d"));
      const auto fourth = fixture.NextRequest();
      fixture.thread->BeginStop();
      // A connection that is not accepted any more shows that the stop is
      // under way.
      while (true) {
        try {
          fixture.Connect();
        } catch (const Poco::Exception&) {
          break;
        }
      }
      caller.Send(Get("e"));
      fixture.Reply(second.slot, MakeAnswer("two"));
      fixture.Reply(third.slot, MakeAnswer("three"));
      fixture.Reply(first.slot, MakeAnswer("one"));
      fixture.Reply(fourth.slot, MakeAnswer("four"));
      THEN("what was passed on is answered, and the last answer closes") {
        for (const char* text : {"one", "two", "three"}) {
          CHECK_THAT(caller.ReadMessage(),
                     Catch::EndsWith(text) && !Contains("Connection: close"));
        }
        CHECK_THAT(caller.ReadMessage(),
                   Catch::EndsWith("four") && Contains("Connection: close"));
        CHECK(caller.IsClosedByPeer());
        CHECK_FALSE(fixture.out.TryPop().has_value());
      }
    }
  }

  GIVEN("a request that runs at most once behind another") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    caller.Send(Get("a") + PostOnce("pay") + Get("c"));
    const auto first = fixture.NextRequest();
    CHECK_FALSE(fixture.out.TryPop().has_value());

    WHEN("the answer in front of it is sent") {
      fixture.Reply(first.slot, MakeAnswer("one"));
      THEN("it starts, and what follows it is served too") {
        CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("one"));
        const auto second = fixture.NextRequest();
        CHECK(*second.request.body == "pay");
        CHECK_FALSE(second.is_sent_ahead);
        CHECK(fixture.NextRequest().request.key == "c");
      }
    }
    WHEN("a planned stop ends the connection with the answer in front") {
      fixture.thread->BeginDrain();
      fixture.Reply(first.slot, MakeAnswer("one"));
      THEN("it never starts, since the caller sends it again") {
        CHECK_THAT(caller.ReadMessage(), Contains("Connection: close"));
        CHECK(caller.IsClosedByPeer());
        CHECK_FALSE(fixture.out.TryPop().has_value());
      }
    }
    WHEN("the caller leaves") {
      caller.Close();
      THEN("it never starts") {
        const auto gone = fixture.out.PopUntil(testing::TestDeadline());
        CHECK(std::holds_alternative<CallerGone>(*gone));
        CHECK_FALSE(fixture.out.TryPop().has_value());
      }
    }
  }

  GIVEN("a full ring when a request that was held back may start") {
    Fixture fixture({}, 1);
    RawPeer caller = fixture.Connect();
    caller.Send(Get("a") + PostOnce("pay"));
    const auto first = fixture.NextRequest();
    REQUIRE(fixture.out.TryPush(CallerGone{}));
    fixture.Reply(first.slot, MakeAnswer("one"));
    THEN("it is refused at once") {
      CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("one"));
      CHECK_THAT(caller.ReadMessage(), Contains("ring_full"));
    }
  }

  GIVEN("a request that the routing thread gives back, sent ahead") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    caller.Send(Get("a") + Get("b"));
    const auto first = fixture.NextRequest();
    auto second = fixture.NextRequest();
    REQUIRE(fixture.in.TryPush(
        ToCaller{second.slot, Result(), std::move(second.request)}));
    THEN("it is passed on again once it is the first") {
      fixture.Reply(first.slot, MakeAnswer("one"));
      const auto again = fixture.NextRequest();
      CHECK(again.request.key == "b");
      CHECK_FALSE(again.is_sent_ahead);
      fixture.Reply(again.slot, MakeAnswer("two"));
      CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("one"));
      CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("two"));
    }
  }

  GIVEN("a request that closes the connection in front of another") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    caller.Send(Get("a", "Connection: close\r\n") + Get("b"));
    fixture.Reply(fixture.NextRequest().slot, MakeAnswer("one"));
    THEN("the one behind it is not read") {
      CHECK_THAT(caller.ReadMessage(), Contains("Connection: close"));
      CHECK(caller.IsClosedByPeer());
      CHECK_FALSE(fixture.out.TryPop().has_value());
    }
  }

  GIVEN("a malformed request behind another") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    caller.Send(Get("a") + "hello\r\n\r\n");
    fixture.Reply(fixture.NextRequest().slot, MakeAnswer("one"));
    THEN("it is refused in its turn, and the connection closes") {
      CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("one"));
      CHECK_THAT(caller.ReadMessage(), Contains("malformed_request") &&
                                           Contains("Connection: close"));
      CHECK(caller.IsClosedByPeer());
    }
  }

  GIVEN("a caller that waits for 100 Continue behind another request") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    const std::string post = Post("body", "Expect: 100-continue\r\n");
    caller.Send(Get("a") + post.substr(0, post.size() - 4));
    fixture.Reply(fixture.NextRequest().slot, MakeAnswer("one"));
    THEN("the interim answer follows the answer in front") {
      CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("one"));
      CHECK(caller.ReadHead() == "HTTP/1.1 100 Continue\r\n\r\n");
      caller.Send("body");
      CHECK(*fixture.NextRequest().request.body == "body");
    }
  }
}

// An answer is written while the kernel takes no more bytes of the one before.
SCENARIO("answers are cut off since their caller reads slowly") {
  GIVEN("requests at once, and a first answer that fills the buffers") {
    Fixture fixture;
    RawPeer caller = fixture.Connect();
    caller.Send(Get("a") + Get("b") + Get("c") + Get("d"));
    std::vector<RequestArrived> arrived;
    for (int i = 0; i < 4; ++i) arrived.push_back(fixture.NextRequest());
    const std::string large(16'000'000, 'a');
    fixture.Reply(arrived[0].slot, MakeAnswer(large));
    WHEN("the others are answered before the caller reads") {
      for (int i = 1; i < 4; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        fixture.Reply(arrived[i].slot, MakeAnswer("small"));
      }
      std::this_thread::sleep_for(milliseconds(50));
      THEN("the caller gets all of them whole") {
        CHECK(fixture.metrics.CountOf("caller_gone") == 0);
        CHECK(caller.ReadMessage().ends_with(large));
        for (int i = 1; i < 4; ++i) {
          CHECK_THAT(caller.ReadMessage(), Catch::EndsWith("small"));
        }
      }
    }
  }
}

SCENARIO("one caller's flood of requests takes the place of others") {
  CallerThreadSettings settings;
  settings.pipeline.requests_per_connection = 3;
  Fixture fixture(settings);
  RawPeer caller = fixture.Connect();
  std::string flood;
  for (int i = 0; i < 200; ++i) flood += Get("k" + std::to_string(i));
  caller.Send(flood);
  std::vector<RequestArrived> arrived;
  for (int i = 0; i < 3; ++i) arrived.push_back(fixture.NextRequest());

  THEN("no more than the limit is in work, and others are served") {
    RawPeer other = fixture.Connect();
    other.Send(Get("other"));
    const auto next = fixture.NextRequest();
    CHECK(next.request.key == "other");
    fixture.Reply(next.slot, MakeAnswer("quick"));
    CHECK_THAT(other.ReadMessage(), Contains("quick"));
    CHECK(fixture.metrics.CountOf("caller_reads_paused") >= 1);
  }
  THEN("the deadline of an unread request counts from its arrival") {
    const MonotonicTime sent = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(milliseconds(50));
    fixture.Reply(arrived[0].slot, MakeAnswer("one"));
    const auto next = fixture.NextRequest();
    CHECK(next.arrived_at < sent + milliseconds(40));
    CHECK(next.request.deadline < sent + milliseconds(60'040));
  }
}

}  // namespace
}  // namespace bamboorack::caller
