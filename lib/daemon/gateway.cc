#include "bamboorack/daemon/gateway.h"

#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <utility>

#include "bamboorack/caller/caller_thread.h"
#include "bamboorack/core/memory_budget.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/daemon/gateway_rings.h"
#include "bamboorack/daemon/gateway_router_thread.h"
#include "bamboorack/daemon/ownership_controller.h"
#include "bamboorack/daemon/ownership_thread.h"
#include "bamboorack/log_service/store_call_thread.h"
#include "bamboorack/log_service/topic_follower_thread.h"
#include "bamboorack/operator/readiness_server.h"
#include "bamboorack/peer/gossip_thread.h"
#include "bamboorack/upstream/upstream_thread.h"

namespace bamboorack::daemon {
namespace {

using log_service::Topic;
using std::chrono::milliseconds;

// A change of the desired state ends the long poll at once. The timeout bounds
// how long a dead connection hides a change: together with one more read it
// must stay below the 2 s within which a change has to be in force.
constexpr milliseconds kDesiredStatePollTimeout{1'500};
// Each upstream writes about once a second, so a long poll would return at
// once. A leaving upstream must get no work 2 s after it announced that; the
// interval leaves time to move its keys.
constexpr milliseconds kUpstreamsPollInterval{600};
// Upstreams close idle connections after 10 s by default.
constexpr milliseconds kUpstreamIdleTimeout{5'000};
// Far above the round-trip time between two failure domains, and far below the
// timeouts of callers.
constexpr milliseconds kConnectTimeout{200};

// A leader sends owners and relays to all daemons and renews all leases. On a
// slower link these wait behind the answers to callers, upstreams then seem
// unreachable, and their keys are moved without need.
constexpr std::uint32_t kMinLeaderLinkMbps = 50;

milliseconds ClaimDelay(const operators::GatewaySettings& settings) {
  const bool is_slow =
      settings.link_mbps != 0 && settings.link_mbps < kMinLeaderLinkMbps;
  return is_slow ? upstream::RangeLeadership::kSlowLinkClaimDelay
                 : milliseconds(0);
}

std::string GenerateInstance() {
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

caller::CallerThreadSettings MakeCallerSettings(
    const operators::GatewaySettings& settings, const GatewayAdapter& adapter,
    const std::shared_ptr<MemoryBudget>& memory) {
  caller::CallerThreadSettings caller_settings;
  caller_settings.listen = settings.caller_endpoint;
  caller_settings.max_connections = settings.caller_connections;
  caller_settings.protocol = adapter.callers;
  caller_settings.memory = memory;
  return caller_settings;
}

upstream::UpstreamThreadSettings MakeUpstreamSettings(
    const operators::GatewaySettings& settings, const GatewayAdapter& adapter,
    const std::shared_ptr<MemoryBudget>& memory) {
  upstream::UpstreamThreadSettings upstream_settings;
  upstream_settings.connections_per_upstream =
      settings.connections_per_upstream;
  upstream_settings.idle_timeout = kUpstreamIdleTimeout;
  upstream_settings.connect_timeout = kConnectTimeout;
  upstream_settings.protocol = adapter.upstreams;
  upstream_settings.memory = memory;
  return upstream_settings;
}

upstream::RangeLeases MakeRangeLeases(
    const operators::GatewaySettings& settings) {
  upstream::RangeLeases leases;
  leases.longest = settings.longest_lease;
  leases.ordinary = std::min(leases.ordinary, leases.longest);
  return leases;
}

}  // namespace

class Gateway::Threads {
 public:
  Threads(const operators::GatewaySettings& gateway_settings,
          const GatewayAdapter& gateway_adapter, EventLog& event_log)
      : settings(gateway_settings),
        adapter(gateway_adapter),
        log(event_log),
        instance(GenerateInstance()),
        controller({settings.daemon_id, instance, settings.gossip_endpoint,
                    ClaimDelay(settings), settings.evacuation_time,
                    settings.placement},
                   MakeRangeLeases(settings), adapter.documents, metrics,
                   std::chrono::steady_clock::now()),
        ownership(controller, rings, log, metrics),
        routing({settings.daemon_id, settings.failure_domain,
                 settings.placement, settings.tell_stated_loads},
                rings, log, metrics),
        memory(MakeMemoryBudget(settings.memory_mb, metrics)),
        callers(MakeCallerSettings(settings, adapter, memory),
                rings.caller_to_routing, rings.routing_to_caller, metrics),
        upstreams(MakeUpstreamSettings(settings, adapter, memory),
                  rings.to_upstream, rings.upstream_to_routing,
                  rings.upstream_to_control, metrics),
        gossip({settings.daemon_id, instance, settings.gossip_endpoint},
               rings.to_gossip, rings.gossip_to_routing,
               rings.gossip_to_control, metrics),
        store_calls(adapter.make_log(), rings.store_calls, rings.store_results,
                    metrics),
        desired_state({Topic::kDesiredState, kDesiredStatePollTimeout, {}},
                      adapter.make_log(), rings.desired_state_relays,
                      rings.topics, metrics),
        upstream_registry({Topic::kUpstreams, {}, kUpstreamsPollInterval},
                          adapter.make_log(), rings.upstream_relays,
                          rings.topics, metrics) {}

  tl::expected<void, std::string> Start() {
    if (auto started = this->callers.Start(); !started) return started;
    if (auto started = this->gossip.Start(); !started) return started;
    auto server = operators::ReadinessServer::Start(
        this->settings.readiness_endpoint, this->adapter.ready_path,
        [this] { return this->IsReady(); }, this->metrics);
    if (!server) return tl::make_unexpected(server.error());
    this->readiness = std::move(*server);
    if (auto started = this->upstreams.Start(); !started) return started;
    this->routing.Start();
    this->ownership.Start();
    this->store_calls.Start();
    this->desired_state.Start();
    this->upstream_registry.Start();
    return {};
  }

  bool IsReady() const {
    return !this->is_draining && this->ownership.IsReady();
  }

  void BeginDrain() {
    this->is_draining = true;
    this->callers.BeginDrain();
    this->ownership.BeginStop();
  }

  void BeginStop() {
    this->routing.BeginStop();
    this->callers.BeginStop();
  }

  bool IsDrained() const {
    return this->ownership.IsHandedOver() && this->routing.IsIdle();
  }

  void Stop(MonotonicTime deadline) {
    this->callers.Stop(deadline);
    // Each thread may be in a connection attempt, which cannot be interrupted.
    // Stopping them one after the other could take longer than the time until
    // the process is killed.
    this->store_calls.RequestStop();
    this->desired_state.RequestStop();
    this->upstream_registry.RequestStop();
    this->ownership.Stop();
    this->upstreams.Stop(std::chrono::steady_clock::now());
    this->routing.Stop();
    this->desired_state.Stop();
    this->upstream_registry.Stop();
    this->store_calls.Stop();
    this->gossip.Stop();
    if (this->readiness != nullptr) this->readiness->Stop();
  }

 private:
  operators::GatewaySettings settings;
  GatewayAdapter adapter;
  EventLog& log;
  DaemonInstance instance;
  Metrics metrics;
  GatewayRings rings;
  OwnershipController controller;
  OwnershipThread ownership;
  GatewayRouterThread routing;
  std::shared_ptr<MemoryBudget> memory;
  caller::CallerThread callers;
  upstream::UpstreamThread upstreams;
  peer::GossipThread gossip;
  log_service::StoreCallThread store_calls;
  log_service::TopicFollowerThread desired_state;
  log_service::TopicFollowerThread upstream_registry;
  std::unique_ptr<operators::ReadinessServer> readiness;
  std::atomic<bool> is_draining{false};
};

Gateway::Gateway(const operators::GatewaySettings& settings,
                 const GatewayAdapter& adapter, EventLog& event_log)
    : threads(std::make_unique<Threads>(settings, adapter, event_log)) {}

Gateway::~Gateway() { this->threads->Stop(MonotonicTime()); }

tl::expected<void, std::string> Gateway::Start() {
  return this->threads->Start();
}

void Gateway::BeginDrain() { this->threads->BeginDrain(); }

void Gateway::BeginStop() { this->threads->BeginStop(); }

bool Gateway::IsDrained() const { return this->threads->IsDrained(); }

void Gateway::Stop(MonotonicTime deadline) { this->threads->Stop(deadline); }

}  // namespace bamboorack::daemon
