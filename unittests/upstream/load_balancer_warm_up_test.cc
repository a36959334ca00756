#include <chrono>
#include <string>
#include <vector>

#include "bamboorack/upstream/load_balancer.h"
#include "catch2/catch.hpp"

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("desk");

RegisteredUpstream Entry(const std::string& id, MonotonicTime cold_until) {
  RegisteredUpstream entry;
  entry.run = {UpstreamId(id), UpstreamLife(1)};
  entry.service = kService;
  entry.slots = 4;
  entry.cold_until = cold_until;
  return entry;
}

TEST_CASE("an idle cold upstream draws the requests of a daemon") {
  const UpstreamId cold("cold");
  MonotonicTime now{seconds(100)};
  const MonotonicTime cold_until = now + seconds(20);
  LoadBalancer balancer(FailureDomain("east"), 7);
  DesiredState state;
  state.services = {{kService, 100, false, 3.9}};
  std::vector<DaemonId> daemons;
  for (int i = 10; i < 43; ++i) daemons.emplace_back("d" + std::to_string(i));
  const auto use_rate = [&] {
    balancer.SetWarmUpSchedule(WarmUpSchedule(state, daemons, DaemonId("d20")));
  };
  use_rate();
  balancer.SetUpstreams(
      {Entry("cold", cold_until), Entry("warm", MonotonicTime{})}, now);
  const auto count_sent = [&] {
    int sent = 0;
    while (const auto id = balancer.Choose(kService, {}, now)) {
      balancer.OnSent(*id, now);
      if (*id == cold) ++sent;
    }
    return sent;
  };

  SECTION("out of its turn it gets none, even if the others are full") {
    now = balancer.NextStart(cold, 0, now) - milliseconds(1);
    CHECK_FALSE(balancer.HasCapacity(cold, now));
    CHECK_FALSE(balancer.TryProbe(cold, now));
    CHECK(count_sent() == 0);
    SECTION("and its turn is when a request may start if all are cold") {
      balancer.SetUpstreams({Entry("cold", cold_until)}, now);
      REQUIRE(balancer.NextServiceStart(kService, 0, now));
      CHECK(*balancer.NextServiceStart(kService, 0, now) ==
            now + milliseconds(1));
      CHECK(*balancer.NextServiceStart(kService, 500, now) == cold_until);
    }
  }
  SECTION("in its turn it gets one") {
    now = balancer.NextStart(cold, 0, now);
    CHECK(balancer.HasCapacity(cold, now));
    CHECK(count_sent() == 1);
    CHECK_FALSE(balancer.HasCapacity(cold, now + milliseconds(1)));
  }
  SECTION("without a rate it is like the others") {
    state.services[0].warm_up_request_rate.reset();
    use_rate();
    CHECK(count_sent() > 4);
    CHECK_FALSE(balancer.NextServiceStart(kService, 0, now));
  }
  SECTION("a new run has its own turns") {
    now = balancer.NextStart(cold, 0, now);
    balancer.OnSent(cold, now);
    RegisteredUpstream next = Entry("cold", now);
    next.run.life = UpstreamLife(2);
    balancer.SetUpstreams({next, Entry("warm", MonotonicTime{})}, now);
    CHECK(balancer.HasCapacity(cold, now));
  }
}

}  // namespace
}  // namespace bamboorack::upstream
