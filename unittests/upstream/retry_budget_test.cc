#include "bamboorack/upstream/retry_budget.h"

#include <catch2/catch.hpp>

namespace bamboorack::upstream {
namespace {

SCENARIO("retries multiply an overload") {
  GIVEN("a budget of one retry for ten requests") {
    RetryBudget budget(0.1);
    WHEN("each of 1,000 requests fails and wants a retry") {
      int retries = 0;
      for (int i = 0; i < 1000; ++i) {
        budget.OnRequest();
        if (budget.TryTake()) ++retries;
      }
      THEN("a tenth of them get one, besides the two to begin with") {
        CHECK(retries >= 100);
        CHECK(retries <= 102);
      }
    }
    WHEN("10,000 requests succeed and then all fail at once") {
      for (int i = 0; i < 10'000; ++i) budget.OnRequest();
      int retries = 0;
      while (budget.TryTake()) ++retries;
      THEN("little was saved up") { CHECK(retries == 10); }
    }
  }
  GIVEN("a budget of nothing") {
    RetryBudget budget(0.0);
    budget.OnRequest();
    THEN("nothing is retried") { CHECK_FALSE(budget.TryTake()); }
  }
}

SCENARIO("a single failure in a quiet group is not retried") {
  GIVEN("a budget that saw one request") {
    RetryBudget budget(0.1);
    budget.OnRequest();
    THEN("a retry is allowed") { CHECK(budget.TryTake()); }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
