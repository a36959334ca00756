#include <catch2/catch.hpp>

#include "daemon/router_harness.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

SCENARIO("a forwarded request is lost, runs twice or is forwarded in a loop") {
  GIVEN("a router that does not hold the authority") {
    RouterHarness world;
    world.SetAuthority("other", 10);
    world.PublishTable();
    const auto slot = world.Call(Rank::kOnce, "a", milliseconds(800));
    REQUIRE(world.forwards.size() == 1);
    CHECK(world.forwards[0].to == DaemonId("other"));

    WHEN("the authority answers") {
      world.AnswerForward(0, RouterHarness::MakeAnswer("whole"));
      THEN("the caller gets the answer") {
        CHECK(*world.EndingsOf(slot).at(0)->body == "whole");
        CHECK(world.router.IsIdle());
      }
    }

    WHEN("no answer arrives before the deadline") {
      world.Advance(milliseconds(841));
      THEN("the request ends as unknown and is cancelled at the authority") {
        CHECK(world.EndingOf(slot) == "unknown deadline_passed");
        CHECK(world.forward_cancels.size() == 1);
        CHECK(world.router.IsIdle());
      }
      AND_WHEN("the answer arrives late") {
        world.AnswerForward(0, RouterHarness::MakeAnswer("late"));
        THEN("it is dropped and counted") {
          CHECK(world.endings.size() == 1);
          CHECK(world.metrics.CountOf("forward_answers_unexpected") == 1);
        }
      }
    }

    WHEN("the caller disconnects") {
      world.Leave(slot);
      THEN("the request is cancelled at the authority") {
        CHECK(world.forward_cancels.size() == 1);
        CHECK(world.router.IsIdle());
      }
    }

    WHEN("the authority is lost after the request was sent to it") {
      world.AnswerForward(0, Unknown(Reason::kPeerLost));
      world.SetAuthority("third", 20);
      world.PublishTable();
      THEN("the request is not sent again") {
        CHECK(world.EndingOf(slot) == "unknown peer_lost");
        CHECK(world.forwards.size() == 1);
      }
    }

    WHEN("it is refused as not run because the authority changed") {
      const Reason reason =
          GENERATE(Reason::kNoAuthority, Reason::kPeerLost, Reason::kStopping);
      INFO(InfoOf(reason).name);
      world.AnswerForward(0, NotRun(reason));
      THEN("it waits for another authority") {
        CHECK(world.EndingOf(slot) == "open");
        CHECK(world.metrics.Retries(reason) == 0);
      }
      AND_WHEN("another daemon has taken the authority") {
        world.SetAuthority("third", 20);
        world.PublishTable();
        THEN("it is forwarded there once") {
          REQUIRE(world.forwards.size() == 2);
          CHECK(world.forwards[1].to == DaemonId("third"));
          CHECK(world.metrics.Retries(reason) == 1);
          world.AnswerForward(1, NotRun(Reason::kNoAuthority));
          CHECK(world.EndingOf(slot) == "not_run no_authority");
          CHECK(world.metrics.Refusals(Reason::kNoAuthority) == 1);
        }
      }
      AND_WHEN("this daemon has taken the authority") {
        world.SetAuthority("self", 20);
        world.PublishTable();
        THEN("the request is dispatched here") {
          CHECK(world.dispatches.size() == 1);
        }
      }
      AND_WHEN("nothing changes") {
        world.PublishTable();
        world.Advance(milliseconds(801));
        THEN("it ends with the refusal") {
          CHECK(world.EndingOf(slot) ==
                "not_run " + std::string(InfoOf(reason).name));
        }
      }
    }

    WHEN("it is refused for a reason that a new authority cannot resolve") {
      world.AnswerForward(0, NotRun(Reason::kQueueFull));
      THEN("the caller gets the refusal") {
        CHECK(world.EndingOf(slot) == "not_run queue_full");
        CHECK(world.metrics.Refusals(Reason::kQueueFull) == 1);
      }
    }
  }

  GIVEN("a request from a peer") {
    RouterHarness world;
    WHEN("another daemon holds the authority") {
      world.SetAuthority("other", 10);
      world.PublishTable();
      const auto path = world.ArriveFromPeer(
          world.MakeRequest(Rank::kLookup, "a", milliseconds(500)));
      THEN("it is refused and not forwarded") {
        CHECK(world.forwards.empty());
        REQUIRE(world.answers.size() == 1);
        CHECK(world.answers[0].to == path);
        CHECK(RouterHarness::Describe(world.answers[0].result) ==
              "not_run no_authority");
        CHECK(world.metrics.Refusals(Reason::kNoAuthority) == 0);
      }
    }
    WHEN("this daemon holds it") {
      world.PublishTable();
      const auto path = world.ArriveFromPeer(
          world.MakeRequest(Rank::kLookup, "a", milliseconds(500)));
      REQUIRE(world.dispatches.size() == 1);
      THEN("the answer goes back to the peer") {
        world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        REQUIRE(world.answers.size() == 1);
        CHECK(world.answers[0].to == path);
      }
      AND_WHEN("the peer cancels it") {
        world.router.OnPeer(peer::ForwardCancelled{path}, world.now);
        world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        THEN("nothing is answered") { CHECK(world.answers.empty()); }
      }
    }
  }
}

SCENARIO("the process crashes if an upload fails after its group has moved") {
  GIVEN("an upload in flight, and nothing else") {
    RouterHarness world;
    world.PublishTable();
    const auto slot = world.Call(Rank::kBulk, "upload");
    WHEN("another daemon takes the authority and the connection breaks") {
      world.SetAuthority("other", 20);
      world.PublishTable();
      world.EndDispatch(0, Unknown(Reason::kUpstreamLost));
      THEN("the upstream is asked whether it ran") {
        REQUIRE(world.settles.size() == 1);
        world.EndSettle(0, upstream::SettleState::kNotRun);
        CHECK(world.EndingOf(slot) == "not_run upstream_lost");
      }
    }
  }
}

SCENARIO("a group moves away, and its requests stay behind or are aborted") {
  GIVEN("a request in flight, one queued here and one queued for a peer") {
    RouterHarness world;
    world.PublishTable();
    const auto in_flight = world.Call(Rank::kOnce, "a");
    const auto queued = world.Call(Rank::kOnce, "b");
    world.ArriveFromPeer(
        world.MakeRequest(Rank::kOnce, "c", milliseconds(900)));
    REQUIRE(world.dispatches.size() == 1);
    WHEN("another daemon takes the authority") {
      world.SetAuthority("other", 20);
      world.PublishTable();
      THEN("nothing more is sent to the upstream") {
        CHECK(world.dispatches.size() == 1);
      }
      THEN("queued requests from callers go to the new authority") {
        REQUIRE(world.forwards.size() == 1);
        CHECK(world.forwards[0].request.id == RequestId("b"));
        world.AnswerForward(0, RouterHarness::MakeAnswer("x"));
        CHECK(world.EndingOf(queued) == "done");
      }
      THEN("queued requests from peers are refused as not run") {
        REQUIRE(world.answers.size() == 1);
        CHECK(RouterHarness::Describe(world.answers[0].result) ==
              "not_run no_authority");
      }
      THEN("the request in flight ends normally") {
        world.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        CHECK(world.EndingOf(in_flight) == "done");
      }
      AND_WHEN("the request in flight is refused as not run after the move") {
        const std::size_t known = world.forwards.size();
        world.EndDispatch(0, NotRun(Reason::kUpstreamRefusedToken));
        THEN("the new authority gets it") {
          CHECK(world.forwards.size() == known + 1);
          CHECK(world.EndingOf(in_flight) == "open");
        }
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
