#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "bamboorack/daemon/ownership_controller.h"
#include "catch2/catch.hpp"
#include "daemon/ownership_controller_fixture.h"

namespace bamboorack::daemon {
namespace {

using Fixture = OwnershipControllerFixture;
using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::seconds;

bool OwnsKeys(const Fixture& fixture, const std::string& id) {
  const auto& ranges =
      fixture.tables.owners->services.at(ServiceName("reader"));
  return std::any_of(ranges.begin(), ranges.end(), [&id](const auto& range) {
    return range.owner && range.owner->id.value == id;
  });
}

std::size_t CountEvents(const Fixture& fixture, const std::string& name) {
  const auto count = std::count_if(
      fixture.events.begin(), fixture.events.end(),
      [&name](const ControlEvent& event) { return event.name == name; });
  return static_cast<std::size_t>(count);
}

SCENARIO("keys are owned by an upstream that warms up") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "3 3.9"}});

  GIVEN("a cold and a warm upstream") {
    fixture.Update(Topic::kUpstreams, {{"a", "reader 6000"}, {"b", "reader"}});
    fixture.Run(seconds(3));
    THEN("the warm one has all keys") {
      CHECK_FALSE(OwnsKeys(fixture, "a"));
      CHECK(OwnsKeys(fixture, "b"));
      CHECK(CountEvents(fixture, "upstream_cold") == 1);
    }
    WHEN("the warm-up has ended and there is load") {
      fixture.Run(seconds(3));
      peer::LoadReport report;
      report.sender = DaemonId("d1");
      report.demands.push_back({ServiceName("reader"), {}});
      for (std::uint16_t key = 0; key < 200; ++key) {
        report.demands[0].keys.emplace_back(
            static_cast<std::uint16_t>(key * 300));
      }
      fixture.Collect(
          fixture.controller.OnGossip(peer::Gossip(report), fixture.now));
      fixture.Run(seconds(2));
      THEN("the other gets its keys") {
        CHECK(OwnsKeys(fixture, "a"));
        CHECK(OwnsKeys(fixture, "b"));
        CHECK(CountEvents(fixture, "upstream_warm") == 1);
      }
    }
  }
  GIVEN("only cold upstreams") {
    fixture.Update(Topic::kUpstreams,
                   {{"a", "reader 9000"}, {"b", "reader 9000"}});
    fixture.Run(seconds(3));
    THEN("they have the keys") {
      CHECK(OwnsKeys(fixture, "a"));
      CHECK(OwnsKeys(fixture, "b"));
    }
  }
  GIVEN("five upstreams of which one is warm before the others") {
    fixture.Update(Topic::kUpstreams, {{"a", "reader 9000"},
                                       {"b", "reader 9000"},
                                       {"c", "reader 9000"},
                                       {"d", "reader 9000"},
                                       {"e", "reader"}});
    fixture.Run(seconds(3));
    THEN("it does not get the keys of all") {
      CHECK(OwnsKeys(fixture, "a"));
      CHECK(OwnsKeys(fixture, "e"));
    }
  }
  GIVEN("an owner that becomes cold in the middle of its life") {
    fixture.Update(Topic::kUpstreams, {{"a", "reader"}, {"b", "reader"}});
    fixture.Run(seconds(3));
    REQUIRE(OwnsKeys(fixture, "a"));
    const auto become_cold = [&](const std::string& record) {
      fixture.Update(Topic::kUpstreams, {{"a", record}}, false);
      fixture.Run(milliseconds(1'500));
    };
    THEN("its keys are handed over") {
      become_cold("reader 5000");
      CHECK_FALSE(OwnsKeys(fixture, "a"));
    }
    THEN("it keeps them if it is warm again before they could have moved") {
      become_cold("reader 500");
      CHECK(OwnsKeys(fixture, "a"));
    }
    THEN("it keeps them if its service has no rate") {
      fixture.Update(Topic::kDesiredState, {{"state", "4"}}, false);
      become_cold("reader 5000");
      CHECK(OwnsKeys(fixture, "a"));
      CHECK(CountEvents(fixture, "upstream_cold") == 0);
    }
  }
}

SCENARIO("followers do not hear that an upstream became cold again") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "3 3.9"}});
  fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
  fixture.Run(seconds(3));
  REQUIRE_FALSE(fixture.controller.IsHandedOver());
  const auto is_relayed = [&fixture](const std::string& record) {
    fixture.gossip.clear();
    fixture.Update(Topic::kUpstreams, {{"u1", record}}, false);
    return std::any_of(
        fixture.gossip.begin(), fixture.gossip.end(), [](const auto& message) {
          const auto* relay = std::get_if<peer::RecordRelay>(&message);
          return relay != nullptr && relay->records && !relay->records->empty();
        });
  };
  GIVEN("an upstream that warms up") {
    REQUIRE(is_relayed("reader 3000"));
    fixture.Run(milliseconds(900));
    THEN("records that count down are not relayed") {
      CHECK_FALSE(is_relayed("reader 2100"));
      fixture.Run(seconds(4));
      CHECK_FALSE(is_relayed("reader 0"));
      AND_THEN("the next warm-up is") {
        fixture.Run(seconds(4));
        CHECK(is_relayed("reader 3000"));
      }
    }
    THEN("a longer warm-up is relayed") { CHECK(is_relayed("reader 5000")); }
  }
}

SCENARIO("turns follow from a directory that lacks daemons") {
  Fixture fixture;
  fixture.daemons = {"d2", "d0"};
  const auto daemons = [&] {
    std::vector<std::string> ids;
    if (!fixture.tables.daemons) return ids;
    for (const DaemonId& id : *fixture.tables.daemons) ids.push_back(id.value);
    return ids;
  };
  GIVEN("a service that limits requests during a warm-up") {
    fixture.Update(Topic::kDesiredState, {{"state", "3 3.9"}});
    fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
    THEN("the directory is used when two reads agree, in the order of ids") {
      fixture.Run(milliseconds(1'500));
      CHECK(daemons().empty());
      fixture.daemons = {"d2", "d0", "d1"};
      fixture.Run(seconds(2));
      CHECK(daemons().empty());
      fixture.Run(seconds(3));
      CHECK(daemons() == std::vector<std::string>{"d0", "d1", "d2"});
    }
  }
  GIVEN("no such service") {
    fixture.Update(Topic::kDesiredState, {{"state", "3"}});
    fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
    THEN("it is read no earlier than before") {
      fixture.Run(seconds(10));
      CHECK(daemons().empty());
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
