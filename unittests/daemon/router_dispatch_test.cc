#include <catch2/catch.hpp>

#include "daemon/router_harness.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

SCENARIO("an upstream receives a request that it must not run") {
  GIVEN("a router that holds the authority") {
    RouterHarness harness;
    harness.PublishTable();

    WHEN("a request arrives") {
      const auto slot = harness.Call(Rank::kLookup, "a", milliseconds(500));
      THEN("it goes to the owner, with its deadline on the owner's clock") {
        REQUIRE(harness.dispatches.size() == 1);
        const upstream::Dispatch& sent = harness.dispatches[0];
        CHECK(sent.upstream.id == UpstreamId("u0"));
        CHECK(sent.token == FencingToken(10));
        CHECK(sent.shard == ShardId(0));
        CHECK(sent.upstream_deadline ==
              UpstreamReading(milliseconds(7'000'000 + 100 + 500)));
        CHECK(sent.send_before == harness.now + milliseconds(500));
      }
      AND_WHEN("the owner answers") {
        harness.EndDispatch(0, RouterHarness::MakeAnswer("whole"));
        THEN("the caller gets the answer, and the router is idle") {
          REQUIRE(harness.EndingOf(slot) == "done");
          CHECK(*harness.EndingsOf(slot)[0]->body == "whole");
          CHECK(harness.router.IsIdle());
        }
      }
    }

    WHEN("the mandate ends before the deadline") {
      harness.local_group.mandate_until = harness.now + milliseconds(50);
      harness.PublishTable();
      harness.Call(Rank::kLookup, "a");
      THEN("the dispatch must not be sent after the mandate") {
        REQUIRE(harness.dispatches.size() == 1);
        CHECK(harness.dispatches[0].send_before ==
              harness.now + milliseconds(50));
      }
    }

    WHEN("the mandate has ended") {
      harness.local_group.mandate_until = harness.now;
      harness.PublishTable();
      const auto slot = harness.Call(Rank::kLookup, "a", milliseconds(300));
      THEN("the request waits") { CHECK(harness.dispatches.empty()); }
      AND_WHEN("the mandate is extended") {
        harness.Advance(milliseconds(100));
        harness.local_group.mandate_until = harness.now + milliseconds(400);
        harness.PublishTable();
        THEN("the request is sent") { CHECK(harness.dispatches.size() == 1); }
      }
      AND_WHEN("the deadline passes") {
        harness.Advance(milliseconds(301));
        THEN("the request did not run, and nothing is sent") {
          CHECK(harness.EndingOf(slot) == "not_run deadline_passed");
          CHECK(harness.dispatches.empty());
          CHECK(harness.router.IsIdle());
        }
      }
    }

    WHEN("the table marks the owner as not accepting work") {
      harness.Upstream("u0").accepts_work = false;
      harness.PublishTable();
      const auto slot = harness.Call(Rank::kOnce, "a");
      THEN("nothing is sent to it") { CHECK(harness.dispatches.empty()); }
      AND_WHEN("another upstream becomes the owner") {
        harness.SetOwner(harness.KeyOf(0), "u1");
        harness.PublishTable();
        THEN("the waiting request goes there") {
          REQUIRE(harness.dispatches.size() == 1);
          CHECK(harness.dispatches[0].upstream.id == UpstreamId("u1"));
          harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
          CHECK(harness.EndingOf(slot) == "done");
        }
      }
    }

    WHEN("the shard temporarily has no confirmed owner") {
      harness.granted = {false, true};
      harness.PublishTable();
      const auto slot = harness.Call(Rank::kLookup, "a");
      THEN("the request waits") { CHECK(harness.EndingOf(slot) == "open"); }
      AND_WHEN("the grant is confirmed") {
        harness.granted = {true, true};
        harness.PublishTable();
        THEN("it is sent") { CHECK(harness.dispatches.size() == 1); }
      }
      AND_WHEN("two seconds pass") {
        harness.Advance(milliseconds(2001));
        THEN("it is refused") {
          CHECK(harness.EndingOf(slot) == "not_run owner_moving");
          CHECK(harness.metrics.Refusals(Reason::kOwnerMoving) == 1);
        }
      }
    }
  }
}

SCENARIO("an upstream receives more requests at once than it has slots") {
  GIVEN("a router that has not yet used an upstream with four slots") {
    RouterHarness harness;
    harness.PublishTable();
    WHEN("ten requests arrive") {
      for (int i = 0; i < 10; ++i) {
        harness.Call(Rank::kLookup, "r" + std::to_string(i));
      }
      THEN("one is sent") { CHECK(harness.dispatches.size() == 1); }
      AND_WHEN("each is answered") {
        std::size_t most = 0;
        for (std::size_t answered = 0; answered < 10; ++answered) {
          most = std::max(most, harness.dispatches.size() - answered);
          harness.Advance(milliseconds(1));
          harness.EndDispatch(answered, RouterHarness::MakeAnswer("x"));
        }
        THEN("at most four are in flight, and all are done") {
          CHECK(most == 4);
          CHECK(harness.endings.size() == 10);
        }
      }
    }
  }
}

SCENARIO("work of a lost caller is sent, or its once-only work is aborted") {
  GIVEN("a busy upstream and one request that waits for it") {
    RouterHarness harness;
    harness.PublishTable();
    harness.Call(Rank::kLookup, "busy");
    const Rank rank = GENERATE(Rank::kLookup, Rank::kOnce, Rank::kBulk);
    INFO(NameOf(rank));
    const auto slot = harness.Call(rank, "waiting");

    WHEN("its caller disconnects while it is queued") {
      harness.Disconnect(slot);
      harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
      THEN("it is not sent") {
        CHECK(harness.dispatches.size() == 1);
        CHECK(harness.EndingOf(slot) == "open");
        CHECK(harness.metrics.Refusals(Reason::kCancelled) == 1);
        CHECK(harness.router.IsIdle());
      }
    }

    WHEN("its caller disconnects after it was sent") {
      harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
      REQUIRE(harness.dispatches.size() == 2);
      harness.Disconnect(slot);
      THEN("only a lookup is cancelled") {
        CHECK(harness.cancels.size() == (rank == Rank::kLookup ? 1 : 0));
      }
      THEN("its slot is occupied until the result arrives") {
        CHECK_FALSE(harness.router.IsIdle());
        harness.EndDispatch(1, Unknown(Reason::kCancelled));
        if (!harness.settles.empty()) {
          harness.EndSettle(0, upstream::SettleState::kNotRun);
        }
        CHECK(harness.router.IsIdle());
      }
    }
  }
}

SCENARIO("a caller waits forever") {
  GIVEN("a request that was sent and gets no answer") {
    RouterHarness harness;
    harness.PublishTable();
    const Rank rank = GENERATE(Rank::kLookup, Rank::kOnce, Rank::kBulk);
    INFO(NameOf(rank));
    const auto slot = harness.Call(rank, "a", milliseconds(200));
    WHEN("the deadline passes") {
      harness.Advance(milliseconds(221));
      THEN("the caller is told that it may have run") {
        CHECK(harness.EndingOf(slot) == "unknown deadline_passed");
        CHECK(harness.metrics.Refusals(Reason::kDeadlinePassed) == 1);
      }
      AND_WHEN("the answer arrives late") {
        harness.EndDispatch(0, RouterHarness::MakeAnswer("late"));
        THEN("it is discarded, and the slot is free") {
          CHECK(harness.endings.size() == 1);
          CHECK(harness.router.IsIdle());
        }
      }
      AND_WHEN("the result never arrives") {
        harness.Advance(milliseconds(3000));
        THEN("the slot is freed anyway") {
          CHECK(harness.router.IsIdle());
          CHECK(harness.metrics.CountOf("dispatch_results_missing") == 1);
        }
      }
    }
  }
}

SCENARIO("a stop aborts accepted requests") {
  GIVEN("a router with a request in flight and one that waits") {
    RouterHarness harness;
    harness.PublishTable();
    const auto first = harness.Call(Rank::kOnce, "a");
    const auto second = harness.Call(Rank::kOnce, "b");
    WHEN("the stop begins") {
      harness.router.BeginStop();
      const auto late = harness.Call(Rank::kLookup, "c");
      THEN("new requests are refused and accepted ones complete") {
        CHECK(harness.EndingOf(late) == "not_run stopping");
        CHECK_FALSE(harness.router.IsIdle());
        harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        harness.EndDispatch(1, RouterHarness::MakeAnswer("y"));
        CHECK(harness.EndingOf(first) == "done");
        CHECK(harness.EndingOf(second) == "done");
        CHECK(harness.router.IsIdle());
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
