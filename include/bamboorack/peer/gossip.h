#ifndef BAMBOORACK_PEER_GOSSIP_H_
#define BAMBOORACK_PEER_GOSSIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/key_range.h"
#include "bamboorack/core/owner_map.h"

namespace bamboorack::peer {

/// A short stand-in for an upstream's id in load reports.
using UpstreamHash = Number<struct UpstreamHashTag>;

UpstreamHash HashOf(const UpstreamId& id);

/// What one daemon has in hand at one upstream.
struct UpstreamLoad {
  UpstreamHash upstream;
  std::uint32_t in_flight = 0;
  /// Mean latency of the answers since the last report against that of similar
  /// requests at all upstreams; 1 is average, 0 unknown. An older daemon sends
  /// a smoothed value.
  double latency_ratio = 0;
};

/// The keys of the requests for one service since the last report. Keys whose
/// requests cost more than the mean are listed more often.
struct KeyDemand {
  ServiceName service;
  std::vector<ShardKey> keys;
  /// Whether upstreams of the service stated their load to the sender.
  bool states_load = false;
};

/// A run of an upstream that said that it leaves.
struct UpstreamDeparture {
  UpstreamHash upstream;
  UpstreamLife life;

  auto operator<=>(const UpstreamDeparture&) const = default;
};

/// A load that an upstream stated in an answer to the sender.
struct UpstreamStatement {
  UpstreamHash upstream;
  /// From the statement until the report was sent.
  std::chrono::milliseconds age{0};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// How long work takes on its host, relative to usual.
  double slowdown = 1;

  bool operator==(const UpstreamStatement&) const = default;
};

/// Tells the other daemons how busy a daemon keeps the upstreams, so that each
/// sees the work of all.
struct LoadReport {
  DaemonId sender;
  std::vector<UpstreamLoad> upstreams;
  std::vector<KeyDemand> demands;
  /// How long ago the platform's log last answered the sender; nothing if it
  /// never did.
  std::optional<std::chrono::milliseconds> log_contact_age{};
  std::vector<UpstreamDeparture> departures{};
  /// Loads that are unusual, and the first usual ones after these.
  std::vector<UpstreamStatement> statements{};
};

/// A former leader's word that it sends no more orders.
struct LeaseStatement {
  /// The end of the log after its newest record. It holds only for this one.
  LogOffset log_end;
  /// Its leases end within this time from when the statement was received.
  std::chrono::milliseconds leases_left{0};
};

/// Keys and their owner; the hash 0 means that they have none.
struct HashedRange {
  KeyRange range;
  UpstreamHash owner;

  bool operator==(const HashedRange&) const = default;
};

using HashedOwners = std::map<ServiceName, std::vector<HashedRange>>;

/// Shortens a map for the way between daemons.
HashedOwners ToHashed(const OwnerMap& map);
/// Restores a map. Keys whose owner is not in `upstreams` have none.
OwnerMap FromHashed(const OwnerMapVersion& version, const HashedOwners& owners,
                    const std::vector<RegisteredUpstream>& upstreams);

/// Shows that the leader of ownership is there, and who owns which keys.
struct LeaderBeat {
  DaemonId sender;
  OwnerMapVersion version;
  bool has_resigned = false;
  /// Set once the sender's mandate has ended.
  std::optional<LeaseStatement> lapsed{};
  /// Empty in beats between changes.
  std::optional<HashedOwners> owners{};
  /// If set, `owners` has only the ranges that changed after this change of the
  /// term, so it says nothing to who knows an older map.
  std::optional<std::uint64_t> since{};
};

/// What the leader of ownership read of the log's topic with this number, so
/// that the other daemons need not.
struct RecordRelay {
  std::uint8_t topic = 0;
  LogOffset from;
  LogOffset end;
  /// Pairs of a key and its value, or nothing for a removed key. Absent if the
  /// receivers have to read themselves.
  std::optional<std::vector<std::pair<std::string, std::optional<std::string>>>>
      records{};
  bool wants_read = false;
};

using Gossip = std::variant<LoadReport, LeaderBeat, RecordRelay>;

/// Sends `few` to the next `few_count` daemons in turn, and `most` to the
/// others, so that a large message to all does not go out at once.
struct TakeTurns {
  LeaderBeat most;
  LeaderBeat few;
  std::size_t few_count = 0;
};

/// Replaces the daemons that are sent to.

struct SetPeers {
  std::vector<Endpoint> peers;
};

/// To the gossip thread.
using ToGossip =
    std::variant<LoadReport, LeaderBeat, RecordRelay, SetPeers, TakeTurns>;

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_GOSSIP_H_
