#include "bamboorack/upstream/dispatch_queue.h"

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

constexpr std::array<double, kRankCount> kFloors = {0.5, 0.3, 0.1};
const MonotonicTime kStart{std::chrono::hours(1)};
const MonotonicTime kDistantDeadline = kStart + std::chrono::hours(1);

/// Pops the next request with a concurrency limit that is never reached.
std::optional<QueuedWork> PopNext(DispatchQueue& queue,
                                  const ServiceTimeEstimator& estimator) {
  std::vector<DroppedWork> dropped;
  return queue.Pop(estimator, 100, kStart, dropped);
}

/// Records `count` answers that took `each` in `estimator`.
void RecordAnswers(ServiceTimeEstimator& estimator, int count,
                   milliseconds each, Rank rank = Rank::kLookup) {
  for (int i = 0; i < count; ++i) {
    const DispatchId id(100'000 + i);
    estimator.OnStart(id, rank, kStart);
    estimator.OnEnd(id, true, kStart + each);
  }
}

/// Records the start of `active` requests, which stay in flight.
void StartRequests(ServiceTimeEstimator& estimator, int active,
                   Rank rank = Rank::kLookup) {
  for (int i = 0; i < active; ++i) {
    estimator.OnStart(DispatchId(i), rank, kStart);
  }
}

SCENARIO("a flood of one rank starves the others") {
  GIVEN("a queue in which some ranks always have requests queued") {
    struct Case {
      std::string_view name;
      std::array<bool, kRankCount> is_flooding;
      std::array<double, kRankCount> least;
    };
    const auto [name, is_flooding, least] = GENERATE(
        Case{"only bulk", {false, false, true}, {0.0, 0.0, 1.0}},
        Case{"lookup and bulk", {true, false, true}, {0.899, 0.0, 0.1}},
        Case{"once and bulk", {false, true, true}, {0.0, 0.899, 0.1}},
        Case{"lookup and once", {true, true, false}, {0.699, 0.3, 0.0}},
        Case{"all ranks", {true, true, true}, {0.599, 0.3, 0.1}});
    SmoothedServiceTime estimator;
    DispatchQueue queue(kFloors, 64);
    std::uint64_t next_id = 1;
    std::map<Rank, double> dispatched;

    WHEN("1,000 requests are dispatched: " + std::string(name)) {
      for (int i = 0; i < 1000; ++i) {
        for (const Rank rank : kRanks) {
          while (is_flooding.at(IndexOf(rank)) && queue.Size(rank) < 5) {
            REQUIRE(queue.Push({WorkId(next_id++), rank, kDistantDeadline},
                               estimator, 1, kStart));
          }
        }
        dispatched[PopNext(queue, estimator)->rank] += 0.001;
      }
      THEN("each rank gets its floor, and the most urgent one gets the rest") {
        for (const Rank rank : kRanks) {
          INFO(NameOf(rank));
          CHECK(dispatched[rank] >= least.at(IndexOf(rank)) - 0.002);
        }
      }
    }
  }
}

SCENARIO(
    "slow uploads take most of the slot time with a tenth of the dispatches") {
  GIVEN("queued lookups that take 4 ms and queued uploads that take 160 ms") {
    SmoothedServiceTime estimator;
    RecordAnswers(estimator, 50, milliseconds(4), Rank::kLookup);
    RecordAnswers(estimator, 50, milliseconds(160), Rank::kBulk);
    DispatchQueue queue(kFloors, 64);
    std::uint64_t next_id = 1;
    double lookup_ms = 0.0;
    double bulk_ms = 0.0;
    WHEN("20,000 requests are dispatched") {
      for (int i = 0; i < 20'000; ++i) {
        for (const Rank rank : {Rank::kLookup, Rank::kBulk}) {
          while (queue.Size(rank) < 5) {
            REQUIRE(queue.Push({WorkId(next_id++), rank, kDistantDeadline},
                               estimator, 100, kStart));
          }
        }
        const bool is_bulk = PopNext(queue, estimator)->rank == Rank::kBulk;
        (is_bulk ? bulk_ms : lookup_ms) += is_bulk ? 160.0 : 4.0;
      }
      THEN("the uploads get their floor of the slot time and no more") {
        const double share = bulk_ms / (bulk_ms + lookup_ms);
        CHECK(share >= 0.095);
        CHECK(share <= 0.105);
      }
    }
  }
}

SCENARIO("uploads hold every slot when a lookup arrives") {
  GIVEN("an upstream with three slots, two of them taken by uploads") {
    SmoothedServiceTime estimator;
    RecordAnswers(estimator, 50, milliseconds(4), Rank::kLookup);
    RecordAnswers(estimator, 50, milliseconds(160), Rank::kBulk);
    StartRequests(estimator, 2, Rank::kBulk);
    DispatchQueue queue(kFloors, 64);
    std::vector<DroppedWork> dropped;
    REQUIRE(queue.Push({WorkId(1), Rank::kBulk, kDistantDeadline}, estimator, 3,
                       kStart));
    WHEN("no other rank is in use") {
      THEN("a third upload gets the last slot") {
        CHECK(queue.Pop(estimator, 3, kStart, dropped).has_value());
      }
    }
    WHEN("lookups are in use") {
      REQUIRE(queue.Push({WorkId(2), Rank::kLookup, kDistantDeadline},
                         estimator, 3, kStart));
      CHECK(queue.Pop(estimator, 3, kStart, dropped)->id == WorkId(2));
      THEN("the last slot is reserved for them") {
        CHECK_FALSE(queue.Pop(estimator, 3, kStart, dropped).has_value());
        CHECK(queue.Pop(estimator, 4, kStart, dropped).has_value());
      }
      AND_WHEN("no lookup arrives for a second") {
        const MonotonicTime later = kStart + milliseconds(1001);
        THEN("the upload gets the slot") {
          CHECK(queue.Pop(estimator, 3, later, dropped).has_value());
        }
      }
    }
  }
}

SCENARIO("urgent requests wait behind earlier, less urgent ones") {
  GIVEN("queued bulk requests") {
    SmoothedServiceTime estimator;
    DispatchQueue queue(kFloors, 64);
    REQUIRE(queue.Push({WorkId(1), Rank::kBulk, kDistantDeadline}, estimator, 1,
                       kStart));
    REQUIRE(queue.Push({WorkId(2), Rank::kBulk, kDistantDeadline}, estimator, 1,
                       kStart));
    WHEN("once and lookup requests arrive") {
      REQUIRE(queue.Push({WorkId(3), Rank::kOnce, kDistantDeadline}, estimator,
                         1, kStart));
      REQUIRE(queue.Push({WorkId(4), Rank::kLookup, kDistantDeadline},
                         estimator, 1, kStart));
      THEN("they go by rank, and within a rank in order of arrival") {
        CHECK(PopNext(queue, estimator)->id == WorkId(4));
        CHECK(PopNext(queue, estimator)->id == WorkId(3));
        CHECK(PopNext(queue, estimator)->id == WorkId(1));
        CHECK(PopNext(queue, estimator)->id == WorkId(2));
        CHECK_FALSE(PopNext(queue, estimator).has_value());
      }
    }
  }
}

SCENARIO("an idle rank accumulates credit for a burst") {
  GIVEN("a queue that has dispatched 500 lookups") {
    SmoothedServiceTime estimator;
    DispatchQueue queue(kFloors, 64);
    std::uint64_t next_id = 1;
    const auto push = [&](Rank rank) {
      REQUIRE(queue.Push({WorkId(next_id++), rank, kDistantDeadline}, estimator,
                         1, kStart));
    };
    for (int i = 0; i < 500; ++i) {
      push(Rank::kLookup);
      PopNext(queue, estimator);
    }
    WHEN("bulk requests arrive with more lookups") {
      for (int i = 0; i < 20; ++i) {
        push(Rank::kBulk);
        push(Rank::kLookup);
      }
      int bulk = 0;
      for (int i = 0; i < 10; ++i) {
        if (PopNext(queue, estimator)->rank == Rank::kBulk) ++bulk;
      }
      THEN("bulk gets no more than its floor") { CHECK(bulk <= 1); }
    }
  }
}

SCENARIO("a full rank blocks another") {
  GIVEN("a queue with a limit of 3 for each rank and 3 bulk requests") {
    SmoothedServiceTime estimator;
    DispatchQueue queue(kFloors, 3);
    for (std::uint64_t i = 1; i <= 3; ++i) {
      REQUIRE(queue.Push({WorkId(i), Rank::kBulk, kDistantDeadline}, estimator,
                         1, kStart));
    }
    THEN("further bulk requests are refused, lookups are not") {
      const auto refused = queue.Push(
          {WorkId(4), Rank::kBulk, kDistantDeadline}, estimator, 1, kStart);
      REQUIRE_FALSE(refused.has_value());
      CHECK(refused.error() == Reason::kQueueFull);
      CHECK(queue.Push({WorkId(5), Rank::kLookup, kDistantDeadline}, estimator,
                       1, kStart));
    }
  }
}

SCENARIO("a request is queued that can't be answered before its deadline") {
  GIVEN("an upstream with two busy slots and requests of 10 ms") {
    SmoothedServiceTime estimator;
    RecordAnswers(estimator, 50, milliseconds(10));
    StartRequests(estimator, 2);
    DispatchQueue queue(kFloors, 64);
    for (std::uint64_t i = 1; i <= 8; ++i) {
      REQUIRE(queue.Push({WorkId(i), Rank::kLookup, kDistantDeadline},
                         estimator, 2, kStart));
    }

    struct Case {
      milliseconds remaining;
      bool is_accepted;
      Reason reason;
    };
    // With eight requests queued before it, it starts after about 45 ms and is
    // assumed to need three times 10 ms.
    const auto [remaining, is_accepted, reason] =
        GENERATE(Case{milliseconds(0), false, Reason::kDeadlinePassed},
                 Case{milliseconds(30), false, Reason::kDeadlineWouldPass},
                 Case{milliseconds(60), false, Reason::kDeadlineWouldPass},
                 Case{milliseconds(90), true, Reason::kDeadlineWouldPass});
    WHEN("a lookup with " << remaining.count() << " ms left arrives") {
      const auto pushed = queue.Push(
          {WorkId(9), Rank::kLookup, kStart + remaining}, estimator, 2, kStart);
      THEN("it is refused on arrival unless it can be answered in time") {
        CHECK(pushed.has_value() == is_accepted);
        if (!pushed) CHECK(pushed.error() == reason);
      }
    }
  }
}

SCENARIO("a wrong estimate is never corrected, so all requests are refused") {
  GIVEN("an upstream that took a second for each request") {
    SmoothedServiceTime estimator;
    RecordAnswers(estimator, 50, milliseconds(1000));
    DispatchQueue queue(kFloors, 64);
    WHEN("nothing is in flight and a request with 100 ms left arrives") {
      const auto pushed =
          queue.Push({WorkId(1), Rank::kLookup, kStart + milliseconds(100)},
                     estimator, 1, kStart);
      THEN(
          "it is accepted and sent, so that its answer corrects the estimate") {
        CHECK(pushed.has_value());
        CHECK(queue.RemoveExpired(kStart).empty());
        CHECK(PopNext(queue, estimator).has_value());
      }
    }
  }
}

SCENARIO("expired or cancelled requests are sent or stay in the queue") {
  GIVEN("requests with different deadlines") {
    SmoothedServiceTime estimator;
    DispatchQueue queue(kFloors, 64);
    const auto push = [&](std::uint64_t id, Rank rank, int deadline_ms) {
      REQUIRE(queue.Push({WorkId(id), rank, kStart + milliseconds(deadline_ms)},
                         estimator, 1, kStart));
    };
    push(1, Rank::kLookup, 50);
    push(2, Rank::kLookup, 10);
    push(3, Rank::kBulk, 20);
    push(4, Rank::kBulk, 500);

    WHEN("30 ms pass") {
      const auto dropped = queue.RemoveExpired(kStart + milliseconds(30));
      THEN("all expired requests are removed and returned") {
        REQUIRE(dropped.size() == 2);
        CHECK(dropped[0].id == WorkId(2));
        CHECK(dropped[1].id == WorkId(3));
        CHECK(dropped[0].reason == Reason::kDeadlinePassed);
        CHECK(queue.Size() == 2);
      }
      AND_WHEN("the others expire later") {
        const auto later = queue.RemoveExpired(kStart + milliseconds(501));
        THEN("they are removed too") {
          CHECK(later.size() == 2);
          CHECK(queue.Size() == 0);
        }
      }
    }

    WHEN("requests usually take 100 ms and a slot becomes free") {
      RecordAnswers(estimator, 50, milliseconds(100));
      StartRequests(estimator, 1);
      std::vector<DroppedWork> dropped;
      const auto work = queue.Pop(estimator, 2, kStart, dropped);
      THEN("a lookup that would be late is dropped in favor of the next one") {
        REQUIRE(dropped.size() == 1);
        CHECK(dropped[0].id == WorkId(1));
        CHECK(dropped[0].reason == Reason::kDeadlineWouldPass);
        REQUIRE(work.has_value());
        CHECK(work->id == WorkId(2));
      }
    }

    WHEN("no slot is free") {
      StartRequests(estimator, 2);
      std::vector<DroppedWork> dropped;
      THEN("nothing is returned") {
        CHECK_FALSE(queue.Pop(estimator, 2, kStart, dropped).has_value());
        CHECK(dropped.empty());
      }
    }

    WHEN("one request is cancelled") {
      CHECK(queue.Remove(WorkId(1)));
      THEN("only that one is removed") {
        CHECK_FALSE(queue.Remove(WorkId(1)));
        CHECK(queue.Size() == 3);
        CHECK(PopNext(queue, estimator)->id == WorkId(2));
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
