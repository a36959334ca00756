#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "bamboorack/daemon/ownership_controller.h"
#include "catch2/catch.hpp"
#include "daemon/ownership_controller_fixture.h"

namespace bamboorack::daemon {
namespace {

using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("reader");

/// A leader with three upstreams, of which `slow` takes three times as long as
/// the others. Another daemon reports 90 requests a second, and that one
/// request is in flight at each upstream.
struct PlanningFixture : OwnershipControllerFixture {
  PlanningFixture() {
    this->Update(Topic::kDesiredState, {{"state", "3"}});
    this->Update(Topic::kUpstreams,
                 {{"a", "reader"}, {"b", "reader"}, {"slow", "reader"}});
    this->Run(seconds(2));
  }

  void Report(milliseconds span) {
    for (milliseconds done{0}; done < span; done += milliseconds(200)) {
      peer::LoadReport report;
      report.sender = DaemonId("d1");
      for (const std::string id : {"a", "b", "slow"}) {
        report.upstreams.push_back(
            {peer::HashOf(UpstreamId(id)), 1, id == "slow" ? 3.0 : 1.0});
      }
      peer::KeyDemand& demand = report.demands.emplace_back();
      demand.service = kService;
      demand.states_load = this->states_load;
      for (int i = 0; i < 18; ++i) {
        // A step without a common divisor visits all keys evenly.
        this->next_key += 24'111;
        demand.keys.emplace_back(this->next_key);
      }
      this->Collect(this->controller.OnGossip(report, this->now));
      this->Run(milliseconds(200));
    }
  }

  /// Returns the share of the keys that an upstream owns.
  double KeyShare(const std::string& id) const {
    double keys = 0;
    for (const OwnedRange& row : this->tables.owners->services.at(kService)) {
      const bool is_owner = row.owner && row.owner->id.value == id;
      if (is_owner) keys += row.range.Size();
    }
    return keys / 65'536;
  }

  std::uint16_t next_key = 0;
  bool states_load = false;
};

SCENARIO("the leader divides keys by what it saw long ago, or cannot see") {
  PlanningFixture fixture;
  CHECK(fixture.KeyShare("slow") == Approx(1 / 3.0).epsilon(0.1));
  const bool states_load = GENERATE(false, true);
  INFO(states_load);
  fixture.states_load = states_load;
  fixture.Report(seconds(6));

  THEN("the slow upstream has the keys that it can serve, or hardly any") {
    // In proportion it would get 1/7; up to 1.3 times that is no overload. The
    // other rule leaves it a fifth of its part.
    const double highest = states_load ? 0.08 : 0.21;
    CHECK(fixture.KeyShare("slow") < highest);
    CHECK(fixture.KeyShare("slow") > 0.01);
  }
  THEN("the log says what the moves were planned by") {
    std::map<std::string, std::string> line;
    for (const ControlEvent& event : fixture.events) {
      if (event.name != "moves_planned") continue;
      line = {event.fields.begin(), event.fields.end()};
    }
    CHECK(line["shares_by"] == (states_load ? "latency" : "capacity"));
    CHECK(std::stoi(line["slowest_percent"]) < 75);
    CHECK(std::stoi(line["fastest_percent"]) > 110);
    CHECK(std::stoi(line["utilization_percent"]) == Approx(25).margin(5));
  }
  THEN("the metrics have the work and the capacity until reports stop") {
    const auto has_line = [&fixture](const std::string& text) {
      return fixture.metrics.ToPrometheusText().find(text) != std::string::npos;
    };
    const std::string capacity = "range_capacity_slots{service=\"reader\"} ";
    const std::string offered = "range_offered_slots{service=\"reader\"} ";
    CHECK(has_line("# TYPE bamboorack_range_capacity_slots gauge\n"));
    CHECK(has_line(capacity + "12\n"));
    CHECK_FALSE(has_line(offered + "0\n"));
    fixture.Run(seconds(4));
    CHECK(has_line(offered + "0\n"));
  }
}

}  // namespace
}  // namespace bamboorack::daemon
