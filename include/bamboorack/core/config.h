#ifndef BAMBOORACK_CORE_CONFIG_H_
#define BAMBOORACK_CORE_CONFIG_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/rank.h"

namespace bamboorack {

/// What an authority does when it loses contact with the log.
enum class OnLogLoss : std::uint8_t {
  /// Serve on; a successor needs a proof that does not rest on time.
  kKeepServing,
  /// Stop when the mandate ends; a successor waits mandate and lease out.
  kStop,
};

/// One upstream of the inventory.
struct UpstreamEntry {
  UpstreamId id;
  VmId vm;
  Endpoint endpoint;
  FailureDomain failure_domain;
  /// Requests that the upstream runs at once.
  std::uint32_t slots = 1;
  /// Relative share of shards. 1.0 is the default.
  double weight = 1.0;

  bool operator==(const UpstreamEntry&) const = default;
};

/// One service of the inventory.
struct ServiceEntry {
  ServiceName name;
  /// Whether the upstreams refuse orders with a stale token.
  bool checks_tokens = true;
  /// Whether the upstreams can tell what became of a request id.
  bool can_settle = true;
  /// Fixed at the first publication: a key's shard depends on it.
  std::uint32_t shard_count = 64;
  std::uint32_t groups_per_domain = 1;
  std::vector<UpstreamEntry> upstreams;

  bool operator==(const ServiceEntry&) const = default;
};

/// One daemon of the inventory.
struct DaemonEntry {
  DaemonId id;
  VmId vm;
  FailureDomain failure_domain;
  /// Where other daemons connect.
  Endpoint peer_endpoint;

  bool operator==(const DaemonEntry&) const = default;
};

/// What the operators' asset register says.
struct Inventory {
  std::vector<DaemonEntry> daemons;
  std::vector<ServiceEntry> services;

  bool operator==(const Inventory&) const = default;
};

/// A key with a shard of its own.
struct HotKey {
  std::uint64_t key_hash = 0;
  /// At least the service's `shard_count`; unique within the service.
  ShardId shard;

  bool operator==(const HotKey&) const = default;
};

/// The rules for one service.
struct ServiceRules {
  OnLogLoss on_log_loss = OnLogLoss::kKeepServing;
  /// How long a grant lasts on the upstream's clock after the echoed reading.
  std::chrono::milliseconds lease{1000};
  /// How long an authority may act after its last contact with the log head,
  /// if it stops on log loss.
  std::chrono::milliseconds mandate{400};
  /// The same for upstreams that do not check tokens.
  std::chrono::milliseconds permit{1200};
  std::chrono::milliseconds id_memory{600'000};
  /// Share of dispatches that each rank keeps while it has work waiting. The
  /// sum is at most 1; what is left goes to the most urgent rank.
  std::array<double, kRankCount> floors = {0.5, 0.3, 0.1};
  /// Requests that wait for one upstream, for each rank.
  std::uint32_t queue_limit = 64;
  /// Retries as a share of requests.
  double retry_share = 0.1;
  /// Upper bound of voluntary moves in one group.
  double moves_per_second = 2.0;
  std::vector<HotKey> hot_keys;

  bool operator==(const ServiceRules&) const = default;
};

/// What the operators publish besides the inventory.
struct Rules {
  /// Upstreams and daemons that an operator takes out of service.
  std::vector<UpstreamId> drained_upstreams;
  std::map<ServiceName, ServiceRules> services;

  bool operator==(const Rules&) const = default;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_CONFIG_H_
