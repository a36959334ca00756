#include "bamboorack/upstream/range_leadership.h"

#include <algorithm>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

// Interval between reads of the record while no leader sends messages.
constexpr milliseconds kReadInterval{250};
// Minimum interval between appends. Changes of ownership within it are saved
// together, since each call to the log incurs a charge.
constexpr milliseconds kMinAppendInterval{100};
// Delay after a failed call to the log.
constexpr milliseconds kRetryDelay{100};

}  // namespace

RangeLeadership::RangeLeadership(DaemonId daemon,
                                 DaemonInstance daemon_instance,
                                 MonotonicTime now,
                                 std::chrono::milliseconds delay)
    : self(std::move(daemon)),
      instance(std::move(daemon_instance)),
      claim_delay(delay),
      next_call(now),
      // The first read is due at once.
      last_leader_message(now - kLeaderTimeout),
      observed_since(now),
      earliest_claim(now) {}

bool RangeLeadership::IsOwn(const OwnershipRecord& record) const {
  return record.leader == this->self && record.instance == this->instance;
}

RangeLeadership::LogAction RangeLeadership::NextLogAction(
    MonotonicTime now, bool has_unsaved_changes) {
  if (this->is_call_outstanding) return LogAction::kNothing;
  const LogAction action =
      this->role == Role::kLeader
          ? this->NextLeaderAction(now, has_unsaved_changes)
          : this->NextFollowerAction(now);
  this->is_call_outstanding = action != LogAction::kNothing;
  this->last_action = action;
  return action;
}

RangeLeadership::LogAction RangeLeadership::NextFollowerAction(
    MonotonicTime now) {
  if (now < this->next_call) return LogAction::kNothing;
  if (now - this->last_leader_message < kLeaderTimeout)
    return LogAction::kNothing;
  if (this->MayClaim(now)) {
    this->term = Term(this->observed ? this->observed->term.value + 1 : 1);
    this->term = std::max(this->term, Term(this->known_leader_term.value + 1));
    this->expected_end = *this->observed_end;
    this->predecessor_end = this->expected_end;
    return LogAction::kClaim;
  }
  return LogAction::kRead;
}

bool RangeLeadership::MayClaim(MonotonicTime now) const {
  if (!this->observed_end || now < this->earliest_claim) return false;
  // The record is from a former process of this daemon, which has ended, since
  // this process runs in its place. Other daemons have to wait longer.
  if (this->observed && this->observed->leader == this->self) return true;
  const auto observed_for = now - this->observed_since;
  const bool is_free = !this->observed || this->observed->is_released ||
                       this->lapsed_log_end == this->observed_end;
  return observed_for >=
         (is_free ? this->claim_delay : kTakeoverWait + this->claim_delay);
}

RangeLeadership::LogAction RangeLeadership::NextLeaderAction(
    MonotonicTime now, bool has_unsaved_changes) {
  if (now < this->next_call) return LogAction::kNothing;
  if (this->needs_read) return LogAction::kRead;
  const bool is_due = now - this->last_renewal >= kRenewalInterval;
  const bool may_save = now - this->last_renewal >= kMinAppendInterval;
  return is_due || (has_unsaved_changes && may_save) ? LogAction::kRenew
                                                     : LogAction::kNothing;
}

void RangeLeadership::OnRead(const std::optional<OwnershipRecord>& record,
                             LogOffset end, MonotonicTime now) {
  this->is_call_outstanding = false;
  this->needs_read = false;
  this->next_call = now;
  const bool is_own = record && this->IsOwn(*record);
  if (this->role == Role::kLeader) {
    if (is_own && record->term == this->term) {
      this->expected_end = end;
      return;
    }
    this->BecomeFollower(now);
  }
  if (is_own && this->has_unanswered_claim && record->term == this->term) {
    // An unanswered claim has taken effect.
    this->has_unanswered_claim = false;
    this->role = Role::kLeader;
    this->expected_end = end;
    this->mandate_until = this->claim_sent + kMandateDuration;
    this->last_renewal = this->claim_sent;
    this->predecessor = record;
    return;
  }
  this->next_call = now + kReadInterval;
  if (this->observed_end != end) this->observed_since = now;
  this->observed_end = end;
  this->observed = record;
  if (this->MayClaim(now)) this->next_call = now;
}

void RangeLeadership::OnReadFailed(MonotonicTime now) {
  this->is_call_outstanding = false;
  this->next_call = now + kRetryDelay;
}

void RangeLeadership::OnAppended(LogOffset end, MonotonicTime sent,
                                 MonotonicTime now) {
  this->is_call_outstanding = false;
  this->next_call = now;
  this->expected_end = end;
  if (this->role == Role::kFollower) {
    this->role = Role::kLeader;
    this->has_unanswered_claim = false;
    this->predecessor = std::exchange(this->observed, std::nullopt);
    if (!this->predecessor) this->predecessor = OwnershipRecord{};
  }
  this->mandate_until = std::max(this->mandate_until, sent + kMandateDuration);
  this->last_renewal = sent;
}

void RangeLeadership::OnAppendFailed(MonotonicTime sent, MonotonicTime now) {
  this->is_call_outstanding = false;
  this->next_call = now + kRetryDelay;
  // The log shows whether the append took effect, and if not, which one did.
  this->needs_read = true;
  if (this->role == Role::kFollower) {
    // Any of the claims of a term may take effect, so the mandate counts from
    // the first.
    const bool is_first =
        !this->has_unanswered_claim || this->claim_term != this->term;
    if (is_first) this->claim_sent = sent;
    this->claim_term = this->term;
    this->has_unanswered_claim = true;
    this->observed_end.reset();
  }
}

void RangeLeadership::OnLeaderMessage(Term leader_term, MonotonicTime now) {
  if (leader_term < this->known_leader_term) return;
  this->known_leader_term = leader_term;
  this->last_leader_message = now;
  if (this->role == Role::kLeader && leader_term > this->term) {
    this->BecomeFollower(now);
  }
}

void RangeLeadership::OnLeaderResigned(Term leader_term, MonotonicTime now) {
  if (this->role == Role::kLeader || leader_term < this->known_leader_term)
    return;
  this->last_leader_message = now - kLeaderTimeout;
  this->next_call = now;
}

void RangeLeadership::OnSuspended(MonotonicTime now) {
  // The monotonic clock does not advance during a suspension, so no time that
  // was measured with it is valid any longer.
  this->mandate_until = MonotonicTime{};
  this->observed_since = now;
  this->observed_end.reset();
  this->needs_read = this->role == Role::kLeader;
}

void RangeLeadership::Resign(MonotonicTime until) {
  this->earliest_claim = until;
  this->role = Role::kFollower;
  this->mandate_until = MonotonicTime{};
  this->observed.reset();
  this->observed_end.reset();
}

void RangeLeadership::BecomeFollower(MonotonicTime now) {
  this->role = Role::kFollower;
  this->mandate_until = MonotonicTime{};
  this->observed.reset();
  this->observed_end.reset();
  this->observed_since = now;
  this->last_leader_message = now;
  this->needs_read = false;
}

bool RangeLeadership::MaySendCalls(MonotonicTime now) const {
  return this->role == Role::kLeader && now < this->mandate_until;
}

bool RangeLeadership::IsRenewalOverdue(MonotonicTime now) const {
  return this->MaySendCalls(now) &&
         now - this->last_renewal > kRenewalOverdueAfter;
}

bool RangeLeadership::MustExtendLeases(MonotonicTime now) const {
  return this->MaySendCalls(now) &&
         now - this->last_renewal > kExtendLeasesAfter;
}

std::optional<OwnershipRecord> RangeLeadership::TakePredecessor() {
  return std::exchange(this->predecessor, std::nullopt);
}

}  // namespace bamboorack::upstream
