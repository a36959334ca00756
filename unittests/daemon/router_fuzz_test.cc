#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string_view>

#include "daemon/router_world.h"

namespace bamboorack::daemon {
namespace {

struct StepKind {
  std::string_view name;
  std::size_t weight;
  void (RouterWorld::*run)(std::uint64_t dice);
};

constexpr std::array kStepKinds = {
    StepKind{"Advance", 100, &RouterWorld::Advance},
    StepKind{"SendRequest", 120, &RouterWorld::SendRequest},
    StepKind{"RepeatRequest", 40, &RouterWorld::RepeatRequest},
    StepKind{"LoseCaller", 8, &RouterWorld::LoseCaller},
    StepKind{"FreezeUpstream", 3, &RouterWorld::FreezeUpstream},
    StepKind{"DrainUpstream", 3, &RouterWorld::DrainUpstream},
    StepKind{"ReplaceUpstream", 1, &RouterWorld::ReplaceUpstream},
    StepKind{"TakeOver", 2, &RouterWorld::TakeOver},
    StepKind{"MoveShard", 4, &RouterWorld::MoveShard},
    StepKind{"PauseDaemon", 2, &RouterWorld::PauseDaemon},
    StepKind{"RestartDaemon", 1, &RouterWorld::RestartDaemon},
    StepKind{"ShakeNetwork", 4, &RouterWorld::ShakeNetwork},
};

/// Empty, because `RouterWorld` checks itself with its `RouterOracle`.
struct Model {};

using Command = rc::state::Command<Model, RouterWorld>;

class Step final : public Command {
 public:
  Step() : Step(*rc::gen::arbitrary<std::uint64_t>()) {}
  explicit Step(std::uint64_t seed) : kind(DrawKind()), dice(seed) {}

  void run(const Model& /*model*/, RouterWorld& world) const override {
    (world.*kStepKinds.at(this->kind).run)(this->dice);
    const auto& failures = world.Oracle().Failures();
    if (!failures.empty()) RC_FAIL(failures.front());
  }

  void show(std::ostream& out) const override {
    out << kStepKinds.at(this->kind).name << '(' << this->dice << ')';
  }

 private:
  /// Draws a step kind with a probability proportional to its weight.
  static std::size_t DrawKind() {
    std::size_t total = 0;
    for (const StepKind& candidate : kStepKinds) total += candidate.weight;
    auto left = *rc::gen::inRange<std::size_t>(0, total);
    std::size_t drawn = 0;
    while (left >= kStepKinds.at(drawn).weight) {
      left -= kStepKinds.at(drawn).weight;
      ++drawn;
    }
    return drawn;
  }

  std::size_t kind;
  std::uint64_t dice;
};

/// More steps than RapidCheck's default, so that faults overlap.
constexpr int kSteps = 1500;

void RunWorld(const WorldSettings& settings) {
  RouterWorld world(settings);
  const auto commands = *rc::gen::resize(
      kSteps, rc::state::gen::commands(
                  Model(), rc::state::gen::execOneOfWithArgs<Step>()));
  rc::state::runAll(commands, Model(), world);
  world.Finish();
  const auto& failures = world.Oracle().Failures();
  if (!failures.empty()) RC_FAIL(failures.front());
  RC_TAG(world.Oracle().EndingsOf(Ending::kUnknown) > 0 ? "some unknown"
                                                        : "none unknown");
}

TEST_CASE(
    "daemons lose, repeat or mix up requests when messages, upstreams and "
    "authorities fail together") {
  SECTION("upstreams that check tokens and settle") {
    CHECK(rc::check([] { RunWorld({true, true, 40}); }));
  }
  SECTION("upstreams that do not check tokens, under mandates") {
    CHECK(rc::check([] { RunWorld({false, true, 40}); }));
  }
  SECTION("lookups and uploads only, so that no group remembers ids") {
    CHECK(rc::check([] { RunWorld({true, true, 0}); }));
  }
  SECTION("upstreams that cannot tell whether a request ran") {
    CHECK(rc::check([] { RunWorld({true, false, 70}); }));
  }
}

}  // namespace
}  // namespace bamboorack::daemon
