#include "bamboorack/upstream/concurrency_limit.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::hours(1)};

/// Records `count` consecutive lookups that took `each`. Returns the end time.
MonotonicTime RecordAnswers(ConcurrencyLimit& limit, int count,
                            milliseconds each, MonotonicTime now) {
  for (int i = 0; i < count; ++i) {
    limit.OnAnswer(Rank::kLookup, now, now + each);
    now += each;
  }
  return now;
}

SCENARIO("a cold or overloaded upstream gets more than it can run") {
  GIVEN("an upstream with 6 slots and no requests so far") {
    ConcurrencyLimit limit(6);
    THEN("one request is allowed") { CHECK(limit.Current() == 1); }

    WHEN("it answers 300 requests") {
      MonotonicTime now = RecordAnswers(limit, 300, milliseconds(10), kStart);
      THEN("the limit equals its slots") { CHECK(limit.Current() == 6); }
      AND_WHEN("it answers 500 more") {
        now = RecordAnswers(limit, 500, milliseconds(10), now);
        THEN("the limit stays at its slots") { CHECK(limit.Current() == 6); }
      }

      AND_WHEN("it sheds, times out or becomes slow") {
        struct Case {
          std::string_view name;
          std::uint32_t highest;
        };
        const auto [name, highest] =
            GENERATE(Case{"shed", 4}, Case{"timeout", 3}, Case{"lost", 3},
                     Case{"latency", 4});
        if (name == "shed") limit.OnShed(now, now + milliseconds(1));
        if (name == "timeout") {
          limit.OnTimeout(Rank::kLookup, now, now + milliseconds(500));
          now += milliseconds(500);
        }
        if (name == "lost") limit.OnLost(now, now + milliseconds(1));
        if (name == "latency")
          now = RecordAnswers(limit, 60, milliseconds(50), now);
        INFO(name);
        THEN("the limit falls") {
          CHECK(limit.Current() <= highest);
          AND_WHEN("it answers normally again") {
            RecordAnswers(limit, 300, milliseconds(10), now + milliseconds(2));
            THEN("the limit returns to its slots") {
              CHECK(limit.Current() == 6);
            }
          }
        }
      }

      AND_WHEN("six requests in flight are shed together") {
        for (int i = 0; i < 6; ++i) limit.OnShed(now, now + milliseconds(1));
        THEN("the limit falls only once") { CHECK(limit.Current() == 4); }
      }

      AND_WHEN("every request times out") {
        for (int i = 0; i < 50; ++i) {
          limit.OnTimeout(Rank::kLookup, now, now + milliseconds(500));
          now += milliseconds(500);
        }
        THEN("one request is still allowed") { CHECK(limit.Current() == 1); }
      }

      AND_WHEN("requests that were sent just before their deadline time out") {
        for (int i = 0; i < 50; ++i) {
          limit.OnTimeout(Rank::kLookup, now, now + milliseconds(15));
          now += milliseconds(15);
        }
        THEN("the limit stays") { CHECK(limit.Current() == 6); }
      }

      AND_WHEN("the inventory reduces its slots to two") {
        limit.SetSlots(2);
        THEN("the limit follows") { CHECK(limit.Current() == 2); }
      }
    }
  }
}

SCENARIO("a mix of fast and slow ranks is treated as an overload") {
  GIVEN("an upstream at its full limit") {
    ConcurrencyLimit limit(6);
    MonotonicTime now = RecordAnswers(limit, 20, milliseconds(5), kStart);
    WHEN("uploads that take 200 ms join lookups that take 5 ms") {
      for (int i = 0; i < 200; ++i) {
        limit.OnAnswer(Rank::kBulk, now, now + milliseconds(200));
        limit.OnAnswer(Rank::kLookup, now, now + milliseconds(5));
        now += milliseconds(200);
      }
      THEN("the limit stays, because each rank has its own mean") {
        CHECK(limit.Current() == 6);
      }
    }
  }
}

SCENARIO("a wide spread of service times is treated as an overload") {
  GIVEN("an upstream with 6 slots and exponential service times") {
    ConcurrencyLimit limit(6);
    MonotonicTime now = kStart;
    double sum = 0.0;
    WHEN("it answers 20,000 requests") {
      constexpr int kAnswers = 20'000;
      for (int i = 0; i < kAnswers; ++i) {
        // Quantiles of the exponential distribution in a pseudo-random order.
        const double u = ((i * 7919LL) % kAnswers + 0.5) / kAnswers;
        const auto each = std::chrono::microseconds(
            static_cast<int>(-10'000.0 * std::log(u)));
        limit.OnAnswer(Rank::kLookup, now, now + each);
        now += each;
        sum += limit.Current();
      }
      THEN("the limit stays close to its slots") {
        CHECK(sum / kAnswers > 5.9);
      }
    }
  }
}

TEST_CASE("the limit leaves the range from one to the slots") {
  CHECK(rc::check([] {
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 12);
    ConcurrencyLimit limit(slots);
    MonotonicTime now = kStart;
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int event : events) {
      const MonotonicTime sent = now;
      now += milliseconds(*rc::gen::inRange(1, 500));
      if (event == 0) limit.OnShed(sent, now);
      if (event == 1) limit.OnTimeout(Rank::kOnce, sent, now);
      if (event > 1) limit.OnAnswer(Rank::kOnce, sent, now);
      RC_ASSERT(limit.Current() >= 1U);
      RC_ASSERT(limit.Current() <= slots);
    }
  }));
}

}  // namespace
}  // namespace bamboorack::upstream
