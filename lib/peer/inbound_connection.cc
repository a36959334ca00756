// Connections that other daemons opened to this one: their forwards and our
// answers.

#include <Poco/Exception.h>
#include <glog/logging.h>

#include <array>
#include <utility>

#include "bamboorack/peer/peer_thread.h"

namespace bamboorack::peer {
namespace {

using Poco::Net::PollSet;

// Requests of one daemon whose bodies are still arriving. With bodies of up
// to 64 MiB more would not fit a daemon's memory.
constexpr std::size_t kMaxPartialBytes = std::size_t{128} * 1024 * 1024;

}  // namespace

bool PeerThread::ServeInbound(Inbound& link, int events) {
  // One row for each alternative of `Frame`.
  static constexpr std::array<InboundHandler, std::variant_size_v<Frame>>
      kHandlers = {
          &PeerThread::InboundHello,        &PeerThread::InboundHeartbeat,
          &PeerThread::InboundProbe,        &PeerThread::InboundUnexpected,
          &PeerThread::InboundForward,      &PeerThread::InboundBody,
          &PeerThread::InboundUnexpected,   &PeerThread::InboundUnexpected,
          &PeerThread::InboundUnexpected,   &PeerThread::InboundCancel,
          &PeerThread::InboundStateRequest, &PeerThread::InboundUnexpected,
          &PeerThread::InboundUnexpected};
  if ((events & PollSet::POLL_ERROR) != 0) return false;
  if ((events & PollSet::POLL_READ) != 0 && !link.connection.Read()) {
    return false;
  }
  while (true) {
    const auto message = link.connection.NextMessage();
    if (!message) break;
    if (message->empty()) return link.connection.Flush();
    auto frame = DecodeFrame(*message, this->now);
    if (!frame) break;
    const bool is_hello = std::holds_alternative<HelloFrame>(*frame);
    if (is_hello != link.hello.daemon.IsEmpty()) break;
    if (!(this->*kHandlers.at(frame->index()))(link, *frame)) break;
  }
  this->metrics.Count("peer_bad_frames");
  return false;
}

void PeerThread::DropInbound(ConnectionGeneration generation) {
  const auto found = this->inbound.find(generation);
  if (found == this->inbound.end()) return;
  this->poll_set.remove(found->second.connection.Socket());
  found->second.connection.Close();
  this->inbound.erase(found);
}

PeerThread::Inbound* PeerThread::FindInbound(const DaemonId& daemon) {
  for (auto link = this->inbound.rbegin(); link != this->inbound.rend();
       ++link) {
    if (link->second.hello.daemon == daemon) return &link->second;
  }
  return nullptr;
}

bool PeerThread::InboundUnexpected(Inbound&, Frame&) { return false; }

bool PeerThread::InboundHello(Inbound& link, Frame& frame) {
  link.hello = std::get<HelloFrame>(std::move(frame));
  return true;
}

bool PeerThread::InboundHeartbeat(Inbound& link, Frame& frame) {
  this->DeliverToControl(PeerHeard{link.hello.daemon, link.hello.instance,
                                   std::get<HeartbeatFrame>(frame).log_position,
                                   this->now});
  return true;
}

bool PeerThread::InboundProbe(Inbound& link, Frame& frame) {
  return link.connection.Send(ProbeAckFrame{std::get<ProbeFrame>(frame).id},
                              this->now);
}

bool PeerThread::InboundForward(Inbound& link, Frame& frame) {
  auto& forward = std::get<ForwardFrame>(frame);
  if (forward.body_size == 0) {
    return this->PassRequest(link, forward.id, std::move(forward.request));
  }
  std::size_t waiting = forward.body_size;
  for (const auto& [id, partial] : link.partial) waiting += partial.body_size;
  if (waiting > kMaxPartialBytes) {
    this->metrics.CountRefusal(Reason::kQueueFull);
    return false;
  }
  PartialRequest partial{std::move(forward.request), forward.body_size, {}};
  return link.partial.emplace(forward.id, std::move(partial)).second;
}

bool PeerThread::InboundBody(Inbound& link, Frame& frame) {
  const auto& body = std::get<BodyFrame>(frame);
  const auto found = link.partial.find(body.id);
  if (found == link.partial.end()) return false;
  PartialRequest& partial = found->second;
  partial.body += body.bytes;
  if (partial.body.size() > partial.body_size) return false;
  if (partial.body.size() < partial.body_size) return true;
  Request request = std::move(partial.request);
  request.body = std::make_shared<const std::string>(std::move(partial.body));
  link.partial.erase(found);
  return this->PassRequest(link, body.id, std::move(request));
}

bool PeerThread::PassRequest(Inbound& link, ForwardId id, Request&& request) {
  if (request.body == nullptr) {
    request.body = std::make_shared<const std::string>();
  }
  ForwardArrived arrived{{link.hello.daemon, link.generation, id},
                         std::move(request)};
  if (this->to_routing.TryPush(std::move(arrived))) return true;
  return link.connection.Send(
      RefusalFrame{id, Refusal{Ending::kNotRun, Reason::kRingFull, {}}},
      this->now);
}

bool PeerThread::InboundCancel(Inbound& link, Frame& frame) {
  const ForwardId id = std::get<CancelFrame>(frame).id;
  if (link.partial.erase(id) > 0) return true;
  ForwardCancelled cancelled{{link.hello.daemon, link.generation, id}};
  if (!this->to_routing.TryPush(std::move(cancelled))) {
    this->metrics.Count("peer_cancels_dropped");
  }
  return true;
}

bool PeerThread::InboundStateRequest(Inbound& link, Frame&) {
  this->DeliverToControl(StateRequested{link.hello.daemon});
  return true;
}

void PeerThread::OnSendAnswer(ToPeer& message) {
  auto& answer = std::get<SendAnswer>(message);
  const auto found = this->inbound.find(answer.to.generation);
  if (found == this->inbound.end()) {
    this->metrics.Count("peer_answers_dropped");
    return;
  }
  FrameConnection& connection = found->second.connection;
  const ForwardId id = answer.to.id;
  if (!answer.result) {
    connection.Send(RefusalFrame{id, std::move(answer.result.error())},
                    this->now);
    return;
  }
  const Body body = std::move(answer.result->body);
  std::string frames = EncodeFrame(
      AnswerHeadFrame{id, std::move(*answer.result), body->size()}, this->now);
  AppendBodyPieces(id, *body, true, frames);
  if (connection.SendEncoded(frames)) return;
  this->metrics.Count("peer_slow_readers");
  this->DropInbound(answer.to.generation);
}

void PeerThread::OnSendState(ToPeer& message) {
  const auto& state = std::get<SendState>(message);
  Inbound* link = this->FindInbound(state.to);
  if (link == nullptr) return;
  std::string frames = EncodeFrame(
      StateHeadFrame{state.covers_before, state.body->size()}, this->now);
  for (std::size_t at = 0; at < state.body->size(); at += kBodyPieceBytes) {
    frames += EncodeFrame(
        StateBodyFrame{state.body->substr(at, kBodyPieceBytes)}, this->now);
  }
  if (!link->connection.SendEncoded(frames)) {
    this->metrics.Count("peer_slow_readers");
  }
}

}  // namespace bamboorack::peer
