#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboorack/core/http_head.h"
#include "bamboorack/upstream/upstream_reactor.h"

// The reading of answers, and the memory that they may take up.

namespace bamboorack::upstream {
namespace {

using IoStatus = HttpConnection::IoStatus;

constexpr std::size_t kMaxAnswerHeadBytes = 32'768;
// A faulty upstream may send an endless series of interim answers. One read
// returns thousands of them, and erasing each from the front of the input
// delayed requests to other upstreams by 34 ms.
constexpr int kMaxInterimAnswers = 16;

bool IsInterim(int status) { return status >= 100 && status < 200; }

}  // namespace

void UpstreamReactor::OnExchanging(Connection& connection,
                                   const PollReactor::Event& event) {
  const bool can_write =
      !event.is_writable || connection.http.Write() == IoStatus::kOk;
  const bool is_broken = event.has_failed || !can_write;
  if (event.is_readable || is_broken) {
    if (!this->ReceiveAnswer(connection, is_broken)) return;
  }
  this->WatchExchange(connection);
}

bool UpstreamReactor::ReceiveAnswer(Connection& connection, bool is_broken) {
  if (connection.is_awaiting_memory) {
    return this->CheckEnd(connection, is_broken);
  }
  const std::uint64_t before = connection.http.BytesRead();
  const IoStatus status = connection.http.Read(this->settings.max_answer_input);
  if (status == IoStatus::kClosed) connection.peer_closed = true;
  if (!this->ReadAnswer(connection)) return false;
  if (connection.is_awaiting_memory) {
    this->metrics.Count("upstream_answers_held_back");
  }
  // The kernel keeps what came before the connection broke, so the answer may
  // be whole. One turn may not read all of it.
  const bool has_read = connection.http.BytesRead() > before;
  const bool has_ended =
      status == IoStatus::kFailed || (is_broken && !has_read);
  return this->CheckEnd(connection, has_ended);
}

bool UpstreamReactor::CheckEnd(Connection& connection, bool has_ended) {
  // An answer that waits for memory may have come whole before a close in good
  // order.
  const bool is_cut_short =
      connection.peer_closed && !connection.is_awaiting_memory;
  if (!has_ended && !is_cut_short) return true;
  this->FailExchange(connection, Failure::kConnectionLost,
                     "upstream_lost_connections");
  return false;
}

bool UpstreamReactor::ReadAnswer(Connection& connection) {
  while (!connection.answer) {
    const std::size_t before = connection.http.Input().size();
    if (!this->ParseAnswerHead(connection)) return false;
    if (connection.http.Input().size() == before) return true;
  }
  switch (this->ReserveBody(connection)) {
    case MemoryGrant::kGranted:
      break;
    case MemoryGrant::kLater:
      return true;
    case MemoryGrant::kNever:
      this->CutAnswer(connection);
      return false;
  }
  BodyReader::Status status = connection.body.Feed(connection.http.Input());
  if (status == BodyReader::Status::kIncomplete) {
    if (!connection.peer_closed) return true;
    status = connection.body.FeedEnd();
  }
  if (status == BodyReader::Status::kComplete) {
    this->CompleteExchange(connection);
  } else {
    this->FailBody(connection);
  }
  return false;
}

void UpstreamReactor::FailBody(Connection& connection) {
  if (connection.peer_closed) {
    this->FailExchange(connection, Failure::kConnectionLost,
                       "upstream_lost_connections");
    return;
  }
  this->FailExchange(connection, Failure::kBadAnswer, "upstream_bad_answers");
}

bool UpstreamReactor::ParseAnswerHead(Connection& connection) {
  std::string& input = connection.http.Input();
  const auto length = FindHeadEnd(input);
  if (length.value_or(input.size()) > kMaxAnswerHeadBytes) {
    this->FailExchange(connection, Failure::kBadAnswer, "upstream_bad_answers");
    return false;
  }
  if (!length) return true;
  const auto decode = this->settings.protocol->AllowsUnknownLength()
                          ? &DecodeAnswerHeadAnyLength
                          : &DecodeAnswerHead;
  auto head = decode(
      std::string_view(input).substr(0, *length), connection.exchange->IsHead(),
      connection.exchange->MaxAnswerBody(this->settings.max_answer_body));
  if (!head) {
    this->FailExchange(connection, Failure::kBadAnswer, "upstream_bad_answers");
    return false;
  }
  if (!this->CheckAnswerMatch(connection, *head)) return false;
  input.erase(0, *length);
  connection.head_bytes = MemoryOf(head->headers);
  if (IsInterim(head->status)) {
    if (++connection.interim_answers <= kMaxInterimAnswers) return true;
    this->FailExchange(connection, Failure::kBadAnswer, "upstream_bad_answers");
    return false;
  }
  connection.body = BodyReader(
      {head->framing, head->body_length},
      connection.exchange->MaxAnswerBody(this->settings.max_answer_body));
  const bool is_small =
      head->framing == BodyFraming::kLength && head->body_length <= kSmallBody;
  connection.reservation = MemoryReservation(
      this->settings.memory,
      is_small ? MemoryUse::kAnswers : MemoryUse::kLargeAnswers);
  connection.answer = std::move(*head);
  return true;
}

bool UpstreamReactor::CheckAnswerMatch(Connection& connection,
                                       const AnswerHead& head) {
  connection.answer_match = connection.exchange->Match(head);
  if (connection.answer_match == AnswerMatch::kOther) {
    this->FailExchange(connection, Failure::kBadAnswer,
                       "upstream_unmatched_answers");
    return false;
  }
  // Interim answers bear no id and have no effect.
  const bool is_doubtful =
      connection.answer_match == AnswerMatch::kUnidentified &&
      !connection.is_first_exchange && !IsInterim(head.status);
  if (!is_doubtful) return true;
  this->FailExchange(connection, Failure::kBadAnswer,
                     "upstream_unidentified_answers");
  return false;
}

UpstreamReactor::MemoryGrant UpstreamReactor::ReserveBody(
    Connection& connection) {
  const std::size_t wanted =
      connection.body.CapacityDuring(connection.http.Input().size());
  while (!connection.reservation.TryResize(wanted)) {
    if (!connection.reservation.CanEverHold(wanted)) return MemoryGrant::kNever;
    Connection* const largest = this->FindAnswerToCut();
    if (largest == &connection) return MemoryGrant::kNever;
    if (largest == nullptr) {
      connection.is_awaiting_memory = true;
      this->awaiting_memory.push_back(connection.key);
      return MemoryGrant::kLater;
    }
    this->CutAnswer(*largest);
  }
  return MemoryGrant::kGranted;
}

UpstreamReactor::Connection* UpstreamReactor::FindAnswerToCut() {
  std::size_t sum = 0;
  Connection* largest = nullptr;
  for (const auto& [key, connection] : this->connections) {
    const bool is_open_ended =
        connection->answer && !connection->body.HasKnownLength();
    if (!is_open_ended) continue;
    const std::size_t bytes = connection->reservation.Bytes();
    sum += bytes;
    if (largest == nullptr || bytes > largest->reservation.Bytes()) {
      largest = connection.get();
    }
  }
  const std::size_t limit =
      this->settings.memory->Limit(MemoryUse::kLargeAnswers);
  return sum > limit / 2 ? largest : nullptr;
}

void UpstreamReactor::CutAnswer(Connection& connection) {
  this->FailExchange(connection, Failure::kAnswerCut, "upstream_answers_cut");
}

void UpstreamReactor::ResumeAnswers() {
  if (!this->memory_released->exchange(false)) return;
  for (const Key key : std::exchange(this->awaiting_memory, {})) {
    const auto found = this->connections.find(key);
    if (found == this->connections.end()) continue;
    Connection& connection = *found->second;
    connection.is_awaiting_memory = false;
    if (!this->ReadAnswer(connection)) continue;
    if (this->CheckEnd(connection, false)) this->WatchExchange(connection);
  }
}

Body UpstreamReactor::TakeBody(Connection& connection) {
  // The head is held as it came and as it is sent, a small body as well.
  std::string bytes = connection.body.Take();
  const std::size_t copied =
      bytes.size() <= HttpConnection::kMaxJoinedBody ? bytes.size() : 0;
  connection.reservation.Set(bytes.capacity() + copied +
                             2 * connection.head_bytes);
  connection.body = BodyReader();
  return MakeBody(std::move(bytes), std::move(connection.reservation));
}

}  // namespace bamboorack::upstream
