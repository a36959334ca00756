#ifndef BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_RECORDS_H_
#define BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_RECORDS_H_

#include <string>
#include <utility>
#include <vector>

#include "bamboorack/core/record.h"
#include "bamboorack/log_service/fold.h"

namespace bamboorack::log_service {

inline const ServiceName kReader("reader");
inline const GroupId kEast{kReader, FailureDomain("east"), 0};
inline const GroupId kWest{kReader, FailureDomain("west"), 0};

/// Returns the first start of the upstream `name`.
inline UpstreamRef Ref(const std::string& name,
                       const std::string& instance = "i1") {
  return {UpstreamId(name), UpstreamInstance(instance)};
}

/// Returns a service with `east` upstreams e0, e1, … and `west` upstreams w0,
/// w1, … in one group for each domain.
inline ServiceEntry MakeService(int east, int west,
                                std::uint32_t shard_count = 8) {
  ServiceEntry service;
  service.name = kReader;
  service.shard_count = shard_count;
  std::uint16_t port = 9000;
  const auto add = [&service, &port](const std::string& prefix,
                                     const std::string& domain, int count) {
    for (int i = 0; i < count; ++i) {
      const std::string name = prefix + std::to_string(i);
      service.upstreams.push_back({UpstreamId(name), VmId("vm-" + name),
                                   Endpoint{"127.0.0.1", port++},
                                   FailureDomain(domain), 6, 1.0});
    }
  };
  add("e", "east", east);
  add("w", "west", west);
  return service;
}

inline Inventory MakeInventory(int east, int west,
                               std::uint32_t shard_count = 8) {
  Inventory inventory;
  inventory.daemons.push_back({DaemonId("d0"), VmId("vm-d0"),
                               FailureDomain("east"),
                               Endpoint{"127.0.0.1", 7000}});
  inventory.services.push_back(MakeService(east, west, shard_count));
  return inventory;
}

/// Returns rules whose hot keys are `hot_keys`.
inline Rules MakeRules(std::vector<HotKey> hot_keys) {
  Rules rules;
  rules.services[kReader].hot_keys = std::move(hot_keys);
  return rules;
}

/// A log in memory with a fold that has read all of it.
class FoldedLog {
 public:
  /// Appends a record with a new id.
  Verdict Append(RecordBody body) {
    const std::string number = std::to_string(this->records.size() + 1);
    return this->Append(Record{RecordId("r" + number), std::move(body)});
  }

  Verdict Append(Record record) {
    this->records.push_back(
        {LogOffset(this->records.size() + 1), WallTime(), std::move(record)});
    return this->fold.Apply(this->records.back());
  }

  /// Takes the authority over `group` and returns the token.
  FencingToken Take(const GroupId& group, FencingToken base) {
    this->Append(AuthorityTaken{group, DaemonId("d0"), DaemonInstance("s1"),
                                base, Cause::kAuthorityVacant});
    return this->fold.State().authorities.at(group).token;
  }

  /// Moves the shard `index` from its owner to `to`.
  Verdict Assign(FencingToken token, std::uint32_t index,
                 std::optional<UpstreamRef> to,
                 Proof proof = Proof::kAcknowledged) {
    const ShardState& shard = this->Shard(index);
    const Proof proven = shard.owner ? proof : Proof::kUnowned;
    return this->Append(ShardsAssigned{
        shard.group,
        token,
        {{ShardId(index), shard.owner, std::move(to), shard.changed_at}},
        Cause::kRebalance,
        proven,
        DaemonId("d0")});
  }

  const ShardState& Shard(std::uint32_t index) const {
    return this->fold.State().shards.at(kReader).at(index);
  }

  Revision InventoryRevision() const {
    return this->fold.State().inventory_revision;
  }
  Revision RulesRevision() const { return this->fold.State().rules_revision; }

  std::vector<LogRecord> records;
  Fold fold;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_UNITTESTS_LOG_SERVICE_TEST_RECORDS_H_
