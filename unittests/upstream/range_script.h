#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SCRIPT_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SCRIPT_H_

#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "bamboorack/upstream/range_rules.h"
#include "upstream/range_simulation.h"

namespace bamboorack::upstream::testing {

/// A fault, the end of a fault or an operation, and the time until the next
/// step. The meaning of `first` and `second` depends on the kind; all numbers
/// are reduced to the valid range.
struct RangeScriptStep {
  std::size_t kind = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
  std::chrono::milliseconds wait{0};
};

using RangeScript = std::vector<RangeScriptStep>;

std::ostream& operator<<(std::ostream& out, const RangeScriptStep& step);

rc::Gen<RangeScript> GenRangeScript();

/// The safety rules and the behaviour of the simulated upstreams.
struct RangeScriptOptions {
  RangeRules rules = kRangeRules;
  bool refuses_stale_tokens = true;
};

/// The result of a script.
struct RangeScriptResult {
  /// Describes the first safety violation. Empty if there is none.
  std::string violation;
  /// Whether every key has a holder after all faults have ended.
  bool is_serving = false;
};

/// Runs `script` on three upstreams and a series of leaders.
RangeScriptResult RunRangeScript(const RangeScriptOptions& options,
                                 const RangeScript& script);

}  // namespace bamboorack::upstream::testing

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SCRIPT_H_
