#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "bamboorack/upstream/exchange.h"
#include "catch2/catch.hpp"
#include "platform/settings.h"
#include "platform/upstream_protocol.h"

namespace bamboorack::platform {
namespace {

using upstream::StatedLoad;
using upstream::UpstreamNotice;

UpstreamNotice NoticeOf(int status, std::vector<Header> headers) {
  upstream::AnswerHead head;
  head.status = status;
  head.headers = std::move(headers);
  return MakeUpstreamProtocol()->DecodeNotice(UpstreamId("i-1"), head);
}

UpstreamNotice NoticeOf(const std::string& load) {
  return NoticeOf(200, {{"X-Server-Load", load}});
}

SCENARIO("an upstream's load is misread") {
  SECTION("with and without the slowdown of its host") {
    CHECK(NoticeOf("3,0,8").load == StatedLoad{3, 0, 8, 1});
    CHECK(NoticeOf("3,0,8,300").load == StatedLoad{3, 0, 8, 3});
    CHECK(NoticeOf("0,0,1,85").load == StatedLoad{0, 0, 1, 0.85});
    CHECK_FALSE(NoticeOf("3,0,8").is_load_invalid);
  }
  SECTION("in a rejection that also asks for time") {
    const UpstreamNotice notice =
        NoticeOf(503, {{"x-server-load", "4,16,4"}, {"Retry-After", "2"}});
    CHECK(notice.load == StatedLoad{4, 16, 4, 1});
    CHECK(notice.retry_after == std::chrono::seconds(2));
  }
  SECTION("another upstream at its address says nothing about it") {
    const UpstreamNotice notice =
        NoticeOf(200, {{"X-Server-Load", "3,0,8"}, {"X-Instance-Id", "i-2"}});
    CHECK_FALSE(notice.load.has_value());
    CHECK_FALSE(notice.is_load_invalid);
  }
  SECTION("it states nothing") {
    CHECK_FALSE(NoticeOf(200, {}).load.has_value());
    CHECK_FALSE(NoticeOf(200, {}).is_load_invalid);
  }
}

SCENARIO("an upstream's load that nobody can mean is used") {
  for (const char* text : {"",          ",",
                           "3",         "3,0",
                           "3,0,",      "3,0,0",
                           "3,0,8,",    "3,0,8,0",
                           "3,0,8,1,1", "3,0,8,300,",
                           "-1,0,8",    "3,0,8,-5",
                           "3, 0, 8",   "3;0;8",
                           "a,b,c",     "3,0,8,3e2",
                           "3,0,8,1.5", "99999999999999999999,0,8",
                           "10001,0,8", "3,10001,8",
                           "3,0,10001", "3,0,8,10001",
                           "0x3,0,8",   "3,0,8,nan"}) {
    CAPTURE(text);
    const UpstreamNotice notice = NoticeOf(text);
    CHECK_FALSE(notice.load.has_value());
    CHECK(notice.is_load_invalid);
  }
}

SCENARIO("a daemon places requests in another way than its settings say") {
  const auto read = [](const std::string& placement) {
    return ReadSettings(R"({"gateway": {"daemon_id": "d", )" + placement + R"(
      "failure_domain": "z", "caller_endpoint": "127.0.0.1:1",
      "readiness_endpoint": "127.0.0.1:2", "gossip_endpoint": "127.0.0.1:3",
      "log_endpoint": "127.0.0.1:4"}})");
  };
  CHECK(read("")->placement == PlacementMode::kAutomatic);
  CHECK(read(R"("placement": "automatic",)")->placement ==
        PlacementMode::kAutomatic);
  CHECK(read(R"("placement": "expected_work",)")->placement ==
        PlacementMode::kExpectedWork);
  CHECK(read(R"("placement": "latency_score",)")->placement ==
        PlacementMode::kLatencyScore);
  CHECK_FALSE(read("")->tell_stated_loads);
  CHECK(read(R"("tell_stated_loads": true,)")->tell_stated_loads);
  for (const char* fault : {R"("placement": "fast",)", R"("placement": 1,)",
                            R"("placement": null,)"}) {
    CAPTURE(fault);
    const auto settings = read(fault);
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().at(0).path == "placement");
  }
}

}  // namespace
}  // namespace bamboorack::platform
