// Measures the slopes that docs/CAPACITY.md multiplies: bytes and time for
// each shard, record, control call and frame.

#include <malloc.h>

#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/placement.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/log_service/fold.h"
#include "bamboorack/log_service/record_codec.h"
#include "bamboorack/peer/frame_codec.h"
#include "bamboorack/upstream/upstream_codec.h"

namespace bamboorack {
namespace {

using std::chrono::steady_clock;

using Microseconds = std::chrono::duration<double, std::micro>;

std::size_t HeapInUse() {
  const auto heap = ::mallinfo2();
  // Large vectors are mapped apart from the heap.
  return heap.uordblks + heap.hblkhd;
}

/// Returns the time of one call of `work`, averaged over `repeats`.
Microseconds TimeOf(int repeats, const std::function<void()>& work) {
  const MonotonicTime begin = steady_clock::now();
  for (int i = 0; i < repeats; ++i) work();
  return Microseconds(steady_clock::now() - begin) / repeats;
}

void PrintRow(const std::string& what, double value, const std::string& unit) {
  std::cout << std::left << std::setw(58) << what << std::right << std::setw(14)
            << std::fixed << std::setprecision(2) << value << ' ' << unit
            << '\n';
}

Inventory MakeInventory(int daemons, int upstreams, std::uint32_t shards) {
  Inventory inventory;
  for (int i = 0; i < daemons; ++i) {
    const std::string number = std::to_string(i);
    inventory.daemons.push_back(
        {DaemonId("daemon-" + number), VmId("vm-d-" + number),
         FailureDomain("domain-" + std::to_string(i % 17)),
         Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1 + i)}});
  }
  ServiceEntry service;
  service.name = ServiceName("reader");
  service.shard_count = shards;
  service.groups_per_domain =
      static_cast<std::uint32_t>(std::max(1, upstreams / (17 * 5)));
  for (int i = 0; i < upstreams; ++i) {
    const std::string number = std::to_string(i);
    service.upstreams.push_back(
        {UpstreamId("upstream-" + number), VmId("vm-u-" + number),
         Endpoint{"10.0.0.2", static_cast<std::uint16_t>(1 + i)},
         FailureDomain("domain-" + std::to_string(i % 17)), 6, 1.0});
  }
  inventory.services.push_back(std::move(service));
  return inventory;
}

LogRecord MakeRecord(std::uint64_t offset, RecordBody body) {
  return {
      LogOffset(offset), WallTime(),
      Record{RecordId("record-" + std::to_string(offset)), std::move(body)}};
}

/// Folds an inventory, then gives every shard an owner.
log_service::Fold MakeFold(int daemons, int upstreams, std::uint32_t shards) {
  log_service::Fold fold;
  std::uint64_t offset = 1;
  fold.Apply(MakeRecord(
      offset++, InventoryPublished{Revision(),
                                   MakeInventory(daemons, upstreams, shards)}));
  const ServiceName service("reader");
  for (const GroupId& group : fold.State().Groups()) {
    const std::uint64_t token = offset++;
    fold.Apply(MakeRecord(
        token, AuthorityTaken{group, DaemonId("daemon-0"), DaemonInstance("i"),
                              FencingToken(), Cause::kAuthorityVacant}));
    const auto members = fold.State().UpstreamsOf(group);
    ShardsAssigned assigned;
    assigned.group = group;
    assigned.token = FencingToken(token);
    assigned.daemon = DaemonId("daemon-0");
    std::uint32_t shard = 0;
    for (const ShardState& state : fold.State().shards.at(service)) {
      if (state.group == group) {
        const UpstreamEntry& owner = *members[shard % members.size()];
        assigned.changes.push_back(
            {ShardId(shard), std::nullopt,
             UpstreamRef{owner.id, UpstreamInstance(std::string(32, 'a'))},
             LogOffset()});
      }
      ++shard;
    }
    fold.Apply(MakeRecord(offset++, std::move(assigned)));
  }
  return fold;
}

void MeasureState() {
  std::cout << "state of a daemon\n";
  constexpr int kUpstreams = 1000;
  for (const std::uint32_t shards : {8'000U, 32'000U}) {
    const std::size_t before = HeapInUse();
    const auto fold =
        std::make_unique<log_service::Fold>(MakeFold(100, kUpstreams, shards));
    const auto bytes = static_cast<double>(HeapInUse() - before);
    PrintRow("  bytes for each shard, " + std::to_string(shards) + " shards",
             bytes / shards, "B");
    std::shared_ptr<const ClusterState> copy;
    const Microseconds copying = TimeOf(
        5, [&] { copy = std::make_shared<const ClusterState>(fold->State()); });
    PrintRow("  copying the state for the routing thread, each shard",
             copying.count() / shards, "us");
    std::string encoded;
    const Microseconds encoding = TimeOf(
        2, [&] { encoded = log_service::EncodeSnapshot(fold->Snapshot()); });
    PrintRow("  snapshot, bytes for each shard",
             static_cast<double>(encoded.size()) / shards, "B");
    PrintRow("  encoding a snapshot, each shard", encoding.count() / shards,
             "us");
  }
  const std::size_t before = HeapInUse();
  const auto inventory =
      std::make_unique<Inventory>(MakeInventory(2000, 10'000, 1));
  PrintRow("  inventory, bytes for each daemon or upstream",
           static_cast<double>(HeapInUse() - before) / 12'000, "B");
}

void MeasureRecords() {
  std::cout << "records of the log\n";
  constexpr std::uint32_t kShards = 8'000;
  log_service::Fold fold = MakeFold(100, 1000, kShards);
  const ClusterState& state = fold.State();
  const ServiceName service("reader");
  const ShardState shard = state.shards.at(service)[0];
  ShardsAssigned move;
  move.group = shard.group;
  move.token = state.authorities.at(shard.group).token;
  move.daemon = DaemonId("daemon-0");
  move.changes.push_back({ShardId(0), shard.owner, shard.owner, {}});
  const std::string encoded_move =
      log_service::EncodeRecord({RecordId(std::string(32, 'a')), move});
  PrintRow("  move of one shard, bytes",
           static_cast<double>(encoded_move.size()), "B");
  PrintRow("  decoding it",
           TimeOf(2000,
                  [&] {
                    if (!log_service::DecodeRecord(encoded_move)) std::abort();
                  })
               .count(),
           "us");
  std::uint64_t offset = state.next_offset.value;
  PrintRow("  folding it",
           TimeOf(2000,
                  [&] {
                    move.changes[0].base =
                        fold.State().shards.at(service)[0].changed_at;
                    fold.Apply(MakeRecord(offset++, move));
                  })
               .count(),
           "us");
  Rules rules;
  rules.services[service] = ServiceRules{};
  const std::string encoded_rules = log_service::EncodeRecord(
      {RecordId(std::string(32, 'a')), RulesPublished{Revision(), rules}});
  PrintRow("  rules of one service, bytes",
           static_cast<double>(encoded_rules.size()), "B");
  PrintRow("  folding rules",
           TimeOf(200,
                  [&] {
                    fold.Apply(MakeRecord(
                        offset++,
                        RulesPublished{fold.State().rules_revision, rules}));
                  })
               .count(),
           "us");
  for (const int size : {100, 1000}) {
    const Inventory inventory = MakeInventory(size / 5, size, kShards);
    const std::string encoded =
        log_service::EncodeRecord({RecordId(std::string(32, 'a')),
                                   InventoryPublished{Revision(), inventory}});
    PrintRow("  inventory of " + std::to_string(size) + " upstreams, bytes",
             static_cast<double>(encoded.size()), "B");
    PrintRow("  decoding it",
             TimeOf(3,
                    [&] {
                      if (!log_service::DecodeRecord(encoded)) std::abort();
                    })
                 .count(),
             "us");
  }
}

void MeasureControlCalls() {
  std::cout << "control calls to one upstream\n";
  for (const std::uint32_t shards : {16U, 128U}) {
    upstream::GrantCall grant;
    grant.group = {ServiceName("reader"), FailureDomain("domain-1"), 0};
    grant.instance = UpstreamInstance(std::string(32, 'a'));
    grant.token = FencingToken(1'000'000);
    grant.lease = std::chrono::milliseconds(1000);
    for (std::uint32_t i = 0; i < shards; ++i) {
      grant.shards.push_back(ShardId(i * 100));
    }
    const Endpoint endpoint{"10.0.0.2", 8000};
    const auto bytes = upstream::EncodeControl(grant, endpoint);
    PrintRow("  grant of " + std::to_string(shards) + " shards, bytes",
             static_cast<double>(bytes.head.size() + bytes.body->size()), "B");
    PrintRow(
        "  encoding it",
        TimeOf(2000, [&] { upstream::EncodeControl(grant, endpoint); }).count(),
        "us");
  }
  const std::string answer = R"({"clock_ms":123456789,"draining":false})";
  PrintRow("  decoding the answer to a grant",
           TimeOf(2000,
                  [&] {
                    if (!upstream::DecodeControlAnswer(upstream::GrantCall{},
                                                       200, answer)) {
                      std::abort();
                    }
                  })
               .count(),
           "us");
}

void MeasureFrames() {
  std::cout << "frames between daemons\n";
  const MonotonicTime now = steady_clock::now();
  const auto measure = [now](const std::string& name,
                             const peer::Frame& frame) {
    const std::string encoded = peer::EncodeFrame(frame, now);
    PrintRow("  " + name + ", bytes", static_cast<double>(encoded.size()), "B");
    const std::string message = encoded.substr(peer::kLengthPrefixBytes);
    PrintRow("  encoding and decoding it",
             TimeOf(20'000,
                    [&] {
                      peer::EncodeFrame(frame, now);
                      if (!peer::DecodeFrame(message, now)) std::abort();
                    })
                 .count(),
             "us");
  };
  measure("heartbeat", peer::HeartbeatFrame{LogOffset(1'000'000)});
  measure("probe", peer::ProbeFrame{1'000'000});
  peer::ForwardFrame forward;
  forward.request = {RequestId(std::string(32, 'r')),
                     ServiceName("reader"),
                     std::string(24, 'k'),
                     "GET",
                     "",
                     Rank::kLookup,
                     now + std::chrono::seconds(1),
                     "",
                     nullptr};
  measure("forwarded lookup", forward);
}

void MeasureRouting() {
  std::cout << "routing one request\n";
  const log_service::Fold fold = MakeFold(100, 1000, 32'000);
  RoutingTable table;
  table.state = std::make_shared<const ClusterState>(fold.State());
  std::uint64_t key = 0;
  PrintRow("  finding the next hop of a key",
           TimeOf(100'000,
                  [&] {
                    const auto route = FindRoute(
                        table, DaemonId("daemon-1"), ServiceName("reader"),
                        "key-" + std::to_string(++key));
                    if (!route) std::abort();
                  })
               .count(),
           "us");
  const Inventory inventory = MakeInventory(1, 2000, 32'000);
  PrintRow("  placing one shard among 2,000 upstreams",
           TimeOf(
               1,
               [&] {
                 std::vector<PlacementTarget> targets;
                 for (const auto& upstream : inventory.services[0].upstreams) {
                   targets.push_back({upstream.id.value, 1.0});
                 }
                 Place(1, 2'000, targets);
               }).count() /
               2'000,
           "us");
}

}  // namespace
}  // namespace bamboorack

int main() {
  std::cout << std::unitbuf;
  bamboorack::MeasureState();
  bamboorack::MeasureRecords();
  bamboorack::MeasureControlCalls();
  bamboorack::MeasureFrames();
  bamboorack::MeasureRouting();
  return 0;
}
