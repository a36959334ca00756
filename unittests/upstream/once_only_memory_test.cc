#include "bamboorack/upstream/once_only_memory.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const MonotonicTime kTaken{std::chrono::hours(1)};
const MonotonicTime kNow = kTaken + minutes(20);
const RequestId kId("payment-1");
constexpr std::uint64_t kFingerprint = 77;

Answer MakeAnswer(std::string body) {
  Answer answer;
  answer.status = 201;
  answer.headers = {{"Location", "/receipts/1"}};
  answer.body = std::make_shared<const std::string>(std::move(body));
  return answer;
}

SCENARIO("a once-only request runs once and its repetitions get its answer") {
  GIVEN("one attempt in progress") {
    OnceOnlyMemory memory(kTaken, {minutes(10), 1U << 20U});
    CHECK(memory.StateOf(kId) == OnceOnlyState::kAbsent);
    CHECK(memory.IsComplete(kNow));
    memory.Begin(kId, kFingerprint, WorkId(1), kNow);
    CHECK(memory.StateOf(kId) == OnceOnlyState::kInProgress);

    WHEN("it is repeated before it ends") {
      memory.Join(kId, WorkId(2));
      THEN("both get the same result") {
        const auto waiters = memory.End(kId, MakeAnswer("paid"), kNow);
        CHECK(waiters == std::vector<WorkId>{WorkId(1), WorkId(2)});
      }
      AND_WHEN("the first waiter is removed") {
        CHECK(memory.Leave(kId, WorkId(1)) == 1);
        THEN("only the other gets the result") {
          const auto waiters = memory.End(kId, MakeAnswer("paid"), kNow);
          CHECK(waiters == std::vector<WorkId>{WorkId(2)});
        }
      }
    }

    WHEN("it ends") {
      struct Case {
        std::string_view name;
        Result result;
        OnceOnlyState state;
      };
      const auto [name, result, state] =
          GENERATE(Case{"done", MakeAnswer("paid"), OnceOnlyState::kDone},
                   Case{"not run", NotRun(Reason::kUpstreamShed),
                        OnceOnlyState::kAbsent},
                   Case{"unknown", Unknown(Reason::kUpstreamLost),
                        OnceOnlyState::kUnknown});
      INFO(name);
      memory.End(kId, result, kNow);
      THEN("the result is stored, and a request that did not run is removed") {
        CHECK(memory.StateOf(kId) == state);
      }
      AND_WHEN("ten minutes pass") {
        memory.Expire(kNow + minutes(10) - milliseconds(1));
        CHECK(memory.StateOf(kId) == state);
        memory.Expire(kNow + minutes(10));
        THEN("it is removed and its bytes are released") {
          CHECK(memory.StateOf(kId) == OnceOnlyState::kAbsent);
          CHECK(memory.Bytes() == 0);
        }
      }
    }

    WHEN("it ends with an answer") {
      memory.End(kId, MakeAnswer("paid"), kNow);
      THEN("the whole answer is stored") {
        REQUIRE(memory.AnswerOf(kId) != nullptr);
        CHECK(memory.AnswerOf(kId)->status == 201);
        CHECK(memory.AnswerOf(kId)->headers.at(0).value == "/receipts/1");
        CHECK(*memory.AnswerOf(kId)->body == "paid");
      }
      THEN("another request with the same id is detected") {
        CHECK_FALSE(memory.IsOtherRequest(kId, kFingerprint));
        CHECK(memory.IsOtherRequest(kId, kFingerprint + 1));
      }
    }

    WHEN("its outcome is unknown and a repetition is aborted") {
      memory.End(kId, Unknown(Reason::kUpstreamLost), kNow);
      memory.Begin(kId, kFingerprint, WorkId(3), kNow + minutes(1));
      CHECK(memory.Abort(kId) == std::vector<WorkId>{WorkId(3)});
      THEN("the id is still unknown") {
        CHECK(memory.StateOf(kId) == OnceOnlyState::kUnknown);
      }
      THEN("the repetition does not extend the retention") {
        memory.Expire(kNow + minutes(10));
        CHECK(memory.StateOf(kId) == OnceOnlyState::kAbsent);
      }
    }

    WHEN("an attempt is in progress for longer than the retention") {
      memory.Expire(kNow + minutes(60));
      THEN("it is not removed") {
        CHECK(memory.StateOf(kId) == OnceOnlyState::kInProgress);
      }
    }
  }
}

SCENARIO("an absent id is not certain to be new after a takeover") {
  GIVEN("a group that was just taken over") {
    OnceOnlyMemory memory(kTaken, {minutes(10), 1U << 20U});
    THEN("the table is complete only after ten minutes") {
      CHECK_FALSE(memory.IsComplete(kTaken));
      CHECK_FALSE(memory.IsComplete(kTaken + minutes(10) - milliseconds(1)));
      CHECK(memory.IsComplete(kTaken + minutes(10)));
    }
    WHEN("another authority held the group in between") {
      memory.Begin(kId, kFingerprint, WorkId(1), kNow);
      memory.End(kId, MakeAnswer("paid"), kNow);
      memory.OnTakeover(kNow + minutes(1));
      THEN("the table is incomplete again, but its entries stay valid") {
        CHECK_FALSE(memory.IsComplete(kNow + minutes(2)));
        CHECK(memory.StateOf(kId) == OnceOnlyState::kDone);
      }
    }
  }
}

SCENARIO("stored answers are bounded in bytes") {
  GIVEN("a limit of 4,000 bytes") {
    OnceOnlyMemory memory(kTaken, {minutes(10), 4000});
    const auto run = [&memory](int number, std::size_t size, int minute) {
      const RequestId id("id-" + std::to_string(number));
      const MonotonicTime now = kNow + minutes(minute);
      memory.Begin(id, kFingerprint, WorkId(number), now);
      memory.End(id, MakeAnswer(std::string(size, 'x')), now);
      return id;
    };
    WHEN("large answers exceed it") {
      const RequestId first = run(1, 2500, 0);
      const RequestId second = run(2, 2500, 0);
      THEN("the oldest answer is dropped, but its id is kept as run") {
        CHECK(memory.StateOf(first) == OnceOnlyState::kRanAnswerLost);
        CHECK(memory.StateOf(second) == OnceOnlyState::kDone);
        CHECK(memory.Bytes() <= 4000);
        CHECK(memory.IsComplete(kNow));
      }
    }
    WHEN("the ids alone exceed it") {
      for (int i = 0; i < 40; ++i) run(i, 0, i / 10);
      THEN("the oldest ids are evicted and the table becomes incomplete") {
        CHECK(memory.Bytes() <= 4000);
        CHECK(memory.StateOf(RequestId("id-0")) == OnceOnlyState::kAbsent);
        CHECK_FALSE(memory.IsComplete(kNow + minutes(3)));
        CHECK(memory.CompleteSince() >= kNow);
        CHECK(memory.IsComplete(kNow + minutes(14)));
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
