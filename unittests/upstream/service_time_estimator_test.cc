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

/// Records `answers` answers while `kSlots` evenly staggered requests are in
/// flight. Leaves `kSlots` requests in flight and returns the end time.
MonotonicTime Saturate(ServiceTimeEstimator& estimator, int answers) {
  std::deque<std::pair<DispatchId, MonotonicTime>> running;
  std::uint64_t next = 1;
  MonotonicTime now = kStart;
  for (int i = 0; i < kSlots; ++i) {
    running.emplace_back(DispatchId(next++), now + i * kService / kSlots);
    estimator.OnStart(running.back().first, Rank::kLookup,
                      running.back().second);
  }
  for (int i = 0; i < answers; ++i) {
    const auto [id, sent] = running.front();
    running.pop_front();
    now = sent + kService;
    estimator.OnEnd(id, true, now);
    running.emplace_back(DispatchId(next++), now);
    estimator.OnStart(running.back().first, Rank::kLookup, now);
  }
  return now;
}

SCENARIO("the predicted wait of a queued request is wrong") {
  GIVEN("an upstream with four busy slots and one answer every 5 ms") {
    const bool uses_service_time = GENERATE(true, false);
    INFO((uses_service_time ? "smoothed service time" : "load per request"));
    std::unique_ptr<ServiceTimeEstimator> estimator;
    if (uses_service_time) estimator = std::make_unique<SmoothedServiceTime>();
    if (!uses_service_time) estimator = std::make_unique<LoadPerRequest>();
    Saturate(*estimator, 200);
    REQUIRE(estimator->Active() == kSlots);
    THEN("the predicted start is off by at most one answer interval") {
      for (const double ahead : {0.0, 5.0, 20.0}) {
        const auto predicted = duration_cast<milliseconds>(
            estimator->PredictStart({ahead, 0.0, 0.0}, kSlots));
        const milliseconds expected =
            (static_cast<int>(ahead) + 1) * kService / kSlots;
        INFO(ahead);
        CHECK(predicted >= expected - kService / kSlots);
        CHECK(predicted <= expected + kService / kSlots);
      }
    }
    THEN("the service time is measured") {
      CHECK(duration_cast<milliseconds>(
                estimator->ServiceTime(Rank::kLookup)) == kService);
    }
  }
}

SCENARIO("slow uploads raise the predicted time of lookups") {
  GIVEN("an upstream with two slots and both lookups and uploads") {
    SmoothedServiceTime estimator;
    for (int i = 0; i < 100; ++i) {
      estimator.OnStart(DispatchId(2 * i), Rank::kLookup, kStart);
      estimator.OnEnd(DispatchId(2 * i), true, kStart + milliseconds(4));
      estimator.OnStart(DispatchId(2 * i + 1), Rank::kBulk, kStart);
      estimator.OnEnd(DispatchId(2 * i + 1), true, kStart + milliseconds(150));
    }
    estimator.OnStart(DispatchId(1000), Rank::kLookup, kStart);
    estimator.OnStart(DispatchId(1001), Rank::kLookup, kStart);
    THEN("ten lookups ahead take the service time of lookups") {
      CHECK(duration_cast<milliseconds>(estimator.PredictStart(
                {10.0, 0.0, 0.0}, 2)) <= milliseconds(22));
    }
  }
}

SCENARIO("failures are counted as fast answers") {
  GIVEN("an upstream that answered in 20 ms and now refuses after 1 ms") {
    SmoothedServiceTime estimator;
    Saturate(estimator, 50);
    for (int i = 0; i < 100; ++i) {
      estimator.OnStart(DispatchId(10'000 + i), Rank::kLookup, kStart);
      estimator.OnEnd(DispatchId(10'000 + i), false, kStart + milliseconds(1));
    }
    THEN("the service time does not change") {
      CHECK(duration_cast<milliseconds>(estimator.ServiceTime(Rank::kLookup)) ==
            kService);
    }
  }
}

SCENARIO("a duplicate result changes the count of requests in flight") {
  GIVEN("one request in flight") {
    LoadPerRequest estimator;
    estimator.OnStart(DispatchId(1), Rank::kOnce, kStart);
    WHEN("it ends twice") {
      estimator.OnEnd(DispatchId(1), true, kStart + kService);
      estimator.OnEnd(DispatchId(1), true, kStart + kService);
      THEN("nothing is in flight") { CHECK(estimator.Active() == 0); }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
