#ifndef BAMBOORACK_UNITTESTS_DAEMON_OWNERSHIP_CONTROLLER_FIXTURE_H_
#define BAMBOORACK_UNITTESTS_DAEMON_OWNERSHIP_CONTROLLER_FIXTURE_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/core/metrics.h"
#include "bamboorack/daemon/ownership_controller.h"

namespace bamboorack::daemon {

/// A minimal document format: `SERVICE` or `SERVICE MILLISECONDS` (of warm-up)
/// for an upstream's entry, `VERSION` for a desired state with one sharded
/// service, `VERSION RATE` if it limits requests during a warm-up.
class TestDocuments : public log_service::StateDocuments {
 public:
  std::string DesiredStateKey() const override { return "state"; }
  tl::expected<DesiredState, std::string> ReadDesiredState(
      const std::string& text) const override {
    if (text == "bad") return tl::make_unexpected(std::string("bad"));
    DesiredState state;
    state.version = ConfigVersion(std::stoull(text));
    state.services = {{ServiceName("reader"), 100, true}};
    const std::size_t space = text.find(' ');
    if (space != std::string::npos) {
      state.services[0].warm_up_request_rate = std::stod(text.substr(space));
    }
    return state;
  }
  tl::expected<RegisteredUpstream, std::string> ReadUpstream(
      const std::string& key, const std::string& text) const override {
    if (text == "bad") return tl::make_unexpected(std::string("bad"));
    RegisteredUpstream entry;
    entry.run = {UpstreamId(key), UpstreamLife(1)};
    const std::size_t space = text.find(' ');
    entry.service = ServiceName(text.substr(0, space));
    if (space != std::string::npos) {
      entry.warm_up_left =
          std::chrono::milliseconds(std::stoll(text.substr(space)));
    }
    entry.endpoint = {"10.0.0.1", 80};
    entry.slots = 4;
    return entry;
  }
};

/// The `OwnershipController` of a daemon; the test plays the log, the upstreams
/// and the other daemons.
struct OwnershipControllerFixture {
  void Collect(OwnershipActions actions) {
    for (OwnershipAction& action : actions) {
      if (auto* call = std::get_if<log_service::StoreCall>(&action)) {
        this->store_calls.push_back(std::move(*call));
      }
      if (auto* tables_now = std::get_if<GatewayTables>(&action)) {
        this->tables = *tables_now;
      }
      if (auto* call = std::get_if<upstream::ControlCall>(&action)) {
        this->control_calls.push_back(*call);
      }
      if (auto* message = std::get_if<peer::ToGossip>(&action)) {
        this->gossip.push_back(std::move(*message));
      }
      if (auto* event = std::get_if<ControlEvent>(&action)) {
        this->events.push_back(std::move(*event));
      }
      if (auto* relay = std::get_if<log_service::TopicRelay>(&action)) {
        this->relays.push_back(std::move(*relay));
      }
    }
  }

  void Update(log_service::Topic topic,
              std::vector<log_service::KeyedRecord> records,
              bool is_complete = true) {
    log_service::TopicUpdate update;
    update.topic = topic;
    update.at = this->now;
    update.is_complete = is_complete;
    update.end = LogOffset(7);
    update.records = std::move(records);
    this->Collect(this->controller.OnTopicUpdate(std::move(update), this->now));
  }

  void Answer(const log_service::StoreCall& call) {
    log_service::StoreResult result;
    result.sent = this->now;
    if (const auto* read = std::get_if<log_service::ReadTopic>(&call.request)) {
      result.topic = read->topic;
      log_service::KeyedRecords all;
      if (read->topic == log_service::Topic::kOwnership) {
        all.end = this->log_end;
        if (this->record) all.records.push_back({"owners", *this->record});
      }
      if (read->topic == log_service::Topic::kDaemons) {
        for (const std::string& daemon : this->daemons) {
          all.records.push_back({daemon, "10.0.0.9:1"});
        }
      }
      result.outcome =
          tl::expected<log_service::KeyedRecords, log_service::ReadFailure>(
              all);
    } else {
      const auto& append = std::get<log_service::KeyedAppend>(call.request);
      result.topic = append.topic;
      if (append.topic == log_service::Topic::kOwnership) {
        this->record = append.record.value;
        ++this->log_end.value;
      }
      result.outcome = tl::expected<LogOffset, log_service::KeyedAppendFailure>(
          this->log_end);
    }
    this->Collect(this->controller.OnStoreResult(std::move(result), this->now));
  }

  /// Advances the time in ticks of 50 ms. The log answers at once unless
  /// `log_answers` is false; upstreams answer every control call.
  void Run(std::chrono::milliseconds span, bool log_answers = true) {
    const MonotonicTime end = this->now + span;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(50);
      this->Collect(this->controller.Tick(this->now));
      const auto calls = std::exchange(this->store_calls, {});
      for (const log_service::StoreCall& call : calls) {
        if (log_answers) this->Answer(call);
      }
      const auto pending = std::exchange(this->control_calls, {});
      for (const upstream::ControlCall& call : pending) {
        this->sent.push_back(call);
        upstream::ControlAnswer answer = upstream::RangeGrantAnswer{};
        if (std::holds_alternative<upstream::RangeReleaseCall>(call.request)) {
          answer = upstream::RangeReleaseAnswer{Handover("h")};
        }
        tl::expected<upstream::ControlAnswer, upstream::ControlError> outcome =
            answer;
        if (this->answer_status != 200) {
          outcome = tl::make_unexpected(upstream::ControlError::kBadAnswer);
        }
        this->Collect(this->controller.OnControlResult(
            {call.id, call.upstream, outcome, this->answer_status}, this->now));
      }
    }
  }

  MonotonicTime now{std::chrono::seconds(100)};
  Metrics metrics;
  OwnershipController controller{
      {DaemonId("d0"), DaemonInstance("i0"), {"10.0.0.9", 1}},
      {},
      std::make_shared<const TestDocuments>(),
      metrics,
      now};
  std::optional<std::string> record;
  /// The directory of daemons in the log.
  std::vector<std::string> daemons;
  /// HTTP status of the upstreams' answers to control calls.
  int answer_status = 200;
  LogOffset log_end{0};
  GatewayTables tables;
  std::vector<log_service::StoreCall> store_calls;
  std::vector<upstream::ControlCall> control_calls;
  std::vector<upstream::ControlCall> sent;
  std::vector<peer::ToGossip> gossip;
  std::vector<ControlEvent> events;
  std::vector<log_service::TopicRelay> relays;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_UNITTESTS_DAEMON_OWNERSHIP_CONTROLLER_FIXTURE_H_
