#include <catch2/catch.hpp>

#include "daemon/router_harness.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

SCENARIO("an upstream receives a request that it must not run") {
  GIVEN("a router that holds the authority") {
    RouterHarness world;
    world.PublishTable();

    WHEN("a request arrives") {
      const auto slot = world.Call(Rank::kLookup, "a", milliseconds(500));
      THEN("it goes to the owner, with its deadline on the owner's clock") {
        REQUIRE(world.dispatches.size() == 1);
        const upstream::Dispatch& sent = world.dispatches[0];
        CHECK(sent.upstream.id == UpstreamId("u0"));
        CHECK(sent.token == FencingToken(10));
        CHECK(sent.shard == ShardId(0));
        CHECK(sent.upstream_deadline ==
              UpstreamReading(milliseconds(7'000'000 + 100 + 500)));
        CHECK(sent.send_before == world.now + milliseconds(500));
      }
      AND_WHEN("the owner answers") {
        world.EndDispatch(0, RouterHarness::MakeAnswer("whole"));
        THEN("the caller gets the answer, and the router is idle") {
          REQUIRE(world.EndingOf(slot) == "done");
          CHECK(*world.EndingsOf(slot)[0]->body == "whole");
          CHECK(world.router.IsIdle());
        }
      }
    }

    WHEN("the mandate ends before the deadline") {
      world.local_group.mandate_until = world.now + milliseconds(50);
      world.PublishTable();
      world.Call(Rank::kLookup, "a");
      THEN("the dispatch must not be sent after the mandate") {
        REQUIRE(world.dispatches.size() == 1);
        CHECK(world.dispatches[0].send_before == world.now + milliseconds(50));
      }
    }

    WHEN("the mandate has ended") {
      world.local_group.mandate_until = world.now;
      world.PublishTable();
      const auto slot = world.Call(Rank::kLookup, "a", milliseconds(300));
      THEN("the request waits") { CHECK(world.dispatches.empty()); }
      AND_WHEN("the mandate is extended") {
        world.Advance(milliseconds(100));
        world.local_group.mandate_until = world.now + milliseconds(400);
        world.PublishTable();
        THEN("the request is sent") { CHECK(world.dispatches.size() == 1); }
      }
      AND_WHEN("the deadline passes") {
        world.Advance(milliseconds(301));
        THEN("the request did not run, and nothing is sent") {
          CHECK(world.EndingOf(slot) == "not_run deadline_passed");
          CHECK(world.dispatches.empty());
          CHECK(world.router.IsIdle());
        }
      }
    }

    WHEN("the table marks the owner as not accepting work") {
      world.Upstream("u0").accepts_work = false;
      world.PublishTable();
      const auto slot = world.Call(Rank::kOnce, "a");
      THEN("nothing is sent to it") { CHECK(world.dispatches.empty()); }
      AND_WHEN("another upstream becomes the owner") {
        world.SetOwner(world.KeyOf(0), "u1");
        world.PublishTable();
        THEN("the waiting request goes there") {
          REQUIRE(world.dispatches.size() == 1);
          CHECK(world.dispatches[0].upstream.id == UpstreamId("u1"));
          world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
          CHECK(world.EndingOf(slot) == "done");
        }
      }
    }

    WHEN("the shard temporarily has no confirmed owner") {
      world.granted = {false, true};
      world.PublishTable();
      const auto slot = world.Call(Rank::kLookup, "a");
      THEN("the request waits") { CHECK(world.EndingOf(slot) == "open"); }
      AND_WHEN("the grant is confirmed") {
        world.granted = {true, true};
        world.PublishTable();
        THEN("it is sent") { CHECK(world.dispatches.size() == 1); }
      }
      AND_WHEN("two seconds pass") {
        world.Advance(milliseconds(2001));
        THEN("it is refused") {
          CHECK(world.EndingOf(slot) == "not_run owner_moving");
          CHECK(world.metrics.Refusals(Reason::kOwnerMoving) == 1);
        }
      }
    }
  }
}

SCENARIO("an upstream receives more requests at once than it has slots") {
  GIVEN("a router that has not yet used an upstream with four slots") {
    RouterHarness world;
    world.PublishTable();
    WHEN("ten requests arrive") {
      for (int i = 0; i < 10; ++i) {
        world.Call(Rank::kLookup, "r" + std::to_string(i));
      }
      THEN("one is sent") { CHECK(world.dispatches.size() == 1); }
      AND_WHEN("each is answered") {
        std::size_t most = 0;
        for (std::size_t answered = 0; answered < 10; ++answered) {
          most = std::max(most, world.dispatches.size() - answered);
          world.Advance(milliseconds(1));
          world.EndDispatch(answered, RouterHarness::MakeAnswer("x"));
        }
        THEN("at most four are in flight, and all are done") {
          CHECK(most == 4);
          CHECK(world.endings.size() == 10);
        }
      }
    }
  }
}

SCENARIO("work of a lost caller is sent, or its once-only work is aborted") {
  GIVEN("a busy upstream and one request that waits for it") {
    RouterHarness world;
    world.PublishTable();
    world.Call(Rank::kLookup, "busy");
    const Rank rank = GENERATE(Rank::kLookup, Rank::kOnce, Rank::kBulk);
    INFO(NameOf(rank));
    const auto slot = world.Call(rank, "waiting");

    WHEN("its caller disconnects while it is queued") {
      world.Leave(slot);
      world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
      THEN("it is not sent") {
        CHECK(world.dispatches.size() == 1);
        CHECK(world.EndingOf(slot) == "open");
        CHECK(world.metrics.Refusals(Reason::kCancelled) == 1);
        CHECK(world.router.IsIdle());
      }
    }

    WHEN("its caller disconnects after it was sent") {
      world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
      REQUIRE(world.dispatches.size() == 2);
      world.Leave(slot);
      THEN("only a lookup is cancelled") {
        CHECK(world.cancels.size() == (rank == Rank::kLookup ? 1 : 0));
      }
      THEN("its slot is occupied until the result arrives") {
        CHECK_FALSE(world.router.IsIdle());
        world.EndDispatch(1, Unknown(Reason::kCancelled));
        if (!world.settles.empty()) {
          world.EndSettle(0, upstream::SettleState::kNotRun);
        }
        CHECK(world.router.IsIdle());
      }
    }
  }
}

SCENARIO("a caller waits forever") {
  GIVEN("a request that was sent and gets no answer") {
    RouterHarness world;
    world.PublishTable();
    const Rank rank = GENERATE(Rank::kLookup, Rank::kOnce, Rank::kBulk);
    INFO(NameOf(rank));
    const auto slot = world.Call(rank, "a", milliseconds(200));
    WHEN("the deadline passes") {
      world.Advance(milliseconds(221));
      THEN("the caller is told that it may have run") {
        CHECK(world.EndingOf(slot) == "unknown deadline_passed");
        CHECK(world.metrics.Refusals(Reason::kDeadlinePassed) == 1);
      }
      AND_WHEN("the answer arrives late") {
        world.EndDispatch(0, RouterHarness::MakeAnswer("late"));
        THEN("it is discarded, and the slot is free") {
          CHECK(world.endings.size() == 1);
          CHECK(world.router.IsIdle());
        }
      }
      AND_WHEN("the result never arrives") {
        world.Advance(milliseconds(3000));
        THEN("the slot is freed anyway") {
          CHECK(world.router.IsIdle());
          CHECK(world.metrics.CountOf("dispatch_results_missing") == 1);
        }
      }
    }
  }
}

SCENARIO("a stop aborts accepted requests") {
  GIVEN("a router with a request in flight and one that waits") {
    RouterHarness world;
    world.PublishTable();
    const auto first = world.Call(Rank::kOnce, "a");
    const auto second = world.Call(Rank::kOnce, "b");
    WHEN("the stop begins") {
      world.router.BeginStop();
      const auto late = world.Call(Rank::kLookup, "c");
      THEN("new requests are refused and accepted ones complete") {
        CHECK(world.EndingOf(late) == "not_run stopping");
        CHECK_FALSE(world.router.IsIdle());
        world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        world.EndDispatch(1, RouterHarness::MakeAnswer("y"));
        CHECK(world.EndingOf(first) == "done");
        CHECK(world.EndingOf(second) == "done");
        CHECK(world.router.IsIdle());
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
