#include <catch2/catch.hpp>

#include "daemon/router_harness.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

SCENARIO("a request that may have run is sent again or reported as not run") {
  GIVEN("a request in flight and an upstream that can't settle") {
    struct Case {
      Rank rank;
      Ending ending;
      Reason reason;
      bool is_retried;
    };
    const auto [rank, ending, reason, is_retried] = GENERATE(
        Case{Rank::kLookup, Ending::kNotRun, Reason::kUpstreamShed, true},
        Case{Rank::kLookup, Ending::kNotRun, Reason::kUpstreamDraining, true},
        Case{Rank::kLookup, Ending::kNotRun, Reason::kUpstreamLost, true},
        Case{Rank::kLookup, Ending::kUnknown, Reason::kUpstreamLost, true},
        Case{Rank::kLookup, Ending::kUnknown, Reason::kUpstreamBadAnswer, true},
        Case{Rank::kLookup, Ending::kNotRun, Reason::kDeadlinePassed, false},
        Case{Rank::kLookup, Ending::kNotRun, Reason::kRingFull, false},
        Case{Rank::kOnce, Ending::kNotRun, Reason::kUpstreamShed, true},
        Case{Rank::kOnce, Ending::kNotRun, Reason::kUpstreamRefusedOwner, true},
        Case{Rank::kOnce, Ending::kUnknown, Reason::kUpstreamLost, false},
        Case{Rank::kOnce, Ending::kUnknown, Reason::kUpstreamBadAnswer, false},
        Case{Rank::kBulk, Ending::kNotRun, Reason::kUpstreamRefusedToken, true},
        Case{Rank::kBulk, Ending::kUnknown, Reason::kUpstreamLost, false});
    INFO(NameOf(rank) << ' ' << NameOf(ending) << ' ' << InfoOf(reason).name);
    RouterHarness harness;
    harness.state.inventory.services[0].can_settle = false;
    harness.PublishTable();
    const auto slot = harness.Call(rank, "a", milliseconds(2000));
    const Refusal refusal{ending, reason, {}};

    WHEN("the attempt fails") {
      harness.EndDispatch(0, tl::make_unexpected(refusal));
      harness.Advance(milliseconds(250));
      THEN("it is retried only if that is safe") {
        CHECK(harness.dispatches.size() == (is_retried ? 2 : 1));
        CHECK(harness.metrics.Retries(reason) == (is_retried ? 1 : 0));
        const std::string expected_ending = std::string(NameOf(ending)) + " " +
                                            std::string(InfoOf(reason).name);
        CHECK(harness.EndingOf(slot) ==
              (is_retried ? "open" : expected_ending));
      }
      if (is_retried) {
        AND_WHEN("the second attempt is answered") {
          harness.EndDispatch(1, RouterHarness::MakeAnswer("x"));
          THEN("the caller gets the answer") {
            CHECK(harness.EndingOf(slot) == "done");
          }
        }
        AND_WHEN("all attempts fail") {
          harness.EndDispatch(1, NotRun(Reason::kUpstreamShed));
          harness.EndDispatch(2, NotRun(Reason::kUpstreamShed));
          THEN("it ends after three attempts, as unknown if one may have run") {
            CHECK(harness.EndingOf(slot) ==
                  std::string(NameOf(ending)) + " upstream_shed");
            CHECK(harness.metrics.Refusals(Reason::kUpstreamShed) == 1);
            CHECK(harness.router.IsIdle());
          }
        }
      }
    }
  }
}

SCENARIO("retries amplify an overload without bound") {
  GIVEN("an upstream that sheds everything") {
    RouterHarness harness;
    harness.PublishTable();
    WHEN("100 lookups arrive, one after another") {
      std::size_t ended = 0;
      for (int i = 0; i < 100; ++i) {
        harness.Call(Rank::kLookup, "r" + std::to_string(i));
        while (ended < harness.dispatches.size()) {
          harness.EndDispatch(ended++, NotRun(Reason::kUpstreamShed));
        }
      }
      THEN("a tenth of them is retried, plus an initial budget of two") {
        CHECK(harness.metrics.Retries(Reason::kUpstreamShed) <= 12);
        CHECK(harness.metrics.Retries(Reason::kUpstreamShed) >= 10);
        CHECK(harness.metrics.Refusals(Reason::kRetryBudgetEmpty) > 50);
        CHECK(harness.endings.size() == 100);
      }
    }
  }
}

SCENARIO("the answer to one attempt is delivered for another request") {
  GIVEN("two requests with the same id that are not once-only") {
    RouterHarness harness;
    harness.PublishTable();
    harness.WarmUp();
    const auto first = harness.Call(Rank::kLookup, "same");
    const auto second = harness.Call(Rank::kLookup, "same");
    REQUIRE(harness.dispatches.size() == 2);
    WHEN("they are answered in the other order") {
      harness.EndDispatch(1, RouterHarness::MakeAnswer("second"));
      harness.EndDispatch(0, RouterHarness::MakeAnswer("first"));
      THEN("each caller gets its own answer") {
        CHECK(*harness.EndingsOf(first).at(0)->body == "first");
        CHECK(*harness.EndingsOf(second).at(0)->body == "second");
      }
    }
    WHEN("a result arrives twice") {
      harness.EndDispatch(0, RouterHarness::MakeAnswer("first"));
      harness.EndDispatch(0, RouterHarness::MakeAnswer("first"));
      THEN("the second one is dropped and counted") {
        CHECK(harness.EndingOf(first) == "done");
        CHECK(harness.EndingOf(second) == "open");
        CHECK(harness.metrics.CountOf("dispatch_results_unexpected") == 1);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
