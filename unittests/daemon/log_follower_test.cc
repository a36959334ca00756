#include "bamboorack/daemon/log_follower.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/log_service/record_codec.h"

namespace bamboorack::daemon {
namespace {

using log_service::RecordsRead;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

const MonotonicTime kNow{hours(1)};
constexpr hours kRetention{1};

/// An in-memory log that can be trimmed.
struct TestLog {
  std::vector<LogRecord> records;
  std::uint64_t next = 1;
  std::uint64_t first_kept = 1;

  LogOffset Append(RecordBody body) {
    const LogOffset offset(this->next++);
    this->records.push_back(
        {offset, WallTime(),
         Record{RecordId("id-" + std::to_string(offset.value)),
                std::move(body)}});
    return offset;
  }

  void Trim(std::uint64_t first) {
    this->first_kept = first;
    std::erase_if(this->records, [first](const LogRecord& record) {
      return record.offset.value < first;
    });
  }

  RecordsRead ReadFrom(std::uint64_t from) const {
    RecordsRead read;
    read.first_kept = LogOffset(this->first_kept);
    read.next = LogOffset(this->next);
    read.reached_head = true;
    read.sent_at = kNow;
    for (const LogRecord& record : this->records) {
      if (record.offset.value >= from) read.records.push_back(record);
    }
    return read;
  }
};

Rules MakeRules(std::uint32_t queue_limit) {
  Rules rules;
  rules.services[ServiceName("reader")].queue_limit = queue_limit;
  return rules;
}

Inventory MakeInventory() {
  Inventory inventory;
  ServiceEntry service;
  service.name = ServiceName("reader");
  service.shard_count = 4;
  service.upstreams.push_back({UpstreamId("u0"), VmId("vm0"),
                               Endpoint{"127.0.0.1", 1}, FailureDomain("east"),
                               6, 1.0});
  inventory.services.push_back(std::move(service));
  return inventory;
}

struct Reader {
  Metrics metrics;
  LogFollower follower{kRetention, this->metrics};
  std::vector<Verdict> verdicts;

  LogFollower::VerdictHandler RecordVerdicts() {
    return [this](const LogRecord&, Verdict verdict) {
      this->verdicts.push_back(verdict);
    };
  }
  void Read(const RecordsRead& read) {
    this->follower.OnMessage(read, kNow, this->RecordVerdicts());
  }
  bool TakeFrom(const Reader& peer) {
    return this->follower.RestoreSnapshot(*peer.follower.EncodedSnapshot(),
                                          this->RecordVerdicts());
  }
};

/// Appends a complete snapshot of the state of `writer` to `log`.
void WriteSnapshot(Reader& writer, TestLog& log) {
  int id = 0;
  const auto next_id = [&id] {
    return RecordId("snapshot-" + std::to_string(++id));
  };
  for (MonotonicTime now = kNow; now < kNow + minutes(1);
       now += milliseconds(500)) {
    auto piece = writer.follower.NextSnapshotPiece(true, now, next_id);
    if (!piece) return;
    log.Append(std::move(piece->body));
  }
}

SCENARIO("a daemon uses a state that lacks records of the log") {
  GIVEN("a log with an inventory and rules, and a daemon that read it") {
    TestLog log;
    log.Append(InventoryPublished{Revision(), MakeInventory()});
    log.Append(RulesPublished{Revision(), MakeRules(10)});
    Reader old_reader;
    old_reader.Read(log.ReadFrom(1));
    REQUIRE(old_reader.follower.HasState());
    REQUIRE(old_reader.verdicts ==
            std::vector{Verdict::kAccepted, Verdict::kAccepted});

    WHEN("the log is trimmed and contains no snapshot") {
      log.Append(RulesPublished{Revision(2), MakeRules(20)});
      log.Trim(3);
      Reader reader;
      reader.Read(log.ReadFrom(3));
      THEN("a new daemon has no state and needs one from another daemon") {
        CHECK_FALSE(reader.follower.HasState());
        CHECK(reader.follower.NeedsPeerState(kNow));
        AND_WHEN("another daemon sends its state") {
          REQUIRE(reader.TakeFrom(old_reader));
          THEN("the records after the gap are applied to that state") {
            CHECK(reader.follower.HasState());
            CHECK_FALSE(reader.follower.NeedsPeerState(kNow));
            CHECK(reader.follower.State().rules_revision == Revision(3));
            CHECK(reader.verdicts == std::vector{Verdict::kAccepted});
          }
        }
      }
    }

    WHEN("a snapshot was written before the log was trimmed") {
      WriteSnapshot(old_reader, log);
      const LogOffset changed =
          log.Append(RulesPublished{Revision(2), MakeRules(20)});
      log.Trim(3);
      Reader reader;
      reader.Read(log.ReadFrom(3));
      THEN("a new daemon starts from the log alone") {
        CHECK(reader.follower.HasState());
        CHECK(reader.follower.State().inventory_revision == Revision(1));
        CHECK(reader.follower.State().rules_revision ==
              Revision(changed.value));
      }
    }

    WHEN("the log does not answer") {
      Reader reader;
      reader.follower.OnMessage(log_service::ReadFailed{"down"}, kNow,
                                reader.RecordVerdicts());
      THEN("a new daemon starts from the state of another daemon") {
        CHECK(reader.follower.NeedsPeerState(kNow));
        REQUIRE(reader.TakeFrom(old_reader));
        CHECK(reader.follower.HasState());
        CHECK(reader.follower.State().rules_revision == Revision(2));
        CHECK_FALSE(reader.follower.HasLogContact(kNow));
      }
    }

    WHEN("another daemon sends a state that is older than the log") {
      Reader reader;
      log.Append(RulesPublished{Revision(2), MakeRules(20)});
      reader.Read(log.ReadFrom(1));
      THEN("it is refused and counted, and the state does not change") {
        CHECK_FALSE(reader.TakeFrom(old_reader));
        CHECK(reader.metrics.CountOf("peer_states_refused") == 1);
        CHECK(reader.follower.State().rules_revision == Revision(3));
      }
    }

    WHEN("another daemon sends a malformed state") {
      Reader reader;
      THEN("it is refused and counted") {
        CHECK_FALSE(reader.follower.RestoreSnapshot("{\"x\":",
                                                    reader.RecordVerdicts()));
        CHECK(reader.metrics.CountOf("peer_states_malformed") == 1);
        CHECK_FALSE(reader.follower.HasState());
      }
    }
  }
}

SCENARIO("a successor treats a group as one that never had an authority") {
  TestLog log;
  log.Append(InventoryPublished{Revision(), MakeInventory()});
  const GroupId group{ServiceName("reader"), FailureDomain("east"), 0};
  const LogOffset first =
      log.Append(AuthorityTaken{group, DaemonId("d0"), DaemonInstance("i0"),
                                FencingToken(), Cause::kAuthorityVacant});
  Reader reader;
  reader.Read(log.ReadFrom(1));
  CHECK_FALSE(reader.follower.HadPredecessor(group));
  log.Append(AuthorityTaken{group, DaemonId("d1"), DaemonInstance("i1"),
                            FencingToken(first.value),
                            Cause::kAuthoritySilent});
  reader.Read(log.ReadFrom(first.value + 1));
  CHECK(reader.follower.HadPredecessor(group));

  SECTION("a daemon that did not read the record assumes a predecessor") {
    Reader late;
    REQUIRE(late.TakeFrom(reader));
    CHECK(late.follower.HadPredecessor(group));
  }
}

}  // namespace
}  // namespace bamboorack::daemon
