#include "bamboorack/upstream/upstream_reactor.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>
#include <variant>

namespace bamboorack::upstream {
namespace {

using Poco::Net::PollSet;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using IoStatus = HttpConnection::IoStatus;

constexpr int kMaxMessagesPerIteration = 1024;
// Rings do not notify the producer when they have space again, so pushes are
// retried.
constexpr milliseconds kOutboxRetryInterval{5};
constexpr milliseconds kCancelTimeout{1'000};
constexpr MonotonicTime::rep kNoDeadline =
    MonotonicTime::max().time_since_epoch().count();
// Indexed by traffic class; `kData` has its limit in the settings. Renewals to
// one upstream are sequential, so more than one connection is only needed when
// the upstream stops responding on the first. A release is answered when the
// requests on its keys have ended, and an upstream whose keys became hot
// releases dozens of ranges at once: those with requests must not hold up the
// others until their leases run out.
constexpr std::array<std::size_t, kTrafficClassCount> kMaxControlConnections = {
    0, 3, 16, 4};

/// Returns how long a connection may stay idle and be reused, from
/// `Keep-Alive: timeout=N` in an answer, less a margin for a close that is in
/// transit.
std::optional<milliseconds> KeepAliveTimeoutOf(const AnswerHead& head) {
  constexpr milliseconds kMargin{1'000};
  // Keeps the conversion to milliseconds from overflowing.
  constexpr std::chrono::seconds kMaxKeepAlive{std::chrono::hours(24)};
  constexpr std::string_view kParameter = "timeout=";
  const std::string* value = head.Find("Keep-Alive");
  if (value == nullptr) return std::nullopt;
  const std::size_t start = value->find(kParameter);
  if (start == std::string::npos) return std::nullopt;
  const std::size_t begin = start + kParameter.size();
  const std::size_t end = value->find_first_not_of("0123456789", begin);
  const auto number =
      ParseDecimal(std::string_view(*value).substr(begin, end - begin));
  if (!number) return std::nullopt;
  const std::chrono::seconds timeout(
      std::min<std::uint64_t>(*number, kMaxKeepAlive.count()));
  return std::max(milliseconds(timeout) - kMargin, milliseconds(0));
}

}  // namespace

// Indexed by phase.
const std::array<UpstreamReactor::PhaseHandlers, 3>
    UpstreamReactor::kPhaseHandlers = {
        PhaseHandlers{Phase::kConnecting, &UpstreamReactor::OnConnecting,
                      &UpstreamReactor::OnConnectExpired},
        PhaseHandlers{Phase::kIdle, &UpstreamReactor::OnIdle,
                      &UpstreamReactor::OnIdleExpired},
        PhaseHandlers{Phase::kExchanging, &UpstreamReactor::OnExchanging,
                      &UpstreamReactor::OnExchangeExpired}};

UpstreamReactor::UpstreamReactor(const UpstreamThreadSettings& thread_settings,
                                 BoundedRing<ToUpstream>& in_ring,
                                 BoundedRing<UpstreamToRouting>& to_routing,
                                 BoundedRing<ControlResult>& to_control,
                                 Metrics& daemon_metrics)
    : settings(thread_settings),
      in(in_ring),
      metrics(daemon_metrics),
      poll(std::make_shared<PollReactor>()),
      outbox(to_routing, to_control),
      stop_deadline(kNoDeadline) {
  // The wakers share ownership of `poll`, so a push or a release after the end
  // of this thread is safe.
  this->in.SetWaker([shared = this->poll] { shared->Wake(); });
  for (const MemoryUse use : {MemoryUse::kAnswers, MemoryUse::kLargeAnswers}) {
    this->settings.memory->SetWaker(
        use, [shared = this->poll, released = this->memory_released] {
          released->store(true);
          shared->Wake();
        });
  }
}

void UpstreamReactor::StopBy(MonotonicTime deadline) {
  // `kNoDeadline` means that no stop was requested.
  this->stop_deadline.store(
      std::min(deadline.time_since_epoch().count(), kNoDeadline - 1));
  this->poll->Wake();
}

void UpstreamReactor::Run() {
  while (true) {
    MonotonicTime until(MonotonicTime::duration(this->stop_deadline.load()));
    if (!this->outbox.Flush()) {
      until = std::min(until, steady_clock::now() + kOutboxRetryInterval);
    }
    for (const PollReactor::Event& event : this->poll->Wait(until)) {
      const auto found = this->connections.find(event.key);
      // An earlier event of this iteration may have closed the connection.
      if (found == this->connections.end()) continue;
      Connection& connection = *found->second;
      const auto& row =
          kPhaseHandlers.at(static_cast<std::size_t>(connection.phase));
      (this->*row.on_event)(connection, event);
    }
    const MonotonicTime now = steady_clock::now();
    while (const auto key = this->poll->PopExpired(now)) {
      this->HandleDeadline(*key);
    }
    this->ResumeAnswers();
    this->HandleMessages();
    const MonotonicTime stop_by(
        MonotonicTime::duration(this->stop_deadline.load()));
    if (stop_by != MonotonicTime::max() && this->IsDone(stop_by)) break;
  }
  this->FailAll();
}

bool UpstreamReactor::IsDone(MonotonicTime stop_by) {
  const bool is_idle = this->active_exchanges == 0 && this->waiting.empty() &&
                       this->in.Size() == 0 && this->outbox.Flush();
  return is_idle || steady_clock::now() >= stop_by;
}

void UpstreamReactor::FailAll() {
  while (!this->waiting.empty()) {
    this->FailWaiting(this->RemoveWaiting(this->waiting.begin()->first),
                      Failure::kStopping);
  }
  while (!this->connections.empty()) {
    Connection& connection = *this->connections.begin()->second;
    if (connection.exchange != nullptr) {
      this->FailExchange(connection, Failure::kStopping,
                         "upstream_exchanges_cut_off");
    } else {
      this->Close(connection);
    }
  }
  while (auto message = this->in.TryPop()) {
    if (auto* dispatch = std::get_if<Dispatch>(&*message)) {
      MakeExchange(std::move(*dispatch), *this->settings.protocol)
          ->Fail(Failure::kStopping, false, this->outbox);
    }
  }
  this->outbox.Flush();
}

void UpstreamReactor::HandleDeadline(Key key) {
  if (auto exchange = this->RemoveWaiting(key)) {
    this->FailWaiting(std::move(exchange), Failure::kDeadlinePassed);
    return;
  }
  const auto found = this->connections.find(key);
  if (found == this->connections.end()) return;
  Connection& connection = *found->second;
  const auto& row =
      kPhaseHandlers.at(static_cast<std::size_t>(connection.phase));
  (this->*row.on_expired)(connection);
}

void UpstreamReactor::MessageHandler::operator()(Dispatch dispatch) const {
  this->reactor.Submit(
      MakeExchange(std::move(dispatch), *this->reactor.settings.protocol));
}

void UpstreamReactor::MessageHandler::operator()(
    const CancelDispatch& cancel) const {
  this->reactor.Cancel(cancel.id);
}

void UpstreamReactor::MessageHandler::operator()(ControlCall call) const {
  this->reactor.Submit(
      MakeExchange(std::move(call), *this->reactor.settings.protocol));
}

void UpstreamReactor::HandleMessages() {
  for (int i = 0; i < kMaxMessagesPerIteration; ++i) {
    auto message = this->in.TryPop();
    if (!message) return;
    std::visit(MessageHandler{*this}, std::move(*message));
  }
  this->poll->Wake();
}

std::size_t UpstreamReactor::LimitOf(TrafficClass traffic_class) const {
  if (traffic_class == TrafficClass::kData)
    return this->settings.connections_per_upstream;
  return kMaxControlConnections.at(static_cast<std::size_t>(traffic_class));
}

void UpstreamReactor::Submit(std::unique_ptr<Exchange> exchange) {
  const PoolId id(exchange->Target(), exchange->GetTrafficClass());
  Pool& pool = this->pools[id];
  if (pool.queue.size() >= this->settings.max_waiting) {
    this->FailWaiting(std::move(exchange), Failure::kQueueFull);
    return;
  }
  const Key key = this->poll->NewKey();
  this->poll->SetDeadline(
      key, std::min(exchange->SendBefore(), exchange->Deadline()));
  if (const auto dispatch = exchange->Id()) this->dispatches[*dispatch] = key;
  pool.queue.push_back(key);
  this->waiting.emplace(key, std::move(exchange));
  this->StartWaiting(id);
}

void UpstreamReactor::Cancel(DispatchId id) {
  const auto found = this->dispatches.find(id);
  if (found == this->dispatches.end()) return;
  const Key key = found->second;
  if (auto exchange = this->RemoveWaiting(key)) {
    this->FailWaiting(std::move(exchange), Failure::kCancelled);
    return;
  }
  Connection& connection = *this->connections.at(key);
  auto cancel =
      connection.exchange->MakeCancel(steady_clock::now() + kCancelTimeout);
  this->FailExchange(connection, Failure::kCancelled, "upstream_cancels");
  if (cancel != nullptr) this->Submit(std::move(cancel));
}

void UpstreamReactor::StartWaiting(const PoolId& id) {
  Pool& pool = this->pools[id];
  while (const auto next = this->FindAssignment(pool)) {
    Connection& connection = *this->connections.at(next->connection);
    if (!this->IsReusable(connection)) {
      this->Close(connection);
      continue;
    }
    std::erase(pool.idle, connection.key);
    this->StartExchange(connection, this->RemoveWaiting(next->exchange));
  }
  while (pool.connecting < pool.queue.size()) {
    if (pool.open >= this->LimitOf(id.second)) {
      if (pool.idle.empty()) return;
      // No waiting exchange may use the idle connections.
      this->Close(*this->connections.at(pool.idle.front()));
    }
    this->Connect(id);
  }
}

std::optional<UpstreamReactor::Assignment> UpstreamReactor::FindAssignment(
    const Pool& pool) const {
  if (pool.idle.empty()) return std::nullopt;
  for (const Key waiting_key : pool.queue) {
    const Exchange& exchange = *this->waiting.at(waiting_key);
    const auto found = std::find_if(
        pool.idle.rbegin(), pool.idle.rend(), [&](Key connection_key) {
          return exchange.MayFollow(
              this->connections.at(connection_key)->history);
        });
    if (found != pool.idle.rend()) return Assignment{waiting_key, *found};
  }
  return std::nullopt;
}

void UpstreamReactor::Connect(const PoolId& id) {
  Pool& pool = this->pools[id];
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(Poco::Net::SocketAddress(id.first.host, id.first.port));
    auto connection = std::make_unique<Connection>(socket, id);
    connection->key =
        this->poll->Add(connection->http.Socket(), PollSet::POLL_WRITE);
    this->poll->SetDeadline(
        connection->key, steady_clock::now() + this->settings.connect_timeout);
    ++pool.open;
    ++pool.connecting;
    this->connections.emplace(connection->key, std::move(connection));
  } catch (const Poco::Exception&) {
    this->OnConnectFailed(id);
  }
}

void UpstreamReactor::OnConnectFailed(const PoolId& id) {
  this->metrics.Count("upstream_connect_failures");
  // Each failed connect fails one exchange, so that requests to an unreachable
  // upstream fail without waiting for their deadlines.
  if (auto exchange = this->TakeWaiting(this->pools[id])) {
    this->FailWaiting(std::move(exchange), Failure::kConnectFailed);
  }
}

std::unique_ptr<Exchange> UpstreamReactor::TakeWaiting(Pool& pool) {
  if (pool.queue.empty()) return nullptr;
  return this->RemoveWaiting(pool.queue.front());
}

std::unique_ptr<Exchange> UpstreamReactor::RemoveWaiting(Key key) {
  const auto found = this->waiting.find(key);
  if (found == this->waiting.end()) return nullptr;
  auto exchange = std::move(found->second);
  this->waiting.erase(found);
  this->poll->ClearDeadline(key);
  auto& queue =
      this->pools[{exchange->Target(), exchange->GetTrafficClass()}].queue;
  queue.erase(std::find(queue.begin(), queue.end(), key));
  return exchange;
}

void UpstreamReactor::FailWaiting(std::unique_ptr<Exchange> exchange,
                                  Failure failure) {
  this->Unregister(*exchange);
  exchange->Fail(failure, false, this->outbox);
}

void UpstreamReactor::Unregister(const Exchange& exchange) {
  if (const auto id = exchange.Id()) this->dispatches.erase(*id);
}

bool UpstreamReactor::IsReusable(Connection& connection) {
  const IoStatus status = connection.http.Read(1);
  if (!connection.http.Input().empty()) {
    this->metrics.Count("upstream_unmatched_answers");
    return false;
  }
  return status == IoStatus::kOk;
}

void UpstreamReactor::StartExchange(Connection& connection,
                                    std::unique_ptr<Exchange> exchange) {
  HttpBytes request = exchange->Encode(steady_clock::now());
  // Checked after the encoding, directly before the first write, so that a
  // pause of this thread while it encodes cannot cause a late request.
  if (steady_clock::now() > exchange->SendBefore()) {
    this->FailWaiting(std::move(exchange), Failure::kDeadlinePassed);
    this->MakeIdle(connection);
    return;
  }
  connection.is_first_exchange = connection.history.IsNew();
  exchange->AddTo(connection.history);
  connection.bytes_written_before = connection.http.BytesWritten();
  connection.interim_answers = 0;
  connection.http.Queue(std::move(request));
  const IoStatus status = connection.http.Write();
  connection.phase = Phase::kExchanging;
  ++this->active_exchanges;
  if (const auto id = exchange->Id()) this->dispatches[*id] = connection.key;
  this->poll->SetDeadline(connection.key, exchange->Deadline());
  connection.exchange = std::move(exchange);
  if (status != IoStatus::kOk) {
    this->FailExchange(connection, Failure::kConnectionLost,
                       "upstream_lost_connections");
    return;
  }
  this->WatchExchange(connection);
}

void UpstreamReactor::WatchExchange(Connection& connection) {
  connection.http.ReleaseSpareInput();
  const int read =
      connection.is_awaiting_memory ? 0 : static_cast<int>(PollSet::POLL_READ);
  const int write =
      connection.http.HasOutput() ? static_cast<int>(PollSet::POLL_WRITE) : 0;
  this->poll->SetModes(connection.key, read | write);
}

void UpstreamReactor::MakeIdle(Connection& connection) {
  connection.phase = Phase::kIdle;
  connection.http.ReleaseSpareInput();
  this->poll->SetModes(connection.key, PollSet::POLL_READ);
  const milliseconds keep_alive_timeout = std::min(
      this->settings.idle_timeout,
      connection.keep_alive_timeout.value_or(this->settings.idle_timeout));
  this->poll->SetDeadline(connection.key,
                          steady_clock::now() + keep_alive_timeout);
  this->pools[connection.pool].idle.push_back(connection.key);
}

void UpstreamReactor::Close(Connection& connection) {
  Pool& pool = this->pools[connection.pool];
  --pool.open;
  if (connection.phase == Phase::kConnecting) --pool.connecting;
  if (connection.phase == Phase::kExchanging) --this->active_exchanges;
  std::erase(pool.idle, connection.key);
  this->poll->Remove(connection.key);
  this->connections.erase(connection.key);
}

void UpstreamReactor::OnConnecting(Connection& connection,
                                   const PollReactor::Event& event) {
  const PoolId id = connection.pool;
  if (!connection.http.IsConnected() || event.has_failed) {
    this->Close(connection);
    this->OnConnectFailed(id);
  } else {
    --this->pools[id].connecting;
    this->metrics.Count("upstream_connections");
    this->MakeIdle(connection);
  }
  this->StartWaiting(id);
}

void UpstreamReactor::OnConnectExpired(Connection& connection) {
  const PoolId id = connection.pool;
  this->Close(connection);
  this->OnConnectFailed(id);
  this->StartWaiting(id);
}

void UpstreamReactor::OnIdle(Connection& connection,
                             const PollReactor::Event& /*event*/) {
  if (this->IsReusable(connection)) return;
  this->metrics.Count("upstream_idle_closes");
  this->Close(connection);
}

void UpstreamReactor::OnIdleExpired(Connection& connection) {
  this->Close(connection);
}

void UpstreamReactor::CompleteExchange(Connection& connection) {
  AnswerHead head = std::move(*connection.answer);
  connection.answer.reset();
  const bool has_extra_input = !connection.http.Input().empty();
  // Where answers bear no id, the next one could be a second answer to this
  // exchange.
  const bool is_identified = connection.answer_match == AnswerMatch::kAccepted;
  // If the upstream answers before the whole request is written, the connection
  // must not be reused: the rest would be parsed as another request.
  const bool is_reusable = is_identified && !connection.history.IsFull() &&
                           head.keep_alive && !has_extra_input &&
                           !connection.peer_closed &&
                           !connection.http.HasOutput();
  if (has_extra_input) this->metrics.Count("upstream_unmatched_answers");
  connection.keep_alive_timeout = KeepAliveTimeoutOf(head);
  const auto exchange = std::move(connection.exchange);
  this->Unregister(*exchange);
  exchange->Succeed(std::move(head), this->TakeBody(connection), this->outbox);
  const PoolId id = connection.pool;
  if (is_reusable) {
    --this->active_exchanges;
    this->MakeIdle(connection);
  } else {
    this->Close(connection);
  }
  this->StartWaiting(id);
}

void UpstreamReactor::FailExchange(Connection& connection, Failure failure,
                                   std::string_view counter) {
  this->metrics.Count(counter);
  const bool was_written =
      connection.http.BytesWritten() > connection.bytes_written_before;
  const auto exchange = std::move(connection.exchange);
  this->Unregister(*exchange);
  exchange->Fail(failure, was_written, this->outbox);
  const PoolId id = connection.pool;
  // A reset discards bytes that have not left this VM. Otherwise bytes that are
  // delayed by a network partition would arrive after it ends, and a grant
  // among them would take effect although it counts as expired.
  connection.http.ResetOnClose();
  this->Close(connection);
  this->StartWaiting(id);
}

void UpstreamReactor::OnExchangeExpired(Connection& connection) {
  this->FailExchange(connection, Failure::kDeadlinePassed,
                     "upstream_late_answers");
}

}  // namespace bamboorack::upstream
