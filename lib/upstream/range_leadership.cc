#include "bamboorack/upstream/range_leadership.h"

#include <algorithm>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

// Interval between reads of the record while no leader sends messages.
constexpr milliseconds kReadEvery{250};
// Minimum interval between appends. Changes of ownership within it are saved
// together, since each call to the log incurs a charge.
constexpr milliseconds kSaveEvery{100};
// Delay after a failed call to the log.
constexpr milliseconds kRetryPause{100};

}  // namespace

RangeLeadership::RangeLeadership(DaemonId daemon,
                                 DaemonInstance daemon_instance,
                                 MonotonicTime now)
    : self(std::move(daemon)),
      instance(std::move(daemon_instance)),
      next_call(now),
      // The first read is due at once.
      leader_heard(now - kLeaderSilence),
      observed_since(now),
      not_before(now) {}

bool RangeLeadership::IsOwn(const OwnershipRecord& record) const {
  return record.leader == this->self && record.instance == this->instance;
}

RangeLeadership::Wish RangeLeadership::Next(MonotonicTime now,
                                            bool has_unsaved_changes) {
  if (this->is_waiting) return Wish::kNothing;
  const Wish wish = this->role == Role::kLeader
                        ? this->NextOfLeader(now, has_unsaved_changes)
                        : this->NextOfFollower(now);
  this->is_waiting = wish != Wish::kNothing;
  this->outstanding = wish;
  return wish;
}

RangeLeadership::Wish RangeLeadership::NextOfFollower(MonotonicTime now) {
  if (now < this->next_call) return Wish::kNothing;
  if (now - this->leader_heard < kLeaderSilence) return Wish::kNothing;
  if (this->MayClaim(now)) {
    this->term = Term(this->observed ? this->observed->term.value + 1 : 1);
    this->term = std::max(this->term, Term(this->heard_term.value + 1));
    this->expected_end = *this->observed_end;
    this->predecessor_end = this->expected_end;
    return Wish::kClaim;
  }
  return Wish::kRead;
}

bool RangeLeadership::MayClaim(MonotonicTime now) const {
  if (!this->observed_end || now < this->not_before) return false;
  if (!this->observed || this->observed->is_released) return true;
  // The record is from a former process of this daemon, which has ended, since
  // this process runs in its place.
  if (this->observed->leader == this->self) return true;
  if (this->lapsed_end == this->observed_end) return true;
  return now - this->observed_since >= kTakeoverWait;
}

RangeLeadership::Wish RangeLeadership::NextOfLeader(MonotonicTime now,
                                                    bool has_unsaved_changes) {
  if (now < this->next_call) return Wish::kNothing;
  if (this->needs_read) return Wish::kRead;
  const bool is_due = now - this->last_renewal >= kRenewEvery;
  const bool may_save = now - this->last_renewal >= kSaveEvery;
  return is_due || (has_unsaved_changes && may_save) ? Wish::kRenew
                                                     : Wish::kNothing;
}

void RangeLeadership::OnRead(const std::optional<OwnershipRecord>& record,
                             LogOffset end, MonotonicTime now) {
  this->is_waiting = false;
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
  if (is_own && this->may_have_claimed && record->term == this->term) {
    // An unanswered claim has taken effect.
    this->may_have_claimed = false;
    this->role = Role::kLeader;
    this->expected_end = end;
    this->mandate_until = this->claim_sent + kMandate;
    this->last_renewal = this->claim_sent;
    this->predecessor = record;
    return;
  }
  this->next_call = now + kReadEvery;
  if (this->observed_end != end) this->observed_since = now;
  this->observed_end = end;
  this->observed = record;
  if (this->MayClaim(now)) this->next_call = now;
}

void RangeLeadership::OnReadFailed(MonotonicTime now) {
  this->is_waiting = false;
  this->next_call = now + kRetryPause;
}

void RangeLeadership::OnAppended(LogOffset end, MonotonicTime sent,
                                 MonotonicTime now) {
  this->is_waiting = false;
  this->next_call = now;
  this->expected_end = end;
  if (this->role == Role::kFollower) {
    this->role = Role::kLeader;
    this->may_have_claimed = false;
    this->predecessor = std::exchange(this->observed, std::nullopt);
    if (!this->predecessor) this->predecessor = OwnershipRecord{};
  }
  this->mandate_until = std::max(this->mandate_until, sent + kMandate);
  this->last_renewal = sent;
}

void RangeLeadership::OnAppendFailed(MonotonicTime sent, MonotonicTime now) {
  this->is_waiting = false;
  this->next_call = now + kRetryPause;
  // The log shows whether the append took effect, and if not, which one did.
  this->needs_read = true;
  if (this->role == Role::kFollower) {
    // Any of the claims of a term may take effect, so the mandate counts from
    // the first.
    const bool is_first =
        !this->may_have_claimed || this->claim_term != this->term;
    if (is_first) this->claim_sent = sent;
    this->claim_term = this->term;
    this->may_have_claimed = true;
    this->observed_end.reset();
  }
}

void RangeLeadership::OnLeaderHeard(Term leader_term, MonotonicTime now) {
  if (leader_term < this->heard_term) return;
  this->heard_term = leader_term;
  this->leader_heard = now;
  if (this->role == Role::kLeader && leader_term > this->term) {
    this->BecomeFollower(now);
  }
}

void RangeLeadership::OnLeaderResigned(Term leader_term, MonotonicTime now) {
  if (this->role == Role::kLeader || leader_term < this->heard_term) return;
  this->leader_heard = now - kLeaderSilence;
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

void RangeLeadership::StepDown(MonotonicTime until) {
  this->not_before = until;
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
  this->leader_heard = now;
  this->needs_read = false;
}

bool RangeLeadership::MaySendOrders(MonotonicTime now) const {
  return this->role == Role::kLeader && now < this->mandate_until;
}

bool RangeLeadership::IsInTrouble(MonotonicTime now) const {
  return this->MaySendOrders(now) && now - this->last_renewal > kTroubleAfter;
}

bool RangeLeadership::MustExtend(MonotonicTime now) const {
  return this->MaySendOrders(now) && now - this->last_renewal > kExtendAfter;
}

std::optional<OwnershipRecord> RangeLeadership::TakePredecessor() {
  return std::exchange(this->predecessor, std::nullopt);
}

}  // namespace bamboorack::upstream
