#include "bamboorack/log_service/fold.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>
#include <variant>

#include "bamboorack/core/hash.h"
#include "bamboorack/core/placement.h"
#include "bamboorack/log_service/config_rules.h"

namespace bamboorack::log_service {
namespace {

bool HasOwner(const std::vector<ShardState>& shards) {
  return std::any_of(shards.begin(), shards.end(), [](const ShardState& shard) {
    return shard.owner.has_value();
  });
}

bool HasRepeatedShard(const std::vector<ShardChange>& changes) {
  std::set<ShardId> shards;
  return std::any_of(changes.begin(), changes.end(),
                     [&shards](const ShardChange& change) {
                       return !shards.insert(change.shard).second;
                     });
}

template <typename Body>
const Body& BodyOf(const LogRecord& record) {
  return std::get<Body>(record.record.body);
}

}  // namespace

RecentIds::RecentIds(const std::vector<std::uint64_t>& oldest_first) {
  for (const std::uint64_t hash : oldest_first) this->InsertHash(hash);
}

bool RecentIds::Insert(const RecordId& id) {
  return this->InsertHash(HashText(id.value));
}

bool RecentIds::InsertHash(std::uint64_t hash) {
  if (!this->known.insert(hash).second) return false;
  this->order.push_back(hash);
  if (this->order.size() > kRememberedIds) {
    this->known.erase(this->order.front());
    this->order.pop_front();
  }
  return true;
}

std::vector<std::uint64_t> RecentIds::OldestFirst() const {
  return {this->order.begin(), this->order.end()};
}

/// The handler of each record kind, in the order of `RecordBody`.
struct Fold::Handlers {
  static constexpr std::array<Handler, std::variant_size_v<RecordBody>> kTable =
      {&Fold::ApplyInventory,      &Fold::ApplyRules,
       &Fold::ApplyAuthorityTaken, &Fold::ApplyAuthorityReleased,
       &Fold::ApplyShardsAssigned, &Fold::ApplyDeclaredLost,
       &Fold::ApplySnapshotPiece};
};

Fold::Fold(ClusterState initial) : state(std::move(initial)) {
  // The log's offsets start at 1.
  this->AdvanceTo(LogOffset(1));
}

Fold::Fold(FoldSnapshot snapshot) : Fold(std::move(snapshot.state)) {
  this->ids = RecentIds(snapshot.recent_ids);
}

Verdict Fold::Apply(const LogRecord& record) {
  if (record.offset < this->state.next_offset) return Verdict::kDuplicate;
  this->state.next_offset = LogOffset(record.offset.value + 1);
  if (!this->ids.Insert(record.record.id)) return Verdict::kDuplicate;
  const Handler handler = Handlers::kTable.at(record.record.body.index());
  return (this->*handler)(record);
}

void Fold::AdvanceTo(LogOffset next) {
  this->state.next_offset = std::max(this->state.next_offset, next);
}

bool Fold::TakeOver(FoldSnapshot snapshot) {
  const ClusterState& newer = snapshot.state;
  if (newer.next_offset <= this->state.next_offset ||
      newer.inventory_revision < this->state.inventory_revision ||
      newer.rules_revision < this->state.rules_revision) {
    return false;
  }
  *this = Fold(std::move(snapshot));
  return true;
}

FoldSnapshot Fold::Snapshot() const {
  return {this->state, this->ids.OldestFirst()};
}

Verdict Fold::ApplyInventory(const LogRecord& record) {
  const auto& published = BodyOf<InventoryPublished>(record);
  if (published.base_revision != this->state.inventory_revision) {
    return Verdict::kStaleBase;
  }
  if (!IsAcceptable(this->state, published.inventory)) return Verdict::kInvalid;
  Inventory inventory = published.inventory;
  for (const ServiceEntry& old : this->state.inventory.services) {
    const bool is_kept = std::any_of(
        inventory.services.begin(), inventory.services.end(),
        [&old](const ServiceEntry& entry) { return entry.name == old.name; });
    if (is_kept) continue;
    if (!HasOwner(this->state.shards[old.name])) {
      this->state.shards.erase(old.name);
      continue;
    }
    // Without its entry the service could return with other shards while an
    // upstream still holds a lease on the old ones.
    inventory.services.push_back(old);
    inventory.services.back().upstreams.clear();
  }
  this->state.inventory = std::move(inventory);
  this->state.inventory_revision = Revision(record.offset.value);
  for (const ServiceEntry& service : this->state.inventory.services) {
    this->PlaceShards(service, 0);
  }
  this->ForgetLostUpstreams();
  return Verdict::kAccepted;
}

Verdict Fold::ApplyRules(const LogRecord& record) {
  const auto& published = BodyOf<RulesPublished>(record);
  if (published.base_revision != this->state.rules_revision) {
    return Verdict::kStaleBase;
  }
  if (!IsAcceptable(this->state, published.rules)) return Verdict::kInvalid;
  std::map<ServiceName, std::vector<ShardSeed>> seeds;
  for (const ServiceEntry& service : this->state.inventory.services) {
    seeds[service.name] = SeedsOf(this->state, service, published.rules);
  }
  this->state.rules = published.rules;
  this->state.rules_revision = Revision(record.offset.value);
  for (const ServiceEntry& service : this->state.inventory.services) {
    std::vector<ShardState>& shards = this->state.shards[service.name];
    this->PlaceShards(service, shards.size());
    for (const ShardSeed& seed : seeds[service.name]) {
      ShardState& shard = shards.at(seed.to.value);
      shard = seed.from;
      shard.changed_at = record.offset;
    }
  }
  return Verdict::kAccepted;
}

Verdict Fold::ApplyAuthorityTaken(const LogRecord& record) {
  const auto& taken = BodyOf<AuthorityTaken>(record);
  if (!this->IsKnownGroup(taken.group)) return Verdict::kUnknownTarget;
  if (taken.base_token != this->TokenOf(taken.group)) {
    return Verdict::kStaleToken;
  }
  this->state.authorities[taken.group] =
      AuthorityState{FencingToken(record.offset.value), taken.daemon,
                     taken.daemon_instance, std::nullopt};
  return Verdict::kAccepted;
}

Verdict Fold::ApplyAuthorityReleased(const LogRecord& record) {
  const auto& released = BodyOf<AuthorityReleased>(record);
  const auto found = this->state.authorities.find(released.group);
  if (found == this->state.authorities.end()) return Verdict::kUnknownTarget;
  if (found->second.token != released.token) return Verdict::kStaleToken;
  found->second.released_to = released.to_daemon;
  return Verdict::kAccepted;
}

Verdict Fold::ApplyShardsAssigned(const LogRecord& record) {
  const auto& assigned = BodyOf<ShardsAssigned>(record);
  const auto found = this->state.authorities.find(assigned.group);
  if (found == this->state.authorities.end()) return Verdict::kUnknownTarget;
  if (found->second.token != assigned.token) return Verdict::kStaleToken;
  if (assigned.changes.empty() || HasRepeatedShard(assigned.changes)) {
    return Verdict::kInvalid;
  }
  for (const ShardChange& change : assigned.changes) {
    const Verdict verdict = this->CheckChange(assigned, change);
    if (verdict != Verdict::kAccepted) return verdict;
  }
  std::vector<ShardState>& shards =
      this->state.shards.at(assigned.group.service);
  for (const ShardChange& change : assigned.changes) {
    ShardState& shard = shards.at(change.shard.value);
    shard.owner = change.to;
    shard.changed_at = record.offset;
  }
  this->RegroupReleased(assigned);
  return Verdict::kAccepted;
}

void Fold::RegroupReleased(const ShardsAssigned& assigned) {
  const ServiceEntry* service = this->state.FindService(assigned.group.service);
  const bool any_released = std::any_of(
      assigned.changes.begin(), assigned.changes.end(),
      [](const ShardChange& change) { return !change.to.has_value(); });
  if (service == nullptr || !any_released) return;
  std::vector<ShardState>& shards = this->state.shards.at(service->name);
  const std::vector<GroupId> proposal =
      ProposeGroups(*service, static_cast<std::uint32_t>(shards.size()));
  if (proposal.empty()) return;
  for (const ShardChange& change : assigned.changes) {
    if (change.to) continue;
    shards.at(change.shard.value).group = proposal.at(change.shard.value);
  }
}

Verdict Fold::CheckChange(const ShardsAssigned& assigned,
                          const ShardChange& change) const {
  const auto found = this->state.shards.find(assigned.group.service);
  if (found == this->state.shards.end() ||
      change.shard.value >= found->second.size()) {
    return Verdict::kUnknownTarget;
  }
  const ShardState& shard = found->second[change.shard.value];
  if (shard.group != assigned.group || shard.changed_at != change.base ||
      shard.owner != change.from) {
    return Verdict::kStaleShard;
  }
  if (!change.from && !change.to) return Verdict::kInvalid;
  if (change.from && assigned.proof == Proof::kUnowned) {
    return Verdict::kInvalid;
  }
  if (change.from && assigned.proof == Proof::kDeclared &&
      !this->state.declared_lost.contains(*change.from)) {
    return Verdict::kInvalid;
  }
  if (!change.to) return Verdict::kAccepted;
  // A shard owned by an instance that is already declared lost could be moved
  // away at any time, while the instance holds a lease.
  if (this->state.declared_lost.contains(*change.to)) return Verdict::kInvalid;
  const auto upstreams = this->state.UpstreamsOf(assigned.group);
  const bool is_in_group = std::any_of(upstreams.begin(), upstreams.end(),
                                       [&change](const UpstreamEntry* entry) {
                                         return entry->id == change.to->id;
                                       });
  return is_in_group ? Verdict::kAccepted : Verdict::kUnknownTarget;
}

Verdict Fold::ApplyDeclaredLost(const LogRecord& record) {
  const UpstreamRef& upstream = BodyOf<UpstreamDeclaredLost>(record).upstream;
  if (upstream.instance.IsEmpty()) return Verdict::kInvalid;
  // An instance that owns nothing is declared lost too: the rules of moves
  // without the log need a word on every upstream of the group.
  if (this->state.FindUpstream(upstream.id) == nullptr &&
      !this->IsOwner(upstream)) {
    return Verdict::kUnknownTarget;
  }
  this->state.declared_lost.insert(upstream);
  return Verdict::kAccepted;
}

Verdict Fold::ApplySnapshotPiece(const LogRecord&) {
  return Verdict::kAccepted;
}

bool Fold::IsKnownGroup(const GroupId& group) const {
  if (!this->state.UpstreamsOf(group).empty()) return true;
  const auto found = this->state.shards.find(group.service);
  if (found == this->state.shards.end()) return false;
  // Owned shards stay in their group when its upstreams leave the inventory.
  return std::any_of(found->second.begin(), found->second.end(),
                     [&group](const ShardState& shard) {
                       return shard.owner && shard.group == group;
                     });
}

bool Fold::IsOwner(const UpstreamRef& upstream) const {
  return std::any_of(this->state.shards.begin(), this->state.shards.end(),
                     [&upstream](const auto& entry) {
                       return std::any_of(entry.second.begin(),
                                          entry.second.end(),
                                          [&upstream](const ShardState& shard) {
                                            return shard.owner == upstream;
                                          });
                     });
}

FencingToken Fold::TokenOf(const GroupId& group) const {
  const auto found = this->state.authorities.find(group);
  return found == this->state.authorities.end() ? FencingToken(0)
                                                : found->second.token;
}

void Fold::PlaceShards(const ServiceEntry& service, std::size_t first) {
  const std::uint32_t total = this->state.ShardTotal(service);
  std::vector<ShardState>& shards = this->state.shards[service.name];
  shards.resize(total, ShardState{GroupId{service.name, {}, 0}, {}, {}});
  // A proposal costs a score for each shard and group, so it is made only for
  // shards that need one. At 8,000 shards and 187 groups it takes 32 ms.
  const auto is_unowned = [](const ShardState& shard) { return !shard.owner; };
  // Rules with fewer hot keys leave fewer shards than there were.
  const auto from = shards.begin() +
                    static_cast<std::ptrdiff_t>(std::min(first, shards.size()));
  if (std::none_of(from, shards.end(), is_unowned)) return;
  const std::vector<GroupId> proposal = ProposeGroups(service, total);
  for (std::size_t i = first; i < proposal.size(); ++i) {
    if (!shards[i].owner) shards[i].group = proposal[i];
  }
}

void Fold::ForgetLostUpstreams() {
  std::erase_if(this->state.declared_lost, [this](const UpstreamRef& upstream) {
    return this->state.FindUpstream(upstream.id) == nullptr &&
           !this->IsOwner(upstream);
  });
}

}  // namespace bamboorack::log_service
