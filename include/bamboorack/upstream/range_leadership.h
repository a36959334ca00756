#ifndef BAMBOORACK_UPSTREAM_RANGE_LEADERSHIP_H_
#define BAMBOORACK_UPSTREAM_RANGE_LEADERSHIP_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/ownership_record.h"

namespace bamboorack::upstream {

/// Decides which daemon leads ownership: the one whose record is the newest in
/// the log, for `kMandate` after it sent the append that put it there.
///
/// A leader may send orders only within its mandate. A successor claims when
/// it has seen no new record for `kTakeoverWait`, which is longer, or when the
/// record or the former leader itself tells that the mandate has ended.
class RangeLeadership {
 public:
  /// Covers a renewal that fails on a log that answers in 250 ms.
  static constexpr std::chrono::milliseconds kMandate{1'000};
  /// The mandate, and the way of the last order to an upstream.
  static constexpr std::chrono::milliseconds kTakeoverWait{1'250};
  static constexpr std::chrono::milliseconds kRenewEvery{300};
  /// Without a renewal for this long, the leader asks the others whether they
  /// reach the log, and then prepares for an outage.
  static constexpr std::chrono::milliseconds kTroubleAfter{500};
  static constexpr std::chrono::milliseconds kExtendAfter{780};
  /// A follower looks at the record when it has not heard of the leader for
  /// this time: two periods of the leader's messages.
  static constexpr std::chrono::milliseconds kLeaderSilence{400};

  enum class Role : std::uint8_t { kFollower, kLeader };

  /// The call to the log that is due.
  enum class Wish : std::uint8_t { kNothing, kRead, kClaim, kRenew };

  RangeLeadership(DaemonId daemon, DaemonInstance daemon_instance,
                  MonotonicTime now);

  /// Returns the call that is due. It counts as outstanding until one of the
  /// three `On` functions below is called.
  Wish Next(MonotonicTime now, bool has_unsaved_changes);

  /// The newest record and the end of the log, or that there is no record.
  void OnRead(const std::optional<OwnershipRecord>& record, LogOffset end,
              MonotonicTime now);
  void OnReadFailed(MonotonicTime now);
  /// An append that was sent at `sent` took effect.
  void OnAppended(LogOffset end, MonotonicTime sent, MonotonicTime now);
  /// An append did not take effect, or that is unknown.
  void OnAppendFailed(MonotonicTime sent, MonotonicTime now);

  /// A message of the leader of `term` arrived.
  void OnLeaderHeard(Term term, MonotonicTime now);
  /// The leader of `term` has given its duty up.
  void OnLeaderResigned(Term leader_term, MonotonicTime now);
  /// The leader whose record ends the log at `end` has told that its mandate
  /// has ended. It sends no orders before a renewal, which would move the end.
  void OnLapseStated(LogOffset end) { this->lapsed_end = end; }
  /// The process stood still: its mandate may have passed unnoticed.
  void OnSuspended(MonotonicTime now);
  /// Sends no more orders until the next renewal. Called before a record is
  /// sent that lets others claim at once.
  void SuspendMandate() { this->mandate_until = MonotonicTime{}; }
  /// Gives the duty up; the daemon does not claim it again until `until`.
  void StepDown(MonotonicTime until);

  bool MaySendOrders(MonotonicTime now) const;
  /// Whether the mandate is about to end without a renewal.
  bool IsInTrouble(MonotonicTime now) const;
  /// Whether it is time for the longest leases, if the outage is common.
  bool MustExtend(MonotonicTime now) const;
  Role GetRole() const { return this->role; }
  /// The own term of a leader, the term to claim of a follower.
  Term OwnTerm() const { return this->term; }
  /// Where the log ended when the record was observed that a claim replaced.
  LogOffset PredecessorEnd() const { return this->predecessor_end; }
  LogOffset ExpectedEnd() const { return this->expected_end; }
  /// Set for one call after the daemon became leader: the record it took over.
  std::optional<OwnershipRecord> TakePredecessor();
  MonotonicTime MandateUntil() const { return this->mandate_until; }
  /// When the last renewal that took effect was sent.
  MonotonicTime LastRenewal() const { return this->last_renewal; }

 private:
  bool IsOwn(const OwnershipRecord& record) const;
  Wish NextOfFollower(MonotonicTime now);
  Wish NextOfLeader(MonotonicTime now, bool has_unsaved_changes);
  bool MayClaim(MonotonicTime now) const;
  void BecomeFollower(MonotonicTime now);

  const DaemonId self;
  const DaemonInstance instance;
  Role role = Role::kFollower;
  bool is_waiting = false;
  Wish outstanding = Wish::kNothing;
  MonotonicTime next_call;
  Term term;
  LogOffset expected_end;

  // Of a follower.
  MonotonicTime leader_heard;
  Term heard_term;
  std::optional<OwnershipRecord> observed;
  std::optional<LogOffset> observed_end;
  MonotonicTime observed_since;
  std::optional<LogOffset> lapsed_end;
  bool may_have_claimed = false;
  /// When the first claim of `claim_term` without an answer was sent.
  MonotonicTime claim_sent;
  Term claim_term;
  MonotonicTime not_before;

  // Of a leader.
  MonotonicTime mandate_until;
  MonotonicTime last_renewal;
  bool needs_read = false;
  std::optional<OwnershipRecord> predecessor;
  LogOffset predecessor_end;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_LEADERSHIP_H_
