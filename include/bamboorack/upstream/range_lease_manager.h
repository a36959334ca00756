#ifndef BAMBOORACK_UPSTREAM_RANGE_LEASE_MANAGER_H_
#define BAMBOORACK_UPSTREAM_RANGE_LEASE_MANAGER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/key_range.h"
#include "bamboorack/core/owner_map.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/ownership_record.h"
#include "bamboorack/upstream/range_rules.h"

namespace bamboorack::upstream {

/// How long keys are granted for.
struct RangeLeases {
  /// Granted in normal operation. Short, so that the keys of a lost upstream
  /// can be reassigned soon, but longer than a change of leader takes.
  std::chrono::milliseconds ordinary{3'000};
  /// The longest that upstreams accept, granted when an outage begins.
  std::chrono::milliseconds longest{10'000};
};

/// An ownership change of one range, for the decision log.
struct RangeEvent {
  std::string_view name;
  ServiceName service;
  KeyRange range;
  std::optional<UpstreamRun> holder;
  std::optional<UpstreamRun> successor;
  FencingToken token;
};

/// A control call that was sent or has completed, for the decision log.
/// Ordinary renewals that are answered in time produce no event.
struct ControlCallEvent {
  std::string_view name;
  ControlCallId id;
  ServiceName service;
  KeyRange range;
  UpstreamId upstream;
  FencingToken token;
  /// Zero for a release.
  std::chrono::milliseconds lease{0};
  std::chrono::nanoseconds since_sent{0};
  /// For how much longer the upstream may hold the keys, as known before this
  /// event.
  std::chrono::nanoseconds may_hold_for{0};
  /// Empty if the call was accepted or has just been sent.
  std::string_view error;
  /// HTTP status of the answer, or 0 if there is none.
  int status = 0;
};

/// Requests that a range moves to an upstream or is assigned for the first
/// time.
struct RangeMove {
  KeyRange range;
  UpstreamRun to;
};

/// State of a range as the planner sees it.
struct RangeView {
  KeyRange range;
  /// The holder of the keys, or the target of a move in progress.
  std::optional<UpstreamRun> holder;
  /// The range is held and has no move or call in progress, so it may be moved
  /// or split.
  bool is_settled = false;
  /// The range has no holder and must be assigned.
  bool is_free = false;
};

/// Grants, renews and releases leases on key ranges on behalf of the ownership
/// leader.
///
/// A range is taken from its holder only after one of these proofs:
///  - the holder answered a release call and no grant to it is unanswered;
///  - every lease that a call may have given the holder has expired;
///  - another upstream answers at the holder's address.
///
/// A grant for a run that has ended may reach the next run with the same
/// upstream id, so the next run replaces the former one as holder. An
/// unanswered grant may take effect seconds later, so the next call carries a
/// higher fencing token. The record of a move states whether the holder has an
/// unanswered grant, and no grant is sent to the holder during the move.
/// A later leader therefore knows whether the answer to its own release call
/// is a proof.
class RangeLeaseManager {
 public:
  explicit RangeLeaseManager(const RangeLeases& range_leases,
                             const RangeRules& range_rules = kRangeRules)
      : leases(range_leases), rules(range_rules) {}

  /// Starts a term from the state in `record`. All leases that earlier leaders
  /// granted end by `leases_end`.
  void TakeOver(const OwnershipRecord& record, Term new_term,
                MonotonicTime leases_end, MonotonicTime now);
  /// Returns the latest time at which a lease that another leader granted up to
  /// `now` can end, if that leader has not stated when its leases end.
  MonotonicTime LeaseEndBound(MonotonicTime now) const;
  /// Returns the latest end of all leases that this object granted.
  MonotonicTime LatestGrantedLeaseEnd() const;
  /// Adds an unassigned range with all keys for each service that has none.
  void SetServices(const std::vector<ServiceName>& sharded);
  void SetUpstreams(const std::vector<RegisteredUpstream>& entries,
                    MonotonicTime now);

  std::vector<RangeView> Ranges(const ServiceName& service) const;
  /// Starts a move. Splits ranges as needed. Ignores keys that are not settled
  /// or free.
  void Move(const ServiceName& service, const RangeMove& move);

  /// Returns the control calls that are due. `saved_change` is the change
  /// number of the newest record that the log confirmed. Must be called only
  /// within the mandate.
  std::vector<ControlCall> Step(std::uint64_t saved_change,
                                bool is_outage_expected, MonotonicTime now);
  void OnResult(const ControlResult& result, MonotonicTime now);

  /// Returns the number of the latest change. It grows with each change that
  /// must be in the record before calls that depend on it are sent.
  std::uint64_t LatestChange() const { return this->change; }
  std::map<ServiceName, std::vector<RecordedRange>> ToRecord() const;
  /// Whether the owner map has changed since the last call of `ToOwnerMap`.
  bool HasNewOwnerMap() const { return this->has_new_map; }
  OwnerMap ToOwnerMap(MonotonicTime now);
  std::vector<RangeEvent> TakeRangeEvents();
  std::vector<ControlCallEvent> TakeCallEvents();
  /// Whether the last calls to the upstream failed, the last one recently.
  bool IsUnreachable(const UpstreamRun& run, MonotonicTime now) const;
  /// Returns the fraction of range holders that are unreachable.
  double UnreachableShare(MonotonicTime now) const;
  bool HasMoveInProgress(const ServiceName& service) const;

 private:
  enum class Phase : std::uint8_t {
    /// Nobody holds the keys.
    kFree,
    kHeld,
    /// A move waits until the record in the log names the successor.
    kAwaitingRecord,
    /// The holder is being asked to release the range.
    kReleasing,
    /// The successor is being granted the keys.
    kGranting,
    /// The holder does not answer; its lease has to expire.
    kExpiring,
  };

  struct Range {
    KeyRange keys;
    Phase phase = Phase::kFree;
    std::optional<UpstreamRun> holder;
    std::optional<UpstreamRun> successor;
    FencingToken token;
    Handover handover;
    /// The latest time until which any call that was sent lets the holder hold
    /// the keys.
    MonotonicTime may_hold_until;
    /// Value of `may_hold_until` before the outstanding grant. Restored if that
    /// grant cannot take effect.
    MonotonicTime previous_may_hold_until;
    MonotonicTime next_call;
    std::optional<ControlCallId> call;
    MonotonicTime call_sent;
    std::chrono::milliseconds call_lease{0};
    /// A grant to the holder with this token or an earlier one was not answered
    /// and may still take effect.
    bool has_unanswered_grant = false;
    /// Set after a change of leader during a move: until this time the
    /// successor may hold the keys under a grant of the former leader.
    MonotonicTime successor_may_hold_until;
    bool holder_released = false;
    /// Calls to the holder wait until the record includes this change.
    std::uint64_t required_change = 0;
    /// Consecutive grants that were sent and not answered.
    int unanswered_grants = 0;
    /// Consecutive grants that failed.
    int failed_grants = 0;
    /// Whether the lease of the last grant was the longest.
    bool has_longest_lease = false;
  };

  struct Reachability {
    int failures = 0;
    MonotonicTime last_failure;
  };

  struct Departed {
    Endpoint endpoint;
    /// No release calls are sent to this endpoint after this time.
    MonotonicTime until;
  };

  using StepHandler = void (RangeLeaseManager::*)(const ServiceName&, Range&);
  static const std::array<StepHandler, 6> kStepHandlers;

  void StepFree(const ServiceName& service, Range& range);
  void StepHeld(const ServiceName& service, Range& range);
  void StepAwaitingRecord(const ServiceName& service, Range& range);
  void StepReleasing(const ServiceName& service, Range& range);
  void StepGranting(const ServiceName& service, Range& range);
  void StepExpiring(const ServiceName& service, Range& range);

  FencingToken IssueToken() { return FencingToken(++this->last_token.value); }
  const RegisteredUpstream* Find(const UpstreamRun& run) const;
  /// Returns the endpoint of a run that is registered or was recently, or null.
  const Endpoint* FindEndpoint(const UpstreamRun& run) const;
  /// Replaces `run` by a newer run with the same upstream id, if one is
  /// registered. Calls for the former run may have reached the new one, so it
  /// may hold the keys. Returns whether `run` was replaced.
  bool ReplaceEndedRun(std::optional<UpstreamRun>& run) const;
  void ReplaceEndedRuns(Range& range);
  void Send(const ServiceName& service, Range& range, const UpstreamRun& to,
            ControlRequest request, MonotonicTime deadline);
  void SendGrant(const ServiceName& service, Range& range,
                 const UpstreamRun& to);
  void AddResultEvent(const ServiceName& service, const Range& range,
                      const ControlResult& result);
  void AddCallEvent(std::string_view event_name, const ServiceName& service,
                    const Range& range, const UpstreamId& to,
                    std::string_view error = {}, int status = 0);
  void OnGrantResult(const ServiceName& service, Range& range,
                     const ControlResult& result, MonotonicTime now);
  void OnReleaseResult(Range& range, const ControlResult& result,
                       MonotonicTime now);
  void OnGrantFailed(Range& range, ControlError error, MonotonicTime now);
  void SetPhase(const ServiceName& service, Range& range, Phase phase,
                std::string_view event_name);
  /// Removes a holder that provably holds the range no longer, and continues
  /// with the grant to the successor or marks the range as free.
  void RemoveHolder(const ServiceName& service, Range& range,
                    std::string_view event_name);
  /// Treats the successor as the holder until the lease that it may hold has
  /// expired, since that lease can be neither renewed nor released.
  void AwaitSuccessorExpiry(const ServiceName& service, Range& range,
                            std::string_view event_name);
  void UpdateReachability(const UpstreamId& id, bool reached,
                          MonotonicTime now);
  /// Splits the held or free range that contains `first`, so that a range
  /// starts at `first`.
  void SplitAt(std::vector<Range>& ranges, std::uint32_t first);
  void MergeNeighbours(std::vector<Range>& ranges);

  const RangeLeases leases;
  const RangeRules rules;
  Term term;
  FencingToken last_token;
  std::map<ServiceName, std::vector<Range>> services;
  std::map<UpstreamId, RegisteredUpstream> upstreams;
  std::map<UpstreamId, Reachability> reachability;
  /// Endpoints of runs that left the registry, for release calls.
  std::map<UpstreamRun, Departed> departed;
  std::uint64_t change = 0;
  std::uint64_t map_change = 0;
  bool has_new_map = false;
  std::vector<RangeEvent> events;
  std::vector<ControlCallEvent> call_events;
  std::uint64_t last_call = 0;

  // Valid during one `Step`.
  std::vector<ControlCall> calls;
  std::uint64_t confirmed_change = 0;
  bool outage_expected = false;
  MonotonicTime step_time;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_LEASE_MANAGER_H_
