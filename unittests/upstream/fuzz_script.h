#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_FUZZ_SCRIPT_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_FUZZ_SCRIPT_H_

#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <ostream>
#include <vector>

#include "upstream/simulated_world.h"

namespace bamboorack::upstream {

/// One step of a script: the start or end of a fault, and the time until the
/// next step. `first` and `second` are arguments of the fault, taken modulo
/// the number of daemons, upstreams or other choices.
struct FuzzStep {
  std::size_t kind = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
  std::chrono::milliseconds wait{0};
};

using Script = std::vector<FuzzStep>;

std::ostream& operator<<(std::ostream& out, const FuzzStep& step);

/// Generates scripts of up to about 40 steps.
rc::Gen<Script> GenScript();

/// Waits until the group serves all shards, then runs `script` until its end or
/// a violation.
void RunScript(SimulatedWorld& world, const Script& script);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_FUZZ_SCRIPT_H_
