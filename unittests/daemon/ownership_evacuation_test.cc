#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/daemon/ownership_controller.h"
#include "bamboorack/upstream/ownership_codec.h"
#include "catch2/catch.hpp"
#include "daemon/ownership_controller_fixture.h"

namespace bamboorack::daemon {
namespace {

using log_service::KeyedRecord;
using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::seconds;

const FailureDomain kWest("west");

/// Two upstreams in the east and one in the west.
struct Fixture : OwnershipControllerFixture {
  void Start(std::vector<KeyedRecord> orders = {}) {
    orders.push_back({"state", "3"});
    this->Update(Topic::kDesiredState, std::move(orders));
    this->Update(
        Topic::kUpstreams,
        {{"e0", "reader@east"}, {"e1", "reader@east"}, {"w0", "reader@west"}});
  }

  /// Runs with a read of the desired state that brings nothing every second.
  void RunInContact(seconds span) {
    for (seconds left = span; left > seconds(0); left -= seconds(1)) {
      this->Update(Topic::kDesiredState, {}, false);
      this->Run(seconds(1));
    }
  }

  void Order(bool is_complete = false) {
    this->Update(Topic::kDesiredState,
                 {{"state", "3"}, {"evacuate west", "{}"}}, is_complete);
  }
  void TakeBack() {
    this->Update(Topic::kDesiredState, {{"evacuate west", std::nullopt}},
                 false);
  }

  bool IsEvacuated() const {
    return this->tables.evacuated_domains != nullptr &&
           this->tables.evacuated_domains->contains(kWest);
  }

  /// Returns how many milliseconds keys there may still be served.
  std::int64_t Grace() const {
    return std::chrono::duration_cast<milliseconds>(
               this->tables.evacuated_domains->at(kWest) - this->now)
        .count();
  }

  std::set<std::string> Owners() const {
    std::set<std::string> owners;
    for (const auto& row :
         this->tables.owners->services.at(ServiceName("reader"))) {
      owners.insert(row.owner ? row.owner->id.value : "nobody");
    }
    return owners;
  }

  std::vector<std::map<std::string, std::string>> Events(
      const std::string& name) const {
    std::vector<std::map<std::string, std::string>> found;
    for (const ControlEvent& event : this->events) {
      if (event.name != name) continue;
      found.emplace_back(event.fields.begin(), event.fields.end());
    }
    return found;
  }
};

SCENARIO("an order to evacuate is not in force, or stays so after its end") {
  Fixture fixture;

  GIVEN("an order that stood before the daemon started") {
    fixture.Start({{"evacuate west", "{}"}});
    THEN("it is in force with the first desired state, and has no grace") {
      REQUIRE(fixture.tables.desired != nullptr);
      REQUIRE(fixture.IsEvacuated());
      CHECK(fixture.Grace() <= 0);
      fixture.Run(seconds(2));
      CHECK(fixture.controller.IsReady());
      CHECK(fixture.Owners() == std::set<std::string>{"e0", "e1"});
    }
  }
  GIVEN("an order to a running daemon") {
    fixture.Start();
    fixture.RunInContact(seconds(3));
    fixture.Order();
    THEN("it is in force, and keys are served there for part of the bound") {
      REQUIRE(fixture.IsEvacuated());
      CHECK(fixture.Grace() >= 2'000);
      CHECK(fixture.Grace() <= 3'500);
    }
    THEN("it survives failed reads and a compacted history") {
      log_service::TopicUpdate failure;
      failure.topic = Topic::kDesiredState;
      failure.at = fixture.now;
      failure.failure = "no answer";
      fixture.Collect(fixture.controller.OnTopicUpdate(failure, fixture.now));
      fixture.Order(true);
      CHECK(fixture.IsEvacuated());
    }
    THEN("its removal ends it") {
      fixture.TakeBack();
      CHECK_FALSE(fixture.IsEvacuated());
      CHECK(fixture.Events("evacuation_ended").size() == 1);
    }
    THEN("a complete read without it ends it") {
      fixture.Update(Topic::kDesiredState, {{"state", "3"}}, true);
      CHECK_FALSE(fixture.IsEvacuated());
    }
  }
  GIVEN("an order that is learned of after an outage of the log") {
    fixture.Start();
    fixture.RunInContact(seconds(3));
    fixture.Run(seconds(10), false);
    fixture.Order();
    CHECK(fixture.Grace() <= 0);
  }
  GIVEN("keys that name no domain, and a domain without upstreams") {
    fixture.Start({{"evacuate ", "{}"}, {"evacuate moon", "?"}});
    CHECK(fixture.metrics.CountOf("evacuation_orders_rejected") == 1);
    CHECK(fixture.tables.evacuated_domains->size() == 1);
    CHECK(fixture.Events("evacuation_ordered").at(0).at("upstreams") == "0");
  }
}

SCENARIO("keys stay at upstreams in an evacuated domain") {
  Fixture fixture;
  fixture.Start();
  fixture.RunInContact(seconds(3));
  REQUIRE(fixture.Owners().contains("w0"));
  fixture.Order();

  THEN("the leader moves them, and tells when none is left") {
    fixture.Run(milliseconds(1'000));
    CHECK(fixture.Owners() == std::set<std::string>{"e0", "e1"});
    REQUIRE(fixture.Events("evacuation_begins").size() == 1);
    CHECK(fixture.Events("evacuation_begins")[0].at("ranges_held") != "0");
    REQUIRE(fixture.Events("evacuation_complete").size() == 1);
    CHECK(fixture.Events("evacuation_complete")[0].at("domain") == "west");
  }
  WHEN("the leader ends halfway and another daemon follows") {
    fixture.Run(milliseconds(100));
    Fixture next;
    next.now = fixture.now;
    next.record = fixture.record;
    next.log_end = fixture.log_end;
    next.Start({{"evacuate west", "{}"}});
    next.Run(seconds(8));
    THEN("it continues") {
      REQUIRE_FALSE(next.controller.IsHandedOver());
      CHECK(next.Owners() == std::set<std::string>{"e0", "e1"});
      CHECK(next.Events("evacuation_complete").size() == 1);
    }
  }
  WHEN("the other domain is ordered to be evacuated too") {
    fixture.Run(milliseconds(1'000));
    fixture.sent.clear();
    fixture.Update(Topic::kDesiredState, {{"evacuate east", "{}"}}, false);
    fixture.Run(milliseconds(1'000));
    THEN("keys have nowhere to go and stay") {
      CHECK(fixture.Owners() == std::set<std::string>{"e0", "e1"});
      for (const upstream::ControlCall& call : fixture.sent) {
        CHECK(std::holds_alternative<upstream::RangeGrantCall>(call.request));
      }
    }
  }
}

SCENARIO("a daemon that cannot read the log does not learn of an order") {
  Fixture fixture;
  fixture.Start();
  fixture.RunInContact(seconds(3));
  REQUIRE_FALSE(fixture.controller.IsHandedOver());
  const auto relayed_keys = [&fixture] {
    std::vector<std::string> keys;
    for (const peer::ToGossip& message : std::exchange(fixture.gossip, {})) {
      const auto* relay = std::get_if<peer::RecordRelay>(&message);
      const bool is_state =
          relay != nullptr &&
          relay->topic == static_cast<std::uint8_t>(Topic::kDesiredState);
      if (!is_state || !relay->records) continue;
      for (const auto& [key, value] : *relay->records) keys.push_back(key);
    }
    return keys;
  };
  relayed_keys();
  SECTION("the leader passes on an order and its end") {
    fixture.Update(Topic::kDesiredState, {{"evacuate west", "{}"}}, false);
    CHECK(relayed_keys() == std::vector<std::string>{"evacuate west"});
    fixture.TakeBack();
    CHECK(relayed_keys() == std::vector<std::string>{"evacuate west"});
  }
  SECTION("a desired state is read by each daemon, with what came beside it") {
    fixture.Order();
    CHECK(relayed_keys().empty());
  }
}

}  // namespace
}  // namespace bamboorack::daemon
