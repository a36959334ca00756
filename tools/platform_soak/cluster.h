#ifndef BAMBOORACK_TOOLS_PLATFORM_SOAK_CLUSTER_H_
#define BAMBOORACK_TOOLS_PLATFORM_SOAK_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "platform_soak/checks.h"
#include "platform_soak/process.h"
#include "platform_soak/tcp_proxy.h"

namespace bamboorack::soak {

/// Every second upstream is there.
inline constexpr const char* kEvacuatedZone = "west";
/// From the acknowledgement of an order until no request may reach the zone.
inline constexpr std::chrono::milliseconds kEvacuationBound{5'000};

/// Where the programs are and how many run.
struct ClusterPlan {
  std::string binaries;
  std::string directory;
  std::size_t gateways = 3;
  /// Of each of the two services.
  std::size_t upstreams = 4;
};

/// The real programs as processes of this machine, with proxies between the
/// gateways and all that they call.
class Cluster {
 public:
  explicit Cluster(ClusterPlan cluster_plan);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Starts all processes and publishes the desired state.
  void Start();

  std::size_t GatewayCount() const { return this->gateways.size(); }
  std::uint16_t CallerPort(std::size_t gateway) const;
  bool IsReady(std::size_t gateway) const;
  void SignalGateway(std::size_t gateway, int signal);
  /// Starts a gateway again if it has ended.
  void ReviveGateway(std::size_t gateway);

  std::size_t UpstreamCount() const { return this->upstreams.size(); }
  /// Kills an upstream and starts another run under its id.
  void ReplaceUpstream(std::size_t upstream);
  TcpProxy& UpstreamLink(std::size_t upstream);
  /// The link of one gateway to the store.
  TcpProxy& StoreLink(std::size_t gateway);
  void SetStoreFault(const std::string& kind);
  void DropStoreHistory();
  /// Publishes the desired state under a new version.
  void PublishDesiredState();
  /// Orders the evacuation of `kEvacuatedZone`, or takes it back.
  void SetEvacuated(bool is_evacuated);

  /// Ends all processes and returns what the upstreams wrote.
  std::vector<UpstreamRecord> Finish();

 private:
  struct Gateway {
    Process process;
    std::unique_ptr<TcpProxy> store_link;
    std::uint16_t caller_port = 0;
    std::uint16_t ready_port = 0;
    std::string settings_path;
    std::string log_path;
  };

  struct Upstream {
    std::string id;
    std::string zone;
    bool is_sharded = false;
    Process process;
    std::unique_ptr<TcpProxy> link;
    std::size_t runs = 0;
    std::vector<std::pair<std::string, Time>> logs;
  };

  /// Returns a port that no other call has returned and no process uses.
  std::uint16_t TakePort();
  void StartStore();
  void StartUpstream(Upstream& upstream);
  void StartGateway(Gateway& gateway, std::size_t index);
  std::string CallStore(const std::string& method, const std::string& target,
                        const std::string& body) const;

  const ClusterPlan plan;
  Process store;
  std::uint16_t next_port = 0;
  std::uint16_t store_port = 0;
  std::uint64_t version = 0;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<Upstream>> upstreams;
};

}  // namespace bamboorack::soak

#endif  // BAMBOORACK_TOOLS_PLATFORM_SOAK_CLUSTER_H_
