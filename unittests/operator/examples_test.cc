#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/operator/settings.h"
#include "log_service/test_records.h"

namespace bamboorack::operators {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(BAMBOORACK_EXAMPLES) + "/" + name);
  REQUIRE(file.is_open());
  return {std::istreambuf_iterator<char>(file), {}};
}

SCENARIO("an example that operators start from is refused") {
  const auto user = GENERATE(as<std::string>(), "new-england", "gulf-south");
  const auto inventory = ParseInventory(ReadExample(user + ".inventory.json"));
  REQUIRE(inventory);
  const auto rules = ParseRules(ReadExample(user + ".rules.json"));
  REQUIRE(rules);
  const auto settings = ParseSettings(ReadExample(user + ".settings.json"));
  REQUIRE(settings);

  SECTION(user + ": the fold accepts inventory and rules") {
    log_service::FoldedLog log;
    CHECK(log.Append(InventoryPublished{Revision(0), *inventory}) ==
          Verdict::kAccepted);
    CHECK(log.Append(RulesPublished{Revision(0), *rules}) ==
          Verdict::kAccepted);
  }
  SECTION(user + ": every service of the rules is in the inventory") {
    ClusterState state;
    state.inventory = *inventory;
    for (const auto& [name, service] : rules->services) {
      INFO(name);
      const ServiceEntry* entry = state.FindService(name);
      REQUIRE(entry != nullptr);
      CHECK((entry->checks_tokens || service.on_log_loss == OnLogLoss::kStop));
    }
  }
  SECTION(user + ": the settings belong to a daemon of the inventory") {
    ClusterState state;
    state.inventory = *inventory;
    const DaemonEntry* daemon = state.FindDaemon(settings->daemon_id);
    REQUIRE(daemon != nullptr);
    CHECK(daemon->vm == settings->vm);
    CHECK(daemon->failure_domain == settings->failure_domain);
    CHECK(daemon->peer_endpoint == settings->peer_endpoint);
  }
}

}  // namespace
}  // namespace bamboorack::operators
