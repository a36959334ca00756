#include "bamboorack/upstream/load_balancer.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kServiceName("intake");

RegisteredUpstream Entry(const std::string& id, const std::string& domain,
                         std::uint64_t life = 1) {
  RegisteredUpstream entry;
  entry.run = {UpstreamId(id), UpstreamLife(life)};
  entry.service = kServiceName;
  entry.failure_domain = FailureDomain(domain);
  entry.slots = 4;
  return entry;
}

struct Fixture {
  Fixture() { this->balancer.SetUpstreams(this->entries, this->now); }

  void EndRequest(const std::string& id, UpstreamOutcome outcome,
                  milliseconds latency = milliseconds(100)) {
    this->balancer.OnEnded(UpstreamId(id), outcome, latency, milliseconds(100),
                           this->now);
  }

  /// Sends requests until all upstreams are at their limits. Returns the count.
  int FillUpstreams() {
    int sent = 0;
    while (const auto id = this->balancer.Choose(kServiceName, {}, this->now)) {
      this->balancer.OnSent(*id, this->now);
      ++sent;
    }
    return sent;
  }

  MonotonicTime now{seconds(10)};
  std::vector<RegisteredUpstream> entries{
      Entry("a", "east"), Entry("b", "west"), Entry("c", "east"),
      Entry("d", "west"), Entry("e", "west")};
  LoadBalancer balancer{FailureDomain("east"), 7};
};

TEST_CASE("several daemons overload the upstreams that they share") {
  Fixture fixture;

  SECTION("a single daemon fills all slots and a short queue") {
    const int sent = fixture.FillUpstreams();
    CHECK(sent >= 20);
    CHECK(sent <= 40);
  }

  SECTION(
      "the requests of another daemon are counted once, in any order of "
      "reports and registrations") {
    const UpstreamId a("a");
    for (int i = 0; i < 3; ++i) {
      fixture.balancer.SetPeerLoad(DaemonId("d1"),
                                   {{a, 3}, {UpstreamId("z"), 4}}, fixture.now);
      fixture.balancer.SetUpstreams(fixture.entries, fixture.now);
    }
    CHECK_FALSE(fixture.balancer.IsContended(a, fixture.now));
    fixture.balancer.SetPeerLoad(DaemonId("d2"), {{a, 1}}, fixture.now);
    CHECK(fixture.balancer.IsContended(a, fixture.now));
    fixture.balancer.SetPeerLoad(DaemonId("d1"), {}, fixture.now);
    CHECK_FALSE(fixture.balancer.IsContended(a, fixture.now));
    SECTION("also for an upstream that registers after the report") {
      const UpstreamId z("z");
      fixture.balancer.SetPeerLoad(DaemonId("d1"), {{z, 4}}, fixture.now);
      fixture.entries.push_back(Entry("z", "east"));
      fixture.balancer.SetUpstreams(fixture.entries, fixture.now);
      CHECK(fixture.balancer.IsContended(z, fixture.now));
      CHECK_FALSE(
          fixture.balancer.IsContended(z, fixture.now + milliseconds(1'300)));
    }
  }

  SECTION("requests of other daemons are counted") {
    fixture.balancer.OnSent(UpstreamId("a"), fixture.now);
    fixture.balancer.SetPeerLoad(DaemonId("d1"), {{UpstreamId("a"), 7}},
                                 fixture.now);
    CHECK_FALSE(fixture.balancer.HasCapacity(UpstreamId("a"), fixture.now));
    CHECK(fixture.balancer.HasCapacity(UpstreamId("b"), fixture.now));
    SECTION("until the report is too old") {
      CHECK(fixture.balancer.HasCapacity(UpstreamId("a"),
                                         fixture.now + seconds(2)));
    }
  }

  SECTION("at the limit dozens of daemons take turns") {
    for (int i = 0; i < 26; ++i) {
      fixture.balancer.SetPeerLoad(DaemonId("p" + std::to_string(i)),
                                   {{UpstreamId("a"), 1}}, fixture.now);
    }
    const UpstreamId a("a");
    fixture.balancer.OnSent(a, fixture.now);
    fixture.EndRequest("a", UpstreamOutcome::kAnswered);
    CHECK_FALSE(fixture.balancer.HasCapacity(a, fixture.now));
    // 27 daemons with requests of 100 ms and a limit of 8: one turn every
    // 337.5 ms.
    CHECK_FALSE(
        fixture.balancer.HasCapacity(a, fixture.now + milliseconds(330)));
    CHECK(fixture.balancer.HasCapacity(a, fixture.now + milliseconds(350)));
  }

  SECTION("the daemon's own failure domain is preferred") {
    const auto first = fixture.balancer.Choose(kServiceName, {}, fixture.now);
    CHECK((first == UpstreamId("a") || first == UpstreamId("c")));
  }

  SECTION(
      "a refusal while all slots are taken lowers the limit, which grows "
      "again") {
    for (int i = 0; i < 7; ++i) {
      fixture.balancer.OnSent(UpstreamId("a"), fixture.now);
    }
    CHECK(fixture.balancer.HasCapacity(UpstreamId("a"), fixture.now));
    fixture.EndRequest("a", UpstreamOutcome::kFull);
    CHECK_FALSE(fixture.balancer.HasCapacity(UpstreamId("a"), fixture.now));
    CHECK(fixture.balancer.HasCapacity(UpstreamId("a"),
                                       fixture.now + seconds(2)));
  }

  SECTION("a refusal while slots are free does not lower the limit") {
    for (int i = 0; i < 20; ++i) {
      fixture.balancer.OnSent(UpstreamId("a"), fixture.now);
      fixture.EndRequest("a", UpstreamOutcome::kFull);
    }
    fixture.balancer.OnSent(UpstreamId("a"), fixture.now);
    fixture.balancer.OnSent(UpstreamId("a"), fixture.now);
    CHECK(fixture.balancer.HasCapacity(UpstreamId("a"), fixture.now));
  }
}

TEST_CASE("an upstream that fails requests goes on getting them") {
  Fixture fixture;
  const UpstreamId a("a");

  SECTION("three lost requests in a row eject it for a while") {
    for (int i = 0; i < 3; ++i) {
      fixture.balancer.OnSent(a, fixture.now);
      fixture.EndRequest("a", UpstreamOutcome::kLost);
    }
    CHECK(fixture.balancer.IsEjected(a, fixture.now));
    CHECK_FALSE(fixture.balancer.IsEjected(a, fixture.now + seconds(1)));
    SECTION("an answered probe ends the ejection") {
      CHECK_FALSE(fixture.balancer.TryProbe(a, fixture.now));
      fixture.now += milliseconds(300);
      CHECK(fixture.balancer.TryProbe(a, fixture.now));
      CHECK_FALSE(fixture.balancer.TryProbe(a, fixture.now));
      fixture.EndRequest("a", UpstreamOutcome::kAnswered);
      CHECK_FALSE(fixture.balancer.IsEjected(a, fixture.now));
    }
  }

  SECTION("ejections do not leave a service without upstreams") {
    for (const std::string id : {"a", "b", "c", "d", "e"}) {
      for (int i = 0; i < 3; ++i) {
        fixture.balancer.OnSent(UpstreamId(id), fixture.now);
        fixture.EndRequest(id, UpstreamOutcome::kLost);
      }
    }
    CHECK(fixture.balancer.Choose(kServiceName, {}, fixture.now).has_value());
  }

  SECTION("one that fails half of its requests is not preferred") {
    for (int i = 0; i < 20; ++i) {
      fixture.balancer.OnSent(a, fixture.now);
      fixture.EndRequest("a", i % 2 == 0 ? UpstreamOutcome::kFailed
                                         : UpstreamOutcome::kAnswered);
    }
    CHECK(fixture.balancer.Choose(kServiceName, {}, fixture.now) ==
          UpstreamId("c"));
  }

  SECTION("one whose address belongs to another upstream is ejected") {
    fixture.EndRequest("a", UpstreamOutcome::kReplaced);
    CHECK(fixture.balancer.IsEjected(a, fixture.now + seconds(60)));
    CHECK_FALSE(fixture.balancer.TryProbe(a, fixture.now + seconds(60)));
    SECTION("until a new run is registered") {
      fixture.entries[0] = Entry("a", "east", 2);
      fixture.balancer.SetUpstreams(fixture.entries, fixture.now);
      CHECK_FALSE(fixture.balancer.IsEjected(a, fixture.now));
    }
  }

  SECTION("a slow one is not preferred") {
    for (int i = 0; i < 60; ++i) {
      fixture.balancer.OnSent(a, fixture.now);
      fixture.EndRequest("a", UpstreamOutcome::kAnswered, milliseconds(500));
    }
    CHECK(fixture.balancer.LatencyRatio(a) > 3);
    CHECK(fixture.balancer.Choose(kServiceName, {}, fixture.now) ==
          UpstreamId("c"));
  }
}

TEST_CASE("a draining upstream gets new requests") {
  Fixture fixture;
  const UpstreamId a("a");
  fixture.entries[0].is_draining = true;
  fixture.balancer.SetUpstreams(fixture.entries, fixture.now);
  CHECK_FALSE(fixture.balancer.Choose(kServiceName, {UpstreamId("c")},
                                      fixture.now) == a);
  SECTION("requests for keys that it holds are allowed for a short time") {
    CHECK(fixture.balancer.MayServeKeys(a, fixture.now + milliseconds(800)));
    CHECK_FALSE(
        fixture.balancer.MayServeKeys(a, fixture.now + milliseconds(950)));
  }
  SECTION("an upstream without an entry is treated as draining") {
    fixture.balancer.OnSent(UpstreamId("b"), fixture.now);
    fixture.entries.erase(fixture.entries.begin() + 1);
    fixture.balancer.SetUpstreams(fixture.entries, fixture.now);
    CHECK(fixture.balancer.OwnInFlight(UpstreamId("b")) == 1);
    CHECK_FALSE(fixture.balancer.MayServeKeys(UpstreamId("b"),
                                              fixture.now + seconds(1)));
  }
}

}  // namespace
}  // namespace bamboorack::upstream
