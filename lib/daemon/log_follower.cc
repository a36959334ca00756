#include "bamboorack/daemon/log_follower.h"

#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "bamboorack/log_service/record_codec.h"

namespace bamboorack::daemon {
namespace {

constexpr std::chrono::milliseconds kContactTimeout{1000};

}  // namespace

LogFollower::LogFollower(std::chrono::milliseconds retention, Metrics& registry)
    : metrics(registry), plan(retention) {}

void LogFollower::OnMessage(const log_service::FromLog& message,
                            MonotonicTime now,
                            const VerdictHandler& on_verdict) {
  const auto* read = std::get_if<log_service::RecordsRead>(&message);
  if (read == nullptr) {
    this->metrics.Count("log_read_failures");
    return;
  }
  this->last_answer = std::max(this->last_answer, now);
  // Offsets start at 1, so an empty state can follow an untrimmed log without a
  // snapshot.
  const LogOffset needed(
      std::max<std::uint64_t>(this->fold.State().next_offset.value, 1));
  if (read->first_kept > needed) this->EnterGap(read->first_kept);
  bool has_new_snapshot = false;
  for (const LogRecord& record : read->records) {
    has_new_snapshot |= this->CollectSnapshotPiece(record);
    if (this->has_gap) {
      this->records_after_gap.push_back(record);
    } else {
      this->ApplyRecord(record, on_verdict);
    }
  }
  if (this->has_gap) this->RecoverFromSnapshot(read->first_kept, on_verdict);
  if (this->has_gap) return;
  this->fold.AdvanceTo(read->next);
  if (!read->reached_head) return;
  if (has_new_snapshot) this->plan.OnComplete(now);
  this->last_head_contact = std::max(this->last_head_contact, read->sent_at);
  if (this->has_state) return;
  this->has_state = true;
  LOG(INFO) << "event=log_read_to_head next=" << read->next;
}

void LogFollower::EnterGap(LogOffset first_kept) {
  if (this->has_gap) return;
  this->has_gap = true;
  LOG(WARNING) << "event=log_gap state_at=" << this->fold.State().next_offset
               << " first_kept=" << first_kept;
}

bool LogFollower::CollectSnapshotPiece(const LogRecord& record) {
  const auto* piece = std::get_if<SnapshotPiece>(&record.record.body);
  return piece != nullptr && this->assembler.Add(*piece);
}

void LogFollower::RecoverFromSnapshot(LogOffset first_kept,
                                      const VerdictHandler& on_verdict) {
  const auto& newest = this->assembler.Newest();
  if (!newest || this->assembler.GapBefore(first_kept)) return;
  if (!this->RestoreSnapshot(newest->text, on_verdict)) return;
  LOG(INFO) << "event=state_taken_from_snapshot covers_before="
            << newest->covers_before;
}

void LogFollower::ApplyRecordsAfterGap(const VerdictHandler& on_verdict) {
  for (const LogRecord& record : std::exchange(this->records_after_gap, {})) {
    this->ApplyRecord(record, on_verdict);
  }
}

void LogFollower::ApplyRecord(const LogRecord& record,
                              const VerdictHandler& on_verdict) {
  const bool is_new = record.offset >= this->fold.State().next_offset;
  const Verdict verdict = this->fold.Apply(record);
  if (!is_new) return;
  this->has_state_changed = true;
  if (verdict == Verdict::kAccepted) this->RecordPredecessor(record);
  on_verdict(record, verdict);
}

std::optional<Record> LogFollower::NextSnapshotPiece(
    bool is_writer, MonotonicTime now,
    const std::function<RecordId()>& next_record_id) {
  if (!is_writer || !this->has_state) {
    this->plan.Cancel();
    return std::nullopt;
  }
  if (!this->plan.IsWriting() && this->plan.IsDue(now)) {
    const LogOffset covers_before = this->fold.State().next_offset;
    if (!this->plan.Start(next_record_id(), covers_before,
                          log_service::EncodeSnapshot(this->fold.Snapshot()),
                          now)) {
      this->metrics.Count("snapshots_too_large");
    }
  }
  auto piece = this->plan.NextPiece(now);
  if (!piece) return std::nullopt;
  return Record{next_record_id(), std::move(*piece)};
}

void LogFollower::RecordPredecessor(const LogRecord& record) {
  const auto* taken = std::get_if<AuthorityTaken>(&record.record.body);
  if (taken == nullptr) return;
  this->had_predecessor[taken->group] = taken->base_token.value != 0;
}

bool LogFollower::RestoreSnapshot(std::string_view text,
                                  const VerdictHandler& on_verdict) {
  auto snapshot = log_service::DecodeSnapshot(text);
  if (!snapshot) {
    this->metrics.Count("peer_states_malformed");
    return false;
  }
  if (!this->fold.TakeOver(std::move(*snapshot))) {
    this->metrics.Count("peer_states_refused");
    return false;
  }
  this->has_state_changed = true;
  this->has_gap = false;
  this->has_state = true;
  this->ApplyRecordsAfterGap(on_verdict);
  return true;
}

bool LogFollower::NeedsPeerState(MonotonicTime now) const {
  return this->has_gap || (!this->has_state && !this->HasLogContact(now));
}

Body LogFollower::EncodedSnapshot() const {
  return std::make_shared<const std::string>(
      log_service::EncodeSnapshot(this->fold.Snapshot()));
}

bool LogFollower::ConsumeStateChanged() {
  return std::exchange(this->has_state_changed, false);
}

bool LogFollower::HasLogContact(MonotonicTime now) const {
  return now - this->last_answer < kContactTimeout;
}

bool LogFollower::HadPredecessor(const GroupId& group) const {
  const auto found = this->had_predecessor.find(group);
  // If the record was not read, assume that there was a predecessor.
  return found == this->had_predecessor.end() || found->second;
}

}  // namespace bamboorack::daemon
