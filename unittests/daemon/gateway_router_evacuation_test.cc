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

using std::chrono::milliseconds;

constexpr milliseconds kGrace{500};

/// The upstreams "r0" and "d0" are in the west, the others in the east.
struct Fixture : GatewayRouterFixture {
  Fixture() {
    for (RegisteredUpstream& entry : this->upstreams) {
      const bool is_west =
          entry.run.id == UpstreamId("r0") || entry.run.id == UpstreamId("d0");
      entry.failure_domain = FailureDomain(is_west ? "west" : "east");
    }
    this->Publish();
  }

  void Order(const std::vector<std::string>& domains) {
    EvacuatedDomains evacuated;
    for (const std::string& domain : domains) {
      evacuated.emplace(FailureDomain(domain), this->now + kGrace);
    }
    this->tables.evacuated_domains =
        std::make_shared<const EvacuatedDomains>(std::move(evacuated));
    this->Publish();
  }

  void MoveKeys(const std::string& to) {
    ++this->owners.version.change;
    this->owners.services[ServiceName("reader")][0].owner =
        UpstreamRun{UpstreamId(to), UpstreamLife(1)};
    this->Publish();
  }

  std::ptrdiff_t SentTo(const std::string& id) const {
    return std::count_if(this->dispatches.begin(), this->dispatches.end(),
                         [&id](const upstream::Dispatch& dispatch) {
                           return dispatch.upstream.id == UpstreamId(id);
                         });
  }

  std::ptrdiff_t Refused(Reason reason) const {
    return std::count_if(this->answers.begin(), this->answers.end(),
                         [reason](const caller::ToCaller& answer) {
                           return !answer.result &&
                                  answer.result.error().reason == reason;
                         });
  }
};

SCENARIO("a request without a key reaches an evacuated domain") {
  Fixture fixture;

  GIVEN("an order") {
    fixture.Order({"west"});
    THEN("all requests go elsewhere at once") {
      for (std::uint64_t i = 0; i < 12; ++i) fixture.Send(i, "/pay/1");
      CHECK(fixture.SentTo("d0") == 0);
      CHECK(fixture.SentTo("d1") > 0);
    }
    WHEN("it is taken back") {
      fixture.Order({});
      THEN("the domain gets requests again") {
        for (std::uint64_t i = 0; i < 12; ++i) fixture.Send(i, "/pay/1");
        CHECK(fixture.SentTo("d0") > 0);
      }
    }
  }
  GIVEN("a request there that fails after the order") {
    while (fixture.SentTo("d0") == 0) {
      fixture.Send(fixture.dispatches.size(), "/split/1");
    }
    const upstream::Dispatch there = *std::find_if(
        fixture.dispatches.begin(), fixture.dispatches.end(),
        [](const auto& sent) { return sent.upstream.id == UpstreamId("d0"); });
    const std::ptrdiff_t before = fixture.SentTo("d0");
    fixture.Order({"west"});
    fixture.CompleteDispatch(there, NotRun(Reason::kUpstreamShed));
    fixture.AdvanceTime(milliseconds(100));
    CHECK(fixture.SentTo("d0") == before);
  }
  GIVEN("requests in the queue of a service without upstreams elsewhere") {
    std::uint64_t slot = 0;
    while (fixture.router.WaitingCount() < 4) fixture.Send(++slot, "/pay/1");
    fixture.Order({"east", "west"});
    THEN("they are refused at once, with the true reason") {
      CHECK(fixture.router.WaitingCount() == 0);
      CHECK(fixture.Refused(Reason::kEvacuated) == 4);
      CHECK(fixture.metrics.Refusals(Reason::kEvacuated) == 4);
    }
    THEN("new ones as well, as not run and with a time to come back") {
      fixture.Send(++slot, "/pay/1");
      const Refusal& refusal = fixture.answers.back().result.error();
      CHECK(refusal.reason == Reason::kEvacuated);
      CHECK(refusal.ending == Ending::kNotRun);
      CHECK(refusal.retry_after >= milliseconds(1'000));
    }
  }
}

SCENARIO("a request for a key reaches an evacuated domain after the grace") {
  Fixture fixture;

  GIVEN("a key whose owner is there") {
    fixture.Order({"west"});
    fixture.Send(1, "/read/1", "17");
    THEN("it is served until the deadline, and sent no later") {
      REQUIRE(fixture.SentTo("r0") == 1);
      CHECK(fixture.dispatches[0].send_before == fixture.now + kGrace);
    }
    THEN("requests wait for the next owner after the deadline") {
      fixture.AdvanceTime(kGrace);
      fixture.Send(2, "/read/1", "17");
      CHECK(fixture.SentTo("r0") == 1);
      fixture.MoveKeys("r1");
      CHECK(fixture.SentTo("r1") == 1);
    }
    THEN("a request that fails there is not sent there again") {
      fixture.AdvanceTime(kGrace);
      fixture.CompleteDispatch(fixture.dispatches.at(0),
                               Unknown(Reason::kUpstreamLost));
      fixture.AdvanceTime(milliseconds(100));
      CHECK(fixture.SentTo("r0") == 1);
    }
    THEN("no probe goes there after the deadline") {
      for (std::uint64_t i = 2; fixture.dispatches.size() < 3; ++i) {
        fixture.Send(i, "/read/1", "17");
      }
      for (int i = 0; i < 3; ++i) {
        fixture.CompleteDispatch(
            fixture.dispatches.at(static_cast<std::size_t>(i)),
            Unknown(Reason::kCancelled));
      }
      const auto lost = fixture.dispatches.size();
      fixture.AdvanceTime(kGrace);
      fixture.Send(90, "/read/1", "17");
      fixture.AdvanceTime(milliseconds(700));
      fixture.Send(91, "/read/1", "17");
      CHECK(fixture.dispatches.size() == lost);
    }
  }
  GIVEN("requests in the queue of an owner there") {
    std::uint64_t slot = 0;
    while (fixture.router.WaitingCount() < 3) {
      fixture.Send(++slot, "/read/1", "17", milliseconds(5'000));
    }
    const std::ptrdiff_t sent = fixture.SentTo("r0");
    fixture.Order({"west"});
    CHECK(fixture.router.WaitingCount() == 3);
    THEN("they follow their key") {
      fixture.MoveKeys("r1");
      CHECK(fixture.SentTo("r1") == 3);
    }
    THEN("none is sent there after the deadline") {
      fixture.AdvanceTime(kGrace);
      fixture.CompleteDispatch(fixture.dispatches.at(0), Fixture::Ok());
      fixture.AdvanceTime(milliseconds(100));
      CHECK(fixture.SentTo("r0") == sent);
    }
  }
  GIVEN("an owner there that is draining as well") {
    fixture.upstreams[0].is_draining = true;
    fixture.Order({"west"});
    fixture.AdvanceTime(kGrace);
    fixture.Send(1, "/read/1", "17");
    CHECK(fixture.dispatches.empty());
  }
  GIVEN("a service whose other upstream is draining") {
    fixture.upstreams[1].is_draining = true;
    fixture.Order({"west"});
    fixture.AdvanceTime(kGrace);
    fixture.Send(1, "/read/1", "17");
    THEN("no owner can come, and the request is refused at once") {
      CHECK(fixture.Refused(Reason::kEvacuated) == 1);
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
