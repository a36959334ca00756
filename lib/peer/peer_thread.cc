#include "bamboorack/peer/peer_thread.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace bamboorack::peer {
namespace {

using Poco::Net::PollSet;
using std::chrono::milliseconds;

constexpr milliseconds kLongestWait{100};
constexpr int kBacklog = 128;

Poco::Net::SocketAddress AddressOf(const Endpoint& endpoint) {
  return {endpoint.host, endpoint.port};
}

}  // namespace

PeerThread::PeerThread(PeerSettings peer_settings, BoundedRing<ToPeer>& inputs,
                       BoundedRing<PeerToRouting>& routing,
                       BoundedRing<PeerToControl>& control, Metrics& registry)
    : settings(std::move(peer_settings)),
      input(inputs),
      to_routing(routing),
      to_control(control),
      metrics(registry) {}

PeerThread::~PeerThread() { this->Stop(); }

tl::expected<void, std::string> PeerThread::Start() {
  try {
    // POCO's default would let a second daemon take the same port.
    this->server.bind(AddressOf(this->settings.listen), true, false);
    this->server.listen(kBacklog);
    this->server.setBlocking(false);
    this->port = this->server.address().port();
    this->poll_set.add(this->server, PollSet::POLL_READ);
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("peer listener: " + error.displayText());
  }
  this->input.SetWaker([this] { this->waker.Wake(); });
  this->thread = std::thread([this] { this->Run(); });
  return {};
}

void PeerThread::Stop() {
  this->is_stopping = true;
  if (!this->thread.joinable()) return;
  this->waker.Wake();
  this->thread.join();
}

void PeerThread::Run() {
  while (!this->is_stopping) this->Step();
  this->poll_set.clear();
  this->outbound.clear();
  this->inbound.clear();
  this->server.close();
}

MonotonicTime PeerThread::NextWakeup() const {
  MonotonicTime wakeup = this->now + kLongestWait;
  for (const auto& [daemon, link] : this->outbound) {
    const MonotonicTime check =
        link.monitor ? link.monitor->NextCheck() : link.connect_again_at;
    wakeup = std::min(wakeup, check);
  }
  return wakeup;
}

void PeerThread::Step() {
  this->now = std::chrono::steady_clock::now();
  const auto wait = std::chrono::ceil<milliseconds>(
      std::max(this->NextWakeup() - this->now, MonotonicTime::duration(0)));
  this->UpdateInterest();
  const auto ready = this->poll_set.poll(
      Poco::Timespan(std::chrono::microseconds(wait).count()));
  this->now = std::chrono::steady_clock::now();
  for (const auto& [socket, events] : ready) {
    this->HandleSocket(socket, events);
  }
  this->HandleInputs();
  for (auto& [daemon, link] : this->outbound) this->CheckOutbound(daemon, link);
  this->forwards.Tick(this->now);
  this->DeliverEnded();
}

void PeerThread::HandleInputs() {
  // One row for each alternative of `ToPeer`.
  static constexpr std::array<InputHandler, std::variant_size_v<ToPeer>>
      kHandlers = {&PeerThread::OnSendForward,   &PeerThread::OnSendCancel,
                   &PeerThread::OnSendAnswer,    &PeerThread::OnSetPeers,
                   &PeerThread::OnSendHeartbeat, &PeerThread::OnRequestState,
                   &PeerThread::OnSendState};
  while (auto message = this->input.TryPop()) {
    (this->*kHandlers.at(message->index()))(*message);
  }
  for (auto& [daemon, link] : this->outbound) {
    if (!link.is_connected || !link.connection->HasOutput()) continue;
    if (!link.connection->Flush()) this->DropOutbound(daemon, link);
  }
  std::vector<ConnectionGeneration> closed;
  for (auto& [generation, link] : this->inbound) {
    if (link.connection.HasOutput() && !link.connection.Flush()) {
      closed.push_back(generation);
    }
  }
  for (const ConnectionGeneration generation : closed) {
    this->DropInbound(generation);
  }
}

void PeerThread::UpdateInterest() {
  constexpr int kReadAndError = PollSet::POLL_READ | PollSet::POLL_ERROR;
  for (auto& [daemon, link] : this->outbound) {
    if (link.connection == nullptr) continue;
    const bool wants_write = !link.is_connected || link.connection->HasOutput();
    this->poll_set.update(
        link.connection->Socket(),
        wants_write ? kReadAndError | PollSet::POLL_WRITE : kReadAndError);
  }
  for (auto& [generation, link] : this->inbound) {
    this->poll_set.update(link.connection.Socket(),
                          link.connection.HasOutput()
                              ? kReadAndError | PollSet::POLL_WRITE
                              : kReadAndError);
  }
}

void PeerThread::HandleSocket(const Poco::Net::Socket& socket, int events) {
  if (this->waker.Consume(socket)) return;
  if (socket == this->server) return this->Accept();
  for (auto& [daemon, link] : this->outbound) {
    if (link.connection == nullptr || link.connection->Socket() != socket) {
      continue;
    }
    if (!this->ServeOutbound(daemon, link, events)) {
      this->DropOutbound(daemon, link);
    }
    return;
  }
  for (auto& [generation, link] : this->inbound) {
    if (link.connection.Socket() != socket) continue;
    if (!this->ServeInbound(link, events)) this->DropInbound(generation);
    return;
  }
}

void PeerThread::Accept() {
  try {
    Poco::Net::StreamSocket stream = this->server.acceptConnection();
    stream.setNoDelay(true);
    ++this->last_generation.value;
    const ConnectionGeneration generation = this->last_generation;
    const auto [link, is_new] = this->inbound.emplace(
        generation, Inbound{FrameConnection(stream), generation, {}, {}});
    this->poll_set.add(link->second.connection.Socket(), PollSet::POLL_READ);
  } catch (const Poco::Exception&) {
    this->metrics.Count("peer_accept_failures");
  }
}

void PeerThread::DeliverEnded() {
  for (ForwardAnswered& ended : this->forwards.TakeEnded()) {
    this->undelivered.push_back(std::move(ended));
  }
  while (!this->undelivered.empty()) {
    PeerToRouting message(std::move(this->undelivered.front()));
    if (!this->to_routing.TryPush(std::move(message))) {
      // A refused push leaves the item as it was.
      // NOLINTNEXTLINE(bugprone-use-after-move)
      this->undelivered.front() = std::get<ForwardAnswered>(std::move(message));
      return;
    }
    this->undelivered.pop_front();
  }
}

void PeerThread::DeliverToControl(PeerToControl&& message) {
  if (!this->to_control.TryPush(std::move(message))) {
    this->metrics.Count("peer_to_control_ring_full");
  }
}

}  // namespace bamboorack::peer
