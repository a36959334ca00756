#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/upstream/evacuation_progress.h"
#include "bamboorack/upstream/load_balancer.h"
#include "bamboorack/upstream/range_planner.h"
#include "catch2/catch.hpp"
#include "upstream/range_simulation.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FailureDomain kWest("west");
constexpr MonotonicTime kNow{seconds(1'000)};
constexpr MonotonicTime kDeadline = kNow + milliseconds(2'000);

RegisteredUpstream EntryIn(const std::string& id, const std::string& domain) {
  RegisteredUpstream entry = testing::MakeEntry(id);
  entry.failure_domain = FailureDomain(domain);
  return entry;
}

SCENARIO("an upstream in an evacuated domain is chosen") {
  std::vector<RegisteredUpstream> entries = {
      EntryIn("a", "east"), EntryIn("b", "west"), EntryIn("c", "west")};
  LoadBalancer balancer(FailureDomain("west"), 7);
  balancer.SetUpstreams(entries, kNow);
  balancer.SetEvacuated({{kWest, kDeadline}});
  const UpstreamId b("b");

  THEN("requests without a key go elsewhere from then on") {
    while (const auto id = balancer.Choose(testing::kService, {}, kNow)) {
      CHECK(*id == UpstreamId("a"));
      balancer.OnSent(*id, kNow);
    }
    CHECK(balancer.Find(b) == nullptr);
  }
  THEN("its keys are served until the deadline, also by a later entry") {
    balancer.SetUpstreams(entries, kNow);
    CHECK(balancer.MayServeKeys(b, kDeadline - milliseconds(1)));
    CHECK_FALSE(balancer.MayServeKeys(b, kDeadline));
    CHECK(balancer.LatestSend(b) == kDeadline);
    CHECK(balancer.LatestSend(UpstreamId("a")) == MonotonicTime::max());
    CHECK(balancer.MayServeKeys(UpstreamId("a"), kDeadline + seconds(60)));
  }
  THEN("one that registers there later is not used either") {
    entries.push_back(EntryIn("d", "west"));
    balancer.SetUpstreams(entries, kNow);
    CHECK(balancer.Choose(testing::kService, {UpstreamId("a")}, kNow) ==
          std::nullopt);
  }
  THEN("a service has no upstream only if none is left elsewhere") {
    CHECK(balancer.HasActiveUpstream(testing::kService));
    CHECK_FALSE(balancer.IsEvacuated(testing::kService));
    balancer.SetEvacuated({{kWest, kDeadline}, {FailureDomain("east"), kNow}});
    CHECK_FALSE(balancer.HasActiveUpstream(testing::kService));
    CHECK(balancer.IsEvacuated(testing::kService));
    CHECK_FALSE(balancer.IsEvacuated(ServiceName("other")));
  }
  THEN("a service whose others are draining counts as evacuated") {
    entries[0].is_draining = true;
    balancer.SetUpstreams(entries, kNow);
    CHECK(balancer.IsEvacuated(testing::kService));
    for (RegisteredUpstream& entry : entries) entry.is_draining = true;
    balancer.SetUpstreams(entries, kNow);
    CHECK_FALSE(balancer.IsEvacuated(testing::kService));
  }
}

/// Nine upstreams in three domains with `pieces` ranges of equal length, whose
/// holders alternate so that neighbours do not merge.
struct Site {
  explicit Site(int pieces) : simulation({}) {
    const std::vector<std::string> domains = {"east", "north", "west"};
    for (int i = 0; i < 9; ++i) {
      this->simulation.entries.push_back(EntryIn(
          "u" + std::to_string(i), domains[static_cast<std::size_t>(i) % 3]));
      this->simulation.upstreams[this->simulation.entries.back().run.id];
    }
    OwnershipRecord record;
    std::vector<RecordedRange>& ranges = record.services[testing::kService];
    const int length = 65'536 / pieces;
    for (int i = 0; i < pieces; ++i) {
      const int last = i + 1 == pieces ? 65'535 : (i + 1) * length - 1;
      RecordedRange& range = ranges.emplace_back();
      range.range = {ShardKey(static_cast<std::uint16_t>(i * length)),
                     ShardKey(static_cast<std::uint16_t>(last))};
      range.holder =
          this->simulation.entries[static_cast<std::size_t>(i) % 9].run;
    }
    this->simulation.ElectLeader(record, this->simulation.now);
    this->simulation.Run(seconds(1));
  }

  /// Plans every 250 ms, as the leader does, until no range is held in the
  /// west. Returns how long that took.
  milliseconds Evacuate(milliseconds limit) {
    KeyLoad load;
    const MonotonicTime start = this->simulation.now;
    while (this->HeldInWest() > 0 && this->simulation.now < start + limit) {
      std::vector<RangeCandidate> candidates;
      for (const RegisteredUpstream& entry : this->simulation.entries) {
        if (entry.failure_domain == kWest) continue;
        candidates.push_back({entry.run, 4});
      }
      for (const RangeMove& move : RangePlanner::Plan(
               this->simulation.manager->Ranges(testing::kService), candidates,
               load)) {
        this->simulation.manager->Move(testing::kService, move);
      }
      this->simulation.Run(milliseconds(250));
    }
    return std::chrono::duration_cast<milliseconds>(this->simulation.now -
                                                    start);
  }

  std::size_t HeldInWest() {
    return CountRangesHeld({{kWest, kDeadline}},
                           this->simulation.manager->ToRecord(),
                           this->simulation.entries)
        .at(kWest);
  }

  testing::RangeSimulation simulation;
};

SCENARIO("keys stay in an evacuated domain for longer than the bound") {
  const int pieces = GENERATE(9, 90, 900);
  CAPTURE(pieces);
  Site site(pieces);
  CHECK(site.HeldInWest() == static_cast<std::size_t>(pieces / 3));

  THEN("all of its ranges move within a second, with their handovers") {
    CHECK(site.Evacuate(seconds(5)) <= milliseconds(1'000));
    CHECK(site.HeldInWest() == 0);
    site.simulation.Run(milliseconds(250));
    CHECK_FALSE(site.simulation.has_early_grant);
    CHECK_FALSE(site.simulation.has_low_token);
    for (std::uint32_t key = 0; key < 65'536; key += 97) {
      const auto owner =
          site.simulation.OwnerOf(static_cast<std::uint16_t>(key));
      REQUIRE(owner.has_value());
    }
  }
  WHEN("the domain is cut off as well") {
    for (const RegisteredUpstream& entry : site.simulation.entries) {
      if (entry.failure_domain != kWest) continue;
      site.simulation.unreachable_upstreams[entry.run.id] = true;
    }
    THEN("its ranges move when their leases have ended") {
      CHECK(site.Evacuate(seconds(8)) <= milliseconds(4'500));
      CHECK(site.HeldInWest() == 0);
    }
  }
  WHEN("the leader changes halfway") {
    site.Evacuate(milliseconds(250));
    const OwnershipRecord record = site.simulation.saved_record;
    site.simulation.ElectLeader(record);
    THEN("its successor continues") {
      CHECK(site.Evacuate(seconds(5)) <= milliseconds(1'500));
      CHECK(site.HeldInWest() == 0);
      CHECK_FALSE(site.simulation.has_early_grant);
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
