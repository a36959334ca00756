#ifndef BAMBOORACK_PEER_GOSSIP_CODEC_H_
#define BAMBOORACK_PEER_GOSSIP_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bamboorack/core/ids.h"
#include "bamboorack/peer/gossip.h"

namespace bamboorack::peer {

/// Who sent a datagram, and which of its datagrams this is.
struct GossipSource {
  DaemonId daemon;
  DaemonInstance instance;
  /// Grows with each datagram of an instance.
  std::uint64_t sequence = 0;
};

struct ReceivedGossip {
  GossipSource source;
  Gossip content;
};

std::string EncodeGossip(const GossipSource& source, const Gossip& content);

/// Returns nothing if `bytes` is not a valid datagram.
std::optional<ReceivedGossip> DecodeGossip(std::string_view bytes);

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_GOSSIP_CODEC_H_
