#include "log_session.h"

#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <stop_token>
#include <utility>

#include "bamboorack/log_service/record_codec.h"
#include "bamboorack/log_service/snapshot_plan.h"

namespace bamboorack::tools {
namespace {

using std::chrono::steady_clock;

/// How long one read may take.
constexpr std::chrono::milliseconds kReadTimeout{2000};

constexpr std::chrono::milliseconds kReadBackTime{3000};

/// Returns 128 random bits in hexadecimal.
RecordId DrawRecordId() {
  std::string text =
      Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  std::erase(text, '-');
  return RecordId(text);
}

}  // namespace

LogSession::LogSession(const Endpoint& log, Observer on_record)
    : client(log, this->metrics), observer(std::move(on_record)) {}

tl::expected<LogOffset, std::string> LogSession::ReadRecords(
    LogOffset from, MonotonicTime deadline, const Visit& visit) {
  log_service::ReadOptions options;
  options.from = from;
  while (true) {
    const MonotonicTime now = steady_clock::now();
    if (now >= deadline) {
      return tl::make_unexpected(
          "the log was not read to its head in time, but only to offset " +
          std::to_string(options.from.value));
    }
    const auto read = this->client.Read(
        options, std::min(deadline, now + kReadTimeout), std::stop_token());
    if (!read) {
      return tl::make_unexpected("the log cannot be read: " + read.error());
    }
    for (const LogRecord& record : read->records) visit(record);
    options.from = read->next;
    if (read->reached_head) return read->first_kept;
  }
}

tl::expected<void, std::string> LogSession::ReadToHead(MonotonicTime deadline) {
  // Records of a trimmed log cannot be judged without the ones before them, so
  // they are held back until the first offset is known.
  std::vector<LogRecord> records;
  const auto first_kept = this->ReadRecords(
      this->State().next_offset, deadline,
      [&records](const LogRecord& record) { records.push_back(record); });
  if (!first_kept) return tl::make_unexpected(first_kept.error());
  if (*first_kept > this->State().next_offset) {
    return this->StartFromSnapshot(*first_kept, records);
  }
  for (const LogRecord& record : records) this->Apply(record);
  return {};
}

tl::expected<void, std::string> LogSession::StartFromSnapshot(
    LogOffset first_kept, const std::vector<LogRecord>& records) {
  log_service::SnapshotAssembler assembler;
  for (const LogRecord& record : records) {
    const auto* piece = std::get_if<SnapshotPiece>(&record.record.body);
    if (piece != nullptr) assembler.Add(*piece);
  }
  if (!assembler.Newest() || assembler.GapBefore(first_kept)) {
    return tl::make_unexpected("the log begins at offset " +
                               std::to_string(first_kept.value) +
                               " and holds no complete snapshot");
  }
  auto snapshot = log_service::DecodeSnapshot(assembler.Newest()->text);
  if (!snapshot) return tl::make_unexpected(snapshot.error());
  this->fold.TakeOver(std::move(*snapshot));
  // The state of the snapshot holds from the last record that it covers.
  LogRecord start{first_kept, {}, Record{{}, SnapshotPiece{}}};
  for (const LogRecord& record : records) {
    const bool is_covered = record.offset < this->State().next_offset;
    if (is_covered || start.time == WallTime()) start.time = record.time;
    if (is_covered) start.offset = record.offset;
  }
  if (this->observer) {
    this->observer(start, Verdict::kAccepted, this->State());
  }
  for (const LogRecord& record : records) this->Apply(record);
  return {};
}

void LogSession::Apply(const LogRecord& record) {
  const bool is_new = record.offset >= this->State().next_offset;
  const Verdict verdict = this->fold.Apply(record);
  if (is_new && this->observer) this->observer(record, verdict, this->State());
  if (!this->awaited || this->awaited->verdict) return;
  if (record.record.id != this->awaited->id) return;
  this->awaited->verdict = verdict;
  this->awaited->offset = record.offset;
}

Verdict LogSession::Judge(const RecordBody& body) const {
  log_service::Fold copy = this->fold;
  return copy.Apply(
      LogRecord{this->State().next_offset, {}, Record{DrawRecordId(), body}});
}

AppendOutcome LogSession::Append(RecordBody body, MonotonicTime deadline) {
  const Record record{DrawRecordId(), std::move(body)};
  this->awaited = AppendOutcome{record.id, {}, {}, false, {}};
  const auto appended =
      this->client.Append(record, deadline, std::stop_token());
  if (!appended) {
    this->awaited->detail = appended.error().detail;
    this->awaited->is_absent =
        appended.error().fault != log_service::AppendFault::kUnknown;
    if (this->awaited->is_absent) return *this->awaited;
  }
  // The append used up its time if its answer was lost; reading gets its own.
  const MonotonicTime read_until = steady_clock::now() + kReadBackTime;
  while (!this->awaited->verdict && steady_clock::now() < read_until) {
    const auto read = this->ReadToHead(read_until);
    if (!read) this->awaited->detail = read.error();
    if (!read) break;
  }
  return *this->awaited;
}

}  // namespace bamboorack::tools
