#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SCRIPT_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SCRIPT_H_

#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "bamboorack/upstream/range_rules.h"
#include "upstream/range_world.h"

namespace bamboorack::upstream::testing {

/// One fault or order, or the end of a fault, and the time until the next
/// step. Numbers are reduced to what the world has.
struct RangeStep {
  std::size_t kind = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
  std::chrono::milliseconds wait{0};
};

using RangeScript = std::vector<RangeStep>;

std::ostream& operator<<(std::ostream& out, const RangeStep& step);

rc::Gen<RangeScript> GenRangeScript();

/// What a world checks and how its parts behave.
struct RangeOptions {
  RangeRules rules = kRangeRules;
  bool refuses_stale_tokens = true;
};

/// What came of a script.
struct RangeOutcome {
  /// Two holders of a key, or empty.
  std::string violation;
  /// Whether every key has a holder after all faults have ended.
  bool is_serving = false;
};

/// Runs `script` on three upstreams and a series of leaders.
RangeOutcome RunRangeScript(const RangeOptions& options,
                            const RangeScript& script);

}  // namespace bamboorack::upstream::testing

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SCRIPT_H_
