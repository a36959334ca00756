#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "upstream/fuzz_script.h"

namespace bamboorack::upstream {
namespace {

constexpr int kMaxCases = 400;

/// Number of scripts run, and the violation that ended the search, if any.
struct SearchResult {
  int cases = 0;
  std::string violation;
};

/// Runs scripts generated from the RapidCheck seed against `options` until one
/// leads to a violation.
SearchResult FindViolation(WorldOptions options) {
  constexpr int kSize = 60;
  const std::uint64_t seed = rc::detail::configuration().testParams.seed;
  const auto generator = GenScript();
  SearchResult result;
  while (result.violation.empty() && result.cases < kMaxCases) {
    ++result.cases;
    // The stride exceeds `kMaxCases`, so adjacent seeds share no case.
    constexpr std::uint64_t kSeedStride = 1'000'003;
    options.seed =
        seed * kSeedStride + static_cast<std::uint64_t>(result.cases);
    SimulatedWorld world(options);
    RunScript(world, generator(rc::Random(options.seed), kSize).value());
    result.violation = world.Violation();
  }
  WARN("seed " << seed << ", " << result.cases
               << " cases: " << result.violation);
  return result;
}

/// An authority that treats every lease as expired.
constexpr OwnershipRules kNoLeaseWait = {
    [](MonotonicTime received, std::chrono::milliseconds /*lease*/) {
      return received;
    },
    &IsVmGone, &EndWithDrift};

/// An authority that treats every disappearance of a VM from the list as a
/// proof, without checking whether it applies to the owner's instance and
/// whether that instance has answered since.
constexpr OwnershipRules kUncheckedVmList = {
    &EndWithDrift,
    [](const VmFacts& facts, MonotonicTime /*known_since*/,
       std::optional<MonotonicTime> /*last_answer*/) {
      return facts.gone_seen_at.has_value();
    },
    &EndWithDrift};

/// A successor that does not wait for the expiry of its predecessor's permit or
/// mandate.
constexpr OwnershipRules kNoPermitWait = {
    &EndWithDrift, &IsVmGone,
    [](MonotonicTime taken_at, std::chrono::milliseconds /*period*/) {
      return taken_at;
    }};

SCENARIO("the simulation does not detect that a rule is disabled", "[fuzz]") {
  WorldOptions options;
  SECTION("no rule disabled: no violation is found") {
    CHECK(FindViolation(options).cases == kMaxCases);
  }
  SECTION("wait for the expiry of leases") {
    options.rules = kNoLeaseWait;
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("token check of upstreams") {
    options.upstream_rules.refuses_stale_tokens = false;
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("lease counted from the echoed reading") {
    options.upstream_rules.counts_from_echo = false;
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("conditions of the proof by the VM list") {
    options.rules = kUncheckedVmList;
    CHECK(FindViolation(options).violation != "");
  }
  SECTION("wait for the expiry of permits") {
    options.rules = kNoPermitWait;
    options.checks_tokens = false;
    CHECK(FindViolation(options).violation != "");
  }
}

}  // namespace
}  // namespace bamboorack::upstream
