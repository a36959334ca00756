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
    RouterHarness world;
    world.PublishTable();
    const auto first = world.Call(Rank::kOnce, "pay");
    REQUIRE(world.dispatches.size() == 1);

    WHEN("it is repeated before it ends, by a caller and by a peer") {
      const auto again = world.Call(Rank::kOnce, "pay");
      world.ArriveFromPeer(
          world.MakeRequest(Rank::kOnce, "pay", milliseconds(500)));
      THEN("it is not sent again, and all get the same answer") {
        CHECK(world.dispatches.size() == 1);
        world.EndDispatch(0, RouterHarness::MakeAnswer("paid"));
        CHECK(*world.EndingsOf(first).at(0)->body == "paid");
        CHECK(*world.EndingsOf(again).at(0)->body == "paid");
        REQUIRE(world.answers.size() == 1);
        CHECK(*world.answers[0].result->body == "paid");
      }
      AND_WHEN("the first caller disconnects") {
        world.Leave(first);
        world.EndDispatch(0, RouterHarness::MakeAnswer("paid"));
        THEN("the others still get the answer") {
          CHECK(world.EndingOf(again) == "done");
          CHECK(world.answers.size() == 1);
        }
      }
    }

    WHEN("the deadline of a repetition passes during the first attempt") {
      const auto again = world.Call(Rank::kOnce, "pay", milliseconds(50));
      world.Advance(milliseconds(71));
      THEN("the repetition ends as unknown, not as not run") {
        CHECK(world.EndingOf(again) == "unknown id_in_progress");
        CHECK(world.EndingOf(first) == "open");
      }
    }

    WHEN("it is repeated after it was done") {
      world.EndDispatch(0, RouterHarness::MakeAnswer("paid"));
      world.Advance(milliseconds(60'000));
      const auto again = world.Call(Rank::kOnce, "pay");
      THEN("the answer is repeated") {
        CHECK(world.dispatches.size() == 1);
        CHECK(*world.EndingsOf(again).at(0)->body == "paid");
      }
    }

    WHEN("the id is used for a different request") {
      Request other = world.MakeRequest(Rank::kOnce, "pay", milliseconds(500));
      other.body = std::make_shared<const std::string>("a higher amount");
      const auto slot = world.Call(other);
      THEN("it is refused and does not get the answer to the first request") {
        CHECK(world.EndingOf(slot) == "not_run malformed_request");
      }
    }

    WHEN("it ends as not run") {
      world.EndDispatch(0, NotRun(Reason::kDeadlinePassed));
      CHECK(world.EndingOf(first) == "not_run deadline_passed");
      world.Call(Rank::kOnce, "pay");
      THEN("a repetition is a new attempt") {
        CHECK(world.dispatches.size() == 2);
      }
    }
  }
}

SCENARIO("the outcome of an attempt without an answer is guessed") {
  GIVEN("a request whose connection broke after it was sent") {
    const Rank rank = GENERATE(Rank::kOnce, Rank::kBulk);
    INFO(NameOf(rank));
    RouterHarness world;
    world.PublishTable();
    const auto slot = world.Call(rank, "pay");
    world.EndDispatch(0, Unknown(Reason::kUpstreamLost));

    THEN("the upstream instance that got it is asked") {
      REQUIRE(world.settles.size() == 1);
      const auto& call =
          std::get<upstream::SettleCall>(world.settles[0].request);
      CHECK(world.settles[0].upstream == UpstreamId("u0"));
      CHECK(call.request == RequestId("pay"));
      CHECK(call.instance == UpstreamInstance("first"));
      CHECK(world.EndingOf(slot) == "open");
    }
    WHEN("the upstream reports that it did not and will not run") {
      world.EndSettle(0, SettleState::kNotRun);
      THEN("the request ends as not run") {
        CHECK(world.EndingOf(slot) == "not_run upstream_lost");
      }
    }
    WHEN("the upstream reports that it ran") {
      world.EndSettle(0, SettleState::kDone);
      THEN("the ending is unknown, because there is no answer to deliver") {
        CHECK(world.EndingOf(slot) == "unknown upstream_lost");
      }
      AND_WHEN("a once-only request is repeated") {
        if (rank == Rank::kOnce) {
          const auto again = world.Call(rank, "pay");
          THEN("it is not sent again") {
            CHECK(world.dispatches.size() == 1);
            CHECK(world.EndingOf(again) == "unknown upstream_lost");
          }
        }
      }
    }
    WHEN("the upstream reports that it is still running") {
      world.EndSettle(0, SettleState::kRunning);
      world.Advance(milliseconds(50));
      THEN("the upstream is asked again") {
        CHECK(world.settles.size() == 2);
        world.EndSettle(1, SettleState::kNotRun);
        CHECK(world.EndingOf(slot) == "not_run upstream_lost");
      }
    }
    WHEN("the upstream is unreachable until the deadline") {
      for (std::size_t i = 0; i < world.settles.size(); ++i) {
        world.EndSettleWith(i, tl::make_unexpected(ControlError::kUnreachable));
        world.Advance(milliseconds(60));
      }
      THEN("the ending is unknown") {
        CHECK(world.EndingOf(slot) == "unknown upstream_lost");
        CHECK(world.router.IsIdle());
      }
    }
    WHEN("another instance answers") {
      world.EndSettleWith(0, tl::make_unexpected(ControlError::kOtherInstance));
      THEN("it cannot know the outcome, so the ending is unknown") {
        CHECK(world.EndingOf(slot) == "unknown upstream_lost");
      }
    }
  }
}

SCENARIO("a once-only request runs again after a takeover") {
  GIVEN("a group whose authority this daemon took a minute ago") {
    RouterHarness world;
    world.local_group.taken_at = world.now - minutes(1);

    WHEN("the upstream can't settle") {
      world.state.inventory.services[0].can_settle = false;
      world.PublishTable();
      const auto slot = world.Call(Rank::kOnce, "pay");
      THEN("the ending is unknown, because it may have run before") {
        CHECK(world.EndingOf(slot) == "unknown id_memory_lost");
        CHECK(world.dispatches.empty());
      }
      THEN("other ranks are served") {
        world.Call(Rank::kBulk, "upload");
        CHECK(world.dispatches.size() == 1);
      }
      AND_WHEN("ten minutes have passed since the takeover") {
        world.Advance(minutes(9));
        world.Call(Rank::kOnce, "pay");
        THEN("it is sent") { CHECK(world.dispatches.size() == 1); }
      }
    }

    WHEN("the upstream can settle and a request arrives") {
      world.PublishTable();
      const auto slot = world.Call(Rank::kOnce, "pay");
      REQUIRE(world.settles.size() == 1);
      CHECK(world.dispatches.empty());
      AND_WHEN("it did not run") {
        world.EndSettle(0, SettleState::kNotRun);
        THEN("it is sent") { CHECK(world.dispatches.size() == 1); }
      }
      AND_WHEN("it ran") {
        world.EndSettle(0, SettleState::kDone);
        THEN("it is not sent") {
          CHECK(world.EndingOf(slot) == "unknown id_memory_lost");
          CHECK(world.dispatches.empty());
        }
      }
      AND_WHEN("the upstream does not answer until the deadline") {
        world.Advance(milliseconds(1021));
        THEN("the ending is unknown, and the next attempt asks again") {
          CHECK(world.EndingOf(slot) == "unknown id_memory_lost");
          world.Call(Rank::kOnce, "pay");
          CHECK(world.settles.size() == 2);
          CHECK(world.dispatches.empty());
        }
      }
    }

    WHEN("the shard has moved since the takeover") {
      world.PublishTable();
      world.SetOwner(world.KeyOf(0), "u1");
      world.PublishTable();
      const auto slot = world.Call(Rank::kOnce, "pay");
      THEN("the earlier owner is asked as well") {
        REQUIRE(world.settles.size() == 1);
        CHECK(world.settles[0].upstream == UpstreamId("u1"));
        world.EndSettle(0, SettleState::kNotRun);
        REQUIRE(world.settles.size() == 2);
        CHECK(world.settles[1].upstream == UpstreamId("u0"));
        CHECK(world.dispatches.empty());
        world.EndSettle(1, SettleState::kNotRun);
        CHECK(world.dispatches.size() == 1);
        CHECK(world.EndingOf(slot) == "open");
      }
    }
  }

  GIVEN("a queued once-only request whose id was checked") {
    RouterHarness world;
    world.PublishTable();
    world.Call(Rank::kLookup, "busy");
    world.Call(Rank::kOnce, "pay");
    REQUIRE(world.dispatches.size() == 1);
    WHEN("another daemon held the authority in between") {
      world.SetAuthority("self", 20);
      world.local_group.taken_at = world.now;
      world.PublishTable();
      world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
      THEN("the upstream is asked before it is sent") {
        CHECK(world.dispatches.size() == 1);
        REQUIRE(world.settles.size() == 1);
        world.EndSettle(0, SettleState::kNotRun);
        CHECK(world.dispatches.size() == 2);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
