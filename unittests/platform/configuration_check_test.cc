#include "platform/configuration_check.h"

#include <string>
#include <vector>

#include "catch2/catch.hpp"
#include "platform/documents.h"

namespace bamboorack::platform {
namespace {

using operators::CheckReport;
using operators::CheckRequest;
using operators::Severity;

const std::string kExample =
    R"({"version":"00000007",
"routes":[
{"name":"r-73hh2b9","host":"jepu9.example","path_prefix":"/lepu270/","kind":"safe","timeout":"1500ms","latency_target":"500ms","priority":0,
 "split":[{"service":"huvo11a","weight":90},
          {"service":"kafi81c","weight":10}],"max_attempts":2},
{"name":"r-wu3fexd","host":"hulo84.example","path_prefix":"/xapu221/ny95/","kind":"unsafe","timeout":"1500ms","latency_target":"1000ms","priority":1,
 "service":"wuno96b","max_attempts":2}],
"services":[
{"name":"huvo11a","health_path":"/health","max_conns":550,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":3.9,"sharded":true,"warm":"3s","grants":"call"},
{"name":"kafi81c","health_path":"/health","max_conns":551,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":3.8},
{"name":"wuno96b","health_path":"/health","max_conns":552,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":3.7}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

CheckReport Check(const CheckRequest& request) {
  return operators::CheckDocument(
      {&operators::InventoryKind(), &DesiredStateKind(),
       &operators::RulesKind()},
      request);
}

struct Story {
  std::string from;
  std::string to;
  std::string code;
  std::string path;
  std::string value;
  std::size_t line;
};

SCENARIO("a desired state is sent with a fault that a check could have told") {
  GIVEN("a document without faults") {
    const CheckReport report = Check({kExample});
    CHECK(report.kind == "desired-state");
    CHECK(report.findings.empty());
  }

  const std::vector<Story> stories = {
      {"00000007", "zz", "format", "version", "\"zz\"", 1},
      {"\"1500ms\"", "1500", "format", "routes[0].timeout", "1500", 3},
      {"\"safe\"", "\"odd\"", "format", "routes[0].kind", "\"odd\"", 3},
      {"90", "-90", "format", "routes[0].split[0].weight", "-90", 4},
      {"\"priority\":1,", "", "format", "routes[1].priority", "", 6},
      {"550", "\"many\"", "format", "services[0].max_conns", "\"many\"", 9},
      {"3.8", "-1", "format", "services[1].warmup_per_s", "-1", 10},
      {"\"3s\"", "\"3h\"", "format", "services[0].warmup", "\"3h\"", 9},
      {"\"15000ms\"", "15", "format", "limits.idle_timeout", "15", 12},
      {"\"wuno96b\",\"max", "\"x\",\"max", "unknown_service",
       "routes[1].service", "\"x\"", 7},
      {"10}]", "0}]", "share_without_weight", "routes[0].split[1].weight", "0",
       5},
      {"3.8", "0", "warm_up_without_rate", "services[1].warmup_per_s", "0", 10},
      {"67108864", "0", "zero_limit", "limits.max_body_bytes", "0", 12}};
  for (const Story& story : stories) {
    GIVEN(story.from + " turned into " + story.to) {
      const CheckReport report =
          Check({Replace(kExample, story.from, story.to)});
      REQUIRE_FALSE(report.findings.empty());
      CHECK(report.findings[0].code == story.code);
      CHECK(report.findings[0].path == story.path);
      CHECK(report.findings[0].value == story.value);
      CHECK(report.findings[0].line == story.line);
    }
  }

  GIVEN("several fields that break the format") {
    const CheckReport report =
        Check({Replace(Replace(kExample, "\"safe\"", "7"), "551", "\"many\"")});
    THEN("all are told, those that the daemon refuses as well as others") {
      REQUIRE(report.findings.size() == 2);
      CHECK(report.findings[0].path == "routes[0].kind");
      CHECK(report.findings[1].path == "services[1].max_conns");
    }
  }
  GIVEN("entries that are no objects") {
    const CheckReport report =
        Check({R"({"version":"1","routes":[7],"services":9})"});
    REQUIRE(report.findings.size() == 2);
    CHECK(report.findings[0].path == "routes[0]");
    CHECK(report.findings[1].path == "services");
  }
}

SCENARIO("a difference to the desired state in force is overlooked") {
  CheckRequest request{Replace(kExample, "00000007", "00000008"), kExample};

  SECTION("an equal time in another unit is none") {
    request.text = Replace(request.text, "\"1500ms\"", "\"1.5s\"");
    const CheckReport report = Check(request);
    CHECK(report.findings.empty());
    REQUIRE(report.differences->size() == 1);
    CHECK(report.differences->front().path == "version");
  }
  SECTION("changed, removed and added entries are named, not numbered") {
    request.text = Replace(request.text, "90", "80");
    request.text = Replace(request.text, "r-wu3fexd", "r-new");
    request.text = Replace(request.text, "\"tls\":false", "\"tls\":true");
    const auto differences = *Check(request).differences;
    REQUIRE(differences.size() == 5);
    CHECK(differences[0].path == "routes[r-73hh2b9].split[huvo11a].weight");
    CHECK(differences[0].before == "90");
    CHECK(differences[0].after == "80");
    CHECK(differences[1].path == "routes[r-wu3fexd]");
    CHECK(differences[1].kind == operators::DiffKind::kRemoved);
    CHECK(differences[2].path == "routes[r-new]");
    CHECK(differences[2].kind == operators::DiffKind::kAdded);
    CHECK(differences[3].path == "services[huvo11a].tls");
    CHECK(differences[4].path == "version");
  }
  SECTION("a version that is not above the one in force") {
    request.text = kExample;
    const CheckReport report = Check(request);
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].code == "version_not_newer");
    CHECK(report.findings[0].value == "\"00000007\"");
    CHECK(report.findings[0].line == 1);
  }
}

SCENARIO("the check finds no error in what the daemon refuses") {
  const std::vector<std::pair<std::string, std::string>> changes = {
      {"00000007", ""},
      {"\"routes\":[", "\"routes\":7,\"x\":["},
      {"\"safe\"", "\"Safe\""},
      {"\"1500ms\"", "\"1500\""},
      {"\"weight\":90", "\"weight\":5000000000"},
      {"\"wuno96b\",\"max", "\"x\",\"max"},
      {"\"sharded\":true", "\"sharded\":1"},
      {"550", "99999999999999999999"}};
  for (const auto& [from, to] : changes) {
    CAPTURE(from, to);
    const std::string text = Replace(kExample, from, to);
    CHECK_FALSE(MakeDocuments()->ReadDesiredState(text).has_value());
    CHECK(Check({text}).CountOf(Severity::kError) > 0);
  }
}

}  // namespace
}  // namespace bamboorack::platform
