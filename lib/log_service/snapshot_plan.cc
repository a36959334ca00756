#include "bamboorack/log_service/snapshot_plan.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bamboorack::log_service {
namespace {

/// A snapshot that is not read back complete this long after its last piece
/// is written anew.
constexpr std::chrono::seconds kCompletionLimit{10};

/// Snapshots that are collected at the same time. Two writers overlap when the
/// duty passes from one daemon to another; the rest were cut short.
constexpr std::size_t kMaxOpen = 4;

/// Returns where a piece that starts at `begin` ends. A piece never ends
/// within a character, because each piece is a JSON text of its own.
std::size_t EndOfPiece(const std::string& text, std::size_t begin) {
  std::size_t end = std::min(begin + kPieceBytes, text.size());
  const auto is_continuation = [&text](std::size_t at) {
    return at < text.size() &&
           (static_cast<unsigned char>(text[at]) & 0xC0U) == 0x80U;
  };
  while (end > begin + 1 && is_continuation(end)) --end;
  return end;
}

std::vector<std::string> Cut(const std::string& text) {
  std::vector<std::string> bodies;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t end = EndOfPiece(text, begin);
    bodies.push_back(text.substr(begin, end - begin));
    begin = end;
  }
  return bodies;
}

}  // namespace

SnapshotPlan::SnapshotPlan(std::chrono::milliseconds retention)
    : interval(retention / 2) {}

void SnapshotPlan::OnComplete(MonotonicTime now) {
  this->due_at = now + this->interval;
}

bool SnapshotPlan::IsDue(MonotonicTime now) const {
  return !this->IsWriting() && now >= this->due_at;
}

bool SnapshotPlan::Start(const RecordId& snapshot, LogOffset covers_before,
                         const std::string& text, MonotonicTime now) {
  std::vector<std::string> bodies = Cut(text);
  if (bodies.empty() || bodies.size() > kMaxPieces) return false;
  this->pieces.clear();
  const auto count = static_cast<std::uint32_t>(bodies.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    this->pieces.push_back(
        {snapshot, covers_before, i, count, std::move(bodies[i])});
  }
  this->next_piece_at = std::max(this->next_piece_at, now);
  return true;
}

std::optional<SnapshotPiece> SnapshotPlan::NextPiece(MonotonicTime now) {
  if (this->pieces.empty() || now < this->next_piece_at) return std::nullopt;
  this->next_piece_at = now + kPieceInterval;
  SnapshotPiece piece = std::move(this->pieces.front());
  this->pieces.pop_front();
  if (this->pieces.empty()) {
    this->due_at = std::max(this->due_at, now + kCompletionLimit);
  }
  return piece;
}

bool SnapshotAssembler::Add(const SnapshotPiece& piece) {
  if (piece.count == 0 || piece.count > kMaxPieces ||
      piece.index >= piece.count) {
    return false;
  }
  if (this->newest && piece.covers_before <= this->newest->covers_before) {
    return false;
  }
  Collection& collection =
      this->open
          .try_emplace(piece.snapshot,
                       Collection{piece.covers_before, piece.count, {}})
          .first->second;
  if (collection.covers_before != piece.covers_before ||
      collection.count != piece.count) {
    return false;
  }
  collection.bodies.emplace(piece.index, piece.body);
  if (collection.bodies.size() < collection.count) {
    this->DropOldest();
    return false;
  }
  CompleteSnapshot complete{piece.snapshot, piece.covers_before, {}};
  for (const auto& [index, body] : collection.bodies) complete.text += body;
  this->newest = std::move(complete);
  std::erase_if(this->open, [this](const auto& entry) {
    return entry.second.covers_before <= this->newest->covers_before;
  });
  return true;
}

void SnapshotAssembler::DropOldest() {
  if (this->open.size() <= kMaxOpen) return;
  const auto oldest = std::min_element(this->open.begin(), this->open.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.covers_before <
                                                right.second.covers_before;
                                       });
  this->open.erase(oldest);
}

std::optional<LogGap> SnapshotAssembler::GapBefore(LogOffset first_kept) const {
  const LogOffset reached =
      this->newest ? this->newest->covers_before : LogOffset(1);
  if (first_kept <= reached) return std::nullopt;
  return LogGap{reached, first_kept};
}

}  // namespace bamboorack::log_service
