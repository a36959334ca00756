#include "bamboorack/core/cluster_state.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "bamboorack/core/hash.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/routing_table.h"

namespace bamboorack {
namespace {

ClusterState MakeState() {
  ClusterState state;
  state.inventory_revision = Revision(1);
  for (int i = 0; i < 5; ++i) {
    const std::string number = std::to_string(i);
    state.inventory.daemons.push_back(
        {DaemonId("d" + number), VmId("vm" + number),
         FailureDomain(i < 2 ? "east" : "west"), Endpoint{"127.0.0.1", 1}});
  }
  ServiceEntry service;
  service.name = ServiceName("reader");
  service.shard_count = 4;
  service.upstreams.push_back({UpstreamId("u0"), VmId("vm9"),
                               Endpoint{"127.0.0.1", 2}, FailureDomain("east"),
                               6, 1.0});
  state.inventory.services.push_back(service);
  const GroupId group{ServiceName("reader"), FailureDomain("east"), 0};
  state.shards[service.name].assign(4, ShardState{group, {}, {}});
  return state;
}

SCENARIO("two daemons disagree on who may take the authority over a group") {
  const ClusterState state = MakeState();
  const GroupId group = state.Groups().front();
  WHEN("the candidates are ranked") {
    const auto candidates = AuthorityCandidates(state.inventory, group);
    THEN("daemons of the group's failure domain come first") {
      REQUIRE(candidates.size() == 5);
      CHECK(state.FindDaemon(candidates[0])->failure_domain.value == "east");
      CHECK(state.FindDaemon(candidates[1])->failure_domain.value == "east");
      CHECK(state.FindDaemon(candidates[2])->failure_domain.value == "west");
    }
    THEN("the order of the inventory does not matter") {
      Inventory reversed = state.inventory;
      std::reverse(reversed.daemons.begin(), reversed.daemons.end());
      CHECK(AuthorityCandidates(reversed, group) == candidates);
    }
  }
}

SCENARIO("a request goes to a server that does not own its key") {
  const auto state = std::make_shared<ClusterState>(MakeState());
  RoutingTable table{state, {}, {}, {}};
  const DaemonId self("d0");
  const ServiceName service("reader");
  const auto reason_of = [&](const ServiceName& name) {
    return FindRoute(table, self, name, "key").error().reason;
  };

  SECTION("without a state nothing is routed") {
    table.state = nullptr;
    CHECK(reason_of(service) == Reason::kNoState);
  }
  SECTION("an unknown service is refused") {
    CHECK(reason_of(ServiceName("none")) == Reason::kUnknownService);
  }
  SECTION("a group without an authority is refused") {
    CHECK(reason_of(service) == Reason::kNoAuthority);
  }
  SECTION("another daemon's group is forwarded to that daemon") {
    state->authorities[state->Groups().front()] = {
        FencingToken(7), DaemonId("d1"), DaemonInstance("i"), {}};
    CHECK(FindRoute(table, self, service, "key")->authority == DaemonId("d1"));
  }
  SECTION("a local group") {
    const GroupId group = state->Groups().front();
    table.local_groups[group] = LocalGroup{FencingToken(7), {}};
    SECTION("without an owner refuses") {
      CHECK(reason_of(service) == Reason::kOwnerMoving);
    }
    SECTION("with an owner") {
      const UpstreamRef owner{UpstreamId("u0"), UpstreamInstance("i0")};
      for (ShardState& shard : state->shards[service]) shard.owner = owner;
      SECTION("that is not reachable refuses") {
        CHECK(reason_of(service) == Reason::kOwnerUnreachable);
      }
      SECTION("that confirmed its grant gets the request") {
        table.granted[service].assign(4, true);
        CHECK(FindRoute(table, self, service, "key")->local_owner == owner);
      }
    }
  }
}

SCENARIO("a refusal leaves no trace in the counters") {
  Metrics metrics;
  metrics.CountRefusal(Reason::kQueueFull);
  metrics.CountRetry(Reason::kPeerLost);
  metrics.ObserveLatency(Rank::kLookup, Ending::kDone,
                         std::chrono::milliseconds(2));
  const std::string text = metrics.ToPrometheusText();
  CHECK(text.find("bamboorack_refusals_total{reason=\"queue_full\"} 1") !=
        std::string::npos);
  CHECK(text.find("bamboorack_retries_total{reason=\"peer_lost\"} 1") !=
        std::string::npos);
  CHECK(text.find("bamboorack_latency_seconds_count{rank=\"lookup\","
                  "outcome=\"done\"} 1") != std::string::npos);
  CHECK(metrics.LatencyQuantile(Rank::kLookup, Ending::kDone, 0.99) >
        std::chrono::milliseconds(1));
}

SCENARIO("the table of reasons does not match the enum") {
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    CHECK(static_cast<std::size_t>(kReasons.at(i).reason) == i);
    CHECK(ReasonFromName(kReasons.at(i).name) == kReasons.at(i).reason);
  }
}

}  // namespace
}  // namespace bamboorack
