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
  struct HeldRequest {
    Origin origin;
    std::shared_ptr<const Request> request;
    MonotonicTime arrived;
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

  using StageHandler = void (Core::*)(WorkId, HeldRequest&, MonotonicTime);

  void Accept(Origin origin, Request&& request, MonotonicTime now);
  void Abandon(const Origin& origin, MonotonicTime now);
  void Resolve(WorkId id, HeldRequest& held, MonotonicTime now);
  void Forward(WorkId id, HeldRequest& held, const Route& route);
  void OnRefusal(WorkId id, HeldRequest& held, const Refusal& refusal,
                 MonotonicTime now);
  void Park(WorkId id, HeldRequest& held, MonotonicTime now);
  void ResolveParked(MonotonicTime now);
  bool CanReroute(const HeldRequest& held, const Refusal& refusal,
                  MonotonicTime now) const;
  bool HasOtherAuthority(const HeldRequest& held) const;
  void Finish(WorkId id, HeldRequest& held, Result result, MonotonicTime now);
  void Answer(const caller::CallerSlot& slot, const HeldRequest& held,
              Result&& result, MonotonicTime now);
  void Answer(const peer::ReturnPath& path, const HeldRequest& held,
              Result&& result, MonotonicTime now);
  void OnLocalEnding(LocalEnding&& ending, MonotonicTime now);
  void AbandonLocal(WorkId id, HeldRequest& held, MonotonicTime now);
  void AbandonForwarded(WorkId id, HeldRequest& held, MonotonicTime now);
  void AbandonParked(WorkId id, HeldRequest& held, MonotonicTime now);
  void OnTimer(WorkId id, MonotonicTime now);
  void Remove(WorkId id, const HeldRequest& held);
  void ArmTimer(WorkId id, MonotonicTime at);
  static bool IsFromCaller(const HeldRequest& held);

  DaemonId self;
  Metrics& metrics;
  RouterOptions options;
  bool is_stopping = false;
  std::shared_ptr<const RoutingTable> table;
  LocalDispatcher local;
  LocalOutput output;
  std::unordered_map<WorkId, HeldRequest> held_requests;
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
