#include "bamboorack/log_service/topic_follower_thread.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <utility>

#include "bamboorack/log_service/store_call_thread.h"

namespace bamboorack::log_service {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kConnectTime{400};

/// A log behind a partition: an attempt to connect takes its whole time and
/// cannot be interrupted.
class UnreachableLog : public KeyedLog {
 public:
  tl::expected<KeyedRecords, ReadFailure> ReadNewest(
      Topic /*topic*/, MonotonicTime /*deadline*/,
      const std::stop_token& /*stop*/) override {
    std::this_thread::sleep_for(kConnectTime);
    return tl::make_unexpected(
        ReadFailure{ReadFault::kUnavailable, "connect timed out"});
  }
  tl::expected<KeyedRecords, ReadFailure> ReadFrom(
      const KeyedRead& read, MonotonicTime deadline,
      const std::stop_token& stop) override {
    return this->ReadNewest(read.topic, deadline, stop);
  }
  tl::expected<LogOffset, KeyedAppendFailure> Append(
      const KeyedAppend& /*append*/, MonotonicTime /*deadline*/,
      const std::stop_token& /*stop*/) override {
    std::this_thread::sleep_for(kConnectTime);
    return tl::make_unexpected(
        KeyedAppendFailure{KeyedAppendFault::kNotAppended, "timed out"});
  }
};

/// A log that ends at 7 and has no records.
class QuietLog : public UnreachableLog {
 public:
  tl::expected<KeyedRecords, ReadFailure> ReadNewest(
      Topic /*topic*/, MonotonicTime /*deadline*/,
      const std::stop_token& /*stop*/) override {
    KeyedRecords all;
    all.end = LogOffset(7);
    return all;
  }
};

SCENARIO("a registry in which nothing changes looks out of reach") {
  GIVEN("a follower that has read to the end") {
    Metrics metrics;
    BoundedRing<TopicUpdate> updates(64);
    BoundedRing<TopicRelay> relays(64);
    TopicFollowerThread follower({Topic::kUpstreams, {}, seconds(30)},
                                 std::make_unique<QuietLog>(), relays, updates,
                                 metrics);
    follower.Start();
    REQUIRE(updates.PopUntil(steady_clock::now() + seconds(5)).has_value());

    WHEN("another daemon passes on a read without news") {
      TopicRelay relay;
      relay.topic = Topic::kUpstreams;
      relay.from = LogOffset(7);
      relay.end = LogOffset(7);
      relay.has_records = true;
      REQUIRE(relays.TryPush(std::move(relay)));
      THEN("the follower tells that the log answered") {
        // Without it ten seconds without changes counted as an outage, and a
        // removed upstream went on getting requests.
        const auto update = updates.PopUntil(steady_clock::now() + seconds(5));
        REQUIRE(update.has_value());
        CHECK(update->is_relayed);
        CHECK_FALSE(update->failure.has_value());
        CHECK(update->records.empty());
        CHECK(update->end == LogOffset(7));
      }
    }
  }
}

SCENARIO("a daemon is killed at the end of its stop time in a partition") {
  GIVEN("two followers and the thread for calls, each connecting") {
    Metrics metrics;
    BoundedRing<TopicUpdate> updates(64);
    BoundedRing<TopicRelay> first_relays(64);
    BoundedRing<TopicRelay> second_relays(64);
    BoundedRing<StoreCall> calls(64);
    BoundedRing<StoreResult> results(64);
    TopicFollowerThread first({Topic::kDesiredState, {}, {}},
                              std::make_unique<UnreachableLog>(), first_relays,
                              updates, metrics);
    TopicFollowerThread second({Topic::kUpstreams, {}, {}},
                               std::make_unique<UnreachableLog>(),
                               second_relays, updates, metrics);
    StoreCallThread caller(std::make_unique<UnreachableLog>(), calls, results,
                           metrics);
    REQUIRE(calls.TryPush(
        {steady_clock::now() + seconds(1), ReadTopic{Topic::kOwnership}}));
    first.Start();
    second.Start();
    caller.Start();
    std::this_thread::sleep_for(milliseconds(50));

    WHEN("all are asked to stop before the first is waited for") {
      const auto begun = steady_clock::now();
      first.RequestStop();
      second.RequestStop();
      caller.RequestStop();
      first.Stop();
      second.Stop();
      caller.Stop();
      THEN("it takes one attempt, not three in a row") {
        CHECK(steady_clock::now() - begun < 2 * kConnectTime);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::log_service
