#ifndef BAMBOORACK_DAEMON_ROUTER_CORE_H_
#define BAMBOORACK_DAEMON_ROUTER_CORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

#include "bamboorack/daemon/local_dispatcher.h"
#include "bamboorack/daemon/router.h"

namespace bamboorack::daemon {

/// The source of a request, to which its ending is sent.
using Origin = std::variant<caller::CallerSlot, peer::ReturnPath>;

/// The implementation of `Router`: passes each request from its origin to the
/// local dispatcher or to another daemon, and returns the result.
class Router::Core {
 public:
  Core(DaemonId self_id, Metrics& metrics_sink, const RouterOptions& settings);

  void On(caller::RequestArrived&& event, MonotonicTime now);
  void On(caller::CallerGone&& event, MonotonicTime now);
  void On(peer::ForwardArrived&& event, MonotonicTime now);
  void On(peer::ForwardCancelled&& event, MonotonicTime now);
  void On(peer::ForwardAnswered&& event, MonotonicTime now);
  void On(upstream::DispatchResult&& event, MonotonicTime now);
  void On(upstream::ControlResult&& event, MonotonicTime now);
  void OnTable(std::shared_ptr<const RoutingTable> new_table,
               MonotonicTime now);
  void Tick(MonotonicTime now);
  MonotonicTime NextWakeup() const;
  void BeginStop() { this->is_stopping = true; }
  bool IsIdle() const;

  /// Handles all endings reported by the local dispatcher, then returns the
  /// actions since the last call.
  RouterActions TakeActions(MonotonicTime now);

 private:
  enum class Stage : std::uint8_t { kLocal, kForwarded, kParked };

  /// An unfinished request.
  struct PendingRequest {
    Origin origin;
    std::shared_ptr<const Request> request;
    MonotonicTime arrived_at;
    Stage stage = Stage::kParked;
    /// When parking ends. Set when the request is parked first; parking it
    /// again does not extend the time.
    std::optional<MonotonicTime> park_until;
    /// The ending if the request is still parked at `park_until`.
    Refusal refusal;
    DaemonId forwarded_to;
    ForwardId forward;
    /// The group's token when the request was forwarded.
    FencingToken forwarded_token;
    GroupId forwarded_group;
    bool was_rerouted = false;
    /// Set while waiting for an authority with a token other than
    /// `forwarded_token`.
    bool awaits_new_authority = false;
  };

  using StageHandler = void (Core::*)(WorkId, PendingRequest&, MonotonicTime);

  void Accept(Origin origin, Request&& request, MonotonicTime now);
  void Abandon(const Origin& origin, MonotonicTime now);
  void Resolve(WorkId id, PendingRequest& pending, MonotonicTime now);
  void Forward(WorkId id, PendingRequest& pending, const Route& route);
  void OnRefusal(WorkId id, PendingRequest& pending, const Refusal& refusal,
                 MonotonicTime now);
  void Park(WorkId id, PendingRequest& pending, MonotonicTime now);
  void ResolveParked(MonotonicTime now);
  bool CanReroute(const PendingRequest& pending, const Refusal& refusal,
                  MonotonicTime now) const;
  bool HasOtherAuthority(const PendingRequest& pending) const;
  void Finish(WorkId id, PendingRequest& pending, Result result,
              MonotonicTime now);
  void Answer(const caller::CallerSlot& slot, const PendingRequest& pending,
              Result&& result, MonotonicTime now);
  void Answer(const peer::ReturnPath& path, const PendingRequest& pending,
              Result&& result, MonotonicTime now);
  void OnLocalEnding(LocalEnding&& ending, MonotonicTime now);
  void AbandonLocal(WorkId id, PendingRequest& pending, MonotonicTime now);
  void AbandonForwarded(WorkId id, PendingRequest& pending, MonotonicTime now);
  void AbandonParked(WorkId id, PendingRequest& pending, MonotonicTime now);
  void OnTimer(WorkId id, MonotonicTime now);
  void Remove(WorkId id, const PendingRequest& pending);
  void ArmTimer(WorkId id, MonotonicTime at);
  static bool IsFromCaller(const PendingRequest& pending);

  DaemonId self;
  Metrics& metrics;
  RouterOptions options;
  bool is_stopping = false;
  std::shared_ptr<const RoutingTable> table;
  LocalDispatcher local;
  LocalOutput output;
  std::unordered_map<WorkId, PendingRequest> requests;
  std::map<Origin, WorkId> by_origin;
  std::unordered_map<ForwardId, WorkId> by_forward;
  std::set<WorkId> parked;
  std::set<std::pair<MonotonicTime, WorkId>> timers;
  /// The pending timer of each request, at most one per request.
  std::unordered_map<WorkId, MonotonicTime> timer_by_request;
  WorkId next_work{1};
  ForwardId next_forward{1};
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTER_CORE_H_
