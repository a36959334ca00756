#ifndef BAMBOORACK_UPSTREAM_RANGE_KEEPER_H_
#define BAMBOORACK_UPSTREAM_RANGE_KEEPER_H_

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
  /// Ordinary leases: short, so that the keys of a lost upstream are back
  /// soon; longer than a change of leader takes.
  std::chrono::milliseconds ordinary{3'000};
  /// The longest that upstreams accept, granted when an outage begins.
  std::chrono::milliseconds longest{10'000};
};

/// One range whose ownership changed, for the record of decisions.
struct RangeEvent {
  std::string_view what;
  ServiceName service;
  KeyRange range;
  std::optional<UpstreamRun> holder;
  std::optional<UpstreamRun> successor;
  FencingToken token;
};

/// An order that was sent or that ended, for the record of decisions. Ordinary
/// renewals that are answered in time make none.
struct OrderEvent {
  std::string_view what;
  ControlCallId id;
  ServiceName service;
  KeyRange range;
  UpstreamId upstream;
  FencingToken token;
  /// Zero for a release.
  std::chrono::milliseconds lease{0};
  std::chrono::nanoseconds since_sent{0};
  /// How long the upstream may hold the keys, as known before this event.
  std::chrono::nanoseconds may_hold_for{0};
  /// Empty if the order was accepted or was just sent.
  std::string_view error;
  /// The status of the answer, or 0.
  int status = 0;
};

/// Orders one range to move, or to be held for the first time.
struct RangeMove {
  KeyRange range;
  UpstreamRun to;
};

/// What the planner may know of a range.
struct RangeView {
  KeyRange range;
  /// Who holds the keys, or will after a move that is under way.
  std::optional<UpstreamRun> holder;
  /// Held, with nothing under way: may be moved or split.
  bool is_settled = false;
  /// Held by nobody: must be given to somebody.
  bool is_free = false;
};

/// Grants, renews and takes back ranges of keys for the leader of ownership.
///
/// A range leaves a holder with one of these proofs: the holder answered a
/// release and no grant to it is unanswered; no order that was sent can make it
/// hold the range any longer; or another upstream has its address. A grant that
/// was meant for a run that has ended may reach the next run under its id,
/// which therefore takes the place of the former one. A grant that was not
/// answered may be carried out seconds later, so the next order has a higher
/// token, which fences it. The record of a move says whether such a grant to
/// the holder is left, and none is sent while the move lasts, so a successor
/// in the lead knows whether the answer to its own release is a proof.
class RangeKeeper {
 public:
  explicit RangeKeeper(const RangeLeases& range_leases,
                       const RangeRules& range_rules = kRangeRules)
      : leases(range_leases), rules(range_rules) {}

  /// Starts a term with what the last record says. No lease of the predecessor
  /// lasts longer than `leases_end`.
  void TakeOver(const OwnershipRecord& record, Term new_term,
                MonotonicTime leases_end, MonotonicTime now);
  /// The latest end of a lease that a predecessor may have granted until `now`
  /// without a word about it.
  MonotonicTime LatestLeaseEnd(MonotonicTime now) const;
  /// The latest end of any lease that this keeper granted.
  MonotonicTime LastLeaseEnd() const;
  /// Makes sure that each sharded service has its keys.
  void SetServices(const std::vector<ServiceName>& sharded);
  void SetUpstreams(const std::vector<RegisteredUpstream>& entries,
                    MonotonicTime now);

  std::vector<RangeView> Ranges(const ServiceName& service) const;
  /// Starts a move. Splits ranges as needed. Ignores keys that are not settled
  /// or free.
  void Move(const ServiceName& service, const RangeMove& move);

  /// Returns the orders that are due. `saved_change` is the change of the
  /// newest record that the log confirmed. Call only within the mandate.
  std::vector<ControlCall> Step(std::uint64_t saved_change, bool is_in_trouble,
                                MonotonicTime now);
  void OnResult(const ControlResult& result, MonotonicTime now);

  /// What has to be in the record: grows with each change that must be saved
  /// before orders depend on it.
  std::uint64_t Change() const { return this->change; }
  std::map<ServiceName, std::vector<RecordedRange>> ToRecord() const;
  /// Whether the map has changed since the last call of `ToMap`.
  bool HasNewMap() const { return this->has_new_map; }
  OwnerMap ToMap(MonotonicTime now);
  std::vector<RangeEvent> TakeEvents();
  std::vector<OrderEvent> TakeOrderEvents();
  /// Whether orders to the upstream failed lately.
  bool IsUnreachable(const UpstreamRun& run, MonotonicTime now) const;
  /// The share of upstreams with ranges whose orders failed lately.
  double UnreachableShare(MonotonicTime now) const;
  bool IsBusy(const ServiceName& service) const;

 private:
  enum class Phase : std::uint8_t {
    /// Nobody holds the keys.
    kFree,
    kHeld,
    /// A move waits until the record names the successor.
    kSaving,
    /// The holder is asked to let go.
    kReleasing,
    /// The successor is being granted the keys.
    kGranting,
    /// The holder does not answer; its lease has to run out.
    kExpiring,
  };

  struct Range {
    KeyRange keys;
    Phase phase = Phase::kFree;
    std::optional<UpstreamRun> holder;
    std::optional<UpstreamRun> successor;
    FencingToken token;
    Handover handover;
    /// No order that was sent makes the holder hold the keys after this time.
    MonotonicTime may_hold_until;
    /// The same before the outstanding grant, in case that it is not sent.
    MonotonicTime held_before_call;
    MonotonicTime next_call;
    std::optional<ControlCallId> call;
    MonotonicTime call_sent;
    std::chrono::milliseconds call_lease{0};
    /// A grant to the holder under this or an earlier token was not answered
    /// and may be carried out later.
    bool has_unanswered_grant = false;
    /// After a change of leader in the middle of a move: a grant of the
    /// predecessor may make the successor hold the keys until then.
    MonotonicTime successor_may_hold_until;
    bool holder_released = false;
    /// Orders to the holder wait until this change is in the record.
    std::uint64_t needs_change = 0;
    /// Grants in a row that were written and not answered.
    int unanswered = 0;
    /// Grants to the successor that failed.
    int failed_attempts = 0;
    /// Whether the lease of the last grant was the longest.
    bool is_extended = false;
  };

  struct Reach {
    int failures = 0;
    MonotonicTime last_failure;
  };

  struct Departed {
    Endpoint endpoint;
    /// The keys are not taken back any more after this time.
    MonotonicTime until;
  };

  using StepHandler = void (RangeKeeper::*)(const ServiceName&, Range&);
  static const std::array<StepHandler, 6> kSteps;

  void StepFree(const ServiceName& service, Range& range);
  void StepHeld(const ServiceName& service, Range& range);
  void StepSaving(const ServiceName& service, Range& range);
  void StepReleasing(const ServiceName& service, Range& range);
  void StepGranting(const ServiceName& service, Range& range);
  void StepExpiring(const ServiceName& service, Range& range);

  FencingToken DrawToken() { return FencingToken(++this->last_token.value); }
  const RegisteredUpstream* Find(const UpstreamRun& run) const;
  /// Where to reach a run that is listed or was until a moment ago, or null.
  const Endpoint* EndpointOf(const UpstreamRun& run) const;
  /// Puts the present run under the id of `run` in its place. Orders that were
  /// meant for the former run may have reached it, so it may hold the keys.
  /// Returns whether there is another run.
  bool FollowRun(std::optional<UpstreamRun>& run) const;
  void FollowRuns(Range& range);
  void Send(const ServiceName& service, Range& range, const UpstreamRun& to,
            ControlRequest request, MonotonicTime deadline);
  void SendGrant(const ServiceName& service, Range& range,
                 const UpstreamRun& to);
  void NoteResult(const ServiceName& service, const Range& range,
                  const ControlResult& result);
  void NoteOrder(std::string_view what, const ServiceName& service,
                 const Range& range, const UpstreamId& to,
                 std::string_view error = {}, int status = 0);
  void OnGrantResult(const ServiceName& service, Range& range,
                     const ControlResult& result, MonotonicTime now);
  void OnReleaseResult(Range& range, const ControlResult& result,
                       MonotonicTime now);
  void OnGrantFailed(Range& range, ControlError error, MonotonicTime now);
  void SetPhase(const ServiceName& service, Range& range, Phase phase,
                std::string_view what);
  /// The holder lets go, proven: gives the keys to the successor or frees them.
  void LetGo(const ServiceName& service, Range& range, std::string_view what);
  /// Waits for the end of a lease that the successor may hold and that cannot
  /// be renewed or taken back.
  void ExpireSuccessor(const ServiceName& service, Range& range,
                       std::string_view what);
  void NoteReach(const UpstreamId& id, bool reached, MonotonicTime now);
  /// Splits the settled or free range that holds `first`, so that a range
  /// starts there.
  void SplitBefore(std::vector<Range>& ranges, std::uint32_t first);
  void MergeNeighbours(std::vector<Range>& ranges);

  const RangeLeases leases;
  const RangeRules rules;
  Term term;
  FencingToken last_token;
  std::map<ServiceName, std::vector<Range>> services;
  std::map<UpstreamId, RegisteredUpstream> upstreams;
  std::map<UpstreamId, Reach> reach;
  /// Runs that left the registry, to take their keys back.
  std::map<UpstreamRun, Departed> departed;
  std::uint64_t change = 0;
  std::uint64_t map_change = 0;
  bool has_new_map = false;
  std::vector<RangeEvent> events;
  std::vector<OrderEvent> order_events;
  std::uint64_t last_call = 0;

  // Valid during one `Step`.
  std::vector<ControlCall> calls;
  std::uint64_t saved = 0;
  bool in_trouble = false;
  MonotonicTime step_time;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_KEEPER_H_
