#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/daemon/gateway_router.h"
#include "catch2/catch.hpp"
#include "daemon/gateway_router_fixture.h"

namespace bamboorack::daemon {
namespace {

using Fixture = GatewayRouterFixture;
using std::chrono::milliseconds;

SCENARIO("an upstream that said that it leaves gets new requests") {
  Fixture fixture;
  fixture.Publish();
  upstream::UpstreamNotice leaving;
  leaving.is_leaving = true;

  GIVEN("an answer that says so, and a registry entry that does not") {
    fixture.Send(1, "/pay/1");
    const upstream::Dispatch first = fixture.dispatches.at(0);
    fixture.CompleteDispatch(first, Fixture::Ok(), leaving);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(fixture.answers[0].result.has_value());
    const auto sends_to_it = [&] {
      const std::size_t before = fixture.dispatches.size();
      for (std::uint64_t i = 0; i < 4; ++i) {
        fixture.Send(100 + before + i, "/pay/1");
      }
      return std::any_of(
          fixture.dispatches.begin() + static_cast<std::ptrdiff_t>(before),
          fixture.dispatches.end(), [&first](const auto& dispatch) {
            return dispatch.upstream.id == first.upstream.id;
          });
    };
    THEN("it gets no more, also after the registry repeats its entry") {
      CHECK_FALSE(sends_to_it());
      fixture.Publish();
      CHECK_FALSE(sends_to_it());
    }
    THEN("it gets none after its entry lapsed and came back") {
      const auto all = fixture.upstreams;
      std::erase_if(fixture.upstreams, [&first](const auto& entry) {
        return entry.run.id == first.upstream.id;
      });
      fixture.Publish();
      fixture.upstreams = all;
      fixture.Publish();
      CHECK_FALSE(sends_to_it());
    }
    THEN("its next run gets requests") {
      for (RegisteredUpstream& entry : fixture.upstreams) {
        if (entry.run.id == first.upstream.id) {
          entry.run.life = UpstreamLife(2);
        }
      }
      fixture.Publish();
      CHECK(sends_to_it());
    }
    THEN("the other daemons are told") {
      fixture.AdvanceTime(milliseconds(150));
      REQUIRE_FALSE(fixture.reports.empty());
      const peer::UpstreamDeparture departure{peer::HashOf(first.upstream.id),
                                              UpstreamLife(1)};
      CHECK(fixture.reports.back().departures == std::vector{departure});
    }
  }
  GIVEN("the word of another daemon") {
    peer::LoadReport report;
    report.sender = DaemonId("d9");
    report.departures = {{peer::HashOf(UpstreamId("d0")), UpstreamLife(1)}};
    fixture.Collect(fixture.router.OnLoadReport(report, fixture.now));
    THEN("this daemon sends it nothing either") {
      for (std::uint64_t i = 0; i < 8; ++i) fixture.Send(i, "/pay/1");
      for (const upstream::Dispatch& dispatch : fixture.dispatches) {
        CHECK(dispatch.upstream.id != UpstreamId("d0"));
      }
    }
  }
  GIVEN("an answer of the owner of keys") {
    fixture.Send(1, "/read/1", "17");
    fixture.CompleteDispatch(fixture.dispatches.at(0), Fixture::Ok(), leaving);
    THEN("its keys are served until they have time to move, then no more") {
      fixture.Send(2, "/read/1", "17");
      CHECK(fixture.dispatches.size() == 2);
      fixture.AdvanceTime(milliseconds(1'000));
      fixture.Send(3, "/read/1", "17");
      CHECK(fixture.dispatches.size() == 2);
    }
  }
}

SCENARIO("an upstream that asked for time gets requests meanwhile") {
  Fixture fixture;
  fixture.Publish();
  upstream::UpstreamNotice paused;
  paused.retry_after = milliseconds(2'000);
  const auto shed = [] {
    return Result(NotRun(Reason::kUpstreamShed, "the upstream is full"));
  };

  GIVEN("the owner of a key") {
    // Three are at the owner and two wait for it.
    for (std::uint64_t i = 1; i <= 8; ++i) {
      fixture.Send(i, "/read/1", "17");
    }
    const std::size_t sent = fixture.dispatches.size();
    REQUIRE(sent < 8);
    fixture.CompleteDispatch(fixture.dispatches.at(0), shed(), paused);
    THEN(
        "requests that cannot wait are refused at once, with a time that is "
        "true") {
      CHECK(fixture.dispatches.size() == sent);
      // The one that was turned away and those that waited.
      REQUIRE(fixture.answers.size() == 8 - sent + 1);
      fixture.Send(20, "/read/1", "17");
      REQUIRE(fixture.answers.size() == 8 - sent + 2);
      for (const caller::ToCaller& answer : fixture.answers) {
        const Refusal& refusal = answer.result.error();
        CHECK(refusal.ending == Ending::kNotRun);
        CHECK(refusal.reason == Reason::kUpstreamShed);
        CHECK(refusal.retry_after >= milliseconds(2'000));
      }
    }
    THEN("it gets no request before the time is over, and then some") {
      fixture.AdvanceTime(milliseconds(1'900));
      fixture.Send(21, "/read/1", "17");
      CHECK(fixture.dispatches.size() == sent);
      fixture.AdvanceTime(milliseconds(150));
      CHECK(fixture.dispatches.size() == sent + 1);
    }
    THEN("its next run is not bound by it") {
      for (RegisteredUpstream& entry : fixture.upstreams) {
        if (entry.run.id == UpstreamId("r0")) {
          entry.run.life = UpstreamLife(2);
        }
      }
      fixture.owners.version.change = 2;
      fixture.owners.services[ServiceName("reader")][0].owner =
          UpstreamRun{UpstreamId("r0"), UpstreamLife(2)};
      fixture.Publish();
      fixture.Send(22, "/read/1", "17");
      CHECK(fixture.dispatches.size() > sent);
    }
  }
  GIVEN("requests that wait for it and became shorter meanwhile") {
    for (std::uint64_t i = 1; i <= 8; ++i) {
      fixture.Send(i, "/read/1", "17");
    }
    fixture.AdvanceTime(milliseconds(10));
    fixture.CompleteDispatch(fixture.dispatches.at(0), Fixture::Ok());
    // Too long by the estimate of their arrival, not by that of now.
    paused.retry_after = milliseconds(760);
    fixture.CompleteDispatch(fixture.dispatches.at(1), shed(), paused);
    THEN("each one is sent or refused in the end") {
      fixture.AdvanceTime(milliseconds(1'000));
      CHECK(fixture.router.InFlightCount() + fixture.answers.size() == 8);
      CHECK(fixture.router.WaitingCount() == 0);
    }
  }
  GIVEN("one of two upstreams of a service without keys") {
    fixture.Send(1, "/pay/1");
    const UpstreamId first = fixture.dispatches.at(0).upstream.id;
    fixture.CompleteDispatch(fixture.dispatches.at(0), shed(), paused);
    THEN("the other one takes its requests") {
      for (std::uint64_t i = 2; i < 6; ++i) fixture.Send(i, "/pay/1");
      REQUIRE(fixture.dispatches.size() >= 5);
      for (std::size_t i = 1; i < fixture.dispatches.size(); ++i) {
        CHECK(fixture.dispatches[i].upstream.id != first);
      }
    }
    THEN("requests are refused at once when both asked for time") {
      fixture.CompleteDispatch(fixture.dispatches.at(1), shed(), paused);
      fixture.Send(9, "/pay/1");
      CHECK(fixture.dispatches.size() == 2);
      CHECK(fixture.answers.back().result.error().retry_after >=
            milliseconds(2'000));
    }
  }
  GIVEN("a time without bounds") {
    paused.retry_after = std::chrono::hours(24);
    fixture.Send(1, "/read/1", "17");
    fixture.CompleteDispatch(fixture.dispatches.at(0), shed(), paused);
    CHECK(fixture.metrics.CountOf("upstream_pauses_shortened") == 1);
    THEN("it ends after the longest pause") {
      fixture.AdvanceTime(milliseconds(30'100));
      fixture.Send(2, "/read/1", "17");
      CHECK(fixture.dispatches.size() == 2);
    }
  }
  GIVEN("a time that is no number") {
    paused.retry_after.reset();
    paused.is_retry_after_invalid = true;
    fixture.Send(1, "/read/1", "17");
    fixture.CompleteDispatch(fixture.dispatches.at(0), shed(), paused);
    THEN("it is counted and changes nothing else") {
      CHECK(fixture.metrics.CountOf("upstream_retry_after_invalid") == 1);
      fixture.AdvanceTime(milliseconds(100));
      CHECK(fixture.dispatches.size() == 2);
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
