#include "bamboorack/upstream/wait_line.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kService{100};

WaitTicket Ticket(std::uint64_t request, std::uint32_t priority,
                  MonotonicTime arrived, milliseconds target,
                  milliseconds limit) {
  return {request,
          priority,
          arrived,
          arrived + target - kService,
          arrived + limit - kService / 2,
          {}};
}

TEST_CASE("the queue orders requests by urgency without starvation") {
  WaitLine line;
  MonotonicTime now{seconds(50)};

  SECTION("urgent requests go first") {
    line.Push(Ticket(1, 2, now, milliseconds(800), milliseconds(1'500)));
    line.Push(Ticket(2, 0, now, milliseconds(250), milliseconds(1'000)));
    CHECK(line.Pop(now)->request == 2);
  }

  SECTION("a request that can meet its target goes before a late one") {
    line.Push(Ticket(1, 1, now - milliseconds(290), milliseconds(300),
                     milliseconds(1'200)));
    line.Push(Ticket(2, 1, now, milliseconds(300), milliseconds(1'200)));
    CHECK(line.Pop(now)->request == 2);
    CHECK(line.Pop(now)->request == 1);
  }

  SECTION("uploads at ten times the capacity get their share and no more") {
    // Capacity of 100 requests/s; 60 urgent and 1,000 others arrive per second.
    std::map<std::uint32_t, int> served;
    std::uint64_t request = 0;
    for (int tick = 0; tick < 1'000; ++tick) {
      now += milliseconds(10);
      if (tick % 5 < 3) {
        line.Push(Ticket(++request, 0, now, milliseconds(250), seconds(1)));
      }
      for (int i = 0; i < 10; ++i) {
        line.Push(Ticket(++request, 2, now, milliseconds(800), seconds(1)));
      }
      line.TakeHopeless(now);
      const auto ticket = line.Pop(now);
      REQUIRE(ticket.has_value());
      ++served[ticket->priority];
      line.OnServed(now);
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
        line.Push(Ticket(++request, 0, now, milliseconds(250), seconds(1)));
      }
      line.Push(Ticket(++request, 2, now, milliseconds(800), seconds(1)));
      line.TakeHopeless(now);
      ++served[line.Pop(now)->priority];
    }
    CHECK(served[2] >= 99);
  }
}

TEST_CASE("most requests meet their target in a lasting overload") {
  // Capacity of 60 requests/s; 80 arrive per second, for one key.
  WaitLine line;
  MonotonicTime now{seconds(50)};
  std::uint64_t request = 0;
  int in_time = 0;
  int served = 0;
  int refused = 0;
  for (int tick = 0; tick < 10'000; ++tick) {
    now += milliseconds(1);
    if (tick % 12 == 0) {
      const auto ticket =
          Ticket(++request, 1, now, milliseconds(300), milliseconds(1'200));
      if (line.CanServe(ticket, now)) {
        line.Push(ticket);
      } else {
        ++refused;
      }
    }
    if (tick % 16 == 0) {
      refused += static_cast<int>(line.TakeHopeless(now).size());
      if (const auto ticket = line.Pop(now)) {
        ++served;
        line.OnServed(now);
        if (now <= ticket->start_in_time) ++in_time;
      }
    }
  }
  CHECK(served > 600);
  CHECK(in_time > served * 85 / 100);
  CHECK(refused > 130);
}

TEST_CASE("requests that would wait in vain are refused or removed") {
  WaitLine line;
  const MonotonicTime start{seconds(50)};
  MonotonicTime now = start;

  SECTION("without a measured rate no wait is predicted") {
    for (std::uint64_t i = 0; i < 50; ++i) {
      line.Push(Ticket(i, 1, now, milliseconds(300), seconds(1)));
    }
    CHECK(line.ExpectedWait(1, now).count() == 0);
  }

  SECTION("the predicted wait follows the service rate") {
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(10);
      line.OnServed(now);
    }
    for (std::uint64_t i = 0; i < 100; ++i) {
      line.Push(Ticket(i, 1, now, milliseconds(300), seconds(1)));
    }
    const auto wait = std::chrono::duration<double>(line.ExpectedWait(1, now));
    CHECK(wait.count() == Approx(1.0).epsilon(0.1));
    CHECK(line.ExpectedWait(0, now).count() == 0);
  }

  SECTION("a request that cannot meet its time limit is removed") {
    line.Push(Ticket(1, 1, now, milliseconds(300), milliseconds(400)));
    line.Push(Ticket(2, 1, now, milliseconds(300), milliseconds(900)));
    now += milliseconds(380);
    const auto hopeless = line.TakeHopeless(now);
    REQUIRE(hopeless.size() == 1);
    CHECK(hopeless.front().request == 1);
    CHECK(line.Size() == 1);
  }

  SECTION("a request with a later earliest start does not block the others") {
    WaitTicket paused = Ticket(1, 0, now, milliseconds(300), seconds(1));
    paused.not_before = now + milliseconds(40);
    line.Push(paused);
    line.Push(Ticket(2, 1, now, milliseconds(300), seconds(1)));
    CHECK(line.Pop(now)->request == 2);
    CHECK_FALSE(line.Pop(now).has_value());
    CHECK(line.Pop(now + milliseconds(40))->request == 1);
  }
}

}  // namespace
}  // namespace bamboorack::upstream
