#include "bamboorack/upstream/service_time_estimator.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace bamboorack::upstream {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::hours(1)};
constexpr int kSlots = 4;
constexpr milliseconds kService{20};

/// Keeps `kSlots` requests in flight, staggered evenly, for `answers` answers.
/// Leaves them in flight.
MonotonicTime Saturate(ServiceTimeEstimator& estimator, int answers) {
  std::deque<std::pair<DispatchId, MonotonicTime>> running;
  std::uint64_t next = 1;
  MonotonicTime now = kStart;
  for (int i = 0; i < kSlots; ++i) {
    running.emplace_back(DispatchId(next++), now + i * kService / kSlots);
    estimator.OnStart(running.back().first, running.back().second);
  }
  for (int i = 0; i < answers; ++i) {
    const auto [id, sent] = running.front();
    running.pop_front();
    now = sent + kService;
    estimator.OnEnd(id, Rank::kLookup, true, now);
    running.emplace_back(DispatchId(next++), now);
    estimator.OnStart(running.back().first, now);
  }
  return now;
}

SCENARIO("the wait before a queued request is misjudged") {
  GIVEN("an upstream with four busy slots and answers every 5 ms") {
    const bool is_plain = GENERATE(true, false);
    INFO((is_plain ? "smoothed service time" : "load per request"));
    std::unique_ptr<ServiceTimeEstimator> estimator;
    if (is_plain) estimator = std::make_unique<SmoothedServiceTime>();
    if (!is_plain) estimator = std::make_unique<LoadPerRequest>();
    Saturate(*estimator, 200);
    REQUIRE(estimator->Active() == kSlots);
    THEN("the start is predicted within one answer of the truth") {
      for (const int ahead : {0, 5, 20}) {
        const auto predicted =
            duration_cast<milliseconds>(estimator->PredictStart(ahead, kSlots));
        const milliseconds expected = (ahead + 1) * kService / kSlots;
        INFO(ahead);
        CHECK(predicted >= expected - kService / kSlots);
        CHECK(predicted <= expected + kService / kSlots);
      }
    }
    THEN("the time of a request itself is known") {
      CHECK(duration_cast<milliseconds>(
                estimator->ServiceTime(Rank::kLookup)) == kService);
    }
  }
}

SCENARIO("failures are taken for fast answers") {
  GIVEN("an upstream that answered in 20 ms and now refuses within 1 ms") {
    SmoothedServiceTime estimator;
    Saturate(estimator, 50);
    for (int i = 0; i < 100; ++i) {
      estimator.OnStart(DispatchId(10'000 + i), kStart);
      estimator.OnEnd(DispatchId(10'000 + i), Rank::kLookup, false,
                      kStart + milliseconds(1));
    }
    THEN("the service time stays") {
      CHECK(duration_cast<milliseconds>(estimator.ServiceTime(Rank::kLookup)) ==
            kService);
    }
  }
}

SCENARIO("a result that came twice spoils the count of requests in flight") {
  GIVEN("one request in flight") {
    LoadPerRequest estimator;
    estimator.OnStart(DispatchId(1), kStart);
    WHEN("it ends twice") {
      estimator.OnEnd(DispatchId(1), Rank::kOnce, true, kStart + kService);
      estimator.OnEnd(DispatchId(1), Rank::kOnce, true, kStart + kService);
      THEN("nothing is in flight") { CHECK(estimator.Active() == 0); }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
