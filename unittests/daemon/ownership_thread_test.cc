#include "bamboorack/daemon/ownership_thread.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/event_log.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/daemon/gateway_rings.h"
#include "bamboorack/daemon/ownership_controller.h"
#include "bamboorack/upstream/ownership_codec.h"
#include "bamboorack/upstream/range_leadership.h"
#include "bamboorack/upstream/range_rules.h"

namespace bamboorack::daemon {
namespace {

using log_service::KeyedAppend;
using log_service::KeyedAppendFailure;
using log_service::KeyedRecord;
using log_service::KeyedRecords;
using log_service::ReadFailure;
using log_service::ReadTopic;
using log_service::StoreCall;
using log_service::StoreResult;
using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Upper bound for each wait, reached only if the test fails.
constexpr seconds kTestTimeout{20};
constexpr milliseconds kLease{2'000};

/// Reads `SERVICE` as an upstream's entry and `VERSION` as a desired state.
/// Reading the entry of "slow" blocks until the test releases it.
class SlowDocuments : public log_service::StateDocuments {
 public:
  std::string DesiredStateKey() const override { return "state"; }
  tl::expected<DesiredState, std::string> ReadDesiredState(
      const std::string& text) const override {
    DesiredState state;
    state.version = ConfigVersion(std::stoull(text));
    state.services = {{ServiceName("reader"), 100, true}};
    return state;
  }
  tl::expected<RegisteredUpstream, std::string> ReadUpstream(
      const std::string& key, const std::string& text) const override {
    if (key == "slow" && this->read_started.TryPush(true)) {
      this->read_released.PopUntil(steady_clock::now() + kTestTimeout);
    }
    RegisteredUpstream entry;
    entry.run = {UpstreamId(key), UpstreamLife(1)};
    entry.service = ServiceName(text);
    entry.endpoint = {"10.0.0.1", 80};
    entry.slots = 4;
    return entry;
  }
  tl::expected<std::optional<FailureDomain>, std::string> ReadEvacuationKey(
      const std::string& /*key*/) const override {
    return std::optional<FailureDomain>();
  }

  mutable BoundedRing<bool> read_started{1};
  mutable BoundedRing<bool> read_released{1};
};

/// The ownership thread of a daemon; the test plays the log and the upstreams.
class Fixture {
 public:
  /// An item sent by the thread, and when the test received it.
  template <typename Item>
  struct Received {
    Item item;
    MonotonicTime at;
  };

  ~Fixture() { this->documents->read_released.Close(); }

  void Update(Topic topic, std::vector<KeyedRecord> records) {
    log_service::TopicUpdate update;
    update.topic = topic;
    update.at = steady_clock::now();
    update.is_complete = true;
    update.end = LogOffset(7);
    update.records = std::move(records);
    REQUIRE(this->rings.topics.TryPush(std::move(update)));
  }

  /// Blocks the thread for at least `length` while it reads the entry of the
  /// upstream "slow", then calls `during` before the thread continues.
  void RunSlowIteration(milliseconds length,
                        const std::function<void()>& during) {
    this->Update(Topic::kUpstreams, {{"slow", "reader"}});
    REQUIRE(this->documents->read_started.PopUntil(steady_clock::now() +
                                                   kTestTimeout));
    std::this_thread::sleep_for(length);
    during();
    REQUIRE(this->documents->read_released.TryPush(true));
  }

  /// Waits for a grant to `to`. Answers log calls meanwhile, but no control
  /// calls.
  Received<upstream::ControlCall> ReceiveGrant(const std::string& to) {
    const MonotonicTime end = steady_clock::now() + kTestTimeout;
    while (steady_clock::now() < end) {
      while (auto call = this->rings.store_calls.TryPop()) this->Answer(*call);
      auto message = this->rings.to_upstream.PopUntil(steady_clock::now() +
                                                      milliseconds(5));
      if (!message) continue;
      const MonotonicTime at = steady_clock::now();
      const auto& call = std::get<upstream::ControlCall>(*message);
      const bool is_grant =
          std::holds_alternative<upstream::RangeGrantCall>(call.request);
      if (is_grant && call.upstream == UpstreamId(to)) return {call, at};
    }
    FAIL("no grant to " << to);
    return {};
  }

  /// Waits for a log call.
  Received<StoreCall> ReceiveStoreCall() {
    auto call =
        this->rings.store_calls.PopUntil(steady_clock::now() + kTestTimeout);
    REQUIRE(call);
    return {std::move(*call), steady_clock::now()};
  }

  /// Answers a log call as if it had been sent now.
  void Answer(const StoreCall& call) {
    StoreResult result;
    result.sent = steady_clock::now();
    if (const auto* read = std::get_if<ReadTopic>(&call.request)) {
      result.topic = read->topic;
      KeyedRecords all;
      if (read->topic == Topic::kOwnership) {
        all.end = this->log_end;
        if (this->record) all.records.push_back({"owners", *this->record});
      }
      result.outcome = tl::expected<KeyedRecords, ReadFailure>(all);
    } else {
      const auto& append = std::get<KeyedAppend>(call.request);
      result.topic = append.topic;
      if (append.topic == Topic::kOwnership) {
        this->record = append.record.value;
        ++this->log_end.value;
      }
      result.outcome =
          tl::expected<LogOffset, KeyedAppendFailure>(this->log_end);
    }
    REQUIRE(this->rings.store_results.TryPush(std::move(result)));
  }

  /// Answers `grant` as an upstream that accepts it.
  void AcceptGrant(const upstream::ControlCall& grant) {
    REQUIRE(this->rings.upstream_to_control.TryPush(
        {grant.id, grant.upstream,
         upstream::ControlAnswer(upstream::RangeGrantAnswer{}), 200}));
  }

  /// Stops the thread and returns `since_sent_ms` of the first log line of
  /// `event`.
  milliseconds LoggedSinceSent(const std::string& event) {
    this->thread.Stop();
    this->log.reset();
    const std::string name = "\"since_sent_ms\":\"";
    const std::string text = this->lines.str();
    const auto line = text.find("\"event\":\"" + event + "\"");
    REQUIRE(line != std::string::npos);
    const auto field = text.find(name, line);
    REQUIRE(field != std::string::npos);
    return milliseconds(std::stoll(text.substr(field + name.size())));
  }

  std::shared_ptr<SlowDocuments> documents = std::make_shared<SlowDocuments>();
  /// The newest ownership record in the log, and the end of the log.
  std::optional<std::string> record;
  LogOffset log_end{0};

 private:
  Metrics metrics;
  GatewayRings rings;
  std::ostringstream lines;
  std::unique_ptr<EventLog> log = std::make_unique<EventLog>("test", lines);
  OwnershipController controller{
      {DaemonId("d0"), DaemonInstance("i0"), {"10.0.0.9", 1}},
      {kLease, seconds(10)},
      documents,
      metrics,
      steady_clock::now()};

 public:
  OwnershipThread thread{controller, rings, *log, metrics};
};

SCENARIO("keys are granted again too early after a slow loop iteration") {
  Fixture fixture;
  GIVEN("a grant of all keys on its way to an upstream") {
    fixture.Update(Topic::kDesiredState, {{"state", "3"}});
    fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
    fixture.thread.Start();
    const auto grant = fixture.ReceiveGrant("u0");

    WHEN("it is answered in a slow iteration, and the upstream is lost then") {
      MonotonicTime accepted_at;
      // The iteration reads a registry that has another upstream instead. The
      // grant is answered within its timeout of 400 ms.
      fixture.RunSlowIteration(milliseconds(300), [&] {
        accepted_at = steady_clock::now();
        fixture.AcceptGrant(grant.item);
      });

      THEN(
          "the keys are granted to another upstream after the lease has "
          "ended") {
        const auto next = fixture.ReceiveGrant("slow");
        CHECK(next.at - accepted_at >=
              upstream::EndOfLease(accepted_at, kLease) - accepted_at);
        // The log line has whole milliseconds.
        CHECK(fixture.LoggedSinceSent("grant_answered") >=
              std::chrono::floor<milliseconds>(accepted_at - grant.at));
      }
    }
  }
}

SCENARIO("a daemon claims the leadership during the mandate of the leader") {
  Fixture fixture;
  GIVEN("a daemon that reads the record of a leader") {
    upstream::OwnershipRecord record;
    record.term = Term(4);
    record.leader = DaemonId("d1");
    fixture.record = upstream::EncodeOwnership(record);
    fixture.log_end = LogOffset(9);
    fixture.thread.Start();
    const auto read = fixture.ReceiveStoreCall();
    REQUIRE(std::holds_alternative<ReadTopic>(read.item.request));

    WHEN("the record is appended and read in a slow iteration") {
      MonotonicTime appended;
      fixture.RunSlowIteration(milliseconds(400), [&] {
        appended = steady_clock::now();
        fixture.Answer(read.item);
      });

      THEN("it claims the leadership after a wait that covers the mandate") {
        auto call = fixture.ReceiveStoreCall();
        const auto is_claim = [&call] {
          const auto* append = std::get_if<KeyedAppend>(&call.item.request);
          return append != nullptr && append->topic == Topic::kOwnership;
        };
        while (!is_claim() && call.at - appended < kTestTimeout) {
          fixture.Answer(call.item);
          call = fixture.ReceiveStoreCall();
        }
        CHECK(is_claim());
        CHECK(call.at - appended >= upstream::RangeLeadership::kTakeoverWait);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
