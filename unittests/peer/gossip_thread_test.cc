#include "bamboorack/peer/gossip_thread.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "bamboorack/peer/gossip_codec.h"

namespace bamboorack::peer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

LoadReport MakeReport() {
  LoadReport report;
  report.sender = DaemonId("d0");
  report.upstreams = {{HashOf(UpstreamId("u0")), 3, 1.25}};
  report.demands = {
      {ServiceName("reader"), {ShardKey(5), ShardKey(65'535)}, true}};
  report.log_contact_age = milliseconds(120);
  return report;
}

OwnerMap MakeMap() {
  OwnerMap map{{Term(4), 9}, {}};
  map.services[ServiceName("reader")] = {
      {{ShardKey(0), ShardKey(9)},
       UpstreamRun{UpstreamId("u0"), UpstreamLife(77)}},
      {{ShardKey(10), kLastKey}, std::nullopt}};
  return map;
}

LeaderBeat MakeBeat() {
  LeaderBeat beat;
  beat.sender = DaemonId("d0");
  beat.version = {Term(4), 9};
  beat.owners = ToHashed(MakeMap());
  return beat;
}

const GossipSource kSource{DaemonId("d0"), DaemonInstance("i0"), 3};

SCENARIO("a datagram is read as something else than was sent") {
  SECTION("a load report") {
    const auto received = DecodeGossip(EncodeGossip(kSource, MakeReport()));
    REQUIRE(received.has_value());
    CHECK(received->source.sequence == 3);
    const auto& report = std::get<LoadReport>(received->content);
    CHECK(report.sender == DaemonId("d0"));
    CHECK(report.upstreams.at(0).in_flight == 3);
    CHECK(report.upstreams.at(0).latency_ratio == Approx(1.25));
    CHECK(report.demands.at(0).states_load);
    CHECK(report.demands.at(0).keys ==
          std::vector<ShardKey>{ShardKey(5), ShardKey(65'535)});
    CHECK(report.log_contact_age == milliseconds(120));
    LoadReport departing = MakeReport();
    departing.departures = {{UpstreamHash(9), UpstreamLife(1'760'000'000'000)}};
    const auto told = DecodeGossip(EncodeGossip(kSource, departing));
    CHECK(std::get<LoadReport>(told->content).departures ==
          departing.departures);
    LoadReport silent;
    const auto other = DecodeGossip(EncodeGossip(kSource, silent));
    CHECK_FALSE(
        std::get<LoadReport>(other->content).log_contact_age.has_value());
  }
  SECTION("a leader's beat with and without owners") {
    const auto received = DecodeGossip(EncodeGossip(kSource, MakeBeat()));
    const auto& beat = std::get<LeaderBeat>(received->content);
    CHECK(beat.version == OwnerMapVersion{Term(4), 9});
    REQUIRE(beat.owners.has_value());
    RegisteredUpstream entry;
    entry.run = {UpstreamId("u0"), UpstreamLife(77)};
    CHECK(FromHashed(beat.version, *beat.owners, {entry}).services ==
          MakeMap().services);
    // An owner that is not registered here is none.
    const OwnerMap unknown = FromHashed(beat.version, *beat.owners, {});
    CHECK(unknown.FindOwner(ServiceName("reader"), ShardKey(5)) == nullptr);
    CHECK_FALSE(beat.lapsed.has_value());
    CHECK_FALSE(beat.since.has_value());
    LeaderBeat changes = MakeBeat();
    changes.since = 7;
    const auto partial = DecodeGossip(EncodeGossip(kSource, changes));
    CHECK(std::get<LeaderBeat>(partial->content).since == 7U);
    LeaderBeat lapsed;
    lapsed.lapsed = LeaseStatement{LogOffset(8), milliseconds(4'000)};
    const auto statement = DecodeGossip(EncodeGossip(kSource, lapsed));
    const auto& decoded = std::get<LeaderBeat>(statement->content);
    CHECK_FALSE(decoded.owners.has_value());
    CHECK(decoded.lapsed->log_end == LogOffset(8));
    CHECK(decoded.lapsed->leases_left == milliseconds(4'000));
  }
  SECTION("bytes at any address") {
    const std::string shifted = "x" + EncodeGossip(kSource, MakeBeat());
    CHECK(DecodeGossip(std::string_view(shifted).substr(1)).has_value());
  }
  SECTION("bytes that are cut or changed") {
    const std::string bytes = EncodeGossip(kSource, MakeBeat());
    for (std::size_t length = 0; length < bytes.size(); length += 7) {
      DecodeGossip(bytes.substr(0, length));
    }
    CHECK_FALSE(DecodeGossip("").has_value());
    CHECK_FALSE(DecodeGossip(std::string(64, '\xff')).has_value());
  }
}

/// One gossip thread whose other threads are the test.
struct Node {
  explicit Node(const std::string& name, std::uint16_t port)
      : thread(
            {DaemonId(name), DaemonInstance(name + "-1"), {"127.0.0.1", port}},
            in, to_routing, to_control, metrics) {}

  BoundedRing<ToGossip> in{64};
  BoundedRing<LoadReport> to_routing{64};
  BoundedRing<Gossip> to_control{64};
  Metrics metrics;
  GossipThread thread;
};

std::uint16_t FreePort() {
  Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0),
                                   false);
  return socket.address().port();
}

SCENARIO("daemons do not hear of each other") {
  const std::uint16_t first_port = FreePort();
  Node first("d0", first_port);
  Node second("d1", FreePort());
  REQUIRE(first.thread.Start().has_value());
  REQUIRE(second.thread.Start().has_value());

  // Only the second knows where the first is.
  REQUIRE(second.in.TryPush(SetPeers{{{"127.0.0.1", first_port}}}));
  LoadReport report = MakeReport();
  report.sender = DaemonId("d1");
  REQUIRE(second.in.TryPush(ToGossip(report)));
  const auto heard =
      first.to_routing.PopUntil(steady_clock::now() + seconds(10));
  REQUIRE(heard.has_value());
  CHECK(heard->sender == DaemonId("d1"));

  SECTION("a daemon answers those that it has heard") {
    REQUIRE(first.in.TryPush(ToGossip(MakeBeat())));
    const auto beat =
        second.to_control.PopUntil(steady_clock::now() + seconds(10));
    REQUIRE(beat.has_value());
    CHECK(std::holds_alternative<LeaderBeat>(*beat));
  }

  SECTION("a whole map goes to one daemon after the other") {
    Node third("d2", FreePort());
    REQUIRE(third.thread.Start().has_value());
    REQUIRE(third.in.TryPush(SetPeers{{{"127.0.0.1", first_port}}}));
    report.sender = DaemonId("d2");
    REQUIRE(third.in.TryPush(ToGossip(report)));
    REQUIRE(first.to_routing.PopUntil(steady_clock::now() + seconds(10)));
    TakeTurns turns;
    turns.most.version = {Term(4), 9};
    turns.few = MakeBeat();
    turns.few_count = 1;
    int whole_at_second = 0;
    for (int i = 0; i < 4; ++i) {
      REQUIRE(first.in.TryPush(ToGossip(turns)));
      const auto at_second =
          second.to_control.PopUntil(steady_clock::now() + seconds(10));
      const auto at_third =
          third.to_control.PopUntil(steady_clock::now() + seconds(10));
      REQUIRE(at_second.has_value());
      REQUIRE(at_third.has_value());
      const bool is_whole = std::get<LeaderBeat>(*at_second).owners.has_value();
      CHECK(is_whole != std::get<LeaderBeat>(*at_third).owners.has_value());
      if (is_whole) ++whole_at_second;
    }
    CHECK(whole_at_second == 2);
  }

  SECTION("a late datagram does not replace a newer one") {
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0),
                                     false);
    const Poco::Net::SocketAddress to("127.0.0.1", first_port);
    for (const std::uint64_t sequence : {7U, 6U, 8U}) {
      const std::string bytes = EncodeGossip(
          {DaemonId("d2"), DaemonInstance("x"), sequence}, MakeReport());
      socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), to);
    }
    int taken = 0;
    while (first.to_routing.PopUntil(steady_clock::now() + milliseconds(300))) {
      ++taken;
    }
    CHECK(taken == 2);
    CHECK(first.metrics.CountOf("gossip_out_of_order") == 1);
  }
  first.thread.Stop();
  second.thread.Stop();
}

}  // namespace
}  // namespace bamboorack::peer
