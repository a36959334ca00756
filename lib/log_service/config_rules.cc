#include "bamboorack/log_service/config_rules.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace bamboorack::log_service {
namespace {

using KeyShards = std::map<std::uint64_t, ShardId>;

const std::vector<HotKey>& HotKeysOf(const Rules& rules,
                                     const ServiceName& service) {
  static const std::vector<HotKey> none;
  const auto found = rules.services.find(service);
  return found == rules.services.end() ? none : found->second.hot_keys;
}

KeyShards ShardsByKey(const std::vector<HotKey>& hot_keys) {
  KeyShards shards;
  for (const HotKey& hot_key : hot_keys) {
    shards.emplace(hot_key.key_hash, hot_key.shard);
  }
  return shards;
}

bool HotKeysFit(const ServiceEntry& service, const Rules& rules) {
  std::set<std::uint64_t> keys;
  std::set<ShardId> shards;
  const std::vector<HotKey>& hot_keys = HotKeysOf(rules, service.name);
  return std::all_of(hot_keys.begin(), hot_keys.end(),
                     [&](const HotKey& hot_key) {
                       return hot_key.shard.value >= service.shard_count &&
                              hot_key.shard.value < kMaxShardsOfService &&
                              keys.insert(hot_key.key_hash).second &&
                              shards.insert(hot_key.shard).second;
                     });
}

bool IsInRange(const ServiceEntry& service) {
  if (service.shard_count == 0 || service.shard_count > kMaxShardsOfService) {
    return false;
  }
  if (service.groups_per_domain == 0) return false;
  return std::all_of(service.upstreams.begin(), service.upstreams.end(),
                     [](const UpstreamEntry& upstream) {
                       return std::isfinite(upstream.weight) &&
                              upstream.weight > 0.0;
                     });
}

ShardId ShardOfKey(const ServiceEntry& service, const KeyShards& hot,
                   std::uint64_t key) {
  const auto found = hot.find(key);
  if (found != hot.end()) return found->second;
  return ShardId(static_cast<std::uint32_t>(key % service.shard_count));
}

/// A key whose shard differs between two sets of rules.
struct KeyMove {
  ShardId from;
  ShardId to;
  bool becomes_hot;
};

std::vector<KeyMove> KeyMovesOf(const ClusterState& state,
                                const ServiceEntry& service,
                                const Rules& rules) {
  const KeyShards before = ShardsByKey(HotKeysOf(state.rules, service.name));
  const KeyShards after = ShardsByKey(HotKeysOf(rules, service.name));
  KeyShards all = before;
  all.insert(after.begin(), after.end());
  std::vector<KeyMove> moves;
  for (const auto& [key, shard] : all) {
    const KeyMove move{ShardOfKey(service, before, key),
                       ShardOfKey(service, after, key), after.contains(key)};
    if (move.from != move.to) moves.push_back(move);
  }
  return moves;
}

const std::vector<ShardState>& ShardsOf(const ClusterState& state,
                                        const ServiceEntry& service) {
  static const std::vector<ShardState> none;
  const auto found = state.shards.find(service.name);
  return found == state.shards.end() ? none : found->second;
}

bool StartsAnew(const std::vector<ShardState>& shards, const KeyMove& move) {
  if (!move.becomes_hot) return false;
  return move.to.value >= shards.size() ||
         !shards[move.to.value].owner.has_value();
}

bool KeepsOwner(const std::vector<ShardState>& shards, const KeyMove& move) {
  if (move.from.value >= shards.size()) return true;
  const ShardState& from = shards[move.from.value];
  if (!from.owner || StartsAnew(shards, move)) return true;
  if (move.to.value >= shards.size()) return false;
  const ShardState& to = shards[move.to.value];
  return to.owner == from.owner && to.group == from.group;
}

}  // namespace

bool IsAcceptable(const ClusterState& state, const Inventory& inventory) {
  std::set<ServiceName> services;
  std::set<UpstreamId> upstreams;
  for (const ServiceEntry& service : inventory.services) {
    if (!IsInRange(service)) return false;
    if (!services.insert(service.name).second) return false;
    if (!HotKeysFit(service, state.rules)) return false;
    for (const UpstreamEntry& upstream : service.upstreams) {
      if (!upstreams.insert(upstream.id).second) return false;
    }
    const ServiceEntry* existing = state.FindService(service.name);
    if (existing != nullptr && existing->shard_count != service.shard_count) {
      return false;
    }
  }
  return true;
}

bool IsAcceptable(const ClusterState& state, const Rules& rules) {
  return std::all_of(
      state.inventory.services.begin(), state.inventory.services.end(),
      [&](const ServiceEntry& service) {
        if (!HotKeysFit(service, rules)) return false;
        const std::vector<ShardState>& shards = ShardsOf(state, service);
        const std::vector<KeyMove> moves = KeyMovesOf(state, service, rules);
        return std::all_of(
            moves.begin(), moves.end(),
            [&](const KeyMove& move) { return KeepsOwner(shards, move); });
      });
}

std::vector<ShardSeed> SeedsOf(const ClusterState& state,
                               const ServiceEntry& service,
                               const Rules& rules) {
  const std::vector<ShardState>& shards = ShardsOf(state, service);
  std::vector<ShardSeed> seeds;
  for (const KeyMove& move : KeyMovesOf(state, service, rules)) {
    if (!StartsAnew(shards, move) || move.from.value >= shards.size()) continue;
    seeds.push_back({move.to, shards[move.from.value]});
  }
  return seeds;
}

}  // namespace bamboorack::log_service
