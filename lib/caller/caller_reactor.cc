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

constexpr int kBacklog = 1024;
// Bound the work of one turn, so that answers and new connections cannot
// starve each other.
constexpr int kAcceptsPerTurn = 64;
constexpr int kAnswersPerTurn = 1024;
// Accepting fails while the process has no free file descriptor.
constexpr milliseconds kAcceptPause{100};
// The routing thread answers by the request's deadline; this covers its delay.
constexpr milliseconds kAnswerGrace{1'000};
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
const std::array<CallerReactor::PhaseRow, 7> CallerReactor::kPhases = {
    PhaseRow{Phase::kIdle, &CallerReactor::AdvanceIdle,
             &CallerReactor::ExpireIdle, true},
    PhaseRow{Phase::kReadingHead, &CallerReactor::AdvanceHead,
             &CallerReactor::ExpireHead, true},
    PhaseRow{Phase::kReadingBody, &CallerReactor::AdvanceBody,
             &CallerReactor::ExpireBody, true},
    PhaseRow{Phase::kAwaitingMemory, &CallerReactor::AdvanceAwaitingMemory,
             &CallerReactor::ExpireAwaitingMemory, true},
    PhaseRow{Phase::kPaused, &CallerReactor::AdvancePaused,
             &CallerReactor::ExpirePaused, true},
    PhaseRow{Phase::kFinishing, &CallerReactor::AdvanceFinishing,
             &CallerReactor::ExpireFinishing, false},
    PhaseRow{Phase::kLingering, &CallerReactor::AdvanceLingering,
             &CallerReactor::ExpireLingering, false}};

const CallerReactor::PhaseRow& CallerReactor::RowOf(
    const Connection& connection) {
  return kPhases.at(static_cast<std::size_t>(connection.phase));
}

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
  // The wakers keep the poll alive, so a push or a release after the end of
  // this thread does no harm.
  this->in.SetWaker([shared = this->poll] { shared->Wake(); });
  this->settings.memory->SetWaker(
      MemoryUse::kUploads,
      [shared = this->poll, released = this->memory_released] {
        released->store(true);
        shared->Wake();
      });
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
    this->GrantMemory();
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
  connection.timer.reset();
  const MonotonicTime now = steady_clock::now();
  if (connection.write_deadline && *connection.write_deadline <= now) {
    this->metrics.Count("caller_write_timeouts");
    this->Close(connection);
    return;
  }
  this->AnswerOverdue(connection, now);
  Step step = Step::kAgain;
  if (connection.phase_deadline && *connection.phase_deadline <= now) {
    connection.phase_deadline.reset();
    step = (this->*RowOf(connection).expire)(connection);
  }
  this->Drive(connection, step);
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
  auto connection = std::make_unique<Connection>(
      socket, this->settings.pipeline, this->pipeline_usage);
  connection->key =
      this->poll->Add(connection->http.Socket(), PollSet::POLL_READ);
  this->SetTimeout(*connection, this->settings.idle_timeout);
  this->UpdateTimer(*connection);
  this->metrics.Count("caller_connections");
  this->connections.emplace(connection->key, std::move(connection));
}

CallerReactor::Step CallerReactor::Transfer(Connection& connection,
                                            const PollReactor::Event& event) {
  if (event.has_failed) return Step::kClose;
  if (event.is_writable && connection.http.HasOutput()) {
    if (connection.http.Write() != IoStatus::kOk) return Step::kClose;
    connection.write_deadline =
        steady_clock::now() + this->settings.idle_timeout;
  }
  return event.is_readable ? this->ReadInput(connection) : Step::kAgain;
}

CallerReactor::Step CallerReactor::ReadInput(Connection& connection) {
  const IoStatus status =
      RowOf(connection).keeps_input
          ? connection.http.Read(this->InputLimit(connection))
          : connection.http.ReadAndDiscard();
  if (status == IoStatus::kFailed) return Step::kClose;
  if (status == IoStatus::kClosed) connection.peer_closed = true;
  connection.arrival_times.OnReceived(connection.http.Input().size(),
                                      steady_clock::now());
  if (connection.phase == Phase::kReadingBody) {
    this->SetBodyDeadline(connection);
  }
  return Step::kAgain;
}

std::size_t CallerReactor::InputLimit(const Connection& connection) const {
  if (connection.phase == Phase::kReadingBody) return kMaxBodyInput;
  if (connection.phase == Phase::kAwaitingMemory) return 0;
  if (connection.phase == Phase::kPaused) return kMaxInputAhead;
  return this->settings.limits.head + 1;
}

void CallerReactor::Drive(Connection& connection, Step step) {
  while (step == Step::kAgain) {
    step = this->SendAnswers(connection)
               ? (this->*RowOf(connection).advance)(connection)
               : Step::kClose;
  }
  if (step == Step::kClose) {
    this->Close(connection);
    return;
  }
  this->WatchFor(connection);
  this->UpdateTimer(connection);
}

void CallerReactor::WatchFor(Connection& connection) {
  connection.http.ReleaseSpareInput();
  const bool has_room =
      !RowOf(connection).keeps_input ||
      connection.http.Input().size() < this->InputLimit(connection);
  const int read = has_room && !connection.peer_closed
                       ? static_cast<int>(PollSet::POLL_READ)
                       : 0;
  const int write =
      connection.http.HasOutput() ? static_cast<int>(PollSet::POLL_WRITE) : 0;
  this->poll->SetModes(connection.key, read | write);
}

void CallerReactor::UpdateTimer(Connection& connection) {
  if (!connection.http.HasOutput()) connection.write_deadline.reset();
  std::optional<MonotonicTime> next = connection.pipeline.NextAnswerDue();
  for (const auto& deadline :
       {connection.phase_deadline, connection.write_deadline}) {
    if (deadline) next = std::min(next.value_or(*deadline), *deadline);
  }
  if (next == connection.timer) return;
  connection.timer = next;
  if (next) {
    this->poll->SetDeadline(connection.key, *next);
  } else {
    this->poll->ClearDeadline(connection.key);
  }
}

void CallerReactor::Close(Connection& connection) {
  for (const CallerSlot slot : connection.pipeline.SlotsInWork()) {
    this->slots.erase(slot.value);
    this->metrics.Count("caller_gone");
    if (!this->out.TryPush(CallerGone{slot})) {
      this->metrics.Count("caller_gone_dropped");
    }
  }
  this->ReleaseMemory(connection);
  this->poll->Remove(connection.key);
  this->connections.erase(connection.key);
}

void CallerReactor::PassOn(Connection& connection, CallerExchange& exchange) {
  const CallerSlot slot{++this->last_slot};
  Request request = std::move(exchange.request);
  if (request.id.IsEmpty()) {
    request.id = RequestId(this->id_prefix + std::to_string(slot.value));
  }
  const bool is_ahead = !connection.pipeline.IsFirst(exchange);
  if (is_ahead) this->metrics.Count("caller_requests_sent_ahead");
  exchange.answer_by = request.deadline + kAnswerGrace;
  RequestArrived message{slot, std::move(request), exchange.arrived_at,
                         is_ahead};
  if (!this->out.TryPush(std::move(message))) {
    this->metrics.CountRefusal(Reason::kRingFull);
    connection.pipeline.SetResult(
        exchange, NotRun(Reason::kRingFull, "the daemon is overloaded"));
    return;
  }
  exchange.state = CallerExchange::State::kInWork;
  exchange.slot = slot;
  this->slots.emplace(slot.value, connection.key);
}

bool CallerReactor::SendAnswers(Connection& connection) {
  bool has_new_output = false;
  while (true) {
    // The caller is told that the connection ends with the last request that
    // was passed on. It takes what follows as not read.
    if (this->IsEnding() && !connection.pipeline.IsEmpty()) {
      this->StopReading(connection);
    }
    // It is answered at once if it cannot be handed over.
    if (CallerExchange* held = connection.pipeline.HeldFirst()) {
      this->PassOn(connection, *held);
    }
    const auto exchange = connection.pipeline.PopAnswered();
    if (!exchange) break;
    this->QueueAnswer(connection, *exchange);
    has_new_output = true;
  }
  const bool reads_body = connection.phase == Phase::kReadingBody;
  if (connection.is_continue_due && reads_body &&
      connection.pipeline.IsEmpty()) {
    connection.is_continue_due = false;
    connection.http.Queue(EncodeContinue());
    has_new_output = true;
  }
  if (!has_new_output) return true;
  connection.write_deadline = steady_clock::now() + this->settings.idle_timeout;
  return connection.http.Write() == IoStatus::kOk;
}

void CallerReactor::QueueAnswer(Connection& connection,
                                const CallerExchange& exchange) {
  const AnswerForm form{exchange.is_head, exchange.keep_alive};
  connection.http.Queue(
      this->settings.protocol->Encode(*exchange.result, form));
}

void CallerReactor::AnswerOverdue(Connection& connection, MonotonicTime now) {
  while (CallerExchange* exchange = connection.pipeline.FindOverdue(now)) {
    this->metrics.Count("caller_missing_answers");
    this->metrics.CountRefusal(Reason::kDeadlinePassed);
    this->slots.erase(exchange->slot.value);
    connection.pipeline.SetResult(
        *exchange,
        Unknown(Reason::kDeadlinePassed, "no answer by the deadline"));
  }
}

void CallerReactor::SetTimeout(Connection& connection, milliseconds timeout) {
  connection.phase_deadline = steady_clock::now() + timeout;
}

void CallerReactor::SetBodyDeadline(Connection& connection) {
  connection.phase_deadline =
      std::min(connection.checked.request.deadline,
               steady_clock::now() + this->settings.idle_timeout);
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
  CallerExchange* exchange = connection.pipeline.Find(answer.slot);
  CHECK(exchange != nullptr) << "slot without a request in work";
  if (answer.returned) {
    exchange->state = CallerExchange::State::kHeldBack;
    exchange->request = std::move(*answer.returned);
    this->metrics.Count("caller_requests_held_back");
    this->Drive(connection, Step::kAgain);
    return;
  }
  const Ending ending =
      answer.result ? Ending::kDone : answer.result.error().ending;
  this->metrics.ObserveLatency(exchange->rank, ending,
                               steady_clock::now() - exchange->arrived_at);
  connection.pipeline.SetResult(*exchange, std::move(answer.result));
  this->Drive(connection, Step::kAgain);
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
    const auto found = this->connections.find(key);
    if (found == this->connections.end()) continue;
    // Idle connections get the shorter idle time of a stop.
    if (found->second->phase == Phase::kIdle) {
      found->second->phase_deadline.reset();
    }
    event.key = key;
    this->Handle(event);
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
