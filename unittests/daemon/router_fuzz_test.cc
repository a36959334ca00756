#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string_view>

#include "daemon/router_simulation.h"

namespace bamboorack::daemon {
namespace {

struct StepKind {
  std::string_view name;
  std::size_t weight;
  void (RouterSimulation::*run)(std::uint64_t random_seed);
};

constexpr std::array kStepKinds = {
    StepKind{"Advance", 100, &RouterSimulation::Advance},
    StepKind{"SendRequest", 120, &RouterSimulation::SendRequest},
    StepKind{"RepeatRequest", 40, &RouterSimulation::RepeatRequest},
    StepKind{"LoseCaller", 8, &RouterSimulation::LoseCaller},
    StepKind{"FreezeUpstream", 3, &RouterSimulation::FreezeUpstream},
    StepKind{"DrainUpstream", 3, &RouterSimulation::DrainUpstream},
    StepKind{"ReplaceUpstream", 1, &RouterSimulation::ReplaceUpstream},
    StepKind{"TakeOver", 2, &RouterSimulation::TakeOver},
    StepKind{"MoveShard", 4, &RouterSimulation::MoveShard},
    StepKind{"PauseDaemon", 2, &RouterSimulation::PauseDaemon},
    StepKind{"RestartDaemon", 1, &RouterSimulation::RestartDaemon},
    StepKind{"ShakeNetwork", 4, &RouterSimulation::ShakeNetwork},
};

/// Empty, because `RouterSimulation` checks itself with its `RouterOracle`.
struct Model {};

using Command = rc::state::Command<Model, RouterSimulation>;

class Step final : public Command {
 public:
  Step() : Step(*rc::gen::arbitrary<std::uint64_t>()) {}
  explicit Step(std::uint64_t seed) : kind(DrawKind()), random_seed(seed) {}

  void run(const Model& /*model*/,
           RouterSimulation& simulation) const override {
    (simulation.*kStepKinds.at(this->kind).run)(this->random_seed);
    const auto& failures = simulation.Oracle().Failures();
    if (!failures.empty()) RC_FAIL(failures.front());
  }

  void show(std::ostream& out) const override {
    out << kStepKinds.at(this->kind).name << '(' << this->random_seed << ')';
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
  std::uint64_t random_seed;
};

/// More steps than RapidCheck's default, so that faults overlap.
constexpr int kSteps = 1500;

void RunSimulation(const SimulationSettings& settings) {
  RouterSimulation simulation(settings);
  const auto commands = *rc::gen::resize(
      kSteps, rc::state::gen::commands(
                  Model(), rc::state::gen::execOneOfWithArgs<Step>()));
  rc::state::runAll(commands, Model(), simulation);
  simulation.Finish();
  const auto& failures = simulation.Oracle().Failures();
  if (!failures.empty()) RC_FAIL(failures.front());
  RC_TAG(simulation.Oracle().EndingsOf(Ending::kUnknown) > 0 ? "some unknown"
                                                             : "none unknown");
}

TEST_CASE(
    "daemons lose, repeat or mix up requests when messages, upstreams and "
    "authorities fail together") {
  SECTION("upstreams that check tokens and settle") {
    CHECK(rc::check([] { RunSimulation({true, true, 40}); }));
  }
  SECTION("upstreams that do not check tokens, under mandates") {
    CHECK(rc::check([] { RunSimulation({false, true, 40}); }));
  }
  SECTION("lookups and uploads only, so that no group remembers ids") {
    CHECK(rc::check([] { RunSimulation({true, true, 0}); }));
  }
  SECTION("upstreams that cannot tell whether a request ran") {
    CHECK(rc::check([] { RunSimulation({true, false, 70}); }));
  }
}

}  // namespace
}  // namespace bamboorack::daemon
