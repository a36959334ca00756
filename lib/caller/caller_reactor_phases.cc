#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "bamboorack/caller/caller_codec.h"
#include "bamboorack/caller/caller_reactor.h"
#include "bamboorack/core/http_head.h"

// The phases of a connection: reading requests and closing.

namespace bamboorack::caller {
namespace {

using std::chrono::milliseconds;

// An idle connection stays open this long during a stop: its caller may just
// be sending a request, whose answer then tells it to close the connection.
constexpr milliseconds kStopGrace{500};
constexpr milliseconds kLingerTime{500};

}  // namespace

bool CallerReactor::MayReadNext(const Connection& connection) const {
  // A caller that does not read its answers gets no more of them.
  return connection.pipeline.HasRoom() && !connection.http.HasOutput();
}

CallerReactor::Step CallerReactor::AdvanceIdle(Connection& connection) {
  const bool is_quiet =
      connection.pipeline.IsEmpty() && !connection.http.HasOutput();
  if (!connection.http.Input().empty()) {
    if (!this->MayReadNext(connection)) {
      return this->PauseReading(connection);
    }
    connection.reservation =
        MemoryReservation(this->settings.memory, MemoryUse::kRequests);
    connection.phase = Phase::kReadingHead;
    connection.keep_alive = true;
    this->SetTimeout(connection, this->settings.head_timeout);
    return Step::kAgain;
  }
  if (connection.peer_closed) {
    return connection.http.HasOutput() && connection.pipeline.IsEmpty()
               ? Step::kWait
               : Step::kClose;
  }
  if (!is_quiet) {
    connection.phase_deadline.reset();
  } else if (!connection.phase_deadline) {
    this->SetTimeout(connection, this->is_stopping
                                     ? kStopGrace
                                     : this->settings.idle_timeout);
  }
  return Step::kWait;
}

CallerReactor::Step CallerReactor::PauseReading(Connection& connection) {
  this->metrics.Count("caller_reads_paused");
  connection.reservation =
      MemoryReservation(this->settings.memory, MemoryUse::kRequests);
  if (!connection.reservation.TryResize(kMaxInputAhead)) {
    // The caller repeats requests that are not answered.
    this->StopReading(connection);
    return Step::kAgain;
  }
  connection.phase = Phase::kPaused;
  connection.phase_deadline.reset();
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::AdvancePaused(Connection& connection) {
  if (this->MayReadNext(connection)) {
    connection.phase = Phase::kIdle;
    return Step::kAgain;
  }
  return connection.peer_closed && !connection.pipeline.IsEmpty() ? Step::kClose
                                                                  : Step::kWait;
}

CallerReactor::Step CallerReactor::AdvanceHead(Connection& connection) {
  std::string& input = connection.http.Input();
  // RFC 9112 lets a server ignore empty lines before a request.
  while (input.starts_with("\r\n")) input.erase(0, 2);
  connection.arrival_times.OnTaken(input.size());
  const auto length = FindHeadEnd(input);
  const std::size_t limit = this->settings.limits.head;
  if (length.value_or(input.size()) > limit) {
    connection.checked = {};
    return this->Reject(connection, Reason::kHeadTooLarge,
                        "head is larger than " + std::to_string(limit));
  }
  if (length) return this->TakeHead(connection, *length);
  if (!connection.reservation.TryResize(input.capacity())) {
    connection.checked = {};
    return this->Reject(connection, Reason::kQueueFull,
                        "no memory for the head");
  }
  if (!connection.peer_closed) return Step::kWait;
  this->metrics.Count("caller_early_closes");
  return Step::kClose;
}

CallerReactor::Step CallerReactor::TakeHead(Connection& connection,
                                            std::size_t length) {
  std::string& input = connection.http.Input();
  connection.arrived = connection.arrival_times.At(length - 1);
  connection.checked = {};
  const auto parsed =
      ParseRequestHead(std::string_view(input).substr(0, length));
  if (!parsed) {
    return this->Reject(connection, Reason::kMalformedRequest,
                        "invalid head: " + parsed.error());
  }
  connection.checked.request.method = parsed->method;
  connection.keep_alive = parsed->keep_alive;
  auto checked = this->settings.protocol->Check(*parsed, this->settings.limits,
                                                connection.arrived);
  if (!checked) {
    // The end of the body is not known for certain, so nothing after it can
    // be read as a request.
    connection.keep_alive = false;
    return this->Refuse(connection, std::move(checked.error()));
  }
  connection.checked = std::move(*checked);
  input.erase(0, length);
  connection.arrival_times.OnTaken(input.size());
  return this->StartBody(connection);
}

CallerReactor::Step CallerReactor::AdvanceBody(Connection& connection) {
  if (!this->ReserveBody(connection)) return this->AwaitMemory(connection);
  const BodyReader::Status status =
      connection.body.Feed(connection.http.Input());
  connection.arrival_times.OnTaken(connection.http.Input().size());
  if (status == BodyReader::Status::kComplete) {
    return this->FinishRequest(connection);
  }
  if (status == BodyReader::Status::kMalformed) {
    return this->Reject(connection, Reason::kMalformedRequest,
                        "invalid chunked body");
  }
  if (status == BodyReader::Status::kTooLarge) {
    return this->Reject(connection, Reason::kBodyTooLarge,
                        "chunked body is too large");
  }
  if (!connection.peer_closed) return Step::kWait;
  this->metrics.Count("caller_early_closes");
  return Step::kClose;
}

CallerExchange& CallerReactor::AddExchange(Connection& connection) {
  CallerExchange exchange;
  exchange.is_head = connection.checked.request.method == "HEAD";
  exchange.rank = connection.checked.request.rank;
  exchange.arrived_at = connection.arrived;
  exchange.keep_alive = connection.keep_alive;
  connection.is_continue_due = false;
  return connection.pipeline.Add(std::move(exchange));
}

CallerReactor::Step CallerReactor::FinishRequest(Connection& connection) {
  CallerExchange& exchange = this->AddExchange(connection);
  exchange.request = std::move(connection.checked.request);
  exchange.request.body =
      MakeBody(connection.body.Take(), std::move(connection.reservation));
  if (connection.pipeline.MayStart(exchange)) {
    this->PassOn(connection, exchange);
  } else {
    this->metrics.Count("caller_requests_held_back");
  }
  return this->ReadOn(connection);
}

CallerReactor::Step CallerReactor::ReadOn(Connection& connection) {
  connection.phase = connection.keep_alive ? Phase::kIdle : Phase::kFinishing;
  connection.phase_deadline.reset();
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::Reject(Connection& connection, Reason reason,
                                          std::string detail) {
  connection.keep_alive = false;
  return this->Refuse(connection, {Ending::kNotRun, reason, std::move(detail)});
}

CallerReactor::Step CallerReactor::Refuse(Connection& connection,
                                          Refusal refusal) {
  this->metrics.CountRefusal(refusal.reason);
  CallerExchange& exchange = this->AddExchange(connection);
  this->ReleaseMemory(connection);
  connection.pipeline.SetResult(exchange,
                                tl::make_unexpected(std::move(refusal)));
  return this->ReadOn(connection);
}

void CallerReactor::StopReading(Connection& connection) {
  if (!RowOf(connection).keeps_input) return;
  this->ReleaseMemory(connection);
  connection.pipeline.EndAfterLast();
  connection.phase = Phase::kFinishing;
  connection.phase_deadline.reset();
  connection.is_continue_due = false;
  connection.http.Input().clear();
  connection.arrival_times.OnTaken(0);
}

CallerReactor::Step CallerReactor::AdvanceFinishing(Connection& connection) {
  if (!connection.pipeline.IsEmpty()) {
    return connection.peer_closed ? Step::kClose : Step::kWait;
  }
  if (connection.http.HasOutput()) return Step::kWait;
  connection.http.Input().clear();
  connection.http.CloseSend();
  connection.phase = Phase::kLingering;
  this->SetTimeout(connection, kLingerTime);
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::AdvanceLingering(Connection& connection) {
  return connection.peer_closed ? Step::kClose : Step::kWait;
}

CallerReactor::Step CallerReactor::ExpireIdle(Connection& /*connection*/) {
  this->metrics.Count("caller_idle_closes");
  return Step::kClose;
}

CallerReactor::Step CallerReactor::ExpireHead(Connection& connection) {
  this->metrics.Count("caller_head_timeouts");
  if (connection.pipeline.IsEmpty()) return Step::kClose;
  this->StopReading(connection);
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::ExpireBody(Connection& connection) {
  this->metrics.Count("caller_body_timeouts");
  if (connection.pipeline.IsEmpty()) return Step::kClose;
  this->StopReading(connection);
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::ExpirePaused(Connection& /*connection*/) {
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::ExpireFinishing(Connection& /*unused*/) {
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::ExpireLingering(Connection& /*unused*/) {
  return Step::kClose;
}

}  // namespace bamboorack::caller
