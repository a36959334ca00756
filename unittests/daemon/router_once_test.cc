#include <catch2/catch.hpp>

#include "daemon/router_harness.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using upstream::ControlError;
using upstream::SettleState;

SCENARIO("a repeated once-only request runs twice") {
  GIVEN("a once-only request in flight") {
    RouterHarness harness;
    harness.PublishTable();
    const auto first = harness.Call(Rank::kOnce, "pay");
    REQUIRE(harness.dispatches.size() == 1);

    WHEN("it is repeated before it ends, by a caller and by a peer") {
      const auto again = harness.Call(Rank::kOnce, "pay");
      harness.ArriveFromPeer(
          harness.MakeRequest(Rank::kOnce, "pay", milliseconds(500)));
      THEN("it is not sent again, and all get the same answer") {
        CHECK(harness.dispatches.size() == 1);
        harness.EndDispatch(0, RouterHarness::MakeAnswer("paid"));
        CHECK(*harness.EndingsOf(first).at(0)->body == "paid");
        CHECK(*harness.EndingsOf(again).at(0)->body == "paid");
        REQUIRE(harness.answers.size() == 1);
        CHECK(*harness.answers[0].result->body == "paid");
      }
      AND_WHEN("the first caller disconnects") {
        harness.Disconnect(first);
        harness.EndDispatch(0, RouterHarness::MakeAnswer("paid"));
        THEN("the others still get the answer") {
          CHECK(harness.EndingOf(again) == "done");
          CHECK(harness.answers.size() == 1);
        }
      }
    }

    WHEN("the deadline of a repetition passes during the first attempt") {
      const auto again = harness.Call(Rank::kOnce, "pay", milliseconds(50));
      harness.Advance(milliseconds(71));
      THEN("the repetition ends as unknown, not as not run") {
        CHECK(harness.EndingOf(again) == "unknown id_in_progress");
        CHECK(harness.EndingOf(first) == "open");
      }
    }

    WHEN("it is repeated after it was done") {
      harness.EndDispatch(0, RouterHarness::MakeAnswer("paid"));
      harness.Advance(milliseconds(60'000));
      const auto again = harness.Call(Rank::kOnce, "pay");
      THEN("the answer is repeated") {
        CHECK(harness.dispatches.size() == 1);
        CHECK(*harness.EndingsOf(again).at(0)->body == "paid");
      }
    }

    WHEN("the id is used for a different request") {
      Request other =
          harness.MakeRequest(Rank::kOnce, "pay", milliseconds(500));
      other.body = std::make_shared<const std::string>("a higher amount");
      const auto slot = harness.Call(other);
      THEN("it is refused and does not get the answer to the first request") {
        CHECK(harness.EndingOf(slot) == "not_run malformed_request");
      }
    }

    WHEN("it ends as not run") {
      harness.EndDispatch(0, NotRun(Reason::kDeadlinePassed));
      CHECK(harness.EndingOf(first) == "not_run deadline_passed");
      harness.Call(Rank::kOnce, "pay");
      THEN("a repetition is a new attempt") {
        CHECK(harness.dispatches.size() == 2);
      }
    }
  }
}

SCENARIO("the outcome of an attempt without an answer is guessed") {
  GIVEN("a request whose connection broke after it was sent") {
    const Rank rank = GENERATE(Rank::kOnce, Rank::kBulk);
    INFO(NameOf(rank));
    RouterHarness harness;
    harness.PublishTable();
    const auto slot = harness.Call(rank, "pay");
    harness.EndDispatch(0, Unknown(Reason::kUpstreamLost));

    THEN("the upstream instance that got it is asked") {
      REQUIRE(harness.settles.size() == 1);
      const auto& call =
          std::get<upstream::SettleCall>(harness.settles[0].request);
      CHECK(harness.settles[0].upstream == UpstreamId("u0"));
      CHECK(call.request == RequestId("pay"));
      CHECK(call.instance == UpstreamInstance("first"));
      CHECK(harness.EndingOf(slot) == "open");
    }
    WHEN("the upstream reports that it did not and will not run") {
      harness.EndSettle(0, SettleState::kNotRun);
      THEN("the request ends as not run") {
        CHECK(harness.EndingOf(slot) == "not_run upstream_lost");
      }
    }
    WHEN("the upstream reports that it ran") {
      harness.EndSettle(0, SettleState::kDone);
      THEN("the ending is unknown, because there is no answer to deliver") {
        CHECK(harness.EndingOf(slot) == "unknown upstream_lost");
      }
      AND_WHEN("a once-only request is repeated") {
        if (rank == Rank::kOnce) {
          const auto again = harness.Call(rank, "pay");
          THEN("it is not sent again") {
            CHECK(harness.dispatches.size() == 1);
            CHECK(harness.EndingOf(again) == "unknown upstream_lost");
          }
        }
      }
    }
    WHEN("the upstream reports that it is still running") {
      harness.EndSettle(0, SettleState::kRunning);
      harness.Advance(milliseconds(50));
      THEN("the upstream is asked again") {
        CHECK(harness.settles.size() == 2);
        harness.EndSettle(1, SettleState::kNotRun);
        CHECK(harness.EndingOf(slot) == "not_run upstream_lost");
      }
    }
    WHEN("the upstream is unreachable until the deadline") {
      for (std::size_t i = 0; i < harness.settles.size(); ++i) {
        harness.EndSettleWith(i,
                              tl::make_unexpected(ControlError::kUnreachable));
        harness.Advance(milliseconds(60));
      }
      THEN("the ending is unknown") {
        CHECK(harness.EndingOf(slot) == "unknown upstream_lost");
        CHECK(harness.router.IsIdle());
      }
    }
    WHEN("another instance answers") {
      harness.EndSettleWith(0,
                            tl::make_unexpected(ControlError::kOtherInstance));
      THEN("it cannot know the outcome, so the ending is unknown") {
        CHECK(harness.EndingOf(slot) == "unknown upstream_lost");
      }
    }
  }
}

SCENARIO("a once-only request runs again after a takeover") {
  GIVEN("a group whose authority this daemon took a minute ago") {
    RouterHarness harness;
    harness.local_group.taken_at = harness.now - minutes(1);

    WHEN("the upstream can't settle") {
      harness.state.inventory.services[0].can_settle = false;
      harness.PublishTable();
      const auto slot = harness.Call(Rank::kOnce, "pay");
      THEN("the ending is unknown, because it may have run before") {
        CHECK(harness.EndingOf(slot) == "unknown id_memory_lost");
        CHECK(harness.dispatches.empty());
      }
      THEN("other ranks are served") {
        harness.Call(Rank::kBulk, "upload");
        CHECK(harness.dispatches.size() == 1);
      }
      AND_WHEN("ten minutes have passed since the takeover") {
        harness.Advance(minutes(9));
        harness.Call(Rank::kOnce, "pay");
        THEN("it is sent") { CHECK(harness.dispatches.size() == 1); }
      }
    }

    WHEN("the upstream can settle and a request arrives") {
      harness.PublishTable();
      const auto slot = harness.Call(Rank::kOnce, "pay");
      REQUIRE(harness.settles.size() == 1);
      CHECK(harness.dispatches.empty());
      AND_WHEN("it did not run") {
        harness.EndSettle(0, SettleState::kNotRun);
        THEN("it is sent") { CHECK(harness.dispatches.size() == 1); }
      }
      AND_WHEN("it ran") {
        harness.EndSettle(0, SettleState::kDone);
        THEN("it is not sent") {
          CHECK(harness.EndingOf(slot) == "unknown id_memory_lost");
          CHECK(harness.dispatches.empty());
        }
      }
      AND_WHEN("the upstream does not answer until the deadline") {
        harness.Advance(milliseconds(1021));
        THEN("the ending is unknown, and the next attempt asks again") {
          CHECK(harness.EndingOf(slot) == "unknown id_memory_lost");
          harness.Call(Rank::kOnce, "pay");
          CHECK(harness.settles.size() == 2);
          CHECK(harness.dispatches.empty());
        }
      }
    }

    WHEN("the shard has moved since the takeover") {
      harness.PublishTable();
      harness.SetOwner(harness.KeyOf(0), "u1");
      harness.PublishTable();
      const auto slot = harness.Call(Rank::kOnce, "pay");
      THEN("the earlier owner is asked as well") {
        REQUIRE(harness.settles.size() == 1);
        CHECK(harness.settles[0].upstream == UpstreamId("u1"));
        harness.EndSettle(0, SettleState::kNotRun);
        REQUIRE(harness.settles.size() == 2);
        CHECK(harness.settles[1].upstream == UpstreamId("u0"));
        CHECK(harness.dispatches.empty());
        harness.EndSettle(1, SettleState::kNotRun);
        CHECK(harness.dispatches.size() == 1);
        CHECK(harness.EndingOf(slot) == "open");
      }
    }
  }

  GIVEN("a queued once-only request whose id was checked") {
    RouterHarness harness;
    harness.PublishTable();
    harness.Call(Rank::kLookup, "busy");
    harness.Call(Rank::kOnce, "pay");
    REQUIRE(harness.dispatches.size() == 1);
    WHEN("another daemon held the authority in between") {
      harness.SetAuthority("self", 20);
      harness.local_group.taken_at = harness.now;
      harness.PublishTable();
      harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
      THEN("the upstream is asked before it is sent") {
        CHECK(harness.dispatches.size() == 1);
        REQUIRE(harness.settles.size() == 1);
        harness.EndSettle(0, SettleState::kNotRun);
        CHECK(harness.dispatches.size() == 2);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
