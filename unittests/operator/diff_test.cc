#include "bamboorack/operator/diff.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "log_service/test_records.h"

namespace bamboorack::operators {
namespace {

using namespace std::chrono_literals;

SCENARIO("an operator publishes a change that the diff did not show") {
  const Inventory before = log_service::MakeInventory(2, 1);
  Inventory after = before;
  SECTION("an equal inventory has no differences") {
    CHECK(Diff(before, after).empty());
  }
  SECTION("the order of entries is no difference") {
    std::reverse(after.services[0].upstreams.begin(),
                 after.services[0].upstreams.end());
    CHECK(Diff(before, after).empty());
  }
  SECTION("a changed, a removed and an added entry are each one line") {
    after.services[0].upstreams[0].slots = 7;
    after.services[0].upstreams.pop_back();
    after.daemons.push_back({DaemonId("d1"), VmId("vm-d1"),
                             FailureDomain("west"),
                             Endpoint{"127.0.0.1", 7001}});
    const auto entries = Diff(before, after);
    CHECK(ToText(entries) ==
          "added daemons[d1]: {\"id\":\"d1\",\"vm\":\"vm-d1\","
          "\"failure_domain\":\"west\",\"peer_endpoint\":\"127.0.0.1:7001\"}\n"
          "changed services[reader].upstreams[e0].slots: 6 -> 7\n"
          "removed services[reader].upstreams[w0]: {\"id\":\"w0\","
          "\"vm\":\"vm-w0\",\"endpoint\":\"127.0.0.1:9002\","
          "\"failure_domain\":\"west\",\"slots\":6,\"weight\":1}\n");
    CHECK(
        ToJson(entries).find(
            R"({"kind":"changed","path":"services[reader].upstreams[e0].slots","before":"6","after":"7"})") !=
        std::string::npos);
  }
  SECTION("rules") {
    Rules old_rules;
    old_rules.drained_upstreams = {UpstreamId("e0")};
    old_rules.services[ServiceName("reader")].hot_keys = {{0xab, ShardId(8)}};
    Rules new_rules = old_rules;
    new_rules.drained_upstreams = {UpstreamId("e1")};
    new_rules.services[ServiceName("reader")].lease = 900ms;
    new_rules.services[ServiceName("reader")].hot_keys = {{0xab, ShardId(9)}};
    CHECK(ToText(Diff(old_rules, new_rules)) ==
          "removed drained_upstreams[e0]: \"e0\"\n"
          "added drained_upstreams[e1]: \"e1\"\n"
          "changed services.reader.hot_keys[ab].shard: 8 -> 9\n"
          "changed services.reader.lease_ms: 1000 -> 900\n");
  }
}

}  // namespace
}  // namespace bamboorack::operators
