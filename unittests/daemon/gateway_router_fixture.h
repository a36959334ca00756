#ifndef BAMBOORACK_UNITTESTS_DAEMON_GATEWAY_ROUTER_FIXTURE_H_
#define BAMBOORACK_UNITTESTS_DAEMON_GATEWAY_ROUTER_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/core/metrics.h"
#include "bamboorack/daemon/gateway_router.h"

namespace bamboorack::daemon {

inline RegisteredUpstream MakeEntry(const std::string& id,
                                    const std::string& service) {
  RegisteredUpstream entry;
  entry.run = {UpstreamId(id), UpstreamLife(1)};
  entry.service = ServiceName(service);
  entry.endpoint = {"10.0.0.1", 80};
  entry.failure_domain = FailureDomain("east");
  entry.slots = 2;
  return entry;
}

inline Route MakeRoute(const std::string& name, Repeatability repeatability,
                       std::vector<TrafficShare> shares) {
  Route route;
  route.name = RouteName(name);
  route.host = "site.example";
  route.path_prefix = "/" + name + "/";
  route.repeatability = repeatability;
  route.timeout = std::chrono::milliseconds(800);
  route.latency_target = std::chrono::milliseconds(300);
  route.priority = 1;
  route.max_attempts = 2;
  route.shares = std::move(shares);
  return route;
}

/// A router; the test plays the callers, the upstreams and the control thread.
struct GatewayRouterFixture {
  explicit GatewayRouterFixture(const GatewayRouter::Identity& identity =
                                    {DaemonId("d0"), FailureDomain("east")})
      : router(identity, metrics) {
    auto state = std::make_shared<DesiredState>();
    state->version = ConfigVersion(1);
    state->routes = {
        MakeRoute("read", Repeatability::kIdempotent,
                  {{ServiceName("reader"), 1}}),
        MakeRoute("pay", Repeatability::kOnce, {{ServiceName("desk"), 1}}),
        MakeRoute("split", Repeatability::kIdempotent,
                  {{ServiceName("desk"), 9}, {ServiceName("yard"), 1}})};
    state->services = {{ServiceName("reader"), 100, true},
                       {ServiceName("desk"), 100, false},
                       {ServiceName("yard"), 100, false}};
    this->tables.desired = state;
    this->upstreams = {MakeEntry("r0", "reader"), MakeEntry("r1", "reader"),
                       MakeEntry("d0", "desk"), MakeEntry("d1", "desk"),
                       MakeEntry("y0", "yard")};
    this->owners.version = {Term(1), 1};
    this->owners.services[ServiceName("reader")] = {
        {{ShardKey(0), ShardKey(9'999)},
         UpstreamRun{UpstreamId("r0"), UpstreamLife(1)}},
        {{ShardKey(10'000), kLastKey}, std::nullopt}};
  }

  void Publish() {
    this->tables.upstreams =
        std::make_shared<const std::vector<RegisteredUpstream>>(
            this->upstreams);
    this->tables.owners = std::make_shared<const OwnerMap>(this->owners);
    this->tables.upstreams_read_at = this->now;
    this->Collect(this->router.OnTables(this->tables, this->now));
  }

  void Send(std::uint64_t slot, const std::string& target,
            const std::string& key = "",
            std::chrono::milliseconds left = std::chrono::milliseconds(1'200)) {
    Request request;
    request.id = RequestId("q" + std::to_string(slot));
    request.host = "site.example";
    request.target = target;
    request.key = key;
    request.method = "GET";
    request.deadline = this->now + left;
    request.body = std::make_shared<const std::string>();
    this->Collect(this->router.OnCallerMessage(
        caller::RequestArrived{caller::CallerSlot{slot}, std::move(request)},
        this->now));
  }

  void CompleteDispatch(const upstream::Dispatch& dispatch, Result result,
                        const upstream::UpstreamNotice& notice = {}) {
    this->Collect(this->router.OnUpstreamMessage(
        upstream::DispatchResult{dispatch.id, std::move(result), notice},
        this->now));
  }

  void AdvanceTime(std::chrono::milliseconds span) {
    const MonotonicTime end = this->now + span;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(10);
      this->Collect(this->router.Tick(this->now));
    }
  }

  void Collect(GatewayActions actions) {
    for (GatewayAction& action : actions) {
      if (auto* answer = std::get_if<caller::ToCaller>(&action)) {
        this->answers.push_back(std::move(*answer));
      }
      if (auto* dispatch = std::get_if<upstream::Dispatch>(&action)) {
        this->dispatches.push_back(std::move(*dispatch));
      }
      if (auto* cancel = std::get_if<upstream::CancelDispatch>(&action)) {
        this->cancels.push_back(*cancel);
      }
      if (auto* report = std::get_if<peer::LoadReport>(&action)) {
        this->reports.push_back(std::move(*report));
      }
      if (auto* event = std::get_if<RequestEvent>(&action)) {
        this->events.push_back(std::move(*event));
      }
    }
  }

  static Result Ok() {
    return Answer{200, {}, std::make_shared<const std::string>("x")};
  }

  MonotonicTime now{std::chrono::seconds(100)};
  Metrics metrics;
  GatewayRouter router;
  GatewayTables tables;
  std::vector<RegisteredUpstream> upstreams;
  OwnerMap owners;
  std::vector<caller::ToCaller> answers;
  std::vector<upstream::Dispatch> dispatches;
  std::vector<upstream::CancelDispatch> cancels;
  std::vector<peer::LoadReport> reports;
  std::vector<RequestEvent> events;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_UNITTESTS_DAEMON_GATEWAY_ROUTER_FIXTURE_H_
