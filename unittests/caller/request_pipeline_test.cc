#include "bamboorack/caller/request_pipeline.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bamboorack/caller/arrival_times.h"

namespace bamboorack::caller {
namespace {

using State = CallerExchange::State;
using std::chrono::seconds;

const MonotonicTime kNow{seconds(100)};

CallerExchange InWork(std::uint64_t slot, Rank rank = Rank::kLookup) {
  CallerExchange exchange;
  exchange.state = State::kInWork;
  exchange.slot = CallerSlot{slot};
  exchange.rank = rank;
  return exchange;
}

Result AnswerOf(std::size_t bytes) {
  return Answer{200, {}, std::make_shared<const std::string>(bytes, 'x')};
}

SCENARIO("requests sent ahead use more than their bounds") {
  PipelineLimits limits;
  limits.requests_per_connection = 3;
  limits.requests_ahead = 3;
  limits.waiting_answer_bytes = 10;
  PipelineUsage usage;
  RequestPipeline pipeline(limits, usage);
  pipeline.Add(InWork(1));

  SECTION("a connection has room up to its limit") {
    CHECK(pipeline.HasRoom());
    pipeline.Add(InWork(2));
    CHECK(pipeline.HasRoom());
    pipeline.Add(InWork(3));
    CHECK_FALSE(pipeline.HasRoom());
  }
  SECTION("other connections use the common limit") {
    RequestPipeline other(limits, usage);
    for (std::uint64_t slot = 10; slot < 13; ++slot) other.Add(InWork(slot));
    pipeline.Add(InWork(2));
    CHECK(usage.requests_ahead == 3);
    CHECK_FALSE(pipeline.HasRoom());
    SECTION("and give it back when they close") {
      other.Clear();
      CHECK(usage.requests_ahead == 1);
      CHECK(pipeline.HasRoom());
    }
  }
  SECTION("answers that wait for the one in front count") {
    pipeline.SetResult(pipeline.Add(InWork(2)), AnswerOf(10));
    CHECK(usage.waiting_answer_bytes == 10);
    CHECK_FALSE(pipeline.HasRoom());
    SECTION("until they are the next to be sent") {
      pipeline.SetResult(*pipeline.Find(CallerSlot{1}), AnswerOf(99));
      CHECK(pipeline.PopAnswered().has_value());
      CHECK(usage.waiting_answer_bytes == 0);
      CHECK(usage.requests_ahead == 0);
    }
  }
  SECTION("nothing is read behind a request that is held back") {
    CallerExchange held;
    held.rank = Rank::kOnce;
    pipeline.Add(std::move(held));
    CHECK_FALSE(pipeline.HasRoom());
  }
}

SCENARIO("an answer closes the connection and a request behind it runs twice") {
  const PipelineLimits limits;
  PipelineUsage usage;
  RequestPipeline pipeline(limits, usage);

  GIVEN("a request that runs at most once behind a repeatable one") {
    pipeline.Add(InWork(1));
    CallerExchange held;
    held.rank = Rank::kOnce;
    const Body body = std::make_shared<const std::string>("body");
    held.request.body = body;
    CallerExchange& payment = pipeline.Add(std::move(held));
    THEN("it must not start") { CHECK_FALSE(pipeline.MayStart(payment)); }
    WHEN("the connection ends with what is in work") {
      pipeline.EndAfterLast();
      CHECK(body.use_count() == 1);
      THEN("it is dropped, and the one in front closes the connection") {
        pipeline.SetResult(*pipeline.Find(CallerSlot{1}), AnswerOf(1));
        CHECK_FALSE(pipeline.PopAnswered()->keep_alive);
        CHECK(pipeline.IsEmpty());
        CHECK(usage.requests_ahead == 0);
      }
    }
    WHEN("it becomes the first") {
      pipeline.SetResult(*pipeline.Find(CallerSlot{1}), AnswerOf(1));
      CHECK(pipeline.PopAnswered()->keep_alive);
      THEN("it may start") {
        CHECK(pipeline.HeldFirst() == &payment);
        CHECK(pipeline.MayStart(payment));
      }
    }
  }

  GIVEN("any order of arrivals, answers and ends") {
    rc::prop(
        "answers keep the order, nothing that runs once starts ahead of a "
        "missing answer, and no use is left over",
        [&limits] {
          PipelineUsage used;
          std::vector<std::uint64_t> sent;
          std::uint64_t last = 0;
          bool has_ended = false;
          {
            RequestPipeline drawn(limits, used);
            std::vector<std::uint64_t> in_work;
            const auto start = [&](CallerExchange& exchange) {
              const bool may_start =
                  exchange.rank == Rank::kLookup || drawn.IsFirst(exchange);
              RC_ASSERT(may_start);
              exchange.state = State::kInWork;
              in_work.push_back(exchange.slot.value);
            };
            const auto send = [&] {
              while (auto done = drawn.PopAnswered()) {
                const bool is_in_order =
                    sent.empty() || sent.back() < done->slot.value;
                RC_ASSERT(is_in_order);
                sent.push_back(done->slot.value);
                // Only the last answer closes the connection.
                const bool may_end = done->keep_alive || drawn.IsEmpty();
                RC_ASSERT(may_end);
              }
              if (CallerExchange* held = drawn.HeldFirst()) start(*held);
            };
            const auto steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
            for (const int step : steps) {
              if (step < 20 && !has_ended && drawn.HasRoom()) {
                CallerExchange exchange;
                exchange.rank = step % 3 == 0 ? Rank::kOnce : Rank::kLookup;
                exchange.slot = CallerSlot{++last};
                CallerExchange& added = drawn.Add(std::move(exchange));
                if (drawn.MayStart(added)) start(added);
              } else if (step < 38 && !in_work.empty()) {
                const std::size_t index =
                    static_cast<std::size_t>(step) % in_work.size();
                drawn.SetResult(*drawn.Find(CallerSlot{in_work[index]}),
                                AnswerOf(static_cast<std::size_t>(step)));
                in_work.erase(in_work.begin() +
                              static_cast<std::ptrdiff_t>(index));
                send();
              } else if (step == 39 && !drawn.IsEmpty()) {
                has_ended = true;
                drawn.EndAfterLast();
              }
            }
            RC_ASSERT(drawn.SlotsInWork().size() == in_work.size());
          }
          RC_ASSERT(used.requests_ahead == 0);
          RC_ASSERT(used.waiting_answer_bytes == 0);
        });
  }
}

SCENARIO("the deadline of a request starts when it is read, not on arrival") {
  ArrivalTimes times;
  times.OnReceived(10, kNow);
  times.OnReceived(10, kNow + seconds(1));
  times.OnReceived(30, kNow + seconds(2));
  CHECK(times.At(9) == kNow);
  CHECK(times.At(10) == kNow + seconds(2));

  SECTION("bytes that were taken are forgotten") {
    times.OnTaken(25);
    CHECK(times.At(4) == kNow);
    CHECK(times.At(5) == kNow + seconds(2));
    times.OnTaken(20);
    CHECK(times.At(0) == kNow + seconds(2));
    times.OnTaken(0);
    times.OnReceived(1, kNow + seconds(3));
    CHECK(times.At(0) == kNow + seconds(3));
  }
}

}  // namespace
}  // namespace bamboorack::caller
