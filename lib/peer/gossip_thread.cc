#include "bamboorack/peer/gossip_thread.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>

#include <array>
#include <chrono>
#include <set>
#include <sstream>
#include <utility>

namespace bamboorack::peer {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kMaxDatagram = 65'507;
constexpr int kDatagramsPerTurn = 256;
// A daemon that was replaced sends nothing any more.
constexpr seconds kForgetAfter{20};
constexpr std::size_t kMaxPeers = 4'096;

}  // namespace

GossipThread::GossipThread(Settings thread_settings,
                           BoundedRing<ToGossip>& in_ring,
                           BoundedRing<LoadReport>& to_routing_ring,
                           BoundedRing<Gossip>& to_control_ring,
                           Metrics& registry)
    : settings(std::move(thread_settings)),
      in(in_ring),
      to_routing(to_routing_ring),
      to_control(to_control_ring),
      metrics(registry),
      poll(std::make_shared<PollReactor>()) {
  this->in.SetWaker([shared = this->poll] { shared->Wake(); });
}

GossipThread::~GossipThread() { this->Stop(); }

tl::expected<void, std::string> GossipThread::Start() {
  const Endpoint& listen = this->settings.listen;
  try {
    this->socket.bind(Poco::Net::SocketAddress(listen.host, listen.port), true);
    this->socket.setBlocking(false);
    this->poll->Add(this->socket, Poco::Net::PollSet::POLL_READ);
  } catch (const Poco::Exception& error) {
    std::ostringstream text;
    text << "cannot receive datagrams on " << listen << ": "
         << error.displayText();
    return tl::make_unexpected(text.str());
  }
  this->thread = std::thread([this] { this->Run(); });
  return {};
}

void GossipThread::Stop() {
  if (!this->thread.joinable()) return;
  this->is_stopping = true;
  this->poll->Wake();
  this->thread.join();
}

void GossipThread::Run() {
  while (!this->is_stopping) {
    const auto events = this->poll->Wait(steady_clock::now() + seconds(1));
    if (!events.empty()) this->Receive();
    this->TakeMessages();
  }
  this->TakeMessages();
}

void GossipThread::Receive() {
  static thread_local std::array<char, kMaxDatagram> buffer;
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    try {
      Poco::Net::SocketAddress from;
      const int length = this->socket.receiveFrom(
          buffer.data(), static_cast<int>(buffer.size()), from);
      if (length <= 0) return;
      this->Accept({buffer.data(), static_cast<std::size_t>(length)}, from);
    } catch (const Poco::TimeoutException&) {
      return;
    } catch (const Poco::Exception&) {
      // An earlier datagram was answered with an error of the network.
      this->metrics.Count("gossip_receive_failures");
      return;
    }
  }
}

void GossipThread::Accept(std::string_view bytes,
                          const Poco::Net::SocketAddress& from) {
  auto received = DecodeGossip(bytes);
  if (!received) {
    this->metrics.Count("gossip_malformed");
    return;
  }
  const GossipSource& source = received->source;
  if (source.daemon == this->settings.daemon) return;
  GossipSource& last = this->newest[source.daemon];
  if (last.instance == source.instance && source.sequence <= last.sequence) {
    this->metrics.Count("gossip_out_of_order");
    return;
  }
  last = source;
  this->Learn(from);
  if (const auto* report = std::get_if<LoadReport>(&received->content)) {
    if (!this->to_routing.TryPush(LoadReport(*report))) {
      this->metrics.Count("gossip_dropped");
    }
  }
  if (!this->to_control.TryPush(std::move(received->content))) {
    this->metrics.Count("gossip_dropped");
  }
}

void GossipThread::Learn(const Poco::Net::SocketAddress& from) {
  const std::string name = from.toString();
  const auto found = this->peers.find(name);
  const MonotonicTime now = steady_clock::now();
  if (found != this->peers.end()) {
    found->second.last_heard = now;
    return;
  }
  if (this->peers.size() >= kMaxPeers) return;
  this->peers.emplace(name, Peer{from, true, now});
}

void GossipThread::TakeMessages() {
  while (auto message = this->in.TryPop()) {
    if (const auto* set = std::get_if<SetPeers>(&*message)) {
      this->Take(*set);
    } else if (auto* report = std::get_if<LoadReport>(&*message)) {
      this->Broadcast(std::move(*report));
    } else if (auto* relay = std::get_if<RecordRelay>(&*message)) {
      this->Broadcast(std::move(*relay));
    } else if (const auto* turns = std::get_if<TakeTurns>(&*message)) {
      this->SendInTurns(*turns);
    } else {
      this->Broadcast(std::move(std::get<LeaderBeat>(*message)));
    }
  }
}

void GossipThread::Take(const SetPeers& set) {
  const MonotonicTime now = steady_clock::now();
  std::set<std::string> listed;
  for (const Endpoint& endpoint : set.peers) {
    if (endpoint == this->settings.listen) continue;
    const Poco::Net::SocketAddress address(endpoint.host, endpoint.port);
    const std::string name = address.toString();
    listed.insert(name);
    this->peers.try_emplace(name, Peer{address, false, now});
  }
  std::erase_if(this->peers, [&](const auto& item) {
    return !listed.contains(item.first) &&
           now - item.second.last_heard > kForgetAfter;
  });
}

std::string GossipThread::Encode(const Gossip& content) {
  std::string bytes = EncodeGossip(
      {this->settings.daemon, this->settings.instance, ++this->sequence},
      content);
  if (bytes.size() <= kMaxDatagram) return bytes;
  this->metrics.Count("gossip_too_large");
  return {};
}

void GossipThread::Send(const std::string& bytes, const Peer& peer) {
  if (bytes.empty()) return;
  try {
    this->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                        peer.address);
  } catch (const Poco::Exception&) {
    this->metrics.Count("gossip_send_failures");
  }
}

void GossipThread::Broadcast(const Gossip& content) {
  const std::string bytes = this->Encode(content);
  for (const auto& [name, peer] : this->peers) this->Send(bytes, peer);
}

void GossipThread::SendInTurns(const TakeTurns& turns) {
  if (turns.few_count == 0) {
    this->Broadcast(turns.most);
    return;
  }
  const std::string most = this->Encode(turns.most);
  const std::string few = this->Encode(turns.few);
  const std::size_t count = this->peers.size();
  std::size_t position = 0;
  for (const auto& [name, peer] : this->peers) {
    // Counted from the peer whose turn it is.
    const std::size_t place = (position + count - this->turn % count) % count;
    this->Send(place < turns.few_count ? few : most, peer);
    ++position;
  }
  this->turn += turns.few_count;
}

}  // namespace bamboorack::peer
