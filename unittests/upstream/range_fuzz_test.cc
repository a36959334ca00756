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

/// The result of a search for a violation.
struct SearchResult {
  int cases = 0;
  std::string violation;
};

/// Runs scripts generated from the seed of the fuzz test until one finds two
/// holders of a key, or `kMaxCases` have run.
SearchResult FindViolation(const RangeScriptOptions& options) {
  const std::uint64_t seed = rc::detail::configuration().testParams.seed;
  const auto generator = GenRangeScript();
  SearchResult search_result;
  while (search_result.violation.empty() && search_result.cases < kMaxCases) {
    ++search_result.cases;
    // A large stride, so that the cases of consecutive seeds differ.
    constexpr std::uint64_t kSeedStride = 1'000'003;
    const rc::Random random(seed * kSeedStride +
                            static_cast<std::uint64_t>(search_result.cases));
    search_result.violation =
        RunRangeScript(options, generator(random, kScriptSize).value())
            .violation;
  }
  WARN("seed " << seed << ", " << search_result.cases
               << " cases: " << search_result.violation);
  return search_result;
}

SCENARIO("two upstreams hold a range at once", "[fuzz]") {
  GIVEN("faults of the upstreams, the registry, the log and the leader") {
    rc::prop("each key has at most one holder, and one after recovery", [] {
      const RangeScript script = *GenRangeScript();
      const RangeScriptResult result =
          RunRangeScript(RangeScriptOptions{}, script);
      RC_ASSERT(result.violation == "");
      RC_ASSERT(result.is_serving);
    });
  }
}

SCENARIO("the oracle does not detect that a safety rule is disabled",
         "[fuzz]") {
  RangeScriptOptions options;
  SECTION("with all rules enabled, no key has two holders") {
    CHECK(FindViolation(options).cases == kMaxCases);
  }
  SECTION("a move waits until the lease has expired") {
    options.rules.lease_end = [](MonotonicTime sent, milliseconds lease) {
      return sent + lease / 2;
    };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("a later grant does not shorten a longer one") {
    options.rules.hold_end = [](MonotonicTime /*earlier*/,
                                MonotonicTime granted) { return granted; };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("a release is no proof while a grant is unanswered") {
    options.rules.is_release_proof = [](bool /*unanswered*/) { return true; };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("the record is saved before the calls of a move are sent") {
    options.rules.may_send_call = [](std::uint64_t /*saved*/,
                                     std::uint64_t /*needed*/) { return true; };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("the successor in a former leader's move may hold the keys") {
    options.rules.successor_hold_end = [](MonotonicTime /*end*/) {
      return MonotonicTime();
    };
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("the tokens of a term are greater than those of earlier terms") {
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
