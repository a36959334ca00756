#include "bamboorack/upstream/deduplication_table.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const MonotonicTime kTakeoverTime{std::chrono::hours(1)};
const MonotonicTime kNow = kTakeoverTime + minutes(20);
const RequestId kId("payment-1");
constexpr std::uint64_t kFingerprint = 77;

Answer MakeAnswer(std::string body) {
  Answer answer;
  answer.status = 201;
  answer.headers = {{"Location", "/receipts/1"}};
  answer.body = std::make_shared<const std::string>(std::move(body));
  return answer;
}

SCENARIO("a once-only request runs twice, or its repetition gets no answer") {
  GIVEN("one attempt in progress") {
    DeduplicationTable table(kTakeoverTime, {minutes(10), 1U << 20U});
    CHECK(table.StateOf(kId) == DeduplicationState::kAbsent);
    CHECK(table.IsComplete(kNow));
    table.Begin(kId, kFingerprint, WorkId(1), kNow);
    CHECK(table.StateOf(kId) == DeduplicationState::kInProgress);

    WHEN("it is repeated before it ends") {
      table.AddWaiter(kId, WorkId(2));
      THEN("both get the same result") {
        const auto waiters = table.End(kId, MakeAnswer("paid"), kNow);
        CHECK(waiters == std::vector<WorkId>{WorkId(1), WorkId(2)});
      }
      AND_WHEN("the first waiter is removed") {
        CHECK(table.RemoveWaiter(kId, WorkId(1)) == 1);
        THEN("only the other gets the result") {
          const auto waiters = table.End(kId, MakeAnswer("paid"), kNow);
          CHECK(waiters == std::vector<WorkId>{WorkId(2)});
        }
      }
    }

    WHEN("it ends") {
      struct Case {
        std::string_view name;
        Result result;
        DeduplicationState state;
      };
      const auto [name, result, state] =
          GENERATE(Case{"done", MakeAnswer("paid"), DeduplicationState::kDone},
                   Case{"not run", NotRun(Reason::kUpstreamShed),
                        DeduplicationState::kAbsent},
                   Case{"unknown", Unknown(Reason::kUpstreamLost),
                        DeduplicationState::kUnknown});
      INFO(name);
      table.End(kId, result, kNow);
      THEN("the result is stored, and a request that did not run is removed") {
        CHECK(table.StateOf(kId) == state);
      }
      AND_WHEN("ten minutes pass") {
        table.Expire(kNow + minutes(10) - milliseconds(1));
        CHECK(table.StateOf(kId) == state);
        table.Expire(kNow + minutes(10));
        THEN("it is removed and its bytes are released") {
          CHECK(table.StateOf(kId) == DeduplicationState::kAbsent);
          CHECK(table.Bytes() == 0);
        }
      }
    }

    WHEN("it ends with an answer") {
      table.End(kId, MakeAnswer("paid"), kNow);
      THEN("the whole answer is stored") {
        REQUIRE(table.AnswerOf(kId) != nullptr);
        CHECK(table.AnswerOf(kId)->status == 201);
        CHECK(table.AnswerOf(kId)->headers.at(0).value == "/receipts/1");
        CHECK(*table.AnswerOf(kId)->body == "paid");
      }
      THEN("another request with the same id is detected") {
        CHECK_FALSE(table.HasOtherFingerprint(kId, kFingerprint));
        CHECK(table.HasOtherFingerprint(kId, kFingerprint + 1));
      }
    }

    WHEN("its outcome is unknown and a repetition is aborted") {
      table.End(kId, Unknown(Reason::kUpstreamLost), kNow);
      table.Begin(kId, kFingerprint, WorkId(3), kNow + minutes(1));
      CHECK(table.Abort(kId) == std::vector<WorkId>{WorkId(3)});
      THEN("the id is still unknown") {
        CHECK(table.StateOf(kId) == DeduplicationState::kUnknown);
      }
      THEN("the repetition does not extend the retention") {
        table.Expire(kNow + minutes(10));
        CHECK(table.StateOf(kId) == DeduplicationState::kAbsent);
      }
    }

    WHEN("an attempt is in progress for longer than the retention") {
      table.Expire(kNow + minutes(60));
      THEN("it is not removed") {
        CHECK(table.StateOf(kId) == DeduplicationState::kInProgress);
      }
    }
  }
}

SCENARIO("an absent id is treated as new after a takeover") {
  GIVEN("a group that was just taken over") {
    DeduplicationTable table(kTakeoverTime, {minutes(10), 1U << 20U});
    THEN("the table is complete only after ten minutes") {
      CHECK_FALSE(table.IsComplete(kTakeoverTime));
      CHECK_FALSE(
          table.IsComplete(kTakeoverTime + minutes(10) - milliseconds(1)));
      CHECK(table.IsComplete(kTakeoverTime + minutes(10)));
    }
    WHEN("another authority held the group in between") {
      table.Begin(kId, kFingerprint, WorkId(1), kNow);
      table.End(kId, MakeAnswer("paid"), kNow);
      table.OnTakeover(kNow + minutes(1));
      THEN("the table is incomplete again, but its entries stay valid") {
        CHECK_FALSE(table.IsComplete(kNow + minutes(2)));
        CHECK(table.StateOf(kId) == DeduplicationState::kDone);
      }
    }
  }
}

SCENARIO("stored answers use up the memory of the process") {
  GIVEN("a limit of 4,000 bytes") {
    DeduplicationTable table(kTakeoverTime, {minutes(10), 4000});
    const auto run_request = [&table](int number, std::size_t size,
                                      int minute) {
      const RequestId id("id-" + std::to_string(number));
      const MonotonicTime now = kNow + minutes(minute);
      table.Begin(id, kFingerprint, WorkId(number), now);
      table.End(id, MakeAnswer(std::string(size, 'x')), now);
      return id;
    };
    WHEN("large answers exceed it") {
      const RequestId first = run_request(1, 2500, 0);
      const RequestId second = run_request(2, 2500, 0);
      THEN("the oldest answer is dropped, but its id is kept as run") {
        CHECK(table.StateOf(first) == DeduplicationState::kRanAnswerLost);
        CHECK(table.StateOf(second) == DeduplicationState::kDone);
        CHECK(table.Bytes() <= 4000);
        CHECK(table.IsComplete(kNow));
      }
    }
    WHEN("the ids alone exceed it") {
      for (int i = 0; i < 40; ++i) run_request(i, 0, i / 10);
      THEN("the oldest ids are evicted and the table becomes incomplete") {
        CHECK(table.Bytes() <= 4000);
        CHECK(table.StateOf(RequestId("id-0")) == DeduplicationState::kAbsent);
        CHECK_FALSE(table.IsComplete(kNow + minutes(3)));
        CHECK(table.CompleteSince() >= kNow);
        CHECK(table.IsComplete(kNow + minutes(14)));
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
