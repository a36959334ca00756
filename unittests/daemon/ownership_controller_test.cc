#include "bamboorack/daemon/ownership_controller.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/upstream/ownership_codec.h"
#include "daemon/ownership_controller_fixture.h"

namespace bamboorack::daemon {
namespace {

using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Fixture = OwnershipControllerFixture;

SCENARIO("keys have no owner although upstreams are registered") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "3"}});
  fixture.Update(Topic::kUpstreams, {{"u0", "reader"}, {"u1", "reader"}});
  CHECK_FALSE(fixture.controller.IsReady());
  fixture.Run(seconds(2));

  THEN("the daemon leads and grants all keys") {
    CHECK(fixture.controller.IsReady());
    REQUIRE(fixture.tables.owners != nullptr);
    for (const std::uint16_t key : {0, 30'000, 65'535}) {
      CHECK(fixture.tables.owners->FindOwner(ServiceName("reader"),
                                             ShardKey(key)) != nullptr);
    }
    CHECK(fixture.record.has_value());
  }

  WHEN("the log stops answering") {
    fixture.sent.clear();
    fixture.Run(seconds(4), false);
    THEN("no call is sent after the mandate, and the lapse is announced") {
      for (const upstream::ControlCall& call : fixture.sent) {
        CHECK(call.send_before <
              MonotonicTime(seconds(102)) + milliseconds(1'200));
      }
      const bool is_stated = std::any_of(
          fixture.gossip.begin(), fixture.gossip.end(), [](const auto& sent) {
            const auto* beat = std::get_if<peer::LeaderBeat>(&sent);
            return beat != nullptr && beat->lapsed.has_value();
          });
      CHECK(is_stated);
    }
  }

  WHEN("the daemon stops") {
    fixture.controller.BeginStop();
    fixture.Run(seconds(1));
    THEN("its last record lets another daemon lead at once") {
      CHECK(fixture.controller.IsHandedOver());
      CHECK(upstream::DecodeOwnership(*fixture.record)->is_released);
    }
  }
}

SCENARIO("a run that said that it leaves keeps its keys") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "1"}});
  fixture.Update(Topic::kUpstreams, {{"a", "reader"}, {"b", "reader"}});
  peer::LoadReport report;
  report.sender = DaemonId("d1");
  report.departures = {{peer::HashOf(UpstreamId("a")), UpstreamLife(1)},
                       {peer::HashOf(UpstreamId("b")), UpstreamLife(7)}};
  fixture.Collect(
      fixture.controller.OnGossip(peer::Gossip(report), fixture.now));
  fixture.Collect(fixture.controller.Tick(fixture.now));
  THEN("its entry is draining for all decisions, that of another run is not") {
    REQUIRE(fixture.tables.upstreams->size() == 2);
    CHECK(fixture.tables.upstreams->at(0).is_draining);
    CHECK_FALSE(fixture.tables.upstreams->at(1).is_draining);
  }
  THEN("an older record of the registry does not undo it") {
    fixture.Update(Topic::kUpstreams, {{"a", "reader"}, {"b", "reader"}});
    fixture.Collect(fixture.controller.Tick(fixture.now));
    CHECK(fixture.tables.upstreams->at(0).is_draining);
  }
}

SCENARIO("a control call cannot be traced in the event log") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "3"}});
  fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
  fixture.Run(seconds(2));
  const auto lines = [&fixture](const std::string& name) {
    std::vector<std::map<std::string, std::string>> found;
    for (const ControlEvent& event : fixture.events) {
      if (event.name != name) continue;
      found.emplace_back(event.fields.begin(), event.fields.end());
    }
    return found;
  };

  THEN("the first grant has its upstream, token, lease and outcome") {
    const auto sent = lines("grant_sent");
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].at("upstream") == "u0");
    CHECK(sent[0].at("keys") == "0-65535");
    CHECK(sent[0].at("lease_ms") == "3000");
    const auto answered = lines("grant_answered");
    REQUIRE(answered.size() == 1);
    CHECK(answered[0].at("order") == sent[0].at("order"));
    CHECK(answered[0].at("token") == sent[0].at("token"));
  }
  THEN("answered renewals are not logged") {
    fixture.Run(seconds(20));
    CHECK(lines("grant_sent").size() == 1);
  }
  THEN("a failed call has its error and the status of the answer") {
    fixture.answer_status = 500;
    fixture.Run(seconds(2));
    const auto failed = lines("grant_failed");
    REQUIRE_FALSE(failed.empty());
    CHECK(failed[0].at("error") == "bad_answer");
    CHECK(failed[0].at("status") == "500");
  }
  THEN(
      "a new leader logs the record that it took over and how long leases may "
      "last") {
    const auto taken = lines("leadership_taken");
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].at("from_term") == "0");
    CHECK(taken[0].at("leases_left_ms") == "11205");
  }
}

SCENARIO("owner changes are applied to a map that lacks earlier changes") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "3"}});
  fixture.Update(Topic::kUpstreams, {{"u0", "reader"}, {"u1", "reader"}});
  const ServiceName service("reader");
  const auto receive_beat = [&fixture](std::uint64_t change,
                                       std::optional<std::uint64_t> since,
                                       std::vector<peer::HashedRange> ranges) {
    peer::LeaderBeat beat;
    beat.sender = DaemonId("d1");
    beat.version = {Term(9), change};
    beat.since = since;
    beat.owners = peer::HashedOwners{{ServiceName("reader"), ranges}};
    fixture.Collect(fixture.controller.OnGossip(beat, fixture.now));
    fixture.Collect(fixture.controller.Tick(fixture.now));
  };
  const auto owner_of = [&](std::uint16_t key) {
    const UpstreamRun* run =
        fixture.tables.owners->FindOwner(service, ShardKey(key));
    return run == nullptr ? std::string() : run->id.value;
  };
  const auto u0 = peer::HashOf(UpstreamId("u0"));
  const auto u1 = peer::HashOf(UpstreamId("u1"));
  receive_beat(5, std::nullopt, {{{kFirstKey, kLastKey}, u0}});
  REQUIRE(fixture.tables.owners != nullptr);
  REQUIRE(owner_of(70) == "u0");

  SECTION("changes since a known version") {
    receive_beat(8, 4, {{{ShardKey(50), ShardKey(99)}, u1}});
    CHECK(owner_of(49) == "u0");
    CHECK(owner_of(50) == "u1");
    CHECK(owner_of(99) == "u1");
    CHECK(owner_of(100) == "u0");
    SECTION("a late beat changes nothing") {
      receive_beat(7, 4, {{{ShardKey(50), ShardKey(99)}, u0}});
      CHECK(owner_of(70) == "u1");
    }
  }
  SECTION("changes since an unknown version") {
    receive_beat(8, 6, {{{ShardKey(50), ShardKey(99)}, u1}});
    CHECK(owner_of(70) == "u0");
    SECTION("the next complete map restores the owners") {
      receive_beat(
          8, std::nullopt,
          {{{kFirstKey, ShardKey(99)}, u1}, {{ShardKey(100), kLastKey}, u0}});
      CHECK(owner_of(70) == "u1");
    }
  }
}

SCENARIO("a daemon that receives no leader beats knows no owners") {
  Fixture fixture;
  upstream::OwnershipRecord record;
  record.term = Term(4);
  record.leader = DaemonId("d1");
  record.services[ServiceName("reader")] = {
      {{kFirstKey, kLastKey},
       UpstreamRun{UpstreamId("u0"), UpstreamLife(1)},
       std::nullopt}};
  fixture.record = upstream::EncodeOwnership(record);
  fixture.log_end = LogOffset(9);
  fixture.Update(Topic::kDesiredState, {{"state", "3"}});
  fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
  fixture.Run(milliseconds(200));
  CHECK(fixture.controller.IsReady());
  REQUIRE(fixture.tables.owners != nullptr);
  CHECK(fixture.tables.owners->FindOwner(ServiceName("reader"), ShardKey(5)) !=
        nullptr);
}

SCENARIO("an older or malformed desired state is applied") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "3"}});
  fixture.Update(Topic::kDesiredState, {{"state", "2"}}, false);
  CHECK(fixture.tables.desired->version == ConfigVersion(3));
  fixture.Update(Topic::kDesiredState, {{"state", "bad"}}, false);
  CHECK(fixture.tables.desired->version == ConfigVersion(3));
  CHECK(fixture.metrics.CountOf("desired_states_rejected") == 1);
  fixture.Update(Topic::kUpstreams, {{"u0", "reader"}, {"u1", "bad"}});
  CHECK(fixture.tables.upstreams->size() == 1);
}

SCENARIO("a follower reads from the log what the leader has relayed") {
  Fixture fixture;
  peer::RecordRelay relay;
  relay.topic = static_cast<std::uint8_t>(Topic::kUpstreams);
  relay.from = LogOffset(3);
  relay.end = LogOffset(5);
  relay.records.emplace();
  relay.records->emplace_back("u0", "reader");
  fixture.Collect(fixture.controller.OnGossip(relay, fixture.now));
  REQUIRE(fixture.relays.size() == 1);
  CHECK(fixture.relays[0].has_records);
  CHECK(fixture.relays[0].records.at(0).key == "u0");
  // Relays of topics unknown to this version are ignored.
  relay.topic = 200;
  fixture.Collect(fixture.controller.OnGossip(relay, fixture.now));
  CHECK(fixture.relays.size() == 1);
}

// Entries that only count down are not relayed again, so that heartbeats of
// upstreams do not fill the network.
SCENARIO("followers miss an upstream that came back") {
  Fixture fixture;
  fixture.Update(Topic::kDesiredState, {{"state", "3"}});
  fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
  fixture.Run(seconds(3));
  REQUIRE_FALSE(fixture.controller.IsHandedOver());
  const auto is_relayed = [&fixture](const std::string& key) {
    fixture.gossip.clear();
    fixture.Update(Topic::kUpstreams, {{key, "reader"}}, false);
    for (const peer::ToGossip& message : fixture.gossip) {
      const auto* relay = std::get_if<peer::RecordRelay>(&message);
      if (relay == nullptr || !relay->records) continue;
      for (const auto& [relayed, value] : *relay->records) {
        if (relayed == key) return true;
      }
    }
    return false;
  };
  GIVEN("an upstream whose entry the leader has relayed") {
    REQUIRE(is_relayed("u1"));
    THEN("the same entry is not relayed again") {
      CHECK_FALSE(is_relayed("u1"));
    }
    WHEN("it is removed and registers again") {
      fixture.Update(Topic::kUpstreams, {{"u1", std::nullopt}}, false);
      THEN("it is relayed") { CHECK(is_relayed("u1")); }
    }
    WHEN("it is missing from a whole read and registers again") {
      fixture.Update(Topic::kUpstreams, {{"u0", "reader"}});
      THEN("it is relayed") { CHECK(is_relayed("u1")); }
    }
    WHEN("another daemon leads for a while") {
      peer::LeaderBeat beat;
      beat.sender = DaemonId("d1");
      beat.version = {Term(9), 0};
      fixture.Collect(fixture.controller.OnGossip(beat, fixture.now));
      REQUIRE(fixture.controller.IsHandedOver());
      fixture.Run(seconds(20));
      REQUIRE_FALSE(fixture.controller.IsHandedOver());
      THEN("it is relayed in the new term") { CHECK(is_relayed("u1")); }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
