#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "bamboorack/log_service/record_codec.h"
#include "log_service/test_records.h"

namespace bamboorack::log_service {
namespace {

constexpr std::size_t kWriters = 3;

/// One act of a writer. The numbers select among what the writer can do, so
/// that every value means something and failures shrink.
struct Step {
  unsigned writer = 0;
  unsigned action = 0;
  unsigned pick = 0;
  unsigned lag = 0;
};

void showValue(const Step& step, std::ostream& out) {
  out << step.writer << ':' << step.action << ':' << step.pick << ':'
      << step.lag;
}

/// A writer decides by its own fold, which may lag behind the log.
class Writer {
 public:
  /// Reads all but the last `lag` records.
  void Read(const std::vector<LogRecord>& log, std::size_t lag) {
    for (std::size_t i = 0; i + lag < log.size(); ++i) {
      this->fold.Apply(log[i]);
    }
  }

  RecordBody Act(const Step& step) const {
    static constexpr std::array<RecordBody (Writer::*)(unsigned) const, 8>
        kActions = {
            &Writer::PublishInventory, &Writer::PublishRules, &Writer::Take,
            &Writer::Release,          &Writer::Assign,       &Writer::Assign,
            &Writer::DeclareLost,      &Writer::WritePiece};
    return (this->*kActions.at(step.action % kActions.size()))(step.pick);
  }

 private:
  static const GroupId& PickGroup(unsigned pick) {
    return pick % 2 == 0 ? kEast : kWest;
  }

  FencingToken TokenOf(const GroupId& group) const {
    const auto& authorities = this->fold.State().authorities;
    const auto found = authorities.find(group);
    return found == authorities.end() ? FencingToken(0) : found->second.token;
  }

  RecordBody PublishInventory(unsigned pick) const {
    const auto east = static_cast<int>(pick % 4);
    const auto west = static_cast<int>(pick / 4 % 3) + 1;
    const std::uint32_t shard_count = pick % 13 == 12 ? 4 : 8;
    return InventoryPublished{this->fold.State().inventory_revision,
                              MakeInventory(east, west, shard_count)};
  }
  RecordBody PublishRules(unsigned pick) const {
    std::vector<HotKey> hot_keys;
    for (unsigned i = 0; i < pick % 3; ++i) {
      hot_keys.push_back({pick + i, ShardId(8 + (pick + i) % 4)});
    }
    return RulesPublished{this->fold.State().rules_revision,
                          MakeRules(std::move(hot_keys))};
  }
  RecordBody Take(unsigned pick) const {
    const GroupId& group = PickGroup(pick);
    return AuthorityTaken{group, DaemonId("d0"), DaemonInstance("s1"),
                          this->TokenOf(group), Cause::kAuthoritySilent};
  }
  RecordBody Release(unsigned pick) const {
    const GroupId& group = PickGroup(pick);
    return AuthorityReleased{group, this->TokenOf(group), DaemonId("d1")};
  }
  RecordBody Assign(unsigned pick) const {
    ShardsAssigned assigned;
    assigned.group = PickGroup(pick);
    assigned.token = this->TokenOf(assigned.group);
    assigned.proof = Proof::kUnowned;
    const auto upstreams = this->fold.State().UpstreamsOf(assigned.group);
    const auto found = this->fold.State().shards.find(kReader);
    if (found == this->fold.State().shards.end()) return assigned;
    for (std::uint32_t i = pick % 3; i < found->second.size(); i += 3) {
      const ShardState& shard = found->second[i];
      if (shard.group != assigned.group) continue;
      ShardChange change{ShardId(i), shard.owner, {}, shard.changed_at};
      if (shard.owner) assigned.proof = Proof::kAcknowledged;
      if (!upstreams.empty() && (pick % 5 != 0 || !shard.owner)) {
        change.to = Ref(upstreams[pick % upstreams.size()]->id.value);
      }
      assigned.changes.push_back(change);
    }
    return assigned;
  }
  RecordBody DeclareLost(unsigned pick) const {
    return UpstreamDeclaredLost{
        Ref((pick % 2 == 0 ? "e" : "w") + std::to_string(pick % 3)), "ann"};
  }
  RecordBody WritePiece(unsigned pick) const {
    return SnapshotPiece{RecordId("s"), LogOffset(1), pick, pick + 1, "{}"};
  }

  Fold fold;
};

std::vector<LogRecord> RunWriters(const std::vector<Step>& steps) {
  std::vector<LogRecord> log;
  std::array<Writer, kWriters> writers;
  const auto append = [&log](Record record) {
    log.push_back({LogOffset(log.size() + 1), WallTime(), std::move(record)});
  };
  // Without these two most of the random actions would have no target.
  append({RecordId("first"), InventoryPublished{{}, MakeInventory(2, 2)}});
  append({RecordId("second"), AuthorityTaken{kEast,
                                             DaemonId("d0"),
                                             DaemonInstance("s1"),
                                             {},
                                             Cause::kAuthorityVacant}});
  for (const Step& step : steps) {
    if (step.action % 9 == 8) {
      // A resend of a record whose answer was lost.
      append(log[step.pick % log.size()].record);
      continue;
    }
    Writer& writer = writers.at(step.writer % kWriters);
    writer.Read(log, step.lag % 4);
    append({RecordId("r" + std::to_string(log.size())), writer.Act(step)});
  }
  return log;
}

rc::Gen<std::vector<Step>> AnySteps() {
  return rc::gen::resize(
      60, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
              rc::gen::set(&Step::writer, rc::gen::inRange(0U, 3U)),
              rc::gen::set(&Step::action, rc::gen::inRange(0U, 72U)),
              rc::gen::set(&Step::pick, rc::gen::inRange(0U, 1000U)),
              rc::gen::set(&Step::lag, rc::gen::inRange(0U, 8U)))));
}

std::string TextOf(const Fold& fold) { return EncodeSnapshot(fold.Snapshot()); }

SCENARIO("two readers of the same log disagree") {
  SECTION("although racing writers decided by old states") {
    std::uint64_t accepted = 0;
    const bool holds = rc::check("the readers agree", [&accepted] {
      const std::vector<LogRecord> log = RunWriters(*AnySteps());
      Fold first;
      Fold second;
      for (const LogRecord& record : log) {
        const Verdict verdict = first.Apply(record);
        accepted += verdict == Verdict::kAccepted ? 1 : 0;
        // The second reader gets the record through its text, and twice.
        const auto decoded = DecodeRecord(EncodeRecord(record.record));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(second.Apply({record.offset, record.time, *decoded}) ==
                  verdict);
        RC_ASSERT(second.Apply(record) == Verdict::kDuplicate);
      }
      RC_ASSERT(TextOf(first) == TextOf(second));
    });
    CHECK(holds);
    // The property says nothing if nearly all records are refused.
    CHECK(accepted > 500);
  }
  SECTION("because one of them started from a snapshot") {
    CHECK(rc::check("snapshot and rest equal a full replay", [] {
      const std::vector<LogRecord> log = RunWriters(*AnySteps());
      const auto cut = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
      Fold full;
      for (std::size_t i = 0; i < cut; ++i) full.Apply(log[i]);
      auto snapshot = DecodeSnapshot(TextOf(full));
      if (!snapshot) RC_FAIL(snapshot.error());
      Fold late(std::move(*snapshot));
      RC_ASSERT(TextOf(late) == TextOf(full));
      for (const LogRecord& record : log) {
        const Verdict expected = full.Apply(record);
        RC_ASSERT(late.Apply(record) == expected);
      }
      RC_ASSERT(TextOf(late) == TextOf(full));
    }));
  }
}

SCENARIO("racing writers break what the fold promises") {
  CHECK(rc::check("revisions, tokens and owners hold", [] {
    const std::vector<LogRecord> log = RunWriters(*AnySteps());
    Fold fold;
    for (const LogRecord& record : log) {
      const ClusterState before = fold.State();
      const Verdict verdict = fold.Apply(record);
      const ClusterState& after = fold.State();
      RC_ASSERT(after.inventory_revision >= before.inventory_revision);
      RC_ASSERT(after.rules_revision >= before.rules_revision);
      for (const auto& [group, authority] : before.authorities) {
        RC_ASSERT(after.authorities.at(group).token >= authority.token);
      }
      if (verdict != Verdict::kAccepted) {
        ClusterState unchanged = before;
        unchanged.next_offset = after.next_offset;
        RC_ASSERT(TextOf(Fold(unchanged)) == TextOf(Fold(after)));
      }
      const bool assigns = record.record.body.index() == 4;
      if (assigns || !before.shards.contains(kReader)) continue;
      // Only an assignment may change who owns a key.
      const ServiceEntry* service = after.FindService(kReader);
      for (std::uint64_t key = 0; key < 1100 && service != nullptr; ++key) {
        const auto& old_shard =
            before.shards.at(kReader).at(before.ShardOf(*service, key).value);
        const auto& new_shard =
            after.shards.at(kReader).at(after.ShardOf(*service, key).value);
        if (old_shard.owner) RC_ASSERT(new_shard.owner == old_shard.owner);
      }
    }
  }));
}

}  // namespace
}  // namespace bamboorack::log_service
