#include "bamboorack/core/duty_loop.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

namespace bamboorack {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Waits until `turns` has reached `count`, at most 10 s.
void WaitFor(const std::atomic<int>& turns, int count) {
  const auto end = steady_clock::now() + seconds(10);
  while (turns < count && steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

SCENARIO("a duty misses a wake-up, or its thread spins") {
  GIVEN("a duty whose next turn is due in an hour") {
    std::atomic<int> turns{0};
    DutyLoop loop([&turns](MonotonicTime now) {
      ++turns;
      return now + hours(1);
    });
    loop.Start();
    WaitFor(turns, 1);

    THEN("it waits") {
      std::this_thread::sleep_for(milliseconds(50));
      CHECK(turns == 1);
    }
    THEN("a notification brings one turn") {
      loop.Notify();
      WaitFor(turns, 2);
      std::this_thread::sleep_for(milliseconds(50));
      CHECK(turns == 2);
    }
    THEN("a stop ends the wait, and no turn follows") {
      const auto begun = steady_clock::now();
      loop.Stop();
      CHECK(steady_clock::now() - begun < seconds(10));
      const int before = turns;
      loop.Notify();
      std::this_thread::sleep_for(milliseconds(20));
      CHECK(turns == before);
    }
  }

  GIVEN("a duty that is notified while its first turn runs") {
    std::atomic<int> turns{0};
    std::function<void()> notify;
    DutyLoop loop([&turns, &notify](MonotonicTime now) {
      if (++turns == 1) notify();
      return now + hours(1);
    });
    notify = [&loop] { loop.Notify(); };
    loop.Start();
    WaitFor(turns, 2);
    THEN("the notification is not lost") { CHECK(turns == 2); }
  }

  GIVEN("a duty whose second turn is due in 30 ms") {
    std::atomic<int> turns{0};
    MonotonicTime first;
    MonotonicTime second;
    DutyLoop loop([&](MonotonicTime now) {
      if (turns == 0) first = now;
      if (turns == 1) second = now;
      return ++turns == 1 ? now + milliseconds(30) : now + hours(1);
    });
    loop.Start();
    WaitFor(turns, 2);
    loop.Stop();
    THEN("it comes then, and without a notification") {
      REQUIRE(turns == 2);
      CHECK(second - first >= milliseconds(30));
    }
  }

  GIVEN("a duty that has more to do at once") {
    std::atomic<int> turns{0};
    DutyLoop loop([&turns](MonotonicTime now) {
      return ++turns < 5 ? now : now + hours(1);
    });
    loop.Start();
    WaitFor(turns, 5);
    THEN("its turns follow each other") { CHECK(turns == 5); }
  }
}

SCENARIO("one ring keeps a thread from its other rings") {
  GIVEN("a ring with more items than one turn handles") {
    BoundedRing<int> ring(100);
    for (int i = 0; i < 70; ++i) REQUIRE(ring.TryPush(int{i}));
    std::vector<int> handled;
    const auto handle = [&handled](int item) { handled.push_back(item); };

    WHEN("a turn takes some") {
      CHECK(HandleSome(ring, handle));
      THEN("it takes the oldest 64 and leaves the others to the next") {
        REQUIRE(handled.size() == 64);
        CHECK(handled.front() == 0);
        CHECK(handled.back() == 63);
        CHECK(HandleSome(ring, handle));
        REQUIRE(handled.size() == 70);
        CHECK(handled.back() == 69);
        CHECK_FALSE(HandleSome(ring, handle));
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack
