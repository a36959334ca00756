#include "bamboorack/core/memory_budget.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

namespace bamboorack {
namespace {

constexpr MemoryLimits kLimits = {100, 1'000, 10, 50};

SCENARIO("the bytes held for peers grow beyond the memory of the process") {
  const auto budget = std::make_shared<MemoryBudget>(kLimits);
  int wakes = 0;
  budget->SetWaker(MemoryUse::kUploads, [&wakes] { ++wakes; });

  GIVEN("an upload that takes up most of its share") {
    MemoryReservation first(budget, MemoryUse::kUploads);
    REQUIRE(first.TryResize(900));
    CHECK(wakes == 0);
    WHEN("another one does not fit") {
      MemoryReservation second(budget, MemoryUse::kUploads);
      REQUIRE_FALSE(second.TryResize(101));
      THEN("nothing is held for it") {
        CHECK(second.Bytes() == 0);
        CHECK(budget->Held(MemoryUse::kUploads) == 900);
      }
      THEN("it may hold what is left, and ever hold the whole share") {
        CHECK(second.TryResize(100));
        CHECK(second.CanEverHold(1'000));
        CHECK_FALSE(second.CanEverHold(1'001));
      }
      THEN("the thread that waits is told once when bytes are released") {
        first.Set(800);
        CHECK(wakes == 1);
        first.Set(700);
        CHECK(wakes == 1);
      }
    }
    THEN("the other uses keep their shares") {
      MemoryReservation request(budget, MemoryUse::kRequests);
      CHECK(request.TryResize(100));
      CHECK_FALSE(request.TryResize(101));
      CHECK(request.Bytes() == 100);
    }
  }
  GIVEN("more than the limit, held already") {
    MemoryReservation answer(budget, MemoryUse::kAnswers);
    answer.Set(11);
    THEN("nothing more is granted until it is released") {
      MemoryReservation other(budget, MemoryUse::kAnswers);
      CHECK_FALSE(other.TryResize(1));
      answer.Set(9);
      CHECK(other.TryResize(1));
      CHECK(budget->Peak(MemoryUse::kAnswers) == 11);
    }
  }
  GIVEN("a reservation that changes hands") {
    MemoryReservation first(budget, MemoryUse::kLargeAnswers);
    REQUIRE(first.TryResize(40));
    MemoryReservation second(std::move(first));
    CHECK(budget->Held(MemoryUse::kLargeAnswers) == 40);
    MemoryReservation third(budget, MemoryUse::kLargeAnswers);
    REQUIRE(third.TryResize(10));
    third = std::move(second);
    THEN("what the target held before is released") {
      CHECK(budget->Held(MemoryUse::kLargeAnswers) == 40);
    }
    WHEN("a body keeps it") {
      Body body = MakeBody(std::string(40, 'x'), std::move(third));
      const Body copy = body;
      body.reset();
      THEN("it is held as long as anybody has the body") {
        CHECK(copy->size() == 40);
        CHECK(budget->Held(MemoryUse::kLargeAnswers) == 40);
      }
    }
    WHEN("the last owner drops the body") {
      MakeBody(std::string(40, 'x'), std::move(third));
      THEN("it is released") {
        CHECK(budget->Held(MemoryUse::kLargeAnswers) == 0);
      }
    }
  }
}

SCENARIO("an operator cannot see what the memory is used for") {
  Metrics metrics;
  const auto budget = MakeMemoryBudget(400, metrics);
  CHECK(budget->Limit(MemoryUse::kUploads) == 150'000'000);
  MemoryReservation upload(budget, MemoryUse::kUploads);
  REQUIRE(upload.TryResize(7));
  upload.Set(3);
  const std::string text = metrics.ToPrometheusText();
  CHECK_THAT(text, Catch::Contains("bamboorack_memory_uploads_bytes 3\n"));
  CHECK_THAT(text, Catch::Contains("bamboorack_memory_uploads_peak_bytes 7\n"));
  CHECK_THAT(
      text, Catch::Contains("bamboorack_memory_uploads_limit_bytes 1.5e+08\n"));
}

}  // namespace
}  // namespace bamboorack
