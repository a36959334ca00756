#include "bamboorack/upstream/retry_budget.h"

#include <catch2/catch.hpp>

namespace bamboorack::upstream {
namespace {

SCENARIO("retries multiply an overload") {
  GIVEN("a budget of one retry per ten requests") {
    RetryBudget budget(0.1);
    WHEN("each of 1,000 requests fails and is to be retried") {
      int retries = 0;
      for (int i = 0; i < 1000; ++i) {
        budget.OnRequest();
        if (budget.TryTake()) ++retries;
      }
      THEN("a tenth of them are retried, plus the two initial tokens") {
        CHECK(retries >= 100);
        CHECK(retries <= 102);
      }
    }
    WHEN("10,000 requests succeed and then all fail at once") {
      for (int i = 0; i < 10'000; ++i) budget.OnRequest();
      int retries = 0;
      while (budget.TryTake()) ++retries;
      THEN("the burst of retries is limited") { CHECK(retries == 10); }
    }
  }
  GIVEN("a budget of zero") {
    RetryBudget budget(0.0);
    budget.OnRequest();
    THEN("nothing is retried") { CHECK_FALSE(budget.TryTake()); }
  }
}

SCENARIO("a single failure in a group with little traffic is not retried") {
  GIVEN("a budget after one request") {
    RetryBudget budget(0.1);
    budget.OnRequest();
    THEN("a retry is allowed") { CHECK(budget.TryTake()); }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
