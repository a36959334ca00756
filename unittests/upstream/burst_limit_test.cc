#include "bamboorack/upstream/burst_limit.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bamboorack/upstream/load_balancer.h"
#include "catch2/catch.hpp"

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

const UpstreamId kOwner("owner");
constexpr std::uint32_t kSlots = 4;
constexpr milliseconds kReportInterval{200};

DaemonId DaemonOf(std::size_t index) {
  return DaemonId("daemon-" + std::to_string(index));
}

/// Daemons that share one upstream and hear each other's load reports.
class Daemons {
 public:
  explicit Daemons(std::size_t count) {
    RegisteredUpstream entry;
    entry.run = {kOwner, UpstreamLife(1)};
    entry.service = ServiceName("reader");
    entry.slots = kSlots;
    for (std::size_t i = 0; i < count; ++i) {
      this->balancers.push_back(
          std::make_unique<LoadBalancer>(FailureDomain("east"), i + 1));
      this->balancers.back()->SetUpstreams({entry}, this->now);
      this->balancers.back()->SetReportInterval(kReportInterval);
    }
    this->ExchangeReports();
  }

  void ExchangeReports() {
    for (std::size_t from = 0; from < this->balancers.size(); ++from) {
      const std::map<UpstreamId, std::uint32_t> load = {
          {kOwner, this->balancers[from]->OwnInFlight(kOwner)}};
      for (std::size_t to = 0; to < this->balancers.size(); ++to) {
        if (to == from) continue;
        this->balancers[to]->SetPeerLoad(DaemonOf(from), load, this->now);
      }
    }
  }

  /// Every daemon sends as many of `waiting` requests as it may. Returns how
  /// many were sent in all.
  std::size_t SendAll(std::size_t waiting) {
    std::size_t sent = 0;
    for (const auto& balancer : this->balancers) {
      for (std::size_t i = 0; i < waiting; ++i) {
        if (!balancer->HasCapacity(kOwner, this->now)) break;
        balancer->OnSent(kOwner, this->now);
        ++sent;
      }
    }
    return sent;
  }

  void Advance(milliseconds span) { this->now += span; }

 private:
  MonotonicTime now{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<LoadBalancer>> balancers;
};

SCENARIO("all daemons together flood the new owner of a hot key") {
  GIVEN("33 daemons with ten requests each for a key that gets an owner") {
    Daemons daemons(33);
    const std::size_t sent = daemons.SendAll(10);
    THEN("each sends one before it hears of the others") { CHECK(sent == 33); }
    THEN("after the reports none sends more, since the upstream is full") {
      daemons.Advance(kReportInterval);
      daemons.ExchangeReports();
      CHECK(daemons.SendAll(10) == 0);
    }
  }
  GIVEN("two daemons") {
    Daemons daemons(2);
    THEN("each may use all places that it sees free") {
      CHECK(daemons.SendAll(100) == 16);
    }
  }
  GIVEN("a daemon that is alone") {
    Daemons daemons(1);
    THEN("only the upstream's limit holds it back") {
      CHECK(daemons.SendAll(100) == 8);
    }
  }
}

SCENARIO("a limit on bursts holds back ordinary traffic") {
  GIVEN("an upstream with free places that 33 daemons share") {
    BurstLimit limit;
    MonotonicTime now{std::chrono::seconds(100)};
    THEN("a daemon may always send one request in each interval") {
      for (std::uint32_t i = 0; i < 5; ++i) {
        CHECK(limit.Allows(8, i, 33, now));
        limit.OnSent(now, now + kReportInterval);
        CHECK_FALSE(limit.Allows(7, i + 1, 33, now));
        now += kReportInterval;
      }
    }
    THEN("it may send the next one as soon as the last one has ended") {
      for (int i = 0; i < 50; ++i) {
        CHECK(limit.Allows(8, 0, 33, now));
        limit.OnSent(now, now + kReportInterval);
        CHECK_FALSE(limit.Allows(7, 1, 33, now));
        now += milliseconds(1);
      }
    }
    THEN("with many free places it may send its part of them at once") {
      std::uint32_t sent = 0;
      while (limit.Allows(100 - sent, sent, 33, now)) {
        limit.OnSent(now, now + kReportInterval);
        ++sent;
      }
      CHECK(sent == 7);
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
