// Connections that this daemon opened to others: forwards, probes, states.

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <glog/logging.h>

#include <array>
#include <utility>

#include "bamboorack/peer/peer_thread.h"

namespace bamboorack::peer {
namespace {

using Poco::Net::PollSet;

constexpr std::chrono::milliseconds kReconnectPause{200};

}  // namespace

void PeerThread::Connect(const DaemonId& daemon, Outbound& link) {
  ++this->last_generation.value;
  link.generation = this->last_generation;
  link.is_connected = false;
  link.monitor.emplace(this->now);
  try {
    Poco::Net::StreamSocket stream;
    stream.connectNB({link.endpoint.host, link.endpoint.port});
    // Without this, a frame behind an unacknowledged one waits 40 ms.
    stream.setNoDelay(true);
    link.connection = std::make_unique<FrameConnection>(stream);
    this->poll_set.add(link.connection->Socket(), PollSet::POLL_WRITE);
  } catch (const Poco::Exception&) {
    this->DropOutbound(daemon, link);
  }
}

void PeerThread::CheckOutbound(const DaemonId& daemon, Outbound& link) {
  if (link.connection == nullptr) {
    if (this->now >= link.connect_again_at) this->Connect(daemon, link);
    return;
  }
  if (link.monitor->IsLost(this->now)) {
    this->metrics.Count("peer_silent_connections");
    return this->DropOutbound(daemon, link);
  }
  if (!link.is_connected) return;
  const auto probe = link.monitor->NextProbe(this->now);
  if (!probe) return;
  if (!link.connection->Send(ProbeFrame{*probe}, this->now) ||
      !link.connection->Flush()) {
    this->DropOutbound(daemon, link);
  }
}

void PeerThread::DropOutbound(const DaemonId& daemon, Outbound& link) {
  if (link.is_connected) {
    LOG(INFO) << "event=peer_disconnected peer=" << daemon
              << " generation=" << link.generation;
  }
  if (link.connection != nullptr) {
    this->poll_set.remove(link.connection->Socket());
    link.connection->Close();
    link.connection.reset();
  }
  this->forwards.OnConnectionLost(daemon, link.generation);
  link.is_connected = false;
  link.monitor.reset();
  link.state_head.reset();
  link.state_body.clear();
  link.connect_again_at = this->now + kReconnectPause;
}

bool PeerThread::ServeOutbound(const DaemonId& daemon, Outbound& link,
                               int events) {
  // One row for each alternative of `Frame`.
  static constexpr std::array<OutboundHandler, std::variant_size_v<Frame>>
      kHandlers = {
          &PeerThread::OutboundUnexpected, &PeerThread::OutboundUnexpected,
          &PeerThread::OutboundUnexpected, &PeerThread::OutboundProbeAck,
          &PeerThread::OutboundUnexpected, &PeerThread::OutboundUnexpected,
          &PeerThread::OutboundAnswerHead, &PeerThread::OutboundAnswerBody,
          &PeerThread::OutboundRefusal,    &PeerThread::OutboundUnexpected,
          &PeerThread::OutboundUnexpected, &PeerThread::OutboundStateHead,
          &PeerThread::OutboundStateBody};
  if ((events & PollSet::POLL_ERROR) != 0) return false;
  if (!link.is_connected) {
    if ((events & PollSet::POLL_WRITE) == 0) return true;
    link.is_connected = true;
    LOG(INFO) << "event=peer_connected peer=" << daemon
              << " generation=" << link.generation;
    link.connection->Send(HelloFrame{this->settings.self,
                                     this->settings.instance, link.generation},
                          this->now);
  }
  if ((events & PollSet::POLL_READ) != 0 && !link.connection->Read()) {
    return false;
  }
  while (true) {
    const auto message = link.connection->NextMessage();
    if (!message) break;
    if (message->empty()) return link.connection->Flush();
    auto frame = DecodeFrame(*message, this->now);
    if (!frame) break;
    if (!(this->*kHandlers.at(frame->index()))(daemon, link, *frame)) break;
  }
  this->metrics.Count("peer_bad_frames");
  return false;
}

bool PeerThread::OutboundUnexpected(const DaemonId&, Outbound&, Frame&) {
  return false;
}

bool PeerThread::OutboundProbeAck(const DaemonId&, Outbound& link,
                                  Frame& frame) {
  link.monitor->OnAck(std::get<ProbeAckFrame>(frame).id, this->now);
  return true;
}

bool PeerThread::OutboundAnswerHead(const DaemonId& daemon, Outbound& link,
                                    Frame& frame) {
  auto& answer = std::get<AnswerHeadFrame>(frame);
  return this->forwards.OnAnswerHead(daemon, link.generation, answer.id,
                                     std::move(answer.head), answer.body_size);
}

bool PeerThread::OutboundAnswerBody(const DaemonId& daemon, Outbound& link,
                                    Frame& frame) {
  const auto& body = std::get<AnswerBodyFrame>(frame);
  return this->forwards.OnAnswerBody(daemon, link.generation, body.id,
                                     body.bytes);
}

bool PeerThread::OutboundRefusal(const DaemonId& daemon, Outbound& link,
                                 Frame& frame) {
  auto& refusal = std::get<RefusalFrame>(frame);
  return this->forwards.OnRefusal(daemon, link.generation, refusal.id,
                                  std::move(refusal.refusal));
}

bool PeerThread::OutboundStateHead(const DaemonId&, Outbound& link,
                                   Frame& frame) {
  link.state_head = std::get<StateHeadFrame>(frame);
  link.state_body.clear();
  return true;
}

bool PeerThread::OutboundStateBody(const DaemonId& daemon, Outbound& link,
                                   Frame& frame) {
  if (!link.state_head) return false;
  link.state_body += std::get<StateBodyFrame>(frame).bytes;
  if (link.state_body.size() > link.state_head->body_size) return false;
  if (link.state_body.size() < link.state_head->body_size) return true;
  auto body = std::make_shared<const std::string>(std::move(link.state_body));
  this->DeliverToControl(
      StateReceived{daemon, link.state_head->covers_before, std::move(body)});
  link.state_head.reset();
  link.state_body.clear();
  return true;
}

void PeerThread::OnSendForward(ToPeer& message) {
  auto& forward = std::get<SendForward>(message);
  const auto found = this->outbound.find(forward.to);
  if (found == this->outbound.end() || !found->second.is_connected) {
    this->undelivered.push_back(
        {forward.id, NotRun(Reason::kPeerLost, forward.to.value)});
    return;
  }
  Outbound& link = found->second;
  const Body body = std::move(forward.request.body);
  std::string frames = EncodeFrame(
      ForwardFrame{forward.id, forward.request, body->size()}, this->now);
  AppendBodyPieces(forward.id, *body, false, frames);
  if (!link.connection->SendEncoded(frames)) {
    this->undelivered.push_back(
        {forward.id, NotRun(Reason::kQueueFull, forward.to.value)});
    return;
  }
  const bool is_new = this->forwards.Add(
      forward.id, forward.to, link.generation, forward.request.deadline);
  CHECK(is_new) << "forward id " << forward.id << " is in use";
}

void PeerThread::OnSendCancel(ToPeer& message) {
  const auto& cancel = std::get<SendCancel>(message);
  const auto found = this->outbound.find(cancel.to);
  if (found == this->outbound.end() || !found->second.is_connected) return;
  found->second.connection->Send(CancelFrame{cancel.id}, this->now);
}

void PeerThread::OnSetPeers(ToPeer& message) {
  const auto& peers = std::get<SetPeers>(message).peers;
  for (auto link = this->outbound.begin(); link != this->outbound.end();) {
    const auto wanted = peers.find(link->first);
    if (wanted != peers.end() && wanted->second == link->second.endpoint) {
      ++link;
      continue;
    }
    this->DropOutbound(link->first, link->second);
    link = this->outbound.erase(link);
  }
  for (const auto& [daemon, endpoint] : peers) {
    if (daemon == this->settings.self) continue;
    const auto [link, is_new] = this->outbound.try_emplace(daemon);
    if (!is_new) continue;
    link->second.endpoint = endpoint;
    link->second.connect_again_at = this->now;
  }
}

void PeerThread::OnSendHeartbeat(ToPeer& message) {
  const auto& heartbeat = std::get<SendHeartbeat>(message);
  const auto found = this->outbound.find(heartbeat.to);
  if (found == this->outbound.end() || !found->second.is_connected) return;
  found->second.connection->Send(HeartbeatFrame{heartbeat.log_position},
                                 this->now);
}

void PeerThread::OnRequestState(ToPeer& message) {
  const auto found = this->outbound.find(std::get<RequestState>(message).to);
  if (found == this->outbound.end() || !found->second.is_connected) return;
  found->second.connection->Send(StateRequestFrame{}, this->now);
}

}  // namespace bamboorack::peer
