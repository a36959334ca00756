#include "bamboorack/operator/desired_state_check.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace bamboorack::operators {
namespace {

using namespace std::chrono_literals;

constexpr DesiredStateFieldPaths kPaths = {"version",
                                           "routes[].name",
                                           "routes[].prefix",
                                           "routes[].timeout",
                                           "routes[].max_attempts",
                                           "routes[].service",
                                           "routes[].shares",
                                           "routes[].shares[].service",
                                           "routes[].shares[].weight",
                                           "services[].name",
                                           "services[].max_connections",
                                           "services[].warm_up_rate",
                                           "limits.max_header_bytes",
                                           "limits.max_body_bytes",
                                           "limits.header_timeout"};

Route MakeRoute(const std::string& name, std::vector<TrafficShare> shares) {
  Route route;
  route.name = RouteName(name);
  route.host = "a.example";
  route.path_prefix = "/" + name + "/";
  route.timeout = 100ms;
  route.latency_target = 50ms;
  route.max_attempts = 2;
  route.shares = std::move(shares);
  return route;
}

/// Two services, a route that is split between them and one route to each.
DesiredStateDocument MakeDocument() {
  const ServiceName s0("s0");
  const ServiceName s1("s1");
  DesiredStateDocument document;
  document.state.version = ConfigVersion(7);
  document.version_text = "7";
  document.state.routes = {MakeRoute("r0", {{s0, 90}, {s1, 10}}),
                           MakeRoute("r1", {{s0, 1}}),
                           MakeRoute("r2", {{s1, 1}})};
  document.routes = {{true}, {false}, {false}};
  document.state.services = {{s0, 550, true, 3.9}, {s1, 550, false, {}}};
  document.services = {{3s, 3.9}, {}};
  document.limits = {16'384, 67'108'864, 3s, 15s};
  return document;
}

/// A change of the document above and the only finding that it makes.
struct Story {
  std::string change;
  std::function<void(DesiredStateDocument&)> apply;
  Severity severity;
  std::string code;
  std::string path;
  std::string value;
};

const std::vector<Story> kStories = {
    {"a route has the name of another one",
     [](auto& d) { d.state.routes[1].name = RouteName("r0"); },
     Severity::kError, "duplicate_route_name", "routes[1].name", "\"r0\""},
    {"a prefix does not begin with a slash",
     [](auto& d) { d.state.routes[1].path_prefix = "r1/"; }, Severity::kError,
     "prefix_without_slash", "routes[1].prefix", "\"r1/\""},
    {"a prefix does not end with a slash",
     [](auto& d) { d.state.routes[1].path_prefix = "/r1"; }, Severity::kError,
     "prefix_without_slash", "routes[1].prefix", "\"/r1\""},
    {"a route has host and prefix of an earlier one",
     [](auto& d) { d.state.routes[2].path_prefix = "/r0/"; }, Severity::kError,
     "duplicate_match", "routes[2].prefix", "\"/r0/\""},
    {"the hosts of two such routes differ in case and port",
     [](auto& d) {
       d.state.routes[2].path_prefix = "/r0/";
       d.state.routes[2].host = "A.Example:80";
     },
     Severity::kError, "duplicate_match", "routes[2].prefix", "\"/r0/\""},
    {"a prefix holds the start of a query",
     [](auto& d) { d.state.routes[2].path_prefix = "/r2/?x/"; },
     Severity::kWarning, "unmatchable_prefix", "routes[2].prefix",
     "\"/r2/?x/\""},
    {"a route has no attempts",
     [](auto& d) { d.state.routes[0].max_attempts = 0; }, Severity::kError,
     "no_attempts", "routes[0].max_attempts", "0"},
    {"a route has no timeout", [](auto& d) { d.state.routes[0].timeout = 0ms; },
     Severity::kError, "no_timeout", "routes[0].timeout", "\"0ms\""},
    {"a timeout is below the latency target",
     [](auto& d) { d.state.routes[0].latency_target = 101ms; },
     Severity::kWarning, "timeout_below_target", "routes[0].timeout",
     "\"100ms\""},
    {"a sharded route's delays between attempts exceed its timeout",
     [](auto& d) { d.state.routes[1].max_attempts = 4; }, Severity::kWarning,
     "attempts_beyond_timeout", "routes[1].max_attempts", "4"},
    {"a route has more attempts than milliseconds",
     [](auto& d) { d.state.routes[2].max_attempts = 101; }, Severity::kWarning,
     "attempts_beyond_timeout", "routes[2].max_attempts", "101"},
    {"a split names an unknown service",
     [](auto& d) { d.state.routes[0].shares[1].service = ServiceName("s9"); },
     Severity::kError, "unknown_service", "routes[0].shares[1].service",
     "\"s9\""},
    {"a route's only service is unknown",
     [](auto& d) { d.state.routes[1].shares[0].service = ServiceName("s9"); },
     Severity::kError, "unknown_service", "routes[1].service", "\"s9\""},
    {"a split names a service twice",
     [](auto& d) { d.state.routes[0].shares[1].service = ServiceName("s0"); },
     Severity::kWarning, "repeated_share", "routes[0].shares[1].service",
     "\"s0\""},
    {"one share of a split has the weight 0",
     [](auto& d) { d.state.routes[0].shares[1].weight = 0; },
     Severity::kWarning, "share_without_weight", "routes[0].shares[1].weight",
     "0"},
    {"all shares of a split have the weight 0",
     [](auto& d) {
       d.state.routes[0].shares[0].weight = 0;
       d.state.routes[0].shares[1].weight = 0;
     },
     Severity::kError, "split_without_weight", "routes[0].shares", ""},
    {"a service has the name of another one",
     [](auto& d) {
       d.state.services.push_back(d.state.services[0]);
       d.services.emplace_back();
     },
     Severity::kError, "duplicate_service", "services[2].name", "\"s0\""},
    {"no route uses a service",
     [](auto& d) {
       d.state.services.push_back({ServiceName("s2"), 1, false, {}});
       d.services.emplace_back();
     },
     Severity::kWarning, "unused_service", "services[2].name", "\"s2\""},
    {"a service takes no connections",
     [](auto& d) { d.state.services[1].max_connections = 0; }, Severity::kError,
     "no_connections", "services[1].max_connections", "0"},
    {"a service that warms up has the request rate 0",
     [](auto& d) { d.services[0].warm_up_request_rate = 0; },
     Severity::kWarning, "warm_up_without_rate", "services[0].warm_up_rate",
     "0"},
    {"no header fits", [](auto& d) { d.limits.max_header_bytes = 0; },
     Severity::kError, "zero_limit", "limits.max_header_bytes", "0"},
    {"no body fits", [](auto& d) { d.limits.max_body_bytes = 0; },
     Severity::kError, "zero_limit", "limits.max_body_bytes", "0"},
    {"a header may take longer than an idle connection lasts",
     [](auto& d) { d.limits.header_timeout = 16s; }, Severity::kWarning,
     "header_above_idle_timeout", "limits.header_timeout", "\"16000ms\""}};

SCENARIO("a desired state is sent with a fault that could be seen in it") {
  DesiredStateDocument document = MakeDocument();

  GIVEN("a document without faults") {
    CHECK(CheckDesiredState(document, nullptr, kPaths).empty());
  }

  for (const Story& story : kStories) {
    GIVEN(story.change) {
      story.apply(document);
      const auto findings = CheckDesiredState(document, nullptr, kPaths);
      REQUIRE(findings.size() == 1);
      CHECK(findings[0].code == story.code);
      CHECK(findings[0].severity == story.severity);
      CHECK(findings[0].path == story.path);
      CHECK(findings[0].value == story.value);
      CHECK_FALSE(findings[0].message.empty());
    }
  }

  GIVEN("a version in force") {
    DesiredStateDocument old = MakeDocument();
    THEN("one above it is sound") {
      old.state.version = ConfigVersion(6);
      CHECK(CheckDesiredState(document, &old, kPaths).empty());
    }
    THEN("an equal or lower one would be ignored") {
      old.state.version = ConfigVersion(GENERATE(7, 8));
      const auto findings = CheckDesiredState(document, &old, kPaths);
      REQUIRE(findings.size() == 1);
      CHECK(findings[0].code == "version_not_newer");
      CHECK(findings[0].path == "version");
    }
  }
}

SCENARIO("an operator is bothered with settings that have an effect") {
  DesiredStateDocument document = MakeDocument();

  SECTION(
      "further attempts at requests that must not run twice: those that "
      "were turned away without having run") {
    document.state.routes[0].repeatability = Repeatability::kOnce;
    document.state.routes[0].max_attempts = 3;
  }
  SECTION("as many attempts as begin within the timeout") {
    document.state.routes[1].max_attempts = 3;
    document.state.routes[2].max_attempts = 100;
  }
  SECTION("a longer prefix below another route's") {
    document.state.routes[2].path_prefix = "/r0/x/";
  }
  SECTION("the same prefix on another host") {
    document.state.routes[2].path_prefix = "/r0/";
    document.state.routes[2].host = "b.example";
  }
  SECTION("a rate of 0 for upstreams that need no time to warm up") {
    document.services[1].warm_up_request_rate = 0;
  }
  SECTION("limits that are left out") { document.limits = {}; }
  CHECK(CheckDesiredState(document, nullptr, kPaths).empty());
}

}  // namespace
}  // namespace bamboorack::operators
