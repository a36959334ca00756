#ifndef BAMBOORACK_UPSTREAM_RANGE_LEADERSHIP_H_
#define BAMBOORACK_UPSTREAM_RANGE_LEADERSHIP_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/ownership_record.h"

namespace bamboorack::upstream {

/// Elects the daemon that leads ownership: the one that appended the newest
/// record in the log, for `kMandateDuration` from the time at which it sent the
/// append.
///
/// A leader may send control calls only within its mandate. Another daemon
/// claims leadership when it has seen no new record for `kTakeoverWait`, which
/// is longer than the mandate, or when the record or the former leader states
/// that the mandate has ended.
class RangeLeadership {
 public:
  /// Allows for one failed renewal on a log that answers in 250 ms.
  static constexpr std::chrono::milliseconds kMandateDuration{1'000};
  /// The mandate and the transit time of the last call to an upstream.
  static constexpr std::chrono::milliseconds kTakeoverWait{1'250};
  static constexpr std::chrono::milliseconds kRenewalInterval{300};
  /// After this time without a renewal the leader asks the other daemons
  /// whether they reach the log, and after `kExtendLeasesAfter` it prepares for
  /// an outage.
  static constexpr std::chrono::milliseconds kRenewalOverdueAfter{500};
  static constexpr std::chrono::milliseconds kExtendLeasesAfter{780};
  /// A follower reads the record after this time without a message from the
  /// leader: two intervals of the leader's messages.
  static constexpr std::chrono::milliseconds kLeaderTimeout{400};

  enum class Role : std::uint8_t { kFollower, kLeader };

  /// The call to the log that is due.
  enum class LogAction : std::uint8_t { kNothing, kRead, kClaim, kRenew };

  /// One read interval: daemons without delay then claim one read earlier.
  static constexpr std::chrono::milliseconds kSlowLinkClaimDelay{250};

  /// A daemon that would lead worse than others claims `delay` later than they
  /// do, so that it leads only if none of them does.
  RangeLeadership(DaemonId daemon, DaemonInstance daemon_instance,
                  MonotonicTime now,
                  std::chrono::milliseconds delay = std::chrono::milliseconds{
                      0});

  /// Returns the log call that is due. It is outstanding until `OnRead`,
  /// `OnReadFailed`, `OnAppended` or `OnAppendFailed` is called.
  LogAction NextLogAction(MonotonicTime now, bool has_unsaved_changes);

  /// Handles a read of the log. `record` is empty if the log has no record.
  void OnRead(const std::optional<OwnershipRecord>& record, LogOffset end,
              MonotonicTime now);
  void OnReadFailed(MonotonicTime now);
  /// Handles an append that was sent at `sent` and took effect.
  void OnAppended(LogOffset end, MonotonicTime sent, MonotonicTime now);
  /// Handles an append that failed or whose outcome is unknown.
  void OnAppendFailed(MonotonicTime sent, MonotonicTime now);

  /// Handles a message from the leader of `term`.
  void OnLeaderMessage(Term term, MonotonicTime now);
  /// Handles the resignation of the leader of `leader_term`.
  void OnLeaderResigned(Term leader_term, MonotonicTime now);
  /// Handles the statement of the leader whose record is the last before log
  /// offset `end` that its mandate has ended. That leader sends no calls before
  /// a renewal, which would advance the end of the log.
  void OnMandateLapseStated(LogOffset end) { this->lapsed_log_end = end; }
  /// Handles a suspension of the process, during which the mandate may have
  /// ended unnoticed.
  void OnSuspended(MonotonicTime now);
  /// Ends the mandate until the next renewal. Must be called before a record
  /// is sent that lets other daemons claim at once.
  void SuspendMandate() { this->mandate_until = MonotonicTime{}; }
  /// Resigns as leader and does not claim leadership again before `until`.
  void Resign(MonotonicTime until);

  bool MaySendCalls(MonotonicTime now) const;
  /// Whether the mandate holds and its renewal is overdue.
  bool IsRenewalOverdue(MonotonicTime now) const;
  /// Whether the longest leases have to be granted, provided that the other
  /// daemons do not reach the log either.
  bool MustExtendLeases(MonotonicTime now) const;
  Role GetRole() const { return this->role; }
  /// Returns the term of a leader, or the term that a follower last claimed.
  Term OwnTerm() const { return this->term; }
  /// Returns the end of the log just after the record that the claim replaced.
  LogOffset PredecessorEnd() const { return this->predecessor_end; }
  LogOffset ExpectedEnd() const { return this->expected_end; }
  /// Returns the record to take over from, once after each time that the
  /// daemon becomes the leader, and otherwise nothing.
  std::optional<OwnershipRecord> TakePredecessor();
  MonotonicTime MandateUntil() const { return this->mandate_until; }
  /// Returns when the last renewal that took effect was sent.
  MonotonicTime LastRenewal() const { return this->last_renewal; }

 private:
  bool IsOwn(const OwnershipRecord& record) const;
  LogAction NextFollowerAction(MonotonicTime now);
  LogAction NextLeaderAction(MonotonicTime now, bool has_unsaved_changes);
  bool MayClaim(MonotonicTime now) const;
  void BecomeFollower(MonotonicTime now);

  const DaemonId self;
  const DaemonInstance instance;
  const std::chrono::milliseconds claim_delay;
  Role role = Role::kFollower;
  bool is_call_outstanding = false;
  LogAction last_action = LogAction::kNothing;
  MonotonicTime next_call;
  Term term;
  LogOffset expected_end;

  // State of a follower.
  MonotonicTime last_leader_message;
  Term known_leader_term;
  std::optional<OwnershipRecord> observed;
  std::optional<LogOffset> observed_end;
  MonotonicTime observed_since;
  std::optional<LogOffset> lapsed_log_end;
  bool has_unanswered_claim = false;
  /// When the first unanswered claim of `claim_term` was sent.
  MonotonicTime claim_sent;
  Term claim_term;
  MonotonicTime earliest_claim;

  // State of a leader.
  MonotonicTime mandate_until;
  MonotonicTime last_renewal;
  bool needs_read = false;
  std::optional<OwnershipRecord> predecessor;
  LogOffset predecessor_end;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RANGE_LEADERSHIP_H_
