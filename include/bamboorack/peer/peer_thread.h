#ifndef BAMBOORACK_PEER_PEER_THREAD_H_
#define BAMBOORACK_PEER_PEER_THREAD_H_

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <tl/expected.hpp>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/poll_waker.h"
#include "bamboorack/peer/forward_table.h"
#include "bamboorack/peer/frame_connection.h"
#include "bamboorack/peer/messages.h"
#include "bamboorack/peer/probe_monitor.h"

namespace bamboorack::peer {

struct PeerSettings {
  DaemonId self;
  DaemonInstance instance;
  /// Port 0 takes any free port.
  Endpoint listen;
};

/// The duty that talks to other daemons: one thread for all connections.
/// Requests go out on connections that this daemon opened; requests of other
/// daemons come in on connections that they opened.
class PeerThread {
 public:
  PeerThread(PeerSettings settings, BoundedRing<ToPeer>& input,
             BoundedRing<PeerToRouting>& to_routing,
             BoundedRing<PeerToControl>& to_control, Metrics& metrics);
  ~PeerThread();
  PeerThread(const PeerThread&) = delete;
  PeerThread& operator=(const PeerThread&) = delete;

  /// Listens and starts the thread. The error says why it cannot listen.
  tl::expected<void, std::string> Start();
  /// Ends the thread and closes all connections.
  void Stop();
  /// Returns the port that the thread listens on, after `Start`.
  std::uint16_t Port() const { return this->port; }

 private:
  /// A connection that this daemon opened.
  struct Outbound {
    Endpoint endpoint;
    ConnectionGeneration generation;
    std::unique_ptr<FrameConnection> connection;
    bool is_connected = false;
    std::optional<ProbeMonitor> monitor;
    MonotonicTime connect_again_at;
    std::optional<StateHeadFrame> state_head;
    std::string state_body;
  };

  /// A forwarded request whose body has not fully arrived.
  struct PartialRequest {
    Request request;
    std::size_t body_size = 0;
    std::string body;
  };

  /// A connection that another daemon opened.
  struct Inbound {
    FrameConnection connection;
    /// Counts accepted connections of this process.
    ConnectionGeneration generation;
    HelloFrame hello;
    std::map<ForwardId, PartialRequest> partial;
  };

  using OutboundHandler = bool (PeerThread::*)(const DaemonId&, Outbound&,
                                               Frame&);
  using InboundHandler = bool (PeerThread::*)(Inbound&, Frame&);
  using InputHandler = void (PeerThread::*)(ToPeer&);

  void Run();
  void Step();
  MonotonicTime NextWakeup() const;
  void HandleInputs();
  void HandleSocket(const Poco::Net::Socket& socket, int events);
  void Accept();
  void UpdateInterest();
  void DeliverEnded();
  void DeliverToControl(PeerToControl&& message);

  void Connect(const DaemonId& daemon, Outbound& link);
  void CheckOutbound(const DaemonId& daemon, Outbound& link);
  void DropOutbound(const DaemonId& daemon, Outbound& link);
  bool ServeOutbound(const DaemonId& daemon, Outbound& link, int events);
  bool ServeInbound(Inbound& link, int events);
  void DropInbound(ConnectionGeneration generation);
  bool PassRequest(Inbound& link, ForwardId id, Request&& request);
  Inbound* FindInbound(const DaemonId& daemon);

  void OnSendForward(ToPeer& message);
  void OnSendCancel(ToPeer& message);
  void OnSendAnswer(ToPeer& message);
  void OnSetPeers(ToPeer& message);
  void OnSendHeartbeat(ToPeer& message);
  void OnRequestState(ToPeer& message);
  void OnSendState(ToPeer& message);

  bool OutboundUnexpected(const DaemonId& daemon, Outbound& link, Frame& frame);
  bool OutboundProbeAck(const DaemonId& daemon, Outbound& link, Frame& frame);
  bool OutboundAnswerHead(const DaemonId& daemon, Outbound& link, Frame& frame);
  bool OutboundAnswerBody(const DaemonId& daemon, Outbound& link, Frame& frame);
  bool OutboundRefusal(const DaemonId& daemon, Outbound& link, Frame& frame);
  bool OutboundStateHead(const DaemonId& daemon, Outbound& link, Frame& frame);
  bool OutboundStateBody(const DaemonId& daemon, Outbound& link, Frame& frame);

  bool InboundUnexpected(Inbound& link, Frame& frame);
  bool InboundHello(Inbound& link, Frame& frame);
  bool InboundHeartbeat(Inbound& link, Frame& frame);
  bool InboundProbe(Inbound& link, Frame& frame);
  bool InboundForward(Inbound& link, Frame& frame);
  bool InboundBody(Inbound& link, Frame& frame);
  bool InboundCancel(Inbound& link, Frame& frame);
  bool InboundStateRequest(Inbound& link, Frame& frame);

  PeerSettings settings;
  BoundedRing<ToPeer>& input;
  BoundedRing<PeerToRouting>& to_routing;
  BoundedRing<PeerToControl>& to_control;
  Metrics& metrics;
  Poco::Net::ServerSocket server;
  Poco::Net::PollSet poll_set;
  PollWaker waker{this->poll_set};
  std::uint16_t port = 0;
  MonotonicTime now;
  ConnectionGeneration last_generation;
  std::map<DaemonId, Outbound> outbound;
  std::map<ConnectionGeneration, Inbound> inbound;
  ForwardTable forwards;
  /// Ends that did not fit into the ring to routing yet.
  std::deque<ForwardAnswered> undelivered;
  std::atomic<bool> is_stopping = false;
  std::thread thread;
};

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_PEER_THREAD_H_
