#ifndef BAMBOORACK_UPSTREAM_GROUP_AUTHORITY_H_
#define BAMBOORACK_UPSTREAM_GROUP_AUTHORITY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/membership.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/owner_plan.h"
#include "bamboorack/upstream/ownership_rules.h"
#include "bamboorack/upstream/upstream_link.h"

namespace bamboorack::upstream {

/// Maximum interval between renewals of a grant: 250 ms, a quarter of the
/// default lease of 1 s.
inline constexpr std::chrono::milliseconds kMaxRenewInterval{250};

/// Returns a quarter of the lease, but at most `kMaxRenewInterval`.
std::chrono::milliseconds RenewInterval(const ServiceRules& rules);

/// Input of the control thread to a decision.
struct AuthorityInput {
  const ClusterState& state;
  /// Send time of the last log read that reached the head.
  MonotonicTime head_contact;
  /// Whether the log answered recently. If not, no record is appended.
  bool has_log_contact = false;
  const MembershipView& membership;
  /// When this daemon first read each owner from the log. An owner without an
  /// entry counts as known from the time when this authority first sees it. May
  /// be null.
  const std::map<UpstreamRef, MonotonicTime>* known_since = nullptr;
};

/// Calls and log appends for the control thread to carry out.
struct AuthorityOutput {
  std::vector<ControlCall> calls;
  std::vector<Record> appends;
};

struct FencingStrategy;

/// Makes the decisions for one group whose authority this daemon holds: fences,
/// grants, renewals, revocations and moves. Reads no clock and does no I/O.
class GroupAuthority {
 public:
  /// `token` is the offset of the accepted `authority_taken` record, which was
  /// read back at `taken_at`. `has_predecessor` tells whether the group had an
  /// authority before. Ids of control calls start at `first_call_id`.
  GroupAuthority(GroupId group, DaemonId self, FencingToken token,
                 bool has_predecessor, MonotonicTime taken_at,
                 ControlCallId first_call_id,
                 std::function<RecordId()> next_record_id,
                 const OwnershipRules& ownership_rules = kOwnershipRules);

  /// Must be called at least every 50 ms and after each change of the input.
  AuthorityOutput Tick(const AuthorityInput& input, MonotonicTime now);

  /// Handles the result of a call that this authority sent.
  AuthorityOutput OnControlResult(const AuthorityInput& input,
                                  const ControlResult& result,
                                  MonotonicTime now);

  /// Adds the group, its upstreams and its granted shards to `table`, as of
  /// the last `Tick` or `OnControlResult`. Does nothing if the authority is
  /// superseded.
  void AddToRoutingTable(const AuthorityInput& input,
                         RoutingTable& table) const;

  /// Whether another daemon took the authority over the group. Never becomes
  /// false again.
  bool IsSuperseded() const { return this->is_superseded; }
  /// Returns the id of the next control call.
  ControlCallId NextCallId() const { return this->next_call_id; }

 private:
  friend struct FencingStrategy;

  /// A pending change of the owner of a shard.
  struct Move {
    std::optional<UpstreamRef> from;
    /// Unset if the shard is released for another group.
    std::optional<UpstreamRef> to;
    Cause cause = Cause::kRebalance;
    /// Offset of the shard's last change at the start of the move.
    LogOffset base;
    /// When `from` stopped receiving new work.
    MonotonicTime started_at;
    /// Whether `to` becomes the owner because it reported the shard.
    bool is_reported = false;
    /// Set once the move was appended. If the state shows no change by this
    /// time, the move is appended again in a new record. The fold accepts only
    /// one of the records because both name the same base. An appended move is
    /// never cancelled, because its record may take effect at any later time.
    std::optional<MonotonicTime> append_retry_at;
  };

  /// The shards that an upstream may be granted.
  struct GrantSet {
    std::vector<ShardId> shards;
    bool only_if_unexpired = false;
    /// Whether a shard that the upstream owns according to the log is omitted,
    /// because the successor rule does not allow a claim on it yet.
    bool omits_claim = false;
  };

  using Shards = std::map<ShardId, ShardState>;
  /// Inputs of one decision, collected once per `Tick` or `OnControlResult`.
  struct View {
    const AuthorityInput& input;
    const ServiceEntry* service;
    const ServiceRules& rules;
    const FencingStrategy& strategy;
    Shards shards;
    MonotonicTime now;
    /// The shards of each owner, in ascending order.
    std::map<UpstreamRef, std::vector<ShardId>> by_owner;
  };
  /// Upstreams that may own shards, and the conditions for moves to them.
  struct Plan {
    std::vector<OwnerTarget> targets;
    std::set<UpstreamRef> refs;
    /// Whether every upstream of the group has either answered or failed.
    bool is_complete = false;
    bool can_rebalance = false;
  };
  struct ProofCheck {
    Proof proof;
    bool (GroupAuthority::*holds)(const View&, ShardId, const Move&) const;
  };
  static const std::array<ProofCheck, 4> kProofChecks;

  View MakeView(const AuthorityInput& input, MonotonicTime now) const;
  AuthorityOutput Decide(const AuthorityInput& input, MonotonicTime now);
  bool UpdateSuperseded(const AuthorityInput& input);

  // Upstream connections (group_authority.cc).
  void SyncLinks(const View& view);
  Holder& FindOrAddHolder(const View& view, const UpstreamRef& ref);
  void DropTimedOutCalls(const View& view);
  void HandleCallError(const View& view, UpstreamLink& link,
                       ControlError error);
  void RecordInstance(const View& view, UpstreamLink& link,
                      const UpstreamInstance& instance);
  Holder& RecordReading(const View& view, UpstreamLink& link,
                        UpstreamReading reading, bool is_draining);
  void SendCall(const View& view, UpstreamLink& link, ControlRequest request,
                AuthorityOutput& output);
  void CallUpstream(const View& view, UpstreamLink& link,
                    AuthorityOutput& output);

  // Answers to control calls (group_authority_results.cc).
  void OnClock(const View& view, UpstreamLink& link, const PendingCall& call,
               const ControlAnswer& answer);
  void OnFence(const View& view, UpstreamLink& link, const PendingCall& call,
               const ControlAnswer& answer);
  void OnGrant(const View& view, UpstreamLink& link, const PendingCall& call,
               const ControlAnswer& answer);
  void OnRevoke(const View& view, UpstreamLink& link, const PendingCall& call,
                const ControlAnswer& answer);
  void OnSettle(const View& view, UpstreamLink& link, const PendingCall& call,
                const ControlAnswer& answer);

  // Grants and leases (group_authority_leases.cc).
  bool IsLive(const View& view, const UpstreamLink& link) const;
  bool IsStateUnknown(const View& view, const UpstreamLink& link) const;
  bool IsFenced(const UpstreamLink& link) const;
  MonotonicTime MandateEnd(const View& view) const;
  bool HasPredecessorExpired(const View& view) const;
  GrantSet GrantableShards(const View& view, const UpstreamLink& link) const;
  std::optional<ControlRequest> NextTokenCall(const View& view,
                                              UpstreamLink& link);
  std::optional<ControlRequest> NextPermitCall(const View& view,
                                               UpstreamLink& link);
  GrantCall MakeGrant(const View& view, UpstreamLink& link, GrantSet set);
  void RecordSentGrant(const View& view, const UpstreamLink& link,
                       const ControlCall& call);
  void UpdateTokenGrants(const View& view, const UpstreamRef& ref,
                         Holder& holder);
  void UpdatePermitGrants(const View& view, const UpstreamRef& ref,
                          Holder& holder);
  void UpdateGrants(const View& view);
  std::set<ShardId> OwnedShards(const View& view, const UpstreamRef& ref) const;
  bool IsReachable(const UpstreamRef& ref) const;
  void RevokeMoved(const View& view, UpstreamLink& link,
                   AuthorityOutput& output);

  // The successor rule (group_authority_takeover.cc): an authority whose
  // predecessor may have moved shards without contact to the log confirms an
  // owner before a grant.
  bool IsAssignedByThisAuthority(ShardId shard, LogOffset changed_at) const;
  bool NeedsSuccessorRule(const View& view, ShardId shard,
                          const ShardState& state) const;
  bool HasFencedMajority() const;
  bool IsProvenGone(const View& view, const UpstreamLink& link) const;
  bool AreOtherOwnersRuledOut(const View& view, ShardId shard,
                              const UpstreamRef& owner) const;
  void ConfirmOwners(const View& view);
  std::optional<UpstreamRef> ReportedOwner(ShardId shard,
                                           const UpstreamRef& owner) const;

  // Proofs that an owner lost a shard (group_authority_proofs.cc).
  bool IsAcknowledged(const View& view, ShardId shard, const Move& move) const;
  bool IsLapsed(const View& view, ShardId shard, const Move& move) const;
  bool IsVmGoneProven(const View& view, ShardId shard, const Move& move) const;
  bool IsDeclared(const View& view, ShardId shard, const Move& move) const;
  bool IsTokenLapsed(const View& view, ShardId shard, const Move& move) const;
  bool IsPermitLapsed(const View& view, ShardId shard, const Move& move) const;
  bool IsInstanceGone(const View& view, const UpstreamRef& ref) const;
  std::optional<Proof> FindProof(const View& view, ShardId shard,
                                 const Move& move) const;

  // Moves of shards between owners (group_authority_moves.cc).
  void RemoveCompletedMoves(const View& view);
  std::vector<OwnerTarget> LiveTargets(const View& view) const;
  void PlanMoves(const View& view, AuthorityOutput& output);
  void PlanShardMove(const View& view, ShardId shard, const ShardState& state,
                     const Plan& plan);
  void AdoptReportedOwner(const View& view, ShardId shard,
                          const ShardState& state);
  void PlanMoveFromOwner(const View& view, ShardId shard, Move move,
                         const Plan& plan);
  Plan MakePlan(const View& view);
  /// Returns the planned owner; none for a shard that belongs to another group,
  /// or if no upstream is live.
  std::optional<UpstreamRef> PlannedOwner(ShardId shard) const;
  void UpdateForeignShards(const View& view);
  bool CanRebalance(const View& view, const Plan& plan) const;
  bool ConsumeMoveBudget(const View& view);
  void RetargetMoves(const Plan& plan);
  void AppendProvenMoves(const View& view, const Plan& plan,
                         AuthorityOutput& output);

  GroupId group;
  DaemonId self;
  FencingToken token;
  bool has_predecessor;
  MonotonicTime taken_at;
  ControlCallId next_call_id;
  std::function<RecordId()> next_record_id;
  const OwnershipRules& ownership_rules;

  bool is_superseded = false;
  std::map<UpstreamId, UpstreamLink> links;
  std::map<UpstreamRef, Holder> holders;
  std::map<ShardId, Move> moves;
  /// Offset of the last change of each shard that this authority assigned. A
  /// shard that a rules change derived from another one has no entry, although
  /// it changed after the authority was taken.
  std::map<ShardId, LogOffset> own_assignments;
  /// Shards whose owner was confirmed under this token.
  std::set<ShardId> confirmed_shards;
  /// Maximum of each rule since this authority was taken, because a predecessor
  /// or an earlier grant may have used an earlier value.
  std::chrono::milliseconds longest_lease{0};
  std::chrono::milliseconds longest_mandate{0};
  /// Shards that belong to another group according to the inventory, and the
  /// hash of the inputs they were computed from.
  std::set<ShardId> foreign_shards;
  std::optional<std::uint64_t> foreign_shards_hash;
  /// The last plan and its inputs. The plan is computed only when they change,
  /// because planning takes 0.4 ms for 256 shards, too long for each tick.
  std::vector<OwnerTarget> plan_input_targets;
  std::map<ShardId, std::optional<UpstreamRef>> plan_input_owners;
  std::map<ShardId, UpstreamRef> planned_owners;
  /// Number of rebalancing moves that may start now, and when it was computed.
  double move_budget = 1.0;
  MonotonicTime budget_updated_at;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_GROUP_AUTHORITY_H_
