#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "catch2/catch.hpp"
#include "fakes/platform_store/platform_store.h"
#include "platform/documents.h"
#include "platform/settings.h"
#include "platform/store_log.h"

namespace bamboorack::platform {
namespace {

using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

SCENARIO("an order to evacuate is taken for another record") {
  const auto documents = MakeDocuments();
  const auto domain_of = [&documents](const std::string& key) {
    return documents->ReadEvacuationKey(key);
  };
  CHECK(domain_of("evacuate/west-2")->value() == FailureDomain("west-2"));
  CHECK(domain_of("evacuate/a/b")->value() == FailureDomain("a/b"));
  for (const std::string key : {"config", "evacuate", "Evacuate/west", ""}) {
    CAPTURE(key);
    REQUIRE(domain_of(key).has_value());
    CHECK_FALSE(domain_of(key)->has_value());
  }
  CHECK_THAT(domain_of("evacuate/").error(), Catch::Contains("no zone"));
}

SCENARIO("an order or its end is lost between the store and its reader") {
  fakes::PlatformStore store;
  store.Start(0);
  const auto log = MakeStoreLogFactory({"127.0.0.1", store.Port()})();
  const auto limit = [] { return steady_clock::now() + milliseconds(800); };
  store.Write("keyed.op", "config", "{}");
  store.Write("keyed.op", "evacuate/west", "{}");

  auto read = log->ReadNewest(Topic::kDesiredState, limit(), {});
  REQUIRE(read->records.size() == 2);
  CHECK(read->records[1].key == "evacuate/west");

  store.Write("keyed.op", "evacuate/west", "");
  read = log->ReadFrom({Topic::kDesiredState, LogOffset(2), {}}, limit(), {});
  REQUIRE(read->records.size() == 1);
  CHECK(read->records[0].key == "evacuate/west");
  CHECK_FALSE(read->records[0].value.has_value());

  read = log->ReadNewest(Topic::kDesiredState, limit(), {});
  REQUIRE(read->records.size() == 1);
  CHECK(read->records[0].key == "config");
}

SCENARIO("the platform's bound on an evacuation is ignored") {
  const auto read = [](const std::string& bounds) {
    return ReadSettings(
        R"({"gateway":{"daemon_id":"g0","failure_domain":"east",)"
        R"("caller_endpoint":"127.0.0.1:1","readiness_endpoint":"127.0.0.1:2",)"
        R"("gossip_endpoint":"127.0.0.1:3","log_endpoint":"127.0.0.1:4"},)"
        R"("bounds":)" +
        bounds + "}");
  };
  CHECK(read(R"(["evacuate=2500ms"])")->evacuation_time == milliseconds(2'500));
  CHECK(read(R"({"evacuate":"7s"})")->evacuation_time == milliseconds(7'000));
  CHECK(read("[]")->evacuation_time == milliseconds(5'000));
  CHECK_FALSE(read(R"(["evacuate=soon"])").has_value());
}

}  // namespace
}  // namespace bamboorack::platform
