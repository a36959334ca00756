#include "bamboorack/upstream/request_placement.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kDesk("desk");
const RouteName kRead("read");
constexpr StatedLoad kIdle{0, 0, 2, 1};
constexpr StatedLoad kSlowed{0, 0, 2, 3};

struct Fixture {
  explicit Fixture(PlacementMode mode = PlacementMode::kAutomatic,
                   int upstreams = 5)
      : placement(mode, balancer) {
    for (int i = 0; i < upstreams; ++i) {
      RegisteredUpstream entry;
      entry.run = {IdOf(i), UpstreamLife(1)};
      entry.service = kDesk;
      entry.failure_domain = FailureDomain("east");
      entry.slots = 2;
      this->entries.push_back(entry);
    }
    this->balancer.SetUpstreams(this->entries, this->now);
  }

  static UpstreamId IdOf(int index) {
    return UpstreamId("u" + std::to_string(index));
  }

  DispatchId Start(const UpstreamId& id) {
    const DispatchId dispatch(++this->last_dispatch);
    const bool is_contended = this->balancer.IsContended(id, this->now);
    this->balancer.OnSent(id, this->now);
    this->placement.OnSent(id, dispatch, kDesk, kRead, is_contended, this->now);
    return dispatch;
  }

  void End(const UpstreamId& id, DispatchId dispatch,
           const std::optional<StatedLoad>& load = {}) {
    this->placement.OnEnded(id, dispatch, kDesk, true, load, this->now);
    this->balancer.OnEnded(id, UpstreamOutcome::kNeutral, {}, {}, this->now);
  }

  /// Runs one request at an upstream, which states `load` at its end.
  void Run(const UpstreamId& id, milliseconds latency,
           const std::optional<StatedLoad>& load = {}) {
    const DispatchId dispatch = this->Start(id);
    this->now += latency;
    this->End(id, dispatch, load);
  }

  /// Teaches that requests take 100 ms everywhere.
  void RunEverywhere(const std::optional<StatedLoad>& load, int times = 10) {
    for (int i = 0; i < times; ++i) {
      for (const RegisteredUpstream& entry : this->entries) {
        this->Run(entry.run.id, milliseconds(100), load);
      }
    }
  }

  /// Chooses upstreams for requests that all start now.
  std::map<UpstreamId, int> ChooseMany(int count) {
    std::map<UpstreamId, int> chosen;
    for (int i = 0; i < count; ++i) {
      const auto id = this->placement.Choose(kDesk, kRead, {}, this->now);
      if (!id) break;
      this->Start(*id);
      ++chosen[*id];
    }
    return chosen;
  }

  MonotonicTime now{seconds(100)};
  std::vector<RegisteredUpstream> entries;
  LoadBalancer balancer{FailureDomain("east"), 7};
  RequestPlacement placement;
  std::uint64_t last_dispatch = 0;
};

SCENARIO("a request waits at a busy upstream while another would end it") {
  GIVEN("one of five hosts that is slowed by other programs") {
    Fixture fixture;
    fixture.RunEverywhere(kIdle);
    const UpstreamId slowed = Fixture::IdOf(2);
    fixture.Run(slowed, milliseconds(300), kSlowed);
    THEN("it gets no request while the others have a free slot") {
      const auto chosen = fixture.ChooseMany(8);
      CHECK(chosen.find(slowed) == chosen.end());
    }
    THEN("it gets its share again when the statement is old") {
      fixture.now += seconds(2);
      CHECK(fixture.ChooseMany(10)[slowed] == 2);
    }
    THEN("it gets its share again when it says that it is as usual") {
      fixture.Run(slowed, milliseconds(100), kIdle);
      CHECK(fixture.ChooseMany(10)[slowed] == 2);
    }
  }
  GIVEN("an upstream where the requests of others wait") {
    Fixture fixture;
    fixture.RunEverywhere(kIdle);
    const UpstreamId busy = Fixture::IdOf(1);
    fixture.Run(busy, milliseconds(100), StatedLoad{2, 6, 2, 1});
    THEN("it gets none until they may have ended") {
      CHECK(fixture.ChooseMany(8)[busy] == 0);
    }
  }
  GIVEN("upstreams of uneven speed") {
    Fixture fixture(PlacementMode::kExpectedWork);
    for (int i = 0; i < 30; ++i) {
      for (int upstream = 0; upstream < 5; ++upstream) {
        const int latency = upstream == 0 ? 200 : 100;
        fixture.Run(Fixture::IdOf(upstream), milliseconds(latency));
      }
    }
    THEN("the slow one gets requests last") {
      CHECK(fixture.ChooseMany(6)[Fixture::IdOf(0)] == 0);
    }
  }
  GIVEN("a request that holds a slot for many times the mean") {
    Fixture fixture(PlacementMode::kExpectedWork, 2);
    fixture.RunEverywhere({}, 100);
    // One in fifty costs twenty times as much.
    fixture.Run(Fixture::IdOf(0), milliseconds(2'000));
    fixture.Run(Fixture::IdOf(1), milliseconds(2'000));
    const UpstreamId held = Fixture::IdOf(0);
    fixture.Start(held);
    fixture.now += milliseconds(400);
    const UpstreamId other = Fixture::IdOf(1);
    fixture.Start(other);
    THEN("the next goes where the request is young") {
      CHECK(fixture.placement.Choose(kDesk, kRead, {}, fixture.now) == other);
    }
  }
}

SCENARIO("a service whose upstreams state nothing is served another way") {
  GIVEN("the automatic mode") {
    Fixture fixture;
    fixture.RunEverywhere({});
    THEN("the latency score chooses") {
      CHECK_FALSE(fixture.placement.UsesExpectedWork(kDesk, fixture.now));
      fixture.ChooseMany(4);
      const PlacementCounts counts = fixture.placement.TakeCounts();
      CHECK(counts.by_latency_score == 4);
      CHECK(counts.by_expected_work == 0);
    }
    WHEN("an upstream states its load") {
      fixture.Run(Fixture::IdOf(0), milliseconds(100), kIdle);
      THEN("expected work chooses, until no more is heard") {
        CHECK(fixture.placement.UsesExpectedWork(kDesk, fixture.now));
        CHECK_FALSE(fixture.placement.UsesExpectedWork(
            kDesk, fixture.now + seconds(11)));
        CHECK_FALSE(fixture.placement.UsesExpectedWork(ServiceName("yard"),
                                                       fixture.now));
      }
    }
  }
  GIVEN("a mode that the operator chose") {
    Fixture forced(PlacementMode::kExpectedWork);
    CHECK(forced.placement.UsesExpectedWork(kDesk, forced.now));
    Fixture off(PlacementMode::kLatencyScore);
    off.RunEverywhere(kIdle);
    CHECK_FALSE(off.placement.UsesExpectedWork(kDesk, off.now));
  }
}

SCENARIO("old news of an upstream's load is taken for its load") {
  Fixture fixture;
  fixture.RunEverywhere(kIdle);
  const UpstreamId upstream = Fixture::IdOf(3);
  const auto is_avoided = [&] { return fixture.ChooseMany(8)[upstream] == 0; };

  SECTION("another daemon has just heard that its host is slowed") {
    fixture.placement.OnLoadTold(upstream, kSlowed, milliseconds(60),
                                 fixture.now);
    CHECK(is_avoided());
    // Each daemon hears of it from the first one.
    CHECK(fixture.placement.TakeLoadsToTell(fixture.now).empty());
  }
  SECTION("the news is too old") {
    fixture.placement.OnLoadTold(upstream, kSlowed, seconds(3), fixture.now);
    CHECK_FALSE(is_avoided());
    CHECK(fixture.placement.TakeCounts().loads_too_old == 1);
  }
  SECTION("this daemon has heard the opposite since") {
    fixture.Run(upstream, milliseconds(50), kIdle);
    fixture.placement.OnLoadTold(upstream, kSlowed, milliseconds(200),
                                 fixture.now);
    CHECK_FALSE(is_avoided());
  }
  SECTION("a new run has its address") {
    fixture.placement.OnLoadTold(upstream, kSlowed, milliseconds(10),
                                 fixture.now);
    fixture.entries[3].run.life = UpstreamLife(2);
    fixture.balancer.SetUpstreams(fixture.entries, fixture.now);
    CHECK_FALSE(is_avoided());
  }
  SECTION("the weight of a statement falls smoothly with its age") {
    CHECK(Freshness(milliseconds(0)) == 1);
    CHECK(Freshness(milliseconds(-5)) == 1);
    double last = 1;
    for (int age = 50; age < 1'500; age += 50) {
      const double weight = Freshness(milliseconds(age));
      CHECK(weight < last);
      CHECK(last - weight < 0.2);
      last = weight;
    }
    CHECK(last < 0.01);
    CHECK(Freshness(milliseconds(1'500)) == 0);
  }
}

SCENARIO("daemons with the same news all choose the same upstream") {
  // Each of them hears the same of all upstreams, and none has sent anything.
  constexpr int kDaemons = 20;
  const Fixture shape(PlacementMode::kExpectedWork, 40);
  std::map<UpstreamId, int> chosen;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    LoadBalancer balancer(FailureDomain("east"),
                          1'000 + static_cast<std::uint64_t>(daemon));
    RequestPlacement placement(PlacementMode::kExpectedWork, balancer);
    balancer.SetUpstreams(shape.entries, shape.now);
    for (int other = 1; other < kDaemons; ++other) {
      balancer.SetPeerLoad(DaemonId(std::to_string(other)), {}, shape.now);
    }
    for (int i = 0; i < 40; ++i) {
      const bool is_slowed = i % 5 == 0;
      placement.OnLoadTold(Fixture::IdOf(i), is_slowed ? kSlowed : kIdle,
                           milliseconds(20), shape.now);
    }
    ++chosen[*placement.Choose(kDesk, kRead, {}, shape.now)];
  }
  THEN("no slowed one is chosen, and none by more than can run there") {
    for (const auto& [upstream, count] : chosen) {
      CAPTURE(upstream);
      CHECK(count <= 3);
      CHECK(std::stoi(upstream.value.substr(1)) % 5 != 0);
    }
  }
}

SCENARIO("daemons fill their links with what upstreams state") {
  Fixture fixture;
  const auto told = [&fixture] {
    return fixture.placement.TakeLoadsToTell(fixture.now);
  };
  const UpstreamId upstream = Fixture::IdOf(0);

  SECTION("the usual is not told") {
    fixture.RunEverywhere(kIdle);
    CHECK(told().empty());
  }
  SECTION("the unusual is told, then its end, then nothing") {
    fixture.Run(upstream, milliseconds(100), kSlowed);
    const auto loads = told();
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].upstream == upstream);
    CHECK(loads[0].load == kSlowed);
    fixture.Run(upstream, milliseconds(100), kIdle);
    CHECK(told().size() == 1);
    fixture.Run(upstream, milliseconds(100), kIdle);
    CHECK(told().empty());
  }
  SECTION("the same is told again only after a while") {
    fixture.Run(upstream, milliseconds(100), kSlowed);
    CHECK(told().size() == 1);
    fixture.Run(upstream, milliseconds(100), kSlowed);
    CHECK(told().empty());
    fixture.Run(upstream, milliseconds(100), kSlowed);
    CHECK(told().size() == 1);
  }
  SECTION("a report has a bounded number, the latest first") {
    Fixture large(PlacementMode::kAutomatic, 40);
    for (const RegisteredUpstream& entry : large.entries) {
      large.Run(entry.run.id, milliseconds(10), kSlowed);
    }
    const auto loads = large.placement.TakeLoadsToTell(large.now);
    REQUIRE(loads.size() == RequestPlacement::kMaxLoadsToTell);
    CHECK(loads.front().upstream == large.entries.back().run.id);
  }
}

}  // namespace
}  // namespace bamboorack::upstream
