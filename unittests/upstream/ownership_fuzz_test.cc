#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <array>
#include <catch2/catch.hpp>
#include <ostream>
#include <string_view>
#include <vector>

#include "upstream/fuzz_script.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::seconds;

/// Runs `script`, ends all faults, and requires that the group serves again.
void CheckScript(const WorldOptions& options, const Script& script) {
  SimulatedWorld world(options);
  RunScript(world, script);
  RC_ASSERT(world.Violation() == "");
  world.Heal();
  // The limit includes the delay of the VM list and of slow appends.
  const bool is_serving =
      world.RunUntil([&world] { return world.IsServingAll(); }, seconds(20));
  RC_ASSERT(world.Violation() == "");
  RC_ASSERT(is_serving);
}

void CheckAll(bool checks_tokens, OnLogLoss on_log_loss) {
  rc::prop("no sequence of faults leads to two owners, and service resumes",
           [=] {
             WorldOptions options;
             options.checks_tokens = checks_tokens;
             options.on_log_loss = on_log_loss;
             options.seed = *rc::gen::arbitrary<std::uint64_t>();
             options.upstreams = *rc::gen::inRange(1, 5);
             CheckScript(options, *GenScript());
           });
}

SCENARIO("two upstreams own a shard at once", "[fuzz]") {
  GIVEN("upstreams that check tokens and keep serving without the log") {
    CheckAll(true, OnLogLoss::kKeepServing);
  }
  GIVEN("upstreams that check tokens and stop without the log") {
    CheckAll(true, OnLogLoss::kStop);
  }
  GIVEN("upstreams that do not check tokens") {
    CheckAll(false, OnLogLoss::kStop);
  }
}

}  // namespace
}  // namespace bamboorack::upstream
