#include "bamboorack/core/bounded_ring.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>

namespace bamboorack {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

SCENARIO("a full ring would block or drop work unseen") {
  GIVEN("a ring with room for two items") {
    BoundedRing<std::unique_ptr<int>> ring(2);
    REQUIRE(ring.TryPush(std::make_unique<int>(1)));
    REQUIRE(ring.TryPush(std::make_unique<int>(2)));

    WHEN("a third item is pushed") {
      auto third = std::make_unique<int>(3);
      const bool was_pushed = ring.TryPush(std::move(third));
      THEN("it is refused and stays with the producer") {
        CHECK_FALSE(was_pushed);
        REQUIRE(third != nullptr);
        CHECK(*third == 3);
      }
    }

    WHEN("the items are popped") {
      THEN("they come out in order and then nothing comes") {
        CHECK(**ring.TryPop() == 1);
        CHECK(**ring.TryPop() == 2);
        CHECK_FALSE(ring.TryPop().has_value());
      }
    }

    WHEN("the ring is closed") {
      ring.Close();
      THEN("pushes are refused but waiting items are still delivered") {
        CHECK_FALSE(ring.TryPush(std::make_unique<int>(3)));
        CHECK(**ring.PopUntil(steady_clock::now()) == 1);
        CHECK(**ring.PopUntil(steady_clock::now()) == 2);
        CHECK_FALSE(
            ring.PopUntil(steady_clock::now() + milliseconds(1)).has_value());
      }
    }
  }
}

SCENARIO("a consumer misses an item that another thread pushes") {
  GIVEN("a consumer that adds up what it pops") {
    constexpr int kItems = 10'000;
    BoundedRing<int> ring(16);
    long long sum = 0;
    std::thread consumer([&ring, &sum] {
      while (true) {
        const auto item =
            ring.PopUntil(steady_clock::now() + std::chrono::seconds(10));
        if (!item) return;
        sum += *item;
      }
    });
    WHEN("a producer retries each refused push") {
      for (int i = 1; i <= kItems; ++i) {
        int item = i;
        while (!ring.TryPush(std::move(item))) std::this_thread::yield();
      }
      ring.Close();
      consumer.join();
      THEN("every item arrives exactly once") {
        CHECK(sum == static_cast<long long>(kItems) * (kItems + 1) / 2);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack
