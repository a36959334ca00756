#include "bamboorack/upstream/wait_queue.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kServiceTime{100};

QueueEntry MakeEntry(std::uint64_t request, std::uint32_t priority,
                     MonotonicTime arrived, milliseconds target,
                     milliseconds limit) {
  return {request,
          priority,
          arrived,
          arrived + target - kServiceTime,
          arrived + limit - kServiceTime / 2,
          {}};
}

TEST_CASE("a flood of one kind of request starves the others") {
  WaitQueue queue;
  MonotonicTime now{seconds(50)};

  SECTION("urgent requests go first") {
    queue.Push(MakeEntry(1, 2, now, milliseconds(800), milliseconds(1'500)));
    queue.Push(MakeEntry(2, 0, now, milliseconds(250), milliseconds(1'000)));
    CHECK(queue.Pop(now)->request == 2);
  }

  SECTION("a request that can meet its target goes before a late one") {
    queue.Push(MakeEntry(1, 1, now - milliseconds(290), milliseconds(300),
                         milliseconds(1'200)));
    queue.Push(MakeEntry(2, 1, now, milliseconds(300), milliseconds(1'200)));
    CHECK(queue.Pop(now)->request == 2);
    CHECK(queue.Pop(now)->request == 1);
  }

  SECTION("uploads at ten times the capacity get their share and no more") {
    // Capacity of 100 requests/s; 60 urgent and 1,000 others arrive per second.
    std::map<std::uint32_t, int> served;
    std::uint64_t request = 0;
    for (int tick = 0; tick < 1'000; ++tick) {
      now += milliseconds(10);
      if (tick % 5 < 3) {
        queue.Push(MakeEntry(++request, 0, now, milliseconds(250), seconds(1)));
      }
      for (int i = 0; i < 10; ++i) {
        queue.Push(MakeEntry(++request, 2, now, milliseconds(800), seconds(1)));
      }
      queue.RemoveExpired(now);
      const auto entry = queue.Pop(now);
      REQUIRE(entry.has_value());
      ++served[entry->priority];
      queue.OnServed(now);
    }
    CHECK(served[0] >= 590);
    CHECK(served[2] >= 125);
  }

  SECTION("an overload of urgent requests leaves an eighth to the others") {
    std::map<std::uint32_t, int> served;
    std::uint64_t request = 0;
    for (int tick = 0; tick < 800; ++tick) {
      now += milliseconds(10);
      for (int i = 0; i < 4; ++i) {
        queue.Push(MakeEntry(++request, 0, now, milliseconds(250), seconds(1)));
      }
      queue.Push(MakeEntry(++request, 2, now, milliseconds(800), seconds(1)));
      queue.RemoveExpired(now);
      ++served[queue.Pop(now)->priority];
    }
    CHECK(served[2] >= 99);
  }
}

TEST_CASE("all requests are late in an overload that lasts") {
  // Capacity of 60 requests/s; 80 arrive per second, for one key.
  WaitQueue queue;
  MonotonicTime now{seconds(50)};
  std::uint64_t request = 0;
  int in_time = 0;
  int served = 0;
  int refused = 0;
  for (int tick = 0; tick < 10'000; ++tick) {
    now += milliseconds(1);
    if (tick % 12 == 0) {
      const auto entry =
          MakeEntry(++request, 1, now, milliseconds(300), milliseconds(1'200));
      if (queue.CanStartInTime(entry, now)) {
        queue.Push(entry);
      } else {
        ++refused;
      }
    }
    if (tick % 16 == 0) {
      refused += static_cast<int>(queue.RemoveExpired(now).size());
      if (const auto entry = queue.Pop(now)) {
        ++served;
        queue.OnServed(now);
        if (now <= entry->latest_start_for_target) ++in_time;
      }
    }
  }
  CHECK(served > 600);
  CHECK(in_time > served * 85 / 100);
  CHECK(refused > 130);
}

TEST_CASE("requests wait although they cannot meet their time limit") {
  WaitQueue queue;
  const MonotonicTime start{seconds(50)};
  MonotonicTime now = start;

  SECTION("without a measured rate no wait is predicted") {
    for (std::uint64_t i = 0; i < 50; ++i) {
      queue.Push(MakeEntry(i, 1, now, milliseconds(300), seconds(1)));
    }
    CHECK(queue.ExpectedWait(1, now).count() == 0);
  }

  SECTION("the predicted wait follows the service rate") {
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(10);
      queue.OnServed(now);
    }
    for (std::uint64_t i = 0; i < 100; ++i) {
      queue.Push(MakeEntry(i, 1, now, milliseconds(300), seconds(1)));
    }
    const auto wait = std::chrono::duration<double>(queue.ExpectedWait(1, now));
    CHECK(wait.count() == Approx(1.0).epsilon(0.1));
    CHECK(queue.ExpectedWait(0, now).count() == 0);
  }

  SECTION("a request that cannot meet its time limit is removed") {
    queue.Push(MakeEntry(1, 1, now, milliseconds(300), milliseconds(400)));
    queue.Push(MakeEntry(2, 1, now, milliseconds(300), milliseconds(900)));
    now += milliseconds(380);
    const auto expired = queue.RemoveExpired(now);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().request == 1);
    CHECK(queue.Size() == 1);
  }

  SECTION("a request with a later earliest start does not block the others") {
    QueueEntry paused = MakeEntry(1, 0, now, milliseconds(300), seconds(1));
    paused.not_before = now + milliseconds(40);
    queue.Push(paused);
    queue.Push(MakeEntry(2, 1, now, milliseconds(300), seconds(1)));
    CHECK(queue.Pop(now)->request == 2);
    CHECK_FALSE(queue.Pop(now).has_value());
    CHECK(queue.Pop(now + milliseconds(40))->request == 1);
  }
}

}  // namespace
}  // namespace bamboorack::upstream
