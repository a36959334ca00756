#include "bamboorack/upstream/ownership_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace bamboorack::upstream {
namespace {

SCENARIO("a decoded ownership record differs from the encoded one") {
  GIVEN("a record with a range that moves") {
    OwnershipRecord record;
    record.term = Term(7);
    record.leader = DaemonId("d1");
    record.instance = DaemonInstance("d1-1");
    record.change = 3;
    const UpstreamRun holder{UpstreamId("a"), UpstreamLife(1)};
    const UpstreamRun successor{UpstreamId("b"), UpstreamLife(2)};
    record.services[ServiceName("reader")] = {
        {{ShardKey(0), ShardKey(9)}, holder, successor, true},
        {{ShardKey(10), kLastKey}, holder, std::nullopt, false}};

    THEN("it is decoded to the same record") {
      const auto read = DecodeOwnership(EncodeOwnership(record));
      REQUIRE(read.has_value());
      CHECK(*read == record);
    }
  }

  GIVEN("a record of version 0.1 without the field for unanswered grants") {
    const std::string text =
        R"({"term":7,"leader":"d1","instance":"d1-1","change":3,)"
        R"("released":false,"leases_left_ms":0,)"
        R"("services":{"reader":[[0,65535,"a",1,"b",2]]}})";
    THEN("a grant is assumed to be unanswered") {
      const auto read = DecodeOwnership(text);
      REQUIRE(read.has_value());
      const auto& ranges = read->services.at(ServiceName("reader"));
      REQUIRE(ranges.size() == 1);
      CHECK(ranges.front().has_unanswered_grant);
    }
  }

  GIVEN("a range with five fields") {
    const std::string text =
        R"({"term":7,"leader":"d1","instance":"d1-1","change":3,)"
        R"("released":false,"leases_left_ms":0,)"
        R"("services":{"reader":[[0,65535,"a",1,"b"]]}})";
    THEN("the record is refused") {
      CHECK_FALSE(DecodeOwnership(text).has_value());
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
