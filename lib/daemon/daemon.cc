#include "bamboorack/daemon/daemon.h"

#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <atomic>
#include <utility>

#include "bamboorack/caller/caller_thread.h"
#include "bamboorack/core/memory_budget.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/daemon/cluster_controller.h"
#include "bamboorack/daemon/control_thread.h"
#include "bamboorack/daemon/rings.h"
#include "bamboorack/daemon/routing_thread.h"
#include "bamboorack/log_service/log_appender_thread.h"
#include "bamboorack/log_service/log_reader_thread.h"
#include "bamboorack/operator/operator_server.h"
#include "bamboorack/peer/peer_thread.h"
#include "bamboorack/upstream/upstream_thread.h"
#include "bamboorack/vm_list/vm_list_thread.h"

namespace bamboorack::daemon {
namespace {

/// Returns a random 128-bit id in hexadecimal.
std::string MakeRandomId() {
  std::string id =
      Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  std::erase(id, '-');
  return id;
}

caller::CallerThreadSettings CallerSettings(
    const operators::Settings& settings,
    const std::shared_ptr<MemoryBudget>& memory) {
  caller::CallerThreadSettings caller_settings;
  caller_settings.listen = settings.caller_endpoint;
  caller_settings.max_connections = settings.limits.caller_connections;
  caller_settings.memory = memory;
  return caller_settings;
}

upstream::UpstreamThreadSettings UpstreamSettings(
    const operators::Settings& settings,
    const std::shared_ptr<MemoryBudget>& memory) {
  upstream::UpstreamThreadSettings upstream_settings;
  upstream_settings.connections_per_upstream =
      settings.limits.connections_per_upstream;
  upstream_settings.memory = memory;
  return upstream_settings;
}

}  // namespace

class Daemon::Threads {
 public:
  explicit Threads(const operators::Settings& daemon_settings)
      : settings(daemon_settings),
        identity{settings.daemon_id, DaemonInstance(MakeRandomId())},
        rings(settings.limits.ring_capacity),
        controller(identity, settings.retention, rings, status, metrics,
                   [] { return RecordId(MakeRandomId()); }),
        control(controller, rings),
        routing(settings.daemon_id, rings, metrics),
        memory(MakeMemoryBudget(settings.limits.memory_mb, metrics)),
        callers(CallerSettings(settings, memory), rings.caller_to_routing,
                rings.routing_to_caller, metrics),
        upstreams(UpstreamSettings(settings, memory), rings.to_upstream,
                  rings.upstream_to_routing, rings.upstream_to_control,
                  metrics),
        peers({settings.daemon_id, identity.instance, settings.peer_endpoint},
              rings.to_peer, rings.peer_to_routing, rings.peer_to_control,
              metrics),
        log_reader(settings.log_service_endpoint, LogOffset(1),
                   rings.log_to_control, metrics),
        log_appender(settings.log_service_endpoint, rings.appends, metrics),
        vm_list(settings.vm_list_endpoint, rings.vm_list_to_control, metrics) {}

  tl::expected<void, std::string> Start() {
    // Open all listeners before the control thread starts, so that a daemon
    // that cannot listen never takes authority over a group.
    if (auto started = this->callers.Start(); !started) return started;
    if (auto started = this->peers.Start(); !started) return started;
    auto server = operators::OperatorServer::Start(
        this->settings.operator_endpoint, this->metrics, this->status,
        this->rings.operator_to_control);
    if (!server) return tl::make_unexpected(server.error());
    this->operator_server = std::move(*server);
    if (auto started = this->upstreams.Start(); !started) return started;
    this->routing.Start();
    this->control.Start();
    this->log_reader.Start();
    this->log_appender.Start();
    this->vm_list.Start();
    return {};
  }

  void BeginStop() {
    this->control.BeginStop();
    this->callers.BeginStop();
  }

  bool IsStopped() const {
    return this->control.IsHandedOver() && this->routing.IsIdle();
  }

  bool IsStopRequested() const { return this->control.IsStopRequested(); }

  void Stop(MonotonicTime deadline) {
    this->callers.Stop(deadline);
    this->upstreams.Stop(deadline);
    this->control.Stop();
    this->routing.Stop();
    this->log_reader.Stop();
    this->log_appender.Stop();
    this->vm_list.Stop();
    this->peers.Stop();
    if (this->operator_server != nullptr) this->operator_server->Stop();
  }

 private:
  operators::Settings settings;
  DaemonIdentity identity;
  Metrics metrics;
  Rings rings;
  operators::StatusHolder status;
  ClusterController controller;
  ControlThread control;
  RoutingThread routing;
  std::shared_ptr<MemoryBudget> memory;
  caller::CallerThread callers;
  upstream::UpstreamThread upstreams;
  peer::PeerThread peers;
  log_service::LogReaderThread log_reader;
  log_service::LogAppenderThread log_appender;
  vm_list::VmListThread vm_list;
  std::unique_ptr<operators::OperatorServer> operator_server;
};

Daemon::Daemon(const operators::Settings& settings)
    : threads(std::make_unique<Threads>(settings)) {}

Daemon::~Daemon() { this->threads->Stop(MonotonicTime()); }

tl::expected<void, std::string> Daemon::Start() {
  return this->threads->Start();
}

void Daemon::BeginStop() { this->threads->BeginStop(); }

bool Daemon::IsStopped() const { return this->threads->IsStopped(); }

bool Daemon::IsStopRequested() const {
  return this->threads->IsStopRequested();
}

void Daemon::Stop(MonotonicTime deadline) { this->threads->Stop(deadline); }

}  // namespace bamboorack::daemon
