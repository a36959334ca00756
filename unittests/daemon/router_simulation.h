#ifndef BAMBOORACK_UNITTESTS_DAEMON_ROUTER_SIMULATION_H_
#define BAMBOORACK_UNITTESTS_DAEMON_ROUTER_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bamboorack/core/routing_table.h"
#include "bamboorack/daemon/router.h"
#include "daemon/router_oracle.h"

namespace bamboorack::daemon {

/// Settings of a simulation.
struct SimulationSettings {
  bool checks_tokens = true;
  bool can_settle = true;
  /// Percentage of once-only requests. The others are lookups and bulk.
  int once_percent = 40;
};

/// Simulates several daemons that run real routers. Peer connections,
/// upstreams, the control plane and the clock are simulated. All random choices
/// derive from the numbers passed to the steps, so that a run can be
/// reproduced.
class RouterSimulation {
 public:
  explicit RouterSimulation(const SimulationSettings& simulation_settings);

  // Steps. `random_seed` seeds the random choices of a step.
  void Advance(std::uint64_t random_seed);
  void SendRequest(std::uint64_t random_seed);
  void RepeatRequest(std::uint64_t random_seed);
  void LoseCaller(std::uint64_t random_seed);
  void FreezeUpstream(std::uint64_t random_seed);
  void DrainUpstream(std::uint64_t random_seed);
  void ReplaceUpstream(std::uint64_t random_seed);
  void TakeOver(std::uint64_t random_seed);
  void MoveShard(std::uint64_t random_seed);
  void PauseDaemon(std::uint64_t random_seed);
  void RestartDaemon(std::uint64_t random_seed);
  void ShakeNetwork(std::uint64_t random_seed);

  /// Runs until all requests have ended, and checks that they have.
  void Finish();
  const RouterOracle& Oracle() const { return this->oracle; }

 private:
  struct Upstream {
    UpstreamRef ref;
    GroupId group;
    std::uint32_t slots = 2;
    FencingToken highest_token;
    std::set<ShardId> granted;
    MonotonicTime frozen_since = MonotonicTime::min();
    MonotonicTime frozen_until = MonotonicTime::min();
    std::chrono::milliseconds clock_offset{0};
    /// The token whose holder this upstream acknowledged.
    FencingToken acknowledged;
    bool is_draining = false;
    bool is_dead = false;
    std::size_t running = 0;
    std::multiset<ShardId> running_shards;
    std::map<RequestId, bool> run_done_by_request;
    std::map<RequestId, upstream::Attempt> fenced;
  };
  struct UnreadState {
    MonotonicTime arrives;
    /// Number of owner changes up to this state.
    std::uint64_t moves = 0;
    std::shared_ptr<const ClusterState> state;
  };
  struct Daemon {
    DaemonId id;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<Router> router;
    std::uint64_t generation = 0;
    MonotonicTime paused_until = MonotonicTime::min();
    /// Time of the last owner change before this process started.
    MonotonicTime last_unseen_move = MonotonicTime::min();
    std::shared_ptr<const ClusterState> known_state;
    /// Published states that the daemon has not yet read, oldest first.
    std::deque<UnreadState> unread;
    std::shared_ptr<const RoutingTable> table;
    /// When this process read each token that it holds or held.
    std::map<FencingToken, MonotonicTime> token_read_times;
    std::map<GroupId, MonotonicTime> mandates;
    /// Tokens that an earlier process of this daemon held.
    std::set<FencingToken> lost_tokens;
    std::map<UpstreamRef, std::set<DispatchId>> in_flight;
  };
  struct SentDispatch {
    std::size_t daemon = 0;
    std::uint64_t generation = 0;
    upstream::Dispatch dispatch;
    MonotonicTime written;
    bool is_answered = false;
    bool is_written = false;
    bool is_cancelled = false;
  };
  using Handler = std::function<void()>;
  using Reply = std::function<RouterActions(Router&, MonotonicTime)>;

  // Clock, routers and peer connections (router_simulation.cc).
  void At(MonotonicTime when, Handler handler);
  void RunUntil(MonotonicTime until);
  void CallRouter(std::size_t index, std::uint64_t generation, Reply reply);
  void ExecuteActions(std::size_t index, RouterActions&& actions);
  void Execute(std::size_t index, caller::ToCaller&& action);
  void Execute(std::size_t index, peer::SendForward&& action);
  void Execute(std::size_t index, peer::SendCancel&& action);
  void Execute(std::size_t index, peer::SendAnswer&& action);
  void Execute(std::size_t index, upstream::Dispatch&& action);
  void Execute(std::size_t index, upstream::CancelDispatch&& action);
  void Execute(std::size_t index, upstream::ControlCall&& action);
  void Submit(std::size_t index, const Request& request);
  std::uint64_t Draw(std::uint64_t below);
  /// Draws how often a message is delivered: once, or sometimes twice.
  std::uint64_t DrawCopies();
  std::chrono::milliseconds DrawDelay();
  std::size_t IndexOfDaemon(const DaemonId& id) const;

  // Fake upstreams and their connections (router_simulation_upstreams.cc).
  void Write(const std::shared_ptr<SentDispatch>& sent);
  void Arrive(const std::shared_ptr<SentDispatch>& sent, Upstream& target);
  void Run(const std::shared_ptr<SentDispatch>& sent, Upstream& target);
  void CompleteRun(const std::shared_ptr<SentDispatch>& sent, Upstream& target);
  std::optional<Reason> RefusalOf(const SentDispatch& sent,
                                  const Upstream& target) const;
  void Answer(const std::shared_ptr<SentDispatch>& sent, Result result);
  void AnswerLater(const std::shared_ptr<SentDispatch>& sent, Result result,
                   std::chrono::milliseconds after);
  upstream::ControlResult SettleResult(const upstream::ControlCall& call);
  UpstreamReading ReadingOf(const Upstream& target) const;
  Upstream* AliveInstance(const UpstreamId& id);

  // Routing tables, takeovers and shard moves (router_simulation_control.cc).
  void BuildInitialState();
  void Publish();
  void ReadStates(std::size_t index);
  void ApplyState(std::size_t index, std::shared_ptr<const ClusterState> state);
  void RefreshTable(std::size_t index);
  void ScheduleTableRefresh(std::size_t index);
  bool MayTakeAuthority(const Daemon& daemon) const;
  void AssignAuthority(const GroupId& group);
  bool IsActiveAuthority(const Daemon& daemon, const GroupId& group) const;
  void FillGroup(Daemon& daemon, const GroupId& group, RoutingTable& next);
  void FillUpstream(const Daemon& daemon, const GroupId& group,
                    Upstream& target, RoutingTable& next);
  void AssignOwner(ShardId shard, const UpstreamRef& owner);
  Upstream* OtherUpstream(const Upstream& than);

  SimulationSettings settings;
  MonotonicTime now;
  /// Time of the last owner change of any shard.
  MonotonicTime last_move = MonotonicTime::min();
  std::uint64_t moves = 0;
  std::map<std::size_t, std::vector<std::uint64_t>> attempts_by_daemon;
  std::multimap<MonotonicTime, Handler> events;
  std::vector<Daemon> daemons;
  std::deque<Upstream> upstreams;
  ClusterState log_state;
  std::map<GroupId, MonotonicTime> active_from;
  std::map<std::pair<std::size_t, DispatchId>, std::shared_ptr<SentDispatch>>
      sent_dispatches;
  std::uint64_t random_state = 1;
  std::uint64_t next_number = 1;
  /// Probability, in percent, that a message is lost.
  std::uint64_t loss_percent = 0;
  std::chrono::milliseconds max_delay{3};
  std::vector<Request> once_requests;
  RouterOracle oracle;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_UNITTESTS_DAEMON_ROUTER_SIMULATION_H_
