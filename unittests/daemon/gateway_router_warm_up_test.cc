#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bamboorack/daemon/gateway_router.h"
#include "catch2/catch.hpp"
#include "daemon/gateway_router_fixture.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A router whose services tolerate 3.9 requests per second at a cold upstream.
struct Fixture : GatewayRouterFixture {
  Fixture() {
    auto state = std::make_shared<DesiredState>(*this->tables.desired);
    for (ServiceSpec& service : state->services) {
      service.warm_up_request_rate = 3.9;
    }
    this->tables.desired = state;
    std::vector<DaemonId> daemons{DaemonId("d0")};
    for (int i = 10; i < 42; ++i) daemons.emplace_back("d" + std::to_string(i));
    this->tables.daemons =
        std::make_shared<const std::vector<DaemonId>>(daemons);
  }

  void MakeCold(const std::string& service, milliseconds left) {
    for (RegisteredUpstream& entry : this->upstreams) {
      if (entry.service.value == service) entry.cold_until = this->now + left;
    }
    this->Publish();
  }

  const Refusal& LastRefusal() const {
    return this->answers.back().result.error();
  }
};

SCENARIO("requests for the keys of a cold upstream arrive as a burst") {
  Fixture fixture;

  GIVEN("a warm-up that lasts longer than the requests can wait") {
    fixture.MakeCold("reader", seconds(20));
    for (std::uint64_t i = 0; i < 50; ++i) fixture.Send(i, "/read/1", "17");
    THEN("at most the turn of this daemon is used, the others are refused") {
      CHECK(fixture.dispatches.size() <= 1);
      REQUIRE(fixture.answers.size() >= 49);
      CHECK(fixture.LastRefusal().reason == Reason::kUpstreamShed);
      CHECK(fixture.LastRefusal().ending == Ending::kNotRun);
      CHECK(*fixture.LastRefusal().retry_after > seconds(2));
      CHECK(fixture.metrics.CountOf("warm_up_refusals") >= 49);
    }
    THEN("requests that come all the time get no more than turns") {
      for (std::uint64_t i = 100; i < 1'100; ++i) {
        fixture.Send(i, "/read/1", "17");
        fixture.AdvanceTime(milliseconds(10));
      }
      CHECK(fixture.dispatches.size() >= 1);
      CHECK(fixture.dispatches.size() <= 2);
      CHECK(fixture.metrics.CountOf("warm_up_turns_used") ==
            fixture.dispatches.size());
      // A request that is sent later would come in the turn of another daemon.
      CHECK(fixture.dispatches.back().send_before <=
            fixture.now + milliseconds(250));
    }
  }
  GIVEN("a warm-up that ends soon") {
    fixture.MakeCold("reader", milliseconds(300));
    for (std::uint64_t i = 0; i < 3; ++i) fixture.Send(i, "/read/1", "17");
    CHECK(fixture.answers.empty());
    THEN("they wait for its end") {
      fixture.AdvanceTime(milliseconds(290));
      CHECK(fixture.dispatches.size() <= 1);
      fixture.AdvanceTime(milliseconds(40));
      CHECK(fixture.dispatches.size() == 3);
      CHECK(fixture.metrics.CountOf("warm_up_waits") >= 2);
    }
  }
  GIVEN("a request that waits for the end of a warm-up") {
    fixture.MakeCold("reader", milliseconds(600));
    for (std::uint64_t i = 0; i < 2; ++i) fixture.Send(i, "/read/1", "17");
    const std::size_t sent = fixture.dispatches.size();
    REQUIRE(fixture.router.WaitingCount() > 0);
    WHEN("its key moves to a warm upstream") {
      fixture.upstreams[1].cold_until = MonotonicTime{};
      fixture.owners.version.change = 2;
      fixture.owners.services[ServiceName("reader")][0].owner =
          fixture.upstreams[1].run;
      fixture.Publish();
      THEN("it is sent at once") {
        CHECK(fixture.router.WaitingCount() == 0);
        REQUIRE(fixture.dispatches.size() > sent);
        CHECK(fixture.dispatches.back().upstream.id == UpstreamId("r1"));
      }
    }
  }
  GIVEN("requests that wait for a warm upstream") {
    fixture.MakeCold("reader", milliseconds(0));
    for (std::uint64_t i = 0; i < 20; ++i) fixture.Send(i, "/read/1", "17");
    const std::size_t sent = fixture.dispatches.size();
    REQUIRE(fixture.router.WaitingCount() > 0);
    WHEN("it becomes cold") {
      fixture.MakeCold("reader", seconds(20));
      THEN("they are refused at once") {
        CHECK(fixture.router.WaitingCount() == 0);
        CHECK(fixture.dispatches.size() <= sent + 1);
      }
    }
  }
  GIVEN("a warm upstream that can take the keys") {
    fixture.upstreams[0].cold_until = fixture.now + seconds(20);
    fixture.Publish();
    for (std::uint64_t i = 0; i < 2; ++i) fixture.Send(i, "/read/1", "17");
    THEN("callers return when the keys have moved, not when it is warm") {
      REQUIRE_FALSE(fixture.answers.empty());
      CHECK(*fixture.LastRefusal().retry_after < seconds(2));
    }
  }
}

SCENARIO("requests without a key are sent to cold upstreams as a burst") {
  Fixture fixture;

  GIVEN("only cold upstreams") {
    fixture.MakeCold("desk", seconds(20));
    for (std::uint64_t i = 0; i < 30; ++i) fixture.Send(i, "/pay/1");
    THEN("what cannot be served in a turn is refused at once") {
      CHECK(fixture.dispatches.size() <= 2);
      CHECK(fixture.answers.size() >= 26);
    }
  }
  GIVEN("an unknown directory") {
    fixture.tables.daemons.reset();
    fixture.MakeCold("desk", seconds(5));
    for (std::uint64_t i = 0; i < 500; ++i) {
      fixture.Send(i, "/pay/1");
      fixture.AdvanceTime(milliseconds(9));
    }
    THEN("nothing is sent") { CHECK(fixture.dispatches.empty()); }
  }
}

SCENARIO("a retry goes to a cold upstream without a turn") {
  Fixture fixture;
  fixture.Publish();
  fixture.Send(1, "/read/1", "17", milliseconds(700));
  REQUIRE(fixture.dispatches.size() == 1);
  fixture.MakeCold("reader", seconds(20));
  fixture.CompleteDispatch(
      fixture.dispatches[0],
      tl::make_unexpected(Refusal{Ending::kNotRun, Reason::kUpstreamLost, ""}));
  fixture.AdvanceTime(milliseconds(100));
  CHECK(fixture.dispatches.size() == 1);
  CHECK(fixture.answers.size() == 1);
}

}  // namespace
}  // namespace bamboorack::daemon
