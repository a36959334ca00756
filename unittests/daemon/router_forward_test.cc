#include <catch2/catch.hpp>

#include "daemon/router_harness.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

SCENARIO("a forwarded request is lost, runs twice or is forwarded in a loop") {
  GIVEN("a router that does not hold the authority") {
    RouterHarness harness;
    harness.SetAuthority("other", 10);
    harness.PublishTable();
    const auto slot = harness.Call(Rank::kOnce, "a", milliseconds(800));
    REQUIRE(harness.forwards.size() == 1);
    CHECK(harness.forwards[0].to == DaemonId("other"));

    WHEN("the authority answers") {
      harness.AnswerForward(0, RouterHarness::MakeAnswer("whole"));
      THEN("the caller gets the answer") {
        CHECK(*harness.EndingsOf(slot).at(0)->body == "whole");
        CHECK(harness.router.IsIdle());
      }
    }

    WHEN("no answer arrives before the deadline") {
      harness.Advance(milliseconds(841));
      THEN("the request ends as unknown and is cancelled at the authority") {
        CHECK(harness.EndingOf(slot) == "unknown deadline_passed");
        CHECK(harness.forward_cancels.size() == 1);
        CHECK(harness.router.IsIdle());
      }
      AND_WHEN("the answer arrives late") {
        harness.AnswerForward(0, RouterHarness::MakeAnswer("late"));
        THEN("it is dropped and counted") {
          CHECK(harness.endings.size() == 1);
          CHECK(harness.metrics.CountOf("forward_answers_unexpected") == 1);
        }
      }
    }

    WHEN("the caller disconnects") {
      harness.Disconnect(slot);
      THEN("the request is cancelled at the authority") {
        CHECK(harness.forward_cancels.size() == 1);
        CHECK(harness.router.IsIdle());
      }
    }

    WHEN("the authority is lost after the request was sent to it") {
      harness.AnswerForward(0, Unknown(Reason::kPeerLost));
      harness.SetAuthority("third", 20);
      harness.PublishTable();
      THEN("the request is not sent again") {
        CHECK(harness.EndingOf(slot) == "unknown peer_lost");
        CHECK(harness.forwards.size() == 1);
      }
    }

    WHEN("it is refused as not run because the authority changed") {
      const Reason reason =
          GENERATE(Reason::kNoAuthority, Reason::kPeerLost, Reason::kStopping);
      INFO(InfoOf(reason).name);
      harness.AnswerForward(0, NotRun(reason));
      THEN("it waits for another authority") {
        CHECK(harness.EndingOf(slot) == "open");
        CHECK(harness.metrics.Retries(reason) == 0);
      }
      AND_WHEN("another daemon has taken the authority") {
        harness.SetAuthority("third", 20);
        harness.PublishTable();
        THEN("it is forwarded there once") {
          REQUIRE(harness.forwards.size() == 2);
          CHECK(harness.forwards[1].to == DaemonId("third"));
          CHECK(harness.metrics.Retries(reason) == 1);
          harness.AnswerForward(1, NotRun(Reason::kNoAuthority));
          CHECK(harness.EndingOf(slot) == "not_run no_authority");
          CHECK(harness.metrics.Refusals(Reason::kNoAuthority) == 1);
        }
      }
      AND_WHEN("this daemon has taken the authority") {
        harness.SetAuthority("self", 20);
        harness.PublishTable();
        THEN("the request is dispatched here") {
          CHECK(harness.dispatches.size() == 1);
        }
      }
      AND_WHEN("nothing changes") {
        harness.PublishTable();
        harness.Advance(milliseconds(801));
        THEN("it ends with the refusal") {
          CHECK(harness.EndingOf(slot) ==
                "not_run " + std::string(InfoOf(reason).name));
        }
      }
    }

    WHEN("it is refused for a reason that a new authority cannot resolve") {
      harness.AnswerForward(0, NotRun(Reason::kQueueFull));
      THEN("the caller gets the refusal") {
        CHECK(harness.EndingOf(slot) == "not_run queue_full");
        CHECK(harness.metrics.Refusals(Reason::kQueueFull) == 1);
      }
    }
  }

  GIVEN("a request from a peer") {
    RouterHarness harness;
    WHEN("another daemon holds the authority") {
      harness.SetAuthority("other", 10);
      harness.PublishTable();
      const auto path = harness.ArriveFromPeer(
          harness.MakeRequest(Rank::kLookup, "a", milliseconds(500)));
      THEN("it is refused and not forwarded") {
        CHECK(harness.forwards.empty());
        REQUIRE(harness.answers.size() == 1);
        CHECK(harness.answers[0].to == path);
        CHECK(RouterHarness::Describe(harness.answers[0].result) ==
              "not_run no_authority");
        CHECK(harness.metrics.Refusals(Reason::kNoAuthority) == 0);
      }
    }
    WHEN("this daemon holds it") {
      harness.PublishTable();
      const auto path = harness.ArriveFromPeer(
          harness.MakeRequest(Rank::kLookup, "a", milliseconds(500)));
      REQUIRE(harness.dispatches.size() == 1);
      THEN("the answer goes back to the peer") {
        harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        REQUIRE(harness.answers.size() == 1);
        CHECK(harness.answers[0].to == path);
      }
      AND_WHEN("the peer cancels it") {
        harness.router.OnPeer(peer::ForwardCancelled{path}, harness.now);
        harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        THEN("nothing is answered") { CHECK(harness.answers.empty()); }
      }
    }
  }
}

SCENARIO("the process crashes if an upload fails after its group has moved") {
  GIVEN("an upload in flight, and nothing else") {
    RouterHarness harness;
    harness.PublishTable();
    const auto slot = harness.Call(Rank::kBulk, "upload");
    WHEN("another daemon takes the authority and the connection breaks") {
      harness.SetAuthority("other", 20);
      harness.PublishTable();
      harness.EndDispatch(0, Unknown(Reason::kUpstreamLost));
      THEN("the upstream is asked whether it ran") {
        REQUIRE(harness.settles.size() == 1);
        harness.EndSettle(0, upstream::SettleState::kNotRun);
        CHECK(harness.EndingOf(slot) == "not_run upstream_lost");
      }
    }
  }
}

SCENARIO("a group moves away, and its requests stay behind or are aborted") {
  GIVEN("a request in flight, one queued here and one queued for a peer") {
    RouterHarness harness;
    harness.PublishTable();
    const auto in_flight = harness.Call(Rank::kOnce, "a");
    const auto queued = harness.Call(Rank::kOnce, "b");
    harness.ArriveFromPeer(
        harness.MakeRequest(Rank::kOnce, "c", milliseconds(900)));
    REQUIRE(harness.dispatches.size() == 1);
    WHEN("another daemon takes the authority") {
      harness.SetAuthority("other", 20);
      harness.PublishTable();
      THEN("nothing more is sent to the upstream") {
        CHECK(harness.dispatches.size() == 1);
      }
      THEN("queued requests from callers go to the new authority") {
        REQUIRE(harness.forwards.size() == 1);
        CHECK(harness.forwards[0].request.id == RequestId("b"));
        harness.AnswerForward(0, RouterHarness::MakeAnswer("x"));
        CHECK(harness.EndingOf(queued) == "done");
      }
      THEN("queued requests from peers are refused as not run") {
        REQUIRE(harness.answers.size() == 1);
        CHECK(RouterHarness::Describe(harness.answers[0].result) ==
              "not_run no_authority");
      }
      THEN("the request in flight ends normally") {
        harness.EndDispatch(0, RouterHarness::MakeAnswer("x"));
        CHECK(harness.EndingOf(in_flight) == "done");
      }
      AND_WHEN("the request in flight is refused as not run after the move") {
        const std::size_t known = harness.forwards.size();
        harness.EndDispatch(0, NotRun(Reason::kUpstreamRefusedToken));
        THEN("the new authority gets it") {
          CHECK(harness.forwards.size() == known + 1);
          CHECK(harness.EndingOf(in_flight) == "open");
        }
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
