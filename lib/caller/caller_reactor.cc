#include "bamboorack/caller/caller_reactor.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <glog/logging.h>

#include <algorithm>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include "bamboorack/caller/caller_codec.h"

namespace bamboorack::caller {
namespace {

using Poco::Net::PollSet;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using IoStatus = HttpConnection::IoStatus;

// An idle connection stays open this long during a stop: its caller may just
// be sending a request, whose answer then tells it to close the connection.
constexpr std::chrono::milliseconds kStopGrace{500};
constexpr int kBacklog = 1024;
// Bound the work of one turn, so that answers and new connections cannot
// starve each other.
constexpr int kAcceptsPerTurn = 64;
constexpr int kAnswersPerTurn = 1024;
// Accepting fails while the process has no free file descriptor.
constexpr milliseconds kAcceptPause{100};
constexpr milliseconds kLingerTime{500};
// The routing thread answers by the request's deadline; this covers its delay.
constexpr milliseconds kAnswerGrace{1'000};
constexpr std::size_t kMaxPipelinedInput = 16'384;
// Body bytes that wait in the input between two turns of the reader.
constexpr std::size_t kMaxBodyInput = 65'536;
constexpr MonotonicTime::rep kNoDeadline =
    MonotonicTime::max().time_since_epoch().count();

std::string DrawIdPrefix() {
  std::random_device device;
  const std::uint64_t high = device();
  std::ostringstream text;
  text << "auto-" << std::hex << std::setfill('0') << std::setw(16)
       << ((high << 32U) | device()) << '-';
  return text.str();
}

}  // namespace

// Indexed by phase.
const std::array<CallerReactor::PhaseRow, 6> CallerReactor::kPhases = {
    PhaseRow{Phase::kIdle, &CallerReactor::AdvanceIdle,
             &CallerReactor::ExpireIdle, true},
    PhaseRow{Phase::kReadingHead, &CallerReactor::AdvanceHead,
             &CallerReactor::ExpireHead, true},
    PhaseRow{Phase::kReadingBody, &CallerReactor::AdvanceBody,
             &CallerReactor::ExpireBody, true},
    PhaseRow{Phase::kServing, &CallerReactor::AdvanceServing,
             &CallerReactor::ExpireServing, true},
    PhaseRow{Phase::kWritingAnswer, &CallerReactor::AdvanceWriting,
             &CallerReactor::ExpireWriting, false},
    PhaseRow{Phase::kLingering, &CallerReactor::AdvanceLingering,
             &CallerReactor::ExpireLingering, true}};

CallerReactor::CallerReactor(const CallerThreadSettings& thread_settings,
                             BoundedRing<FromCaller>& out_ring,
                             BoundedRing<ToCaller>& in_ring,
                             Metrics& daemon_metrics)
    : settings(thread_settings),
      out(out_ring),
      in(in_ring),
      metrics(daemon_metrics),
      poll(std::make_shared<PollReactor>()),
      id_prefix(DrawIdPrefix()),
      stop_deadline(kNoDeadline) {
  // The waker keeps the poll alive, so a push after the end of this thread
  // does no harm.
  this->in.SetWaker([shared = this->poll] { shared->Wake(); });
}

void CallerReactor::Listen() {
  // With one argument less POCO also sets SO_REUSEPORT, and a second daemon
  // would take part of the connections to the same port.
  this->listener.bind(Poco::Net::SocketAddress(this->settings.listen.host,
                                               this->settings.listen.port),
                      true, false);
  this->listener.listen(kBacklog);
  this->port = this->listener.address().port();
  this->listener_key = this->poll->Add(this->listener, PollSet::POLL_READ);
}

void CallerReactor::BeginStop() {
  this->stop_begun.store(true);
  this->poll->Wake();
}

void CallerReactor::StopBy(MonotonicTime deadline) {
  // The largest value means that no stop was asked for.
  this->stop_deadline.store(
      std::min(deadline.time_since_epoch().count(), kNoDeadline - 1));
  this->BeginStop();
}

void CallerReactor::Run() {
  while (true) {
    const MonotonicTime stop_by(
        MonotonicTime::duration(this->stop_deadline.load()));
    for (const PollReactor::Event& event : this->poll->Wait(stop_by)) {
      this->Handle(event);
    }
    const MonotonicTime now = steady_clock::now();
    while (const auto key = this->poll->PopExpired(now)) {
      this->HandleExpired(*key);
    }
    this->TakeAnswers();
    this->TakeStop();
    if (this->stop_deadline.load() == kNoDeadline) continue;
    if (this->connections.empty() || steady_clock::now() >= stop_by) break;
  }
  this->AbandonAll();
}

void CallerReactor::Handle(const PollReactor::Event& event) {
  if (event.key == this->listener_key) {
    this->Accept();
    return;
  }
  const auto found = this->connections.find(event.key);
  // An earlier event of the same turn may have closed the connection.
  if (found == this->connections.end()) return;
  Connection& connection = *found->second;
  this->Drive(connection, this->Transfer(connection, event));
}

void CallerReactor::HandleExpired(Key key) {
  if (key == this->listener_key) {
    this->Accept();
    return;
  }
  const auto found = this->connections.find(key);
  if (found == this->connections.end()) return;
  Connection& connection = *found->second;
  const auto& row = kPhases.at(static_cast<std::size_t>(connection.phase));
  this->Drive(connection, (this->*row.expire)(connection));
}

void CallerReactor::Accept() {
  this->poll->SetModes(*this->listener_key, PollSet::POLL_READ);
  try {
    for (int i = 0; i < kAcceptsPerTurn; ++i) {
      if (!this->listener.poll(Poco::Timespan(0),
                               Poco::Net::Socket::SELECT_READ)) {
        return;
      }
      this->AddConnection(this->listener.acceptConnection());
    }
  } catch (const Poco::Exception&) {
    this->metrics.Count("caller_accept_failures");
    this->poll->SetModes(*this->listener_key, 0);
    this->poll->SetDeadline(*this->listener_key,
                            steady_clock::now() + kAcceptPause);
  }
}

void CallerReactor::AddConnection(const Poco::Net::StreamSocket& socket) {
  if (this->connections.size() >= this->settings.max_connections) {
    this->metrics.Count("caller_connections_refused");
    return;
  }
  auto connection = std::make_unique<Connection>(socket);
  connection->key =
      this->poll->Add(connection->http.Socket(), PollSet::POLL_READ);
  this->SetTimeout(*connection, this->settings.idle_timeout);
  this->metrics.Count("caller_connections");
  this->connections.emplace(connection->key, std::move(connection));
}

CallerReactor::Step CallerReactor::Transfer(Connection& connection,
                                            const PollReactor::Event& event) {
  if (event.has_failed) return Step::kClose;
  if (event.is_writable && connection.http.HasOutput()) {
    if (connection.http.Write() != IoStatus::kOk) return Step::kClose;
    if (connection.phase == Phase::kWritingAnswer) {
      this->SetTimeout(connection, this->settings.idle_timeout);
    }
  }
  const auto& row = kPhases.at(static_cast<std::size_t>(connection.phase));
  if (!event.is_readable || !row.reads) return Step::kAgain;
  const IoStatus status =
      connection.phase == Phase::kLingering
          ? connection.http.ReadAndDiscard()
          : connection.http.Read(this->InputLimit(connection));
  if (status == IoStatus::kFailed) return Step::kClose;
  if (status == IoStatus::kClosed) connection.peer_closed = true;
  if (connection.phase == Phase::kReadingBody) {
    this->SetBodyDeadline(connection);
  }
  return Step::kAgain;
}

std::size_t CallerReactor::InputLimit(const Connection& connection) const {
  if (connection.phase == Phase::kReadingBody) {
    return kMaxBodyInput;
  }
  if (connection.phase == Phase::kServing) return kMaxPipelinedInput;
  return this->settings.limits.head + 1;
}

void CallerReactor::Drive(Connection& connection, Step step) {
  while (step == Step::kAgain) {
    const auto& row = kPhases.at(static_cast<std::size_t>(connection.phase));
    step = (this->*row.advance)(connection);
  }
  if (step == Step::kClose) {
    this->Close(connection);
    return;
  }
  this->WatchFor(connection);
}

void CallerReactor::WatchFor(Connection& connection) {
  const auto& row = kPhases.at(static_cast<std::size_t>(connection.phase));
  const bool has_room =
      connection.phase == Phase::kLingering ||
      connection.http.Input().size() < this->InputLimit(connection);
  const int read = row.reads && has_room && !connection.peer_closed
                       ? static_cast<int>(PollSet::POLL_READ)
                       : 0;
  const int write =
      connection.http.HasOutput() ? static_cast<int>(PollSet::POLL_WRITE) : 0;
  this->poll->SetModes(connection.key, read | write);
}

void CallerReactor::Close(Connection& connection) {
  if (connection.slot) {
    this->slots.erase(connection.slot->value);
    this->metrics.Count("caller_gone");
    if (!this->out.TryPush(CallerGone{*connection.slot})) {
      this->metrics.Count("caller_gone_dropped");
    }
  }
  this->ReleaseBody(connection);
  this->poll->Remove(connection.key);
  this->connections.erase(connection.key);
}

CallerReactor::Step CallerReactor::AdvanceIdle(Connection& connection) {
  if (!connection.http.Input().empty()) {
    connection.phase = Phase::kReadingHead;
    connection.keep_alive = true;
    this->SetTimeout(connection, this->settings.head_timeout);
    return Step::kAgain;
  }
  return connection.peer_closed ? Step::kClose : Step::kWait;
}

CallerReactor::Step CallerReactor::AdvanceHead(Connection& connection) {
  std::string& input = connection.http.Input();
  // RFC 9112 lets a server ignore empty lines before a request.
  while (input.starts_with("\r\n")) input.erase(0, 2);
  const auto length = FindHeadEnd(input);
  const std::size_t limit = this->settings.limits.head;
  if (length.value_or(input.size()) > limit) {
    connection.checked = {};
    connection.keep_alive = false;
    return this->Refuse(connection,
                        {Ending::kNotRun, Reason::kHeadTooLarge,
                         "head is larger than " + std::to_string(limit)});
  }
  if (length) return this->TakeHead(connection, *length);
  if (!connection.peer_closed) return Step::kWait;
  this->metrics.Count("caller_early_closes");
  return Step::kClose;
}

CallerReactor::Step CallerReactor::TakeHead(Connection& connection,
                                            std::size_t length) {
  std::string& input = connection.http.Input();
  connection.arrived = steady_clock::now();
  connection.checked = {};
  const auto parsed =
      ParseRequestHead(std::string_view(input).substr(0, length));
  if (!parsed) {
    connection.keep_alive = false;
    return this->Refuse(connection, {Ending::kNotRun, Reason::kMalformedRequest,
                                     "invalid head: " + parsed.error()});
  }
  connection.checked.request.method = parsed->getMethod();
  connection.keep_alive = parsed->getKeepAlive();
  auto checked = this->settings.protocol->Check(
      ToRequestHead(*parsed), this->settings.limits, connection.arrived);
  if (!checked) {
    // The end of the body is not known for certain, so nothing after it can
    // be read as a request.
    connection.keep_alive = false;
    return this->Refuse(connection, std::move(checked.error()));
  }
  connection.checked = std::move(*checked);
  input.erase(0, length);
  return this->StartBody(connection);
}

CallerReactor::Step CallerReactor::StartBody(Connection& connection) {
  const CheckedRequest& checked = connection.checked;
  const std::size_t length = checked.body_length;
  if (this->reserved_bodies + length > this->settings.body_budget) {
    connection.keep_alive = false;
    return this->Refuse(connection, {Ending::kNotRun, Reason::kQueueFull,
                                     "no room for a body of " +
                                         std::to_string(length) + " bytes"});
  }
  this->reserved_bodies += length;
  connection.reserved_body = length;
  connection.body = BodyReader({checked.framing, length},
                               std::max(length, checked.body_limit));
  connection.phase = Phase::kReadingBody;
  this->SetBodyDeadline(connection);
  if (checked.expects_continue && connection.http.Input().size() < length) {
    connection.http.Queue(EncodeContinue());
    if (connection.http.Write() != IoStatus::kOk) return Step::kClose;
  }
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::AdvanceBody(Connection& connection) {
  const BodyReader::Status status =
      connection.body.Feed(connection.http.Input());
  if (status == BodyReader::Status::kComplete) {
    std::string body = connection.body.Take();
    connection.checked.request.body =
        body.empty() ? EmptyBody()
                     : std::make_shared<const std::string>(std::move(body));
    return this->HandOver(connection);
  }
  if (status == BodyReader::Status::kMalformed) {
    connection.keep_alive = false;
    return this->Refuse(connection, {Ending::kNotRun, Reason::kMalformedRequest,
                                     "invalid chunked body"});
  }
  if (status == BodyReader::Status::kTooLarge) {
    connection.keep_alive = false;
    return this->Refuse(connection, {Ending::kNotRun, Reason::kBodyTooLarge,
                                     "chunked body is too large"});
  }
  if (!this->ReserveGrowth(connection)) {
    connection.keep_alive = false;
    return this->Refuse(connection, {Ending::kNotRun, Reason::kQueueFull,
                                     "no room for a chunked body"});
  }
  if (!connection.peer_closed) return Step::kWait;
  this->metrics.Count("caller_early_closes");
  return Step::kClose;
}

bool CallerReactor::ReserveGrowth(Connection& connection) {
  const std::size_t held = connection.body.Size();
  if (held <= connection.reserved_body) return true;
  const std::size_t growth = held - connection.reserved_body;
  if (this->reserved_bodies + growth > this->settings.body_budget) return false;
  this->reserved_bodies += growth;
  connection.reserved_body = held;
  return true;
}

CallerReactor::Step CallerReactor::HandOver(Connection& connection) {
  const CallerSlot slot{++this->last_slot};
  Request request = connection.checked.request;
  connection.checked.request.body = nullptr;
  if (request.id.IsEmpty()) {
    request.id = RequestId(this->id_prefix + std::to_string(slot.value));
  }
  const MonotonicTime deadline = request.deadline;
  if (!this->out.TryPush(RequestArrived{slot, std::move(request)})) {
    return this->Refuse(connection, {Ending::kNotRun, Reason::kRingFull,
                                     "the daemon is overloaded"});
  }
  connection.slot = slot;
  connection.phase = Phase::kServing;
  this->slots.emplace(slot.value, connection.key);
  this->poll->SetDeadline(connection.key, deadline + kAnswerGrace);
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::AdvanceServing(Connection& connection) {
  return connection.peer_closed ? Step::kClose : Step::kWait;
}

CallerReactor::Step CallerReactor::Refuse(Connection& connection,
                                          Refusal refusal) {
  this->metrics.CountRefusal(refusal.reason);
  return this->Answer(connection, tl::make_unexpected(std::move(refusal)));
}

CallerReactor::Step CallerReactor::Answer(Connection& connection,
                                          const Result& result) {
  this->ReleaseBody(connection);
  if (this->is_stopping || this->drain_begun.load()) {
    connection.keep_alive = false;
  }
  const AnswerForm form{connection.checked.request.method == "HEAD",
                        connection.keep_alive};
  connection.http.Queue(this->settings.protocol->Encode(result, form));
  connection.phase = Phase::kWritingAnswer;
  this->SetTimeout(connection, this->settings.idle_timeout);
  if (connection.http.Write() != IoStatus::kOk) return Step::kClose;
  return Step::kAgain;
}

CallerReactor::Step CallerReactor::AdvanceWriting(Connection& connection) {
  if (connection.http.HasOutput()) return Step::kWait;
  if (connection.keep_alive && !connection.peer_closed) {
    connection.phase = Phase::kIdle;
    this->SetTimeout(connection, this->is_stopping
                                     ? kStopGrace
                                     : this->settings.idle_timeout);
    return Step::kAgain;
  }
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

CallerReactor::Step CallerReactor::ExpireHead(Connection& /*connection*/) {
  this->metrics.Count("caller_head_timeouts");
  return Step::kClose;
}

CallerReactor::Step CallerReactor::ExpireBody(Connection& /*connection*/) {
  this->metrics.Count("caller_body_timeouts");
  return Step::kClose;
}

CallerReactor::Step CallerReactor::ExpireServing(Connection& connection) {
  this->metrics.Count("caller_missing_answers");
  this->slots.erase(connection.slot->value);
  connection.slot.reset();
  return this->Refuse(connection, {Ending::kUnknown, Reason::kDeadlinePassed,
                                   "no answer by the deadline"});
}

CallerReactor::Step CallerReactor::ExpireWriting(Connection& /*connection*/) {
  this->metrics.Count("caller_write_timeouts");
  return Step::kClose;
}

CallerReactor::Step CallerReactor::ExpireLingering(Connection& /*unused*/) {
  return Step::kClose;
}

void CallerReactor::ReleaseBody(Connection& connection) {
  this->reserved_bodies -= connection.reserved_body;
  connection.reserved_body = 0;
}

void CallerReactor::SetTimeout(Connection& connection, milliseconds timeout) {
  this->poll->SetDeadline(connection.key, steady_clock::now() + timeout);
}

void CallerReactor::SetBodyDeadline(Connection& connection) {
  this->poll->SetDeadline(
      connection.key,
      std::min(connection.checked.request.deadline,
               steady_clock::now() + this->settings.idle_timeout));
}

void CallerReactor::TakeAnswers() {
  for (int i = 0; i < kAnswersPerTurn; ++i) {
    auto answer = this->in.TryPop();
    if (!answer) return;
    this->Deliver(std::move(*answer));
  }
  this->poll->Wake();
}

void CallerReactor::Deliver(ToCaller answer) {
  const auto slot = this->slots.find(answer.slot.value);
  if (slot == this->slots.end()) {
    this->metrics.Count("caller_answers_dropped");
    return;
  }
  Connection& connection = *this->connections.at(slot->second);
  this->slots.erase(slot);
  connection.slot.reset();
  const Ending ending =
      answer.result ? Ending::kDone : answer.result.error().ending;
  this->metrics.ObserveLatency(connection.checked.request.rank, ending,
                               steady_clock::now() - connection.arrived);
  this->Drive(connection, this->Answer(connection, answer.result));
}

void CallerReactor::TakeStop() {
  if (this->is_stopping || !this->stop_begun.load()) return;
  // Connections that the kernel accepted before the stop are still served.
  this->Accept();
  this->is_stopping = true;
  this->poll->Remove(*this->listener_key);
  this->listener_key.reset();
  this->listener.close();
  std::vector<Key> keys;
  keys.reserve(this->connections.size());
  for (const auto& [key, connection] : this->connections) keys.push_back(key);
  PollReactor::Event event;
  event.is_readable = true;
  for (const Key key : keys) {
    event.key = key;
    this->Handle(event);
  }
  for (const auto& [key, connection] : this->connections) {
    if (connection->phase != Phase::kIdle) continue;
    this->SetTimeout(*connection, kStopGrace);
  }
  LOG(INFO) << "callers=stopping connections=" << this->connections.size();
}

void CallerReactor::AbandonAll() {
  while (!this->slots.empty()) {
    this->metrics.CountRefusal(Reason::kStopping);
    this->Deliver({CallerSlot{this->slots.begin()->first},
                   Unknown(Reason::kStopping, "the daemon stops")});
  }
  while (!this->connections.empty()) {
    this->Close(*this->connections.begin()->second);
  }
}

}  // namespace bamboorack::caller
