#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "bamboorack/daemon/gateway_router.h"
#include "catch2/catch.hpp"
#include "daemon/gateway_router_fixture.h"

namespace bamboorack::daemon {
namespace {

using Fixture = GatewayRouterFixture;
using std::chrono::milliseconds;

upstream::UpstreamNotice Stating(const upstream::StatedLoad& load) {
  upstream::UpstreamNotice notice;
  notice.load = load;
  return notice;
}

constexpr upstream::StatedLoad kIdle{0, 0, 2, 1};
constexpr upstream::StatedLoad kSlowed{0, 0, 2, 3};

/// Answers one request to the service `desk` by the upstream that got it.
UpstreamId Answer(Fixture& fixture, std::uint64_t slot,
                  const upstream::StatedLoad& load) {
  fixture.Send(slot, "/pay/1");
  const upstream::Dispatch dispatch = fixture.dispatches.back();
  fixture.now += milliseconds(100);
  fixture.CompleteDispatch(dispatch, Fixture::Ok(), Stating(load));
  return dispatch.upstream.id;
}

SCENARIO("a request goes to an upstream that said that it is slow") {
  Fixture fixture;
  fixture.Publish();

  GIVEN("an upstream of two that says in an answer that its host is slowed") {
    const UpstreamId slowed = Answer(fixture, 1, kSlowed);
    THEN("the next requests go to the other one") {
      fixture.Send(2, "/pay/1");
      CHECK(fixture.dispatches.back().upstream.id != slowed);
    }
    THEN("the other daemons are not told") {
      fixture.AdvanceTime(milliseconds(250));
      for (const peer::LoadReport& report : fixture.reports) {
        CHECK(report.statements.empty());
      }
      CHECK(fixture.metrics.CountOf("upstream_loads_stated") == 1);
    }
  }
  GIVEN("a daemon that shall tell the others") {
    Fixture telling({DaemonId("d0"), FailureDomain("east"),
                     PlacementMode::kAutomatic, true});
    telling.Publish();
    const UpstreamId slowed = Answer(telling, 1, kSlowed);
    THEN("they are told with the age") {
      telling.AdvanceTime(milliseconds(150));
      const auto report = std::find_if(
          telling.reports.begin(), telling.reports.end(),
          [](const auto& sent) { return !sent.statements.empty(); });
      REQUIRE(report != telling.reports.end());
      CHECK(report->statements.at(0).upstream == peer::HashOf(slowed));
      CHECK(report->statements.at(0).slowdown == 3);
      CHECK(report->statements.at(0).age <= milliseconds(150));
      CHECK(telling.metrics.CountOf("upstream_loads_told") == 1);
    }
  }
  GIVEN("an upstream of which another daemon says so") {
    Answer(fixture, 1, kIdle);
    peer::LoadReport report;
    report.sender = DaemonId("d9");
    report.statements = {
        {peer::HashOf(UpstreamId("d0")), milliseconds(20), 0, 0, 3},
        {peer::HashOf(UpstreamId("nobody")), milliseconds(20), 0, 0, 3}};
    fixture.Collect(fixture.router.OnLoadReport(report, fixture.now));
    THEN("the next request goes to the other one") {
      fixture.Send(2, "/pay/1");
      CHECK(fixture.dispatches.back().upstream.id == UpstreamId("d1"));
      fixture.AdvanceTime(milliseconds(150));
      CHECK(fixture.metrics.CountOf("upstream_loads_received") == 1);
      CHECK(fixture.metrics.CountOf("placements_expected_work") == 1);
    }
  }
  GIVEN("a load that cannot be read") {
    fixture.Send(1, "/pay/1");
    upstream::UpstreamNotice notice;
    notice.is_load_invalid = true;
    fixture.CompleteDispatch(fixture.dispatches.at(0), Fixture::Ok(), notice);
    THEN("the answer is passed on and the fault counted") {
      CHECK(fixture.answers.at(0).result.has_value());
      CHECK(fixture.metrics.CountOf("upstream_load_invalid") == 1);
    }
  }
  GIVEN("an owner of keys that states its load") {
    Fixture telling({DaemonId("d0"), FailureDomain("east"),
                     PlacementMode::kAutomatic, true});
    telling.Publish();
    telling.Send(1, "/read/1", "17");
    telling.CompleteDispatch(telling.dispatches.at(0), Fixture::Ok(),
                             Stating(kSlowed));
    THEN("its keys are served as before, and nobody else needs to know") {
      telling.Send(2, "/read/1", "17");
      CHECK(telling.dispatches.back().upstream.id == UpstreamId("r0"));
      telling.AdvanceTime(milliseconds(250));
      for (const peer::LoadReport& report : telling.reports) {
        CHECK(report.statements.empty());
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
