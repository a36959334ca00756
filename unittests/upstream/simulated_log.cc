#include "upstream/simulated_log.h"

#include <variant>

namespace bamboorack::upstream {
namespace {

/// Judges one record, with a function for each kind.
struct Judge {
  ClusterState& state;
  LogOffset offset;

  Verdict operator()(const InventoryPublished& record) const {
    this->state.inventory = record.inventory;
    this->state.inventory_revision = Revision(this->offset.value);
    for (const ServiceEntry& service : record.inventory.services) {
      auto& shards = this->state.shards[service.name];
      if (!shards.empty()) continue;
      const GroupId group{service.name, service.upstreams[0].failure_domain, 0};
      shards.assign(service.shard_count, ShardState{group, {}, {}});
    }
    return Verdict::kAccepted;
  }

  Verdict operator()(const RulesPublished& record) const {
    this->state.rules = record.rules;
    this->state.rules_revision = Revision(this->offset.value);
    return Verdict::kAccepted;
  }

  Verdict operator()(const AuthorityTaken& record) const {
    AuthorityState& authority = this->state.authorities[record.group];
    if (authority.token != record.base_token) return Verdict::kStaleToken;
    authority = {FencingToken(this->offset.value),
                 record.daemon,
                 record.daemon_instance,
                 {}};
    return Verdict::kAccepted;
  }

  Verdict operator()(const AuthorityReleased& record) const {
    AuthorityState& authority = this->state.authorities[record.group];
    if (authority.token != record.token) return Verdict::kStaleToken;
    authority.released_to = record.to_daemon;
    return Verdict::kAccepted;
  }

  Verdict operator()(const ShardsAssigned& record) const {
    if (this->state.authorities[record.group].token != record.token) {
      return Verdict::kStaleToken;
    }
    auto& shards = this->state.shards[record.group.service];
    for (const ShardChange& change : record.changes) {
      if (change.shard.value >= shards.size()) return Verdict::kUnknownTarget;
      const ShardState& shard = shards[change.shard.value];
      if (shard.group != record.group) return Verdict::kUnknownTarget;
      if (shard.changed_at != change.base) return Verdict::kStaleShard;
    }
    for (const ShardChange& change : record.changes) {
      ShardState& shard = shards[change.shard.value];
      shard.owner = change.to;
      shard.changed_at = this->offset;
    }
    return Verdict::kAccepted;
  }

  Verdict operator()(const UpstreamDeclaredLost& record) const {
    this->state.declared_lost.insert(record.upstream);
    return Verdict::kAccepted;
  }

  Verdict operator()(const SnapshotPiece& /*record*/) const {
    return Verdict::kAccepted;
  }
};

}  // namespace

Verdict LogReader::Apply(const LogRecord& record) {
  this->state.next_offset = LogOffset(record.offset.value + 1);
  if (!this->seen.insert(record.record.id).second) return Verdict::kDuplicate;
  return std::visit(Judge{this->state, record.offset}, record.record.body);
}

Verdict SimulatedLog::Append(const Record& record) {
  this->records.push_back(
      {LogOffset(this->records.size() + 1), this->wall_time, record});
  const Verdict verdict = this->head.Apply(this->records.back());
  this->history.push_back(OwnersOf(this->head.state));
  return verdict;
}

bool SimulatedLog::CatchUp(LogReader& reader, std::size_t count) const {
  for (std::size_t i = reader.state.next_offset.value - 1; i < count; ++i) {
    reader.Apply(this->records[i]);
  }
  const std::size_t position = reader.state.next_offset.value - 1;
  return position == 0 || OwnersOf(reader.state) == this->history[position - 1];
}

std::vector<std::optional<UpstreamRef>> OwnersOf(const ClusterState& state) {
  std::vector<std::optional<UpstreamRef>> owners;
  for (const auto& [service, shards] : state.shards) {
    for (const ShardState& shard : shards) owners.push_back(shard.owner);
  }
  return owners;
}

}  // namespace bamboorack::upstream
