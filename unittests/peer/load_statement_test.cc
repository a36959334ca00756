#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "bamboorack/peer/gossip_codec.h"
#include "catch2/catch.hpp"

namespace bamboorack::peer {
namespace {

using std::chrono::milliseconds;

const GossipSource kSource{DaemonId("d0"), DaemonInstance("i0"), 3};

LoadReport Decode(const std::string& bytes) {
  const auto received = DecodeGossip(bytes);
  REQUIRE(received.has_value());
  return std::get<LoadReport>(received->content);
}

LoadReport MakeReport() {
  LoadReport report;
  report.upstreams = {{UpstreamHash(5), 3, 1.25}};
  return report;
}

const UpstreamStatement kStatement{UpstreamHash(9), milliseconds(120), 4, 16,
                                   3.25};

SCENARIO("daemons of two releases misread each other's load reports") {
  GIVEN("a report that tells what upstreams stated") {
    LoadReport report = MakeReport();
    report.statements = {kStatement, {UpstreamHash(10), milliseconds(0), 0, 0}};
    const std::string bytes = EncodeGossip(kSource, report);
    THEN("it is read as it was sent") {
      const LoadReport read = Decode(bytes);
      CHECK(read.statements == report.statements);
      CHECK(read.upstreams.at(0).in_flight == 3);
    }
    THEN("each statement takes 16 bytes, and their vector at most 16") {
      const std::size_t without = EncodeGossip(kSource, MakeReport()).size();
      CHECK(bytes.size() - without <= 2 * 16 + 16);
    }
    THEN("no byte of it can be cut off or changed so that reading fails") {
      for (std::size_t i = 0; i < bytes.size(); ++i) {
        DecodeGossip(std::string_view(bytes).substr(0, i));
        std::string changed = bytes;
        changed[i] = static_cast<char>(~changed[i]);
        DecodeGossip(changed);
      }
    }
  }
  GIVEN("a report without them, as an earlier release sends it") {
    const std::string bytes = EncodeGossip(kSource, MakeReport());
    THEN("there are none") { CHECK(Decode(bytes).statements.empty()); }
  }
}

SCENARIO("a number that does not fit its field becomes a small one") {
  LoadReport report;
  report.statements = {
      {UpstreamHash(9), milliseconds(100'000), 70'000, 100'000, 5'000},
      {UpstreamHash(9), milliseconds(-5), 0, 0, 0}};
  const LoadReport read = Decode(EncodeGossip(kSource, report));
  REQUIRE(read.statements.size() == 2);
  CHECK(read.statements[0] == UpstreamStatement{UpstreamHash(9),
                                                milliseconds(65'535), 65'535,
                                                65'535, 655.35});
  CHECK(read.statements[1].age == milliseconds(0));
  CHECK(read.statements[1].slowdown == Approx(0.01));
}

}  // namespace
}  // namespace bamboorack::peer
