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

/// Size, settings and rules of a simulation.
struct WorldOptions {
  bool checks_tokens = true;
  OnLogLoss on_log_loss = OnLogLoss::kKeepServing;
  int daemons = 3;
  int upstreams = 3;
  std::uint32_t shards = 6;
  /// Seed of the random delays, losses and duplicates.
  std::uint64_t seed = 1;
  OwnershipRules rules = kOwnershipRules;
  UpstreamRules upstream_rules;
};

/// Delay, loss and duplication of messages.
struct Network {
  std::chrono::milliseconds max_delay{2};
  /// Percentages of messages.
  int loss_percent = 0;
  int duplicate_percent = 0;
};

/// A simulation of daemons, upstreams, the log and the VM list, into which a
/// test injects faults. Checks after each event that ownership is exclusive.
class SimulatedWorld {
 public:
  explicit SimulatedWorld(const WorldOptions& options);

  /// Runs for `duration`, or until a violation is found.
  void Run(std::chrono::milliseconds duration);
  /// Runs until `condition` holds, a violation is found or `limit` has passed.
  /// Returns whether `condition` holds.
  bool RunUntil(const std::function<bool()>& condition,
                std::chrono::milliseconds limit);

  void PauseDaemon(int daemon);
  void ResumeDaemon(int daemon);
  void RestartDaemon(int daemon);
  /// Begins a planned stop: the daemon releases its authority and does not
  /// request it again.
  void StopDaemon(int daemon);
  void FreezeUpstream(int upstream);
  void ThawUpstream(int upstream);
  /// Ends the VM. The VM list shows this after its lag.
  void KillUpstream(int upstream);
  /// Starts an upstream process on another VM instance at the same address.
  void ReplaceUpstream(int upstream);
  /// Restarts the upstream process on the same VM instance.
  void RestartUpstream(int upstream);
  void SetDraining(int upstream, bool is_draining);
  void CutDaemonFromUpstream(int daemon, int upstream, bool is_cut);
  void CutDaemons(int first, int second, bool is_cut);
  void CutDaemonFromLog(int daemon, bool is_cut);
  /// Keeps the calls of `daemon` in its send buffer, or sends them.
  void HoldCalls(int daemon, bool is_held);
  void PublishDrain(int upstream, bool is_drained);
  void PublishWeight(int upstream, double weight);
  void PublishRules(const ServiceRules& service_rules);
  /// Assigns a separate shard to key `key` modulo 2, or removes it.
  void PublishHotKey(std::uint32_t key, bool is_hot);
  /// Adds an upstream in another failure domain, whose group has no authority
  /// in this simulation.
  void PublishOtherDomain();
  void DeclareLost(const UpstreamRef& ref);
  /// Declares all instances lost that were killed or replaced.
  void DeclareEndedInstancesLost();
  /// Removes the VM of a live upstream from the VM list, or adds it again.
  void HideFromVmList(int upstream, bool is_hidden);
  void StepWallClock(std::chrono::hours step) { this->log.wall_time += step; }
  void SetVmListLag(std::chrono::milliseconds lag) { this->vm_list_lag = lag; }
  void SetNetwork(const Network& new_network) { this->network = new_network; }
  /// Ends all faults and declares ended instances lost.
  void Heal();

  /// Returns the first violation, or an empty string.
  const std::string& Violation() const { return this->violation; }
  /// Whether the authority may send work on each shard to its live owner.
  bool IsServingAll() const;
  /// Returns the running daemon that holds the current authority, or -1.
  int Authority() const;
  const ClusterState& Head() const { return this->log.head.State(); }
  const SimulatedLog& Log() const { return this->log; }
  std::optional<UpstreamRef> OwnerOf(ShardId shard) const;
  /// Returns the index of the upstream whose live instance is `ref`, or -1.
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
  /// Returns the moves accepted at or after `offset`.
  std::vector<ShardsAssigned> MovesSince(LogOffset offset) const;

 private:
  struct UpstreamHost {
    std::optional<SimulatedUpstream> process;
    int starts = 0;
    int vm_instances = 1;
    bool is_frozen = false;
    bool is_hidden = false;
    std::vector<std::function<void()>> deferred_calls;
  };
  struct DaemonNode {
    std::unique_ptr<SimulatedDaemon> daemon;
    DriftingClock clock;
    int starts = 0;
    bool is_paused = false;
    bool holds_calls = false;
    bool is_reading = false;
    TrueTime read_sent{0};
    TrueTime next_read{0};
    TrueTime next_heartbeat{0};
    TrueTime next_vm_list_read{0};
    std::vector<std::function<void()>> inbox;
    std::vector<std::function<void()>> send_buffer;
  };
  struct Sent {
    std::optional<UpstreamRef> to;
    std::string sender;
    TrueTime at{0};
  };

  void ScheduleAt(TrueTime time, std::function<void()> event);
  void ScheduleAfter(std::chrono::nanoseconds delay,
                     std::function<void()> event);
  std::chrono::nanoseconds Delay();
  bool DrawChance(int percent);
  MonotonicTime ClockOf(const DaemonNode& node) const;
  /// Runs `event` in the daemon at once, or when it resumes. Drops it if the
  /// daemon has restarted since `start`.
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
  void CheckOwnerHistory();
  void RecordViolation(const std::string& what);

  WorldOptions options;
  GroupId group;
  std::mt19937_64 random;
  TrueTime now{0};
  std::multimap<TrueTime, std::function<void()>> events;
  SimulatedLog log;
  std::vector<UpstreamHost> hosts;
  std::vector<DaemonNode> nodes;
  std::vector<UpstreamRef> ended_instances;
  Network network;
  std::set<std::pair<int, int>> upstream_cuts;
  std::set<std::pair<int, int>> daemon_cuts;
  std::set<int> log_cuts;
  std::chrono::milliseconds vm_list_lag{1000};
  std::map<TrueTime, std::map<VmId, std::string>> vm_history;
  std::map<ShardId, Sent> last_sent;
  std::map<ShardId, std::optional<UpstreamRef>> expected_owners;
  std::size_t checked_records = 0;
  int next_publication = 0;
  std::string violation;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_WORLD_H_
