#ifndef BAMBOORACK_PEER_GOSSIP_THREAD_H_
#define BAMBOORACK_PEER_GOSSIP_THREAD_H_

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <tl/expected.hpp>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/poll_reactor.h"
#include "bamboorack/core/time.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/peer/gossip_codec.h"

namespace bamboorack::peer {

/// Sends and receives the datagrams between daemons with one thread. A
/// datagram that is lost is replaced by the next one, so nothing is sent twice.
class GossipThread {
 public:
  struct Settings {
    DaemonId daemon;
    DaemonInstance instance;
    Endpoint listen;
  };

  /// The rings must outlive this object.
  GossipThread(Settings thread_settings, BoundedRing<ToGossip>& in_ring,
               BoundedRing<LoadReport>& to_routing_ring,
               BoundedRing<Gossip>& to_control_ring, Metrics& registry);
  ~GossipThread();
  GossipThread(const GossipThread&) = delete;
  GossipThread& operator=(const GossipThread&) = delete;

  /// Binds the socket and starts the thread.
  tl::expected<void, std::string> Start();
  void Stop();

 private:
  struct Peer {
    Poco::Net::SocketAddress address;
    /// Set for a peer that was learned from its datagrams only.
    bool is_learned = false;
    MonotonicTime last_heard;
  };

  void Run();
  void Receive();
  void Accept(std::string_view bytes, const Poco::Net::SocketAddress& from);
  void Learn(const Poco::Net::SocketAddress& from);
  void TakeMessages();
  void Take(const SetPeers& peers);
  void Broadcast(const Gossip& content);
  void SendInTurns(const TakeTurns& turns);
  /// Returns nothing if `content` is too large for a datagram.
  std::string Encode(const Gossip& content);
  void Send(const std::string& bytes, const Peer& peer);

  const Settings settings;
  BoundedRing<ToGossip>& in;
  BoundedRing<LoadReport>& to_routing;
  BoundedRing<Gossip>& to_control;
  Metrics& metrics;
  std::shared_ptr<PollReactor> poll;
  Poco::Net::DatagramSocket socket;
  std::map<std::string, Peer> peers;
  /// The newest datagram of each daemon, so that late ones are dropped.
  std::map<DaemonId, GossipSource> newest;
  std::uint64_t sequence = 0;
  /// Which of the peers gets the next whole map.
  std::size_t turn = 0;
  std::atomic<bool> is_stopping{false};
  std::thread thread;
};

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_GOSSIP_THREAD_H_
