#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "upstream/range_script.h"

namespace bamboorack::upstream::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxCases = 3'000;
constexpr int kScriptSize = 60;

/// A case in which two holders were found.
struct Finding {
  int cases = 0;
  std::string violation;
};

/// Runs scripts drawn from the seed of the fuzz until one finds two holders.
Finding FindViolation(const RangeOptions& options) {
  const std::uint64_t seed = rc::detail::configuration().testParams.seed;
  const auto generator = GenRangeScript();
  Finding finding;
  while (finding.violation.empty() && finding.cases < kMaxCases) {
    ++finding.cases;
    // Far apart, so that the cases of neighbouring seeds differ.
    constexpr std::uint64_t kSeedStride = 1'000'003;
    const rc::Random random(seed * kSeedStride +
                            static_cast<std::uint64_t>(finding.cases));
    finding.violation =
        RunRangeScript(options, generator(random, kScriptSize).value())
            .violation;
  }
  WARN("seed " << seed << ", " << finding.cases
               << " cases: " << finding.violation);
  return finding;
}

SCENARIO("two upstreams hold a range at once", "[fuzz]") {
  GIVEN("faults of upstreams, the registry, the store and the leader") {
    rc::prop("no sequence of them makes two holders, and keys are back", [] {
      const RangeScript script = *GenRangeScript();
      const RangeOutcome outcome = RunRangeScript(RangeOptions{}, script);
      RC_ASSERT(outcome.violation == "");
      RC_ASSERT(outcome.is_serving);
    });
  }
}

SCENARIO("the oracle misses a rule of a move that is switched off", "[fuzz]") {
  RangeOptions options;
  SECTION("none: two holders are never found") {
    CHECK(FindViolation(options).cases == kMaxCases);
  }
  SECTION("the wait for the end of a lease") {
    options.rules.lease_end = [](MonotonicTime sent, milliseconds lease) {
      return sent + lease / 2;
    };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("a later grant does not end a longer one") {
    options.rules.hold_end = [](MonotonicTime /*earlier*/,
                                MonotonicTime granted) { return granted; };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("a release proves nothing while a grant is unanswered") {
    options.rules.is_release_proof = [](bool /*unanswered*/) { return true; };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("the record comes before the orders of a move") {
    options.rules.may_order = [](std::uint64_t /*saved*/,
                                 std::uint64_t /*needed*/) { return true; };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("the successor of a predecessor's move may hold the keys") {
    options.rules.successor_end = [](MonotonicTime /*end*/) {
      return MonotonicTime();
    };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("tokens of a term are above those of earlier ones") {
    options.rules.first_token = [](Term /*term*/) { return FencingToken(0); };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("an upstream refuses a token below one that it has seen") {
    options.refuses_stale_tokens = false;
    CHECK(FindViolation(options).violation != "");
  }
}

}  // namespace
}  // namespace bamboorack::upstream::testing
