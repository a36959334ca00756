#include "bamboorack/operator/settings.h"

#include <catch2/catch.hpp>
#include <string>

namespace bamboorack::operators {
namespace {

using namespace std::chrono_literals;

Settings MakeSettings() {
  Settings settings;
  settings.daemon_id = DaemonId("gs-1");
  settings.vm = VmId("vm-1");
  settings.failure_domain = FailureDomain("gs-a");
  settings.caller_endpoint = {"127.0.0.1", 7000};
  settings.peer_endpoint = {"127.0.0.1", 7001};
  settings.operator_endpoint = {"127.0.0.1", 0};
  settings.log_service_endpoint = {"127.0.0.1", 7003};
  settings.vm_list_endpoint = {"127.0.0.1", 7004};
  settings.retention = 90s;
  settings.limits.ring_capacity = 32;
  return settings;
}

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

SCENARIO("a daemon starts with settings that its operator did not mean") {
  const Settings settings = MakeSettings();
  const std::string json = ToJson(settings);
  SECTION("correct settings are read as they were written") {
    const auto read = ParseSettings(json);
    REQUIRE(read);
    CHECK(*read == settings);
  }
  SECTION("all problems are listed, with path and value") {
    const auto read = ParseSettings(R"({"daemon_id":"a b",
        "peer_endpoint":"host:1","log_service_endpoint":"127.0.0.1:0",
        "caller_endpoint":"127.0.0.1:70000","retention_ms":"1h",
        "limits":{"ring_capacity":1,"threads":8},"log_dir":"/tmp"})");
    REQUIRE(!read);
    CHECK(ToText(read.error()) ==
          "daemon_id: \"a b\" is not a name of 1 to 64 letters, digits, '.', "
          "'_' or '-'\n"
          "peer_endpoint: \"host:1\" is not an IP address and port\n"
          "log_service_endpoint: port 0 is outside 1 to 65535\n"
          "caller_endpoint: \"127.0.0.1:70000\" is not an IP address and port\n"
          "retention_ms: expected an integer, got \"1h\"\n"
          "limits.ring_capacity: 1 is outside 16 to 1000000\n"
          "limits.threads: unknown field\n"
          "log_dir: unknown field\n"
          "vm: missing field\n"
          "failure_domain: missing field\n"
          "operator_endpoint: missing field\n"
          "vm_list_endpoint: missing field\n");
  }
  SECTION("one endpoint cannot serve two purposes") {
    const auto read = ParseSettings(Replaced(json, ":7001", ":7000"));
    REQUIRE(!read);
    CHECK(ToText(read.error()) ==
          "peer_endpoint: endpoint \"127.0.0.1:7000\" is already used by "
          "caller_endpoint\n");
  }
}

}  // namespace
}  // namespace bamboorack::operators
