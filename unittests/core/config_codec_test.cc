#include "bamboorack/core/config_codec.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "bamboorack/core/hash.h"

namespace bamboorack {
namespace {

using namespace std::chrono_literals;

/// A wrong document and the problems it must cause, in any order.
struct WrongDocument {
  std::string fault;
  std::string json;
  std::vector<ConfigProblem> expected;
};

std::string Inventories(const std::string& daemons,
                        const std::string& services) {
  return R"({"daemons":[)" + daemons + R"(],"services":[)" + services + "]}";
}

std::string Daemon(const std::string& id, const std::string& vm,
                   const std::string& endpoint) {
  return R"({"id":")" + id + R"(","vm":")" + vm +
         R"(","failure_domain":"gs-a","peer_endpoint":")" + endpoint + R"("})";
}

std::string Service(const std::string& name, const std::string& fields) {
  return R"({"name":")" + name + R"(",)" + fields + "}";
}

std::string Upstream(const std::string& id, const std::string& rest) {
  return R"({"id":")" + id + R"(","vm":"v","failure_domain":"gs-a")" + rest +
         "}";
}

const std::string kEndpoint1 = R"(,"endpoint":"127.0.0.1:1")";
const std::string kEndpoint2 = R"(,"endpoint":"127.0.0.1:2")";

void CheckProblems(const ConfigProblems& found,
                   const std::vector<ConfigProblem>& expected) {
  std::string listing;
  for (const ConfigProblem& problem : found) {
    listing += problem.path + ": " + problem.message + "\n";
  }
  INFO("found " << listing);
  CHECK(found.size() == expected.size());
  for (const ConfigProblem& problem : expected) {
    INFO("expected " << problem.path << ": " << problem.message);
    CHECK(std::any_of(found.begin(), found.end(), [&](const auto& item) {
      return item.path == problem.path && item.message == problem.message;
    }));
  }
}

std::vector<WrongDocument> WrongInventories() {
  const std::string daemon = Daemon("d1", "v1", "127.0.0.1:9");
  return {
      {"required fields are missing",
       "{}",
       {{"daemons", "missing field"}, {"services", "missing field"}}},
      {"the document is a list", "[]", {{"", "expected an object, got []"}}},
      {"a field is unknown",
       R"({"daemons":[],"services":[],"upstream":[]})",
       {{"upstream", "unknown field"}}},
      {"a list is an object",
       R"({"daemons":{},"services":[]})",
       {{"daemons", "expected an array, got {}"}}},
      {"two daemons share id, VM and endpoint",
       Inventories(daemon + "," + daemon, ""),
       {{"daemons[1].id", "daemon id \"d1\" is already used by daemons[0].id"},
        {"daemons[1].vm", "daemon VM \"v1\" is already used by daemons[0].vm"},
        {"daemons[1].peer_endpoint",
         "endpoint \"127.0.0.1:9\" is already used by "
         "daemons[0].peer_endpoint"}}},
      {"an endpoint is a host name",
       Inventories(Daemon("d1", "v1", "localhost:9"), ""),
       {{"daemons[0].peer_endpoint",
         "\"localhost:9\" is not an IP address and port"}}},
      {"an endpoint has port 0",
       Inventories(Daemon("d1", "v1", "127.0.0.1:0"), ""),
       {{"daemons[0].peer_endpoint", "port 0 is outside 1 to 65535"}}},
      {"a port is above the range",
       Inventories(Daemon("d1", "v1", "127.0.0.1:65536"), ""),
       {{"daemons[0].peer_endpoint",
         "\"127.0.0.1:65536\" is not an IP address and port"}}},
      {"a name cannot stand in a path",
       Inventories(Daemon("d/1", "v1", "127.0.0.1:9"), ""),
       {{"daemons[0].id",
         "\"d/1\" is not a name of 1 to 64 letters, digits, '.', '_' or '-'"}}},
      {"numbers are out of range",
       Inventories(
           "", Service("s", R"("shard_count":0,"groups_per_domain":-1,)"
                            R"("upstreams":[)" +
                                Upstream("u", kEndpoint1 + R"(,"slots":10001,)"
                                                           R"("weight":0)") +
                                "]")),
       {{"services[0].shard_count", "0 is outside 1 to 1000000"},
        {"services[0].groups_per_domain", "-1 is outside 1 to 1000"},
        {"services[0].upstreams[0].slots", "10001 is outside 1 to 10000"},
        {"services[0].upstreams[0].weight", "0 is outside 0.001 to 1000"}}},
      {"types are wrong",
       Inventories("", Service("s", R"("shard_count":1.5,"checks_tokens":1,)"
                                    R"("can_settle":null,"upstreams":"none")")),
       {{"services[0].shard_count", "expected an integer, got 1.5"},
        {"services[0].checks_tokens", "expected true or false, got 1"},
        {"services[0].can_settle", "expected true or false, got null"},
        {"services[0].upstreams", "expected an array, got \"none\""}}},
      {"two services share an upstream",
       Inventories("", Service("a", R"("upstreams":[)" +
                                        Upstream("u", kEndpoint1) + "]") +
                           "," +
                           Service("b", R"("upstreams":[)" +
                                            Upstream("u", kEndpoint2) + "]")),
       {{"services[1].upstreams[0].id",
         "upstream id \"u\" is already used by services[0].upstreams[0].id"}}},
  };
}

std::string ServiceRulesDocument(const std::string& fields) {
  return R"({"services":{"s":{)" + fields + "}}}";
}

std::vector<WrongDocument> WrongRules() {
  return {
      {"the floors promise more than there is",
       ServiceRulesDocument(R"("floors":{"lookup":0.6,"once":0.4,"bulk":0.1})"),
       {{"services.s.floors", "the sum 1.1 is above 1"}}},
      {"a floor has an unknown rank",
       ServiceRulesDocument(R"("floors":{"urgent":0.1})"),
       {{"services.s.floors.urgent", "unknown rank"}}},
      {"the log loss policy is unknown",
       ServiceRulesDocument(R"("on_log_loss":"continue")"),
       {{"services.s.on_log_loss",
         "\"continue\" is neither \"keep_serving\" nor \"stop\""}}},
      {"durations are out of range",
       ServiceRulesDocument(R"("lease_ms":99,"mandate_ms":49,)"
                            R"("permit_ms":60001,"id_memory_ms":999)"),
       {{"services.s.lease_ms", "99 is outside 100 to 60000"},
        {"services.s.mandate_ms", "49 is outside 50 to 60000"},
        {"services.s.permit_ms", "60001 is outside 50 to 60000"},
        {"services.s.id_memory_ms", "999 is outside 1000 to 86400000"}}},
      {"a hot key is unclear",
       ServiceRulesDocument(
           R"("hot_keys":[{"shard":64},{"key":"a","key_hash":"1","shard":65},)"
           R"({"key_hash":"xyz","shard":66},{"key":"a","shard":0}])"),
       {{"services.s.hot_keys[0]", "has neither key nor key_hash"},
        {"services.s.hot_keys[1]", "has both key and key_hash"},
        {"services.s.hot_keys[2].key_hash",
         "\"xyz\" is not a hash of 1 to 16 hexadecimal digits"},
        {"services.s.hot_keys[3].shard", "0 is outside 1 to 1000999"}}},
      {"two hot keys share a shard",
       ServiceRulesDocument(
           R"("hot_keys":[{"key":"a","shard":64},{"key":"b","shard":64}])"),
       {{"services.s.hot_keys[1].shard",
         "shard \"64\" is already used by services.s.hot_keys[0].shard"}}},
      {"a service name cannot stand in a path",
       R"({"services":{"a b":{}}})",
       {{"services.a b",
         "\"a b\" is not a name of 1 to 64 letters, digits, '.', '_' or '-'"}}},
      {"an upstream is drained twice",
       R"({"drained_upstreams":["u","u"]})",
       {{"drained_upstreams[1]",
         "upstream id \"u\" is already used by drained_upstreams[0]"}}},
  };
}

SCENARIO("a wrong configuration document is accepted") {
  for (const WrongDocument& wrong : WrongInventories()) {
    SECTION("inventory: " + wrong.fault) {
      const auto inventory = ParseInventory(wrong.json);
      REQUIRE(!inventory);
      CheckProblems(inventory.error(), wrong.expected);
    }
  }
  for (const WrongDocument& wrong : WrongRules()) {
    SECTION("rules: " + wrong.fault) {
      const auto rules = ParseRules(wrong.json);
      REQUIRE(!rules);
      CheckProblems(rules.error(), wrong.expected);
    }
  }
  SECTION("text that is not JSON") {
    const auto json = GENERATE(
        as<std::string>(), "", "{", R"({"daemons":[]} x)", "nonsense",
        std::string(40, '[') + std::string(40, ']'), R"({"services":{},})",
        R"({"services":{"s":{"retry_share":1e999}}})",
        R"({"services":{},"services":{}})");
    const auto rules = ParseRules(json);
    REQUIRE(!rules);
    CHECK(rules.error().front().path.empty());
    CHECK(rules.error().front().message.find("not a JSON document") == 0);
  }
}

SCENARIO("a field that is left out does not get its default") {
  const auto rules = ParseRules(ServiceRulesDocument(R"("lease_ms":500)"));
  REQUIRE(rules);
  ServiceRules expected;
  expected.lease = 500ms;
  CHECK(rules->services.at(ServiceName("s")) == expected);
  SECTION("and one floor leaves the others as they are") {
    const auto floors =
        ParseRules(ServiceRulesDocument(R"("floors":{"bulk":0.05})"));
    REQUIRE(floors);
    CHECK(floors->services.at(ServiceName("s")).floors ==
          std::array<double, kRankCount>{0.5, 0.3, 0.05});
  }
}

SCENARIO("a hot key given as text has another hash than its requests") {
  const auto rules = ParseRules(
      ServiceRulesDocument(R"("hot_keys":[{"key":"episode-7","shard":64}])"));
  REQUIRE(rules);
  const HotKey& hot_key = rules->services.at(ServiceName("s")).hot_keys.front();
  CHECK(hot_key.key_hash == HashText("episode-7"));
  CHECK(hot_key.shard == ShardId(64));
}

Inventory DrawInventory() {
  Inventory inventory;
  const auto daemons = *rc::gen::inRange(0, 4);
  std::uint16_t port = 1;
  for (int i = 0; i < daemons; ++i) {
    const std::string number = std::to_string(i);
    inventory.daemons.push_back(
        {DaemonId("d" + number), VmId("v" + number),
         FailureDomain(*rc::gen::element<std::string>("a", "B.c", "d_e-9")),
         Endpoint{*rc::gen::element<std::string>("10.0.0.7", "::1"), port++}});
  }
  for (int i = 0; i < 2; ++i) {
    ServiceEntry service;
    service.name = ServiceName("s" + std::to_string(i));
    service.checks_tokens = *rc::gen::arbitrary<bool>();
    service.can_settle = *rc::gen::arbitrary<bool>();
    service.shard_count = *rc::gen::inRange<std::uint32_t>(1, 1'000'001);
    service.groups_per_domain = *rc::gen::inRange<std::uint32_t>(1, 1001);
    service.upstreams.push_back({UpstreamId("u" + std::to_string(i)), VmId("w"),
                                 Endpoint{"127.0.0.1", port++},
                                 FailureDomain("a"),
                                 *rc::gen::inRange<std::uint32_t>(1, 10'001),
                                 *rc::gen::inRange(1, 1'000'000) / 1000.0});
    inventory.services.push_back(service);
  }
  return inventory;
}

Rules DrawRules() {
  Rules rules;
  rules.drained_upstreams = {UpstreamId("u1"), UpstreamId("u2")};
  ServiceRules& service = rules.services[ServiceName("s")];
  service.on_log_loss =
      *rc::gen::element(OnLogLoss::kKeepServing, OnLogLoss::kStop);
  service.lease = std::chrono::milliseconds(*rc::gen::inRange(100, 60'001));
  service.mandate = std::chrono::milliseconds(*rc::gen::inRange(50, 60'001));
  service.floors = {*rc::gen::inRange(0, 500) / 997.0, 1 / 3.0, 0.1};
  service.retry_share = *rc::gen::inRange(0, 101) / 100.0;
  service.moves_per_second = *rc::gen::inRange(0, 10'000) / 7.0;
  service.hot_keys = {{*rc::gen::arbitrary<std::uint64_t>(), ShardId(64)}};
  return rules;
}

SCENARIO("a document that was written reads back to another value") {
  CHECK(rc::check("inventory", [] {
    const Inventory inventory = DrawInventory();
    const auto read = ParseInventory(ToJson(inventory));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == inventory);
  }));
  CHECK(rc::check("rules", [] {
    const Rules rules = DrawRules();
    const auto read = ParseRules(ToJson(rules));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == rules);
  }));
}

}  // namespace
}  // namespace bamboorack
