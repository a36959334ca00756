#include <chrono>
#include <cstddef>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/upstream/upstream_thread.h"
#include "catch2/catch.hpp"
#include "support/endless_sender.h"
#include "support/raw_peer.h"
#include "upstream/any_length_protocol.h"
#include "upstream/upstream_fixture.h"

namespace bamboorack::upstream {
namespace {

using bamboorack::testing::EndlessAnswer;
using bamboorack::testing::EndlessAnswers;
using bamboorack::testing::EndlessBytes;
using bamboorack::testing::EndlessSender;
using bamboorack::testing::kSocketBufferBytes;
using bamboorack::testing::WithPauses;
using std::chrono::steady_clock;

UpstreamThreadSettings AnyLengthSettings() {
  UpstreamThreadSettings settings;
  settings.max_answer_body = std::size_t{1} << 20U;
  settings.protocol = std::make_shared<const AnyLengthProtocol>();
  return settings;
}

/// An upstream thread and an upstream that sends an endless answer.
struct EndlessFixture {
  explicit EndlessFixture(const char* name)
      : title(name), fixture(AnyLengthSettings()) {}

  void Send(const EndlessBytes& bytes) {
    RawPeer upstream = this->fixture.Accept();
    upstream.ReadMessage();
    this->sender = std::make_unique<EndlessSender>(upstream, bytes);
  }

  const char* title;
  Fixture fixture;
  std::unique_ptr<EndlessSender> sender;
};

/// Calls `push` to start one exchange for each kind of endless answer. All
/// exchanges run concurrently, each with an upstream that sends slowly.
template <typename Push>
std::vector<std::unique_ptr<EndlessFixture>> StartSlowAnswers(Push push) {
  std::vector<std::unique_ptr<EndlessFixture>> all;
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    CAPTURE(answer.title);
    all.push_back(std::make_unique<EndlessFixture>(answer.title));
    push(all.back()->fixture);
    all.back()->Send(WithPauses(answer.bytes));
  }
  return all;
}

SCENARIO("an endless answer holds a request, memory or the thread") {
  GIVEN("endless answers that are sent slowly") {
    // Long enough for the request to be sent on a loaded machine.
    constexpr milliseconds kExchangeTimeout{3'000};
    const MonotonicTime start_time = steady_clock::now();
    const std::clock_t cpu_before = std::clock();
    WHEN("requests wait for them") {
      const auto all = StartSlowAnswers([&](Fixture& fixture) {
        Dispatch dispatch = fixture.MakeDispatch(1, "body");
        dispatch.request.deadline = steady_clock::now() + kExchangeTimeout;
        fixture.Push(std::move(dispatch));
      });
      THEN(
          "the requests end by their deadline as unknown, with little CPU "
          "use") {
        for (const auto& endless : all) {
          CAPTURE(endless->title);
          const auto result = endless->fixture.NextResult();
          REQUIRE_FALSE(result.result.has_value());
          CHECK(result.result.error().ending == Ending::kUnknown);
          CHECK(endless->sender->IsClosedByPeer());
        }
        const std::chrono::duration<double> wall =
            steady_clock::now() - start_time;
        const double cpu =
            static_cast<double>(std::clock() - cpu_before) / CLOCKS_PER_SEC;
        CHECK(cpu < wall.count() / 2);
      }
    }
    WHEN("control calls wait for them") {
      const auto all = StartSlowAnswers([&](Fixture& fixture) {
        ControlCall call = fixture.MakeCall(
            1, RangeGrantCall{UpstreamId("u"), {}, FencingToken(1), {}, {}});
        call.deadline = steady_clock::now() + kExchangeTimeout;
        fixture.Push(call);
      });
      THEN("the calls end by their deadline as possibly applied") {
        for (const auto& endless : all) {
          CAPTURE(endless->title);
          const auto result =
              endless->fixture.to_control.PopUntil(TestDeadline());
          REQUIRE(result.has_value());
          REQUIRE_FALSE(result->answer.has_value());
          CHECK(result->answer.error() != ControlError::kNotSent);
          CHECK(endless->sender->IsClosedByPeer());
        }
      }
    }
  }
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    GIVEN("a fast endless answer: " + std::string(answer.title)) {
      EndlessFixture fast_answer(answer.title);
      WHEN("a request waits for its answer") {
        Dispatch dispatch = fast_answer.fixture.MakeDispatch(1, "body");
        // Later than the limit of all waits in the tests, so that it is not
        // what ends the exchange.
        dispatch.request.deadline += std::chrono::seconds(60);
        fast_answer.fixture.Push(std::move(dispatch));
        fast_answer.Send(answer.bytes);
        THEN("the request ends long before its deadline") {
          const auto result = fast_answer.fixture.NextResult();
          REQUIRE_FALSE(result.result.has_value());
          CHECK(result.result.error().ending == Ending::kUnknown);
          CHECK(result.result.error().reason == Reason::kUpstreamBadAnswer);
          CHECK(fast_answer.sender->IsClosedByPeer());
          CHECK(fast_answer.sender->BytesSent() < kSocketBufferBytes);
        }
      }
      WHEN("a control call waits for its answer") {
        ControlCall call = fast_answer.fixture.MakeCall(
            1, RangeGrantCall{UpstreamId("u"), {}, FencingToken(1), {}, {}});
        call.deadline += std::chrono::seconds(60);
        fast_answer.fixture.Push(call);
        fast_answer.Send(answer.bytes);
        THEN("the call ends as possibly applied") {
          const auto result =
              fast_answer.fixture.to_control.PopUntil(TestDeadline());
          REQUIRE(result.has_value());
          REQUIRE_FALSE(result->answer.has_value());
          CHECK(result->answer.error() == ControlError::kBadAnswer);
          CHECK(fast_answer.sender->IsClosedByPeer());
        }
      }
    }
  }
}

SCENARIO("an endless answer delays other upstreams") {
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    GIVEN(answer.title) {
      UpstreamThreadSettings settings = AnyLengthSettings();
      settings.max_answer_body = std::size_t{64} << 20U;
      Fixture fixture(settings);
      fixture.Push(fixture.MakeDispatch(1));
      RawPeer faulty = fixture.Accept();
      faulty.ReadMessage();
      fixture.Push(fixture.MakeDispatch(2));
      RawPeer other = fixture.Accept();
      const EndlessSender sender(faulty, answer.bytes);
      for (std::uint64_t id = 2; id < 12; ++id) {
        if (id > 2) fixture.Push(fixture.MakeDispatch(id));
        other.ReadMessage();
        other.Send(
            Ok("answer", "X-Request-Id: r" + std::to_string(id) + "\r\n"));
        auto result = fixture.NextResult();
        if (result.id == DispatchId(1)) result = fixture.NextResult();
        CHECK(result.id == DispatchId(id));
        CHECK(result.result.has_value());
      }
    }
  }
}

SCENARIO("bytes that belong to no request become the next answer") {
  Fixture fixture;
  fixture.Push(fixture.MakeDispatch(1));
  RawPeer upstream = fixture.Accept();
  upstream.ReadMessage();
  // Complete answers, each of which would be valid for the next request.
  const auto fast_answer = GENERATE_COPY(values<EndlessBytes>(
      {{Ok("answer"), Ok("late")}, WithPauses({Ok("answer"), Ok("late")})}));
  const EndlessSender sender(upstream, fast_answer);
  CHECK(*fixture.NextResult().result->body == "answer");
  CHECK(sender.IsClosedByPeer());
  fixture.Push(fixture.MakeDispatch(2));
  RawPeer second = fixture.Accept();
  second.ReadMessage();
  second.Send(Ok("second"));
  CHECK(*fixture.NextResult().result->body == "second");
}

}  // namespace
}  // namespace bamboorack::upstream
