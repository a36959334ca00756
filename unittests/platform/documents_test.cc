#include "platform/documents.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/upstream/ownership_codec.h"
#include "catch2/catch.hpp"
#include "platform/json_reader.h"

namespace bamboorack::platform {
namespace {

using std::chrono::milliseconds;

const std::string kState = R"({
  "version": "0000001f",
  "routes": [
    {"name": "r-1", "host": "a.example", "path_prefix": "/x/", "kind": "safe",
     "timeout": "1200ms", "latency_target": "0.3s", "priority": 1,
     "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
     "max_attempts": 2, "unknown": true},
    {"name": "r-2", "host": "b.example", "path_prefix": "/y/z/",
     "kind": "upload", "timeout": "2s", "latency_target": "800ms",
     "priority": 2, "service": "s2", "max_attempts": 1}],
  "services": [
    {"name": "s1", "health_path": "/h", "max_conns": 130, "sharded": true,
     "warmup": "3s", "warmup_per_s": 3.9},
    {"name": "s2", "health_path": "/h", "max_conns": 120, "warmup_per_s": 0}],
  "limits": {}
})";

const std::string kEntry = R"({
  "address": "10.1.0.9:8080", "born": 1779431177201,
  "info": {"service": "s1", "version": "v1", "zone": "east", "slots": 6},
  "status": {"state": "ready", "seq": 4, "warmup_left": "1.5s"}})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

SCENARIO("a document is read as something else than it says") {
  const auto documents = MakeDocuments();

  GIVEN("a desired state") {
    const auto state = documents->ReadDesiredState(kState);
    REQUIRE(state.has_value());
    CHECK(state->version == ConfigVersion(0x1F));
    REQUIRE(state->routes.size() == 2);
    CHECK(state->routes[0].repeatability == Repeatability::kIdempotent);
    CHECK(state->routes[0].latency_target == milliseconds(300));
    CHECK(state->routes[0].shares.size() == 2);
    CHECK(state->routes[1].repeatability == Repeatability::kOnceLarge);
    CHECK(state->routes[1].timeout == milliseconds(2'000));
    CHECK(state->FindService(ServiceName("s1"))->is_sharded);
    CHECK_FALSE(state->FindService(ServiceName("s2"))->is_sharded);
    CHECK(state->FindService(ServiceName("s1"))->warm_up_request_rate == 3.9);
    CHECK_FALSE(state->FindService(ServiceName("s2"))->warm_up_request_rate);
  }

  GIVEN("an upstream's entry") {
    const auto entry = documents->ReadUpstream("i-1", kEntry);
    REQUIRE(entry.has_value());
    CHECK(entry->run ==
          UpstreamRun{UpstreamId("i-1"), UpstreamLife(1'779'431'177'201)});
    CHECK(entry->endpoint == Endpoint{"10.1.0.9", 8080});
    CHECK(entry->slots == 6);
    CHECK(entry->warm_up_left == milliseconds(1'500));
    CHECK_FALSE(entry->is_draining);
    CHECK(documents->ReadUpstream("i-1", Replace(kEntry, "ready", "draining"))
              ->is_draining);
  }
}

SCENARIO("a document with a fault is used") {
  const auto documents = MakeDocuments();

  SECTION("desired states") {
    struct Fault {
      std::string from;
      std::string to;
      std::string says;
    };
    const std::vector<Fault> faults = {
        {"0000001f", "00zz", "hexadecimal"},
        {"\"kind\": \"safe\"", "\"kind\": \"odd\"", "unknown kind odd"},
        {"1200ms", "1200", "is not a time"},
        {"\"priority\": 1", "\"priority\": -1", "priority"},
        {"\"service\": \"s2\", \"max", "\"service\": \"s9\", \"max",
         "unknown service s9"},
        {"\"routes\": [", "\"routes\": 7, \"x\": [", "routes"},
        {"\"max_attempts\": 2", "\"max_attempts\": \"2\"", "max_attempts"},
        {"\"warmup_per_s\": 3.9", "\"warmup_per_s\": -1", "warmup_per_s"},
        {"\"warmup_per_s\": 3.9", "\"warmup_per_s\": true", "warmup_per_s"}};
    for (const Fault& fault : faults) {
      const auto state =
          documents->ReadDesiredState(Replace(kState, fault.from, fault.to));
      REQUIRE_FALSE(state.has_value());
      CHECK_THAT(state.error(), Catch::Contains(fault.says));
    }
    CHECK_FALSE(documents->ReadDesiredState(kState.substr(0, 200)).has_value());
  }

  SECTION("entries of upstreams") {
    const std::vector<std::pair<std::string, std::string>> faults = {
        {"10.1.0.9:8080", "nowhere"},
        {"\"slots\": 6", "\"slots\": \"six\""},
        {"\"state\": \"ready\"", "\"state\": \"odd\""},
        {"\"seq\": 4", "\"seq\": 4.5"},
        {"1779431177201", "\"soon\""},
        {"\"zone\": \"east\",", ""},
        {"\"1.5s\"", "15"}};
    for (const auto& [from, to] : faults) {
      CAPTURE(from, to);
      CHECK_FALSE(documents->ReadUpstream("i-1", Replace(kEntry, from, to))
                      .has_value());
    }
    CHECK_FALSE(documents->ReadUpstream("i-1", "\x01\x02").has_value());
    CHECK_FALSE(documents->ReadUpstream("i-1", "[1]").has_value());
  }
}

// An id that is no UTF-8 made the ownership record unreadable, so that no
// daemon led again after a restart of all; one with a line break got into the
// head of calls.
SCENARIO("an upstream's id breaks the ownership record or the head of a call") {
  const auto documents = MakeDocuments();

  SECTION("an id that is accepted is read back from the record unchanged") {
    int accepted = 0;
    for (int byte = 0; byte < 256; ++byte) {
      const std::string id = std::string("i-") + static_cast<char>(byte);
      CAPTURE(byte);
      const auto entry = documents->ReadUpstream(id, kEntry);
      if (!entry) continue;
      ++accepted;
      upstream::OwnershipRecord record;
      record.services[entry->service] = {
          {{ShardKey(0), ShardKey(9)}, entry->run, std::nullopt}};
      const auto read =
          upstream::DecodeOwnership(upstream::EncodeOwnership(record));
      REQUIRE(read.has_value());
      CHECK(read->services == record.services);
    }
    CHECK(accepted == '~' - ' ');
  }
  SECTION("other ids name no upstream") {
    for (const std::string id :
         {"", "\xff\xfe", "i-\xc3\xa9", "i 1", "i\r\nX-Expect-Instance: i-2"}) {
      CAPTURE(id);
      CHECK_FALSE(documents->ReadUpstream(id, kEntry).has_value());
    }
    CHECK(documents->ReadUpstream(std::string(128, 'i'), kEntry).has_value());
    CHECK_FALSE(
        documents->ReadUpstream(std::string(129, 'i'), kEntry).has_value());
  }
}

SCENARIO("a time is read with the wrong unit") {
  CHECK(*ParseSpan("250ms") == milliseconds(250));
  CHECK(*ParseSpan("2.5s") == milliseconds(2'500));
  for (const std::string text : {"", "5", "ms", "-1s", "1m", "1 s", "nans"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseSpan(text).has_value());
  }
  CHECK(WriteSpan(milliseconds(4'000)) == "4000ms");
}

}  // namespace
}  // namespace bamboorack::platform
