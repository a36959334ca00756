#include "bamboorack/operator/document_check.h"

#include <catch2/catch.hpp>
#include <string>

#include "bamboorack/core/config_codec.h"
#include "log_service/test_records.h"

namespace bamboorack::operators {
namespace {

const DocumentKinds kKinds = {&InventoryKind(), &RulesKind()};

CheckReport Check(std::string text) {
  return CheckDocument(kKinds, {std::move(text)});
}

SCENARIO("an operator is not told where a document is wrong") {
  GIVEN("a text that is not JSON") {
    const CheckReport report =
        Check("{\n  \"daemons\": [],\n  \"services\" 7\n}");
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].code == "syntax");
    CHECK(report.findings[0].line == 3);
  }
  GIVEN("a text that ends too early") {
    const CheckReport report = Check("{\n\"daemons\": [\n");
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].code == "syntax");
    CHECK(report.findings[0].line == 3);
  }
  GIVEN("a field that is given twice, of which a parser keeps one") {
    const CheckReport report =
        Check("{\"daemons\": [],\n\"services\": [],\n\"daemons\": []}");
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].code == "given_twice");
    CHECK(report.findings[0].path == "daemons");
    CHECK(report.findings[0].line == 3);
  }
  GIVEN("a name with a dot, which looks like the path of another field") {
    CHECK(Check(R"({"services": {"a": {"lease_ms": 900}, "a.lease_ms": {}}})")
              .findings.empty());
  }
  GIVEN("several fields that break the format") {
    const CheckReport report = Check(
        "{\"drained_upstreams\": [\"u1\",\n \"u 2\"],\n\"services\": {\"s\": "
        "{\n"
        "\"lease_ms\": 1,\n\"hot_keys\": [\n{\"shard\": 70}]}}}");
    REQUIRE(report.findings.size() == 3);
    CHECK(report.findings[0].path == "drained_upstreams[1]");
    CHECK(report.findings[0].line == 2);
    CHECK(report.findings[1].path == "services.s.lease_ms");
    CHECK(report.findings[1].line == 4);
    CHECK(report.findings[2].path == "services.s.hot_keys[0]");
    CHECK(report.findings[2].line == 6);
  }
  GIVEN("a missing field, the line is that of the entry") {
    const CheckReport report = Check(
        "{\"services\": [],\n\"daemons\": [\n{\"id\": \"d\", \"vm\": "
        "\"v\", \"peer_endpoint\": \"127.0.0.1:1\"}]}");
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].path == "daemons[0].failure_domain");
    CHECK(report.findings[0].line == 3);
  }
}

SCENARIO("a document is checked as something that it is not") {
  SECTION("the fields tell the kind") {
    CHECK(Check(R"({"daemons": [], "services": []})").kind == "inventory");
    CHECK(Check(R"({"services": {}})").kind == "rules");
  }
  SECTION("a document that no kind recognizes") {
    const CheckReport report = Check(R"({"other": 1})");
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].code == "unknown_kind");
  }
  SECTION("the operator decides") {
    const CheckReport report =
        CheckDocument(kKinds, {R"({"services": {}})", {}, "inventory"});
    CHECK(report.kind == "inventory");
    CHECK(report.CountOf(Severity::kError) == 2);
  }
}

SCENARIO("an inventory is sent that serves nothing or is refused") {
  Inventory inventory = log_service::MakeInventory(2, 1);
  inventory.daemons = {{DaemonId("d0"), VmId("vm-d0"), FailureDomain("east"),
                        Endpoint{"127.0.0.1", 7000}}};
  CheckRequest request;
  std::string code;

  SECTION("a sound inventory has no findings") {}
  SECTION("a daemon is missing") {
    inventory.daemons.clear();
    code = "no_daemons";
  }
  SECTION("a service has no upstreams") {
    inventory.services[0].upstreams.clear();
    code = "service_without_upstreams";
  }
  SECTION("a service changes its number of shards") {
    request.in_force = ToJson(inventory);
    ++inventory.services[0].shard_count;
    code = "shard_count_changed";
  }
  request.text = ToJson(inventory);
  const CheckReport report = CheckDocument(kKinds, request);
  REQUIRE(report.findings.size() == (code.empty() ? 0 : 1));
  if (!code.empty()) CHECK(report.findings[0].code == code);
}

SCENARIO("the report leaves out what the check found") {
  const std::string before = R"({"drained_upstreams": ["u1"]})";
  GIVEN("a document to compare with") {
    const CheckReport report =
        CheckDocument(kKinds, {R"({"drained_upstreams": ["u2"]})", before});
    CHECK(ToText(report, "new.json") ==
          "removed drained_upstreams[u1]: \"u1\"\n"
          "added drained_upstreams[u2]: \"u2\"\n"
          "new.json: rules, 0 errors, 0 warnings, 2 differences\n");
    CHECK(ToJson(report) ==
          R"({"kind":"rules","errors":0,"warnings":0,"findings":[],)"
          R"("differences":[{"kind":"removed",)"
          R"("path":"drained_upstreams[u1]","before":"\"u1\"","after":""},)"
          R"({"kind":"added","path":"drained_upstreams[u2]","before":"",)"
          R"("after":"\"u2\""}]})");
  }
  GIVEN("findings") {
    CheckReport report;
    report.kind = "rules";
    report.findings = {{Severity::kError, "c1", "a[0].b", "7", "too many", 4},
                       {Severity::kWarning, "c2", "", "", "odd"}};
    CHECK(ToText(report, "new.json") ==
          "new.json:4: error: a[0].b 7: too many [c1]\n"
          "new.json: warning: odd [c2]\n"
          "new.json: rules, 1 error, 1 warning\n");
    CHECK(ToJson(report) ==
          R"({"kind":"rules","errors":1,"warnings":1,"findings":[)"
          R"({"severity":"error","code":"c1","path":"a[0].b","value":"7",)"
          R"("message":"too many","line":4},)"
          R"({"severity":"warning","code":"c2","path":"","value":"",)"
          R"("message":"odd"}]})");
  }
  GIVEN("a document in force that cannot be read") {
    const CheckReport report =
        CheckDocument(kKinds, {before, R"({"drained_upstreams": 7})"});
    REQUIRE(report.findings.size() == 1);
    CHECK(report.findings[0].code == "in_force_format");
    CHECK_FALSE(report.differences.has_value());
  }
}

}  // namespace
}  // namespace bamboorack::operators
