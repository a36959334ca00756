#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_WORLD_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "upstream/simulated_daemon.h"
#include "upstream/simulated_log.h"
#include "upstream/simulated_upstream.h"

namespace bamboorack::upstream {

/// What a simulation is made of.
struct WorldOptions {
  bool checks_tokens = true;
  OnLogLoss on_log_loss = OnLogLoss::kKeepServing;
  int daemons = 3;
  int upstreams = 3;
  std::uint32_t shards = 6;
  /// Draws delays and losses.
  std::uint64_t seed = 1;
  OwnershipRules rules = kOwnershipRules;
  UpstreamRules upstream_rules;
};

/// How messages travel.
struct Network {
  std::chrono::milliseconds max_delay{2};
  /// Percentages of messages.
  int loss = 0;
  int duplicates = 0;
};

/// Daemons, upstreams, the log and the VM list under one clock, with faults
/// under control of a test. After each event it checks that ownership is
/// exclusive.
class SimulatedWorld {
 public:
  explicit SimulatedWorld(const WorldOptions& options);

  /// Runs until `duration` from now, or until a violation is found.
  void Run(std::chrono::milliseconds duration);
  /// Runs until `condition`, for at most `limit`. Returns whether it came.
  bool RunUntil(const std::function<bool()>& condition,
                std::chrono::milliseconds limit);

  void PauseDaemon(int daemon);
  void ResumeDaemon(int daemon);
  void RestartDaemon(int daemon);
  /// Hands the authority over; the daemon does not ask for it again.
  void StopDaemon(int daemon);
  void FreezeUpstream(int upstream);
  void ThawUpstream(int upstream);
  /// The VM ends. The VM list shows it after the lag.
  void KillUpstream(int upstream);
  /// Another VM with a new upstream process takes the address.
  void ReplaceUpstream(int upstream);
  /// The process starts anew on the same VM.
  void RestartUpstream(int upstream);
  void SetDraining(int upstream, bool is_draining);
  void CutDaemonFromUpstream(int daemon, int upstream, bool is_cut);
  void CutDaemons(int first, int second, bool is_cut);
  void CutDaemonFromLog(int daemon, bool is_cut);
  /// Calls of `daemon` are encoded but stay in its send buffer.
  void HoldCalls(int daemon, bool is_held);
  void PublishDrain(int upstream, bool is_drained);
  void PublishWeight(int upstream, double weight);
  void PublishRules(const ServiceRules& service_rules);
  /// Gives key number `key` a shard of its own, or takes it back.
  void PublishHotKey(std::uint32_t key, bool is_hot);
  /// Adds an upstream in another failure domain, which nobody holds here.
  void PublishOtherDomain();
  void DeclareLost(const UpstreamRef& ref);
  /// Declares all instances lost that were killed or replaced.
  void DeclareGone();
  /// The list leaves out the VM of a live upstream, or shows it again.
  void HideFromVmList(int upstream, bool is_hidden);
  void StepWallClock(std::chrono::hours step) { this->log.wall_time += step; }
  void SetVmListLag(std::chrono::milliseconds lag) { this->list_lag = lag; }
  void SetNetwork(const Network& new_network) { this->network = new_network; }
  /// Ends all faults; instances that are gone are declared lost.
  void Heal();

  /// What went wrong first; empty if nothing did.
  const std::string& Violation() const { return this->violation; }
  /// Whether each shard is granted to a live upstream at its authority.
  bool IsServingAll() const;
  /// The daemon that holds the newest authority and runs; -1 if there is none.
  int Authority() const;
  const ClusterState& Head() const { return this->log.head.State(); }
  const SimulatedLog& Log() const { return this->log; }
  std::optional<UpstreamRef> OwnerOf(ShardId shard) const;
  /// The index of the upstream whose live instance is `ref`; -1 if none is.
  int IndexOf(const UpstreamRef& ref) const;
  const SimulatedUpstream& Upstream(int upstream) const {
    return *this->hosts[upstream].process;
  }
  std::uint32_t ShardCount() const {
    const auto found = this->Head().shards.find(this->group.service);
    if (found == this->Head().shards.end()) return 0;
    return static_cast<std::uint32_t>(found->second.size());
  }
  int DaemonCount() const { return this->options.daemons; }
  int UpstreamCount() const { return this->options.upstreams; }
  TrueTime Now() const { return this->now; }
  GroupId Group() const { return this->group; }
  ServiceRules RulesNow() const {
    return this->log.head.State().RulesOf(this->group.service);
  }
  /// Moves of shards that were accepted since `offset`.
  std::vector<ShardsAssigned> MovesSince(LogOffset offset) const;

 private:
  struct Host {
    std::optional<SimulatedUpstream> process;
    int starts = 0;
    int vm_instances = 1;
    bool is_frozen = false;
    bool is_hidden = false;
    std::vector<std::function<void()>> waiting;
  };
  struct Node {
    std::unique_ptr<SimulatedDaemon> daemon;
    DriftingClock clock;
    int starts = 0;
    bool is_paused = false;
    bool holds_calls = false;
    bool is_reading = false;
    TrueTime read_sent{0};
    TrueTime next_read{0};
    TrueTime next_heartbeat{0};
    TrueTime next_list{0};
    std::vector<std::function<void()>> inbox;
    std::vector<std::function<void()>> send_buffer;
  };
  struct Sent {
    std::optional<UpstreamRef> to;
    std::string sender;
    TrueTime at{0};
  };

  void At(TrueTime time, std::function<void()> event);
  void After(std::chrono::nanoseconds delay, std::function<void()> event);
  std::chrono::nanoseconds Delay();
  bool Chance(int percent);
  MonotonicTime ClockOf(const Node& node) const;
  /// Runs `event` in the daemon now, or when it resumes.
  void Deliver(int daemon, int start, std::function<void()> event);
  void StartUpstream(int upstream);
  void TickDaemon(int daemon);
  void ReadLog(int daemon);
  void ReadVmList(int daemon);
  void SendHeartbeats(int daemon, const std::vector<DaemonId>& targets);
  void Send(int daemon, DaemonOutput output);
  void SendCall(int daemon, const ControlCall& call);
  void Transmit(int daemon, int start, const ControlCall& call);
  void Arrive(int daemon, int start, const ControlCall& call, int upstream);
  void Answer(int daemon, int start, const ControlResult& result,
              std::chrono::nanoseconds delay);
  void AppendRecord(int daemon, const Record& record);
  void Publish(const RecordBody& body);
  std::map<VmId, std::string> VmsNow() const;
  void Check();
  void CheckTokenOwners(ShardId shard);
  void CheckPermitSenders(ShardId shard);
  void CheckChain();
  void Fail(const std::string& what);

  WorldOptions options;
  GroupId group;
  std::mt19937_64 random;
  TrueTime now{0};
  std::multimap<TrueTime, std::function<void()>> events;
  SimulatedLog log;
  std::vector<Host> hosts;
  std::vector<Node> nodes;
  std::vector<UpstreamRef> gone;
  Network network;
  std::set<std::pair<int, int>> upstream_cuts;
  std::set<std::pair<int, int>> daemon_cuts;
  std::set<int> log_cuts;
  std::chrono::milliseconds list_lag{1000};
  std::map<TrueTime, std::map<VmId, std::string>> vm_history;
  std::map<ShardId, Sent> last_sent;
  std::map<ShardId, std::optional<UpstreamRef>> chain;
  std::size_t chain_checked = 0;
  int next_publication = 0;
  std::string violation;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_WORLD_H_
