#include "bamboorack/operator/explain.h"

#include <catch2/catch.hpp>
#include <string>

#include "bamboorack/core/hash.h"
#include "bamboorack/log_service/fold.h"
#include "bamboorack/operator/wall_time_text.h"
#include "log_service/test_records.h"

namespace bamboorack::operators {
namespace {

using namespace std::chrono_literals;
using log_service::kEast;
using log_service::kReader;
using log_service::MakeInventory;
using log_service::Ref;

const std::string kKey = "episode-7";
const WallTime kStart = *FromRfc3339("2026-12-04T10:00:00Z");

/// A log whose record N was accepted N seconds after `kStart`.
class History {
 public:
  Verdict Append(RecordBody body) {
    const LogOffset offset(this->records.size() + 1);
    this->records.push_back(
        {offset, kStart + std::chrono::seconds(offset.value),
         Record{RecordId(std::to_string(offset.value)), std::move(body)}});
    return this->fold.Apply(this->records.back());
  }

  FencingToken Take(const std::string& daemon, Cause cause) {
    const auto found = this->fold.State().authorities.find(kEast);
    const FencingToken base = found == this->fold.State().authorities.end()
                                  ? FencingToken(0)
                                  : found->second.token;
    REQUIRE(this->Append(AuthorityTaken{kEast, DaemonId(daemon),
                                        DaemonInstance(daemon + "-1"), base,
                                        cause}) == Verdict::kAccepted);
    return this->fold.State().authorities.at(kEast).token;
  }

  Verdict Move(const std::string& daemon, FencingToken token,
               const UpstreamRef& to, Cause cause, Proof proof) {
    const ShardState& shard = this->KeyShard();
    return this->Append(ShardsAssigned{
        kEast,
        token,
        {{this->KeyShardId(), shard.owner, to, shard.changed_at}},
        cause,
        proof,
        DaemonId(daemon)});
  }

  ShardId KeyShardId() const {
    const ClusterState& state = this->fold.State();
    return state.ShardOf(*state.FindService(kReader), HashText(kKey));
  }

  const ShardState& KeyShard() const {
    return this->fold.State().shards.at(kReader).at(this->KeyShardId().value);
  }

  /// Reads the log anew and explains the key `at` after `kStart`.
  Explanation Explain(std::optional<std::chrono::seconds> at = {}) const {
    KeyQuestion question{kReader, kKey, {}};
    if (at) question.at = kStart + *at;
    Explainer explainer(question);
    log_service::Fold reader;
    for (const LogRecord& record : this->records) {
      const Verdict verdict = reader.Apply(record);
      explainer.Observe(record, verdict, reader.State());
    }
    return explainer.Answer();
  }

  std::vector<LogRecord> records;
  log_service::Fold fold;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

SCENARIO("an operator is told the wrong owner of a key") {
  History history;
  REQUIRE(history.Append(InventoryPublished{
              Revision(0), MakeInventory(2, 0)}) == Verdict::kAccepted);
  const FencingToken token = history.Take("d0", Cause::kAuthorityVacant);
  REQUIRE(history.Move("d0", token, Ref("e0"), Cause::kFirstAssignment,
                       Proof::kUnowned) == Verdict::kAccepted);

  SECTION("before the log began nothing is known") {
    const Explanation answer = history.Explain(0s);
    CHECK(!answer.is_known);
    CHECK(!answer.owner);
    CHECK(Contains(ToText(answer), "no such service at that time"));
  }
  SECTION("before the first assignment the key has a shard but no owner") {
    const Explanation answer = history.Explain(2s);
    CHECK(answer.is_known);
    CHECK(!answer.owner);
    REQUIRE(answer.authority);
    CHECK(answer.authority->daemon == DaemonId("d0"));
  }
  SECTION("after it the owner is known") {
    CHECK(history.Explain(3s).owner == Ref("e0"));
  }

  SECTION("an upstream freezes and its shard moves") {
    REQUIRE(history.Move("d0", token, Ref("e1"), Cause::kOwnerLost,
                         Proof::kLapsed) == Verdict::kAccepted);
    const Explanation lost = history.Explain();
    CHECK(lost.owner == Ref("e1"));
    REQUIRE(lost.decision);
    CHECK(lost.decision->from == Ref("e0"));
    CHECK(lost.decision->proof == Proof::kLapsed);
    CHECK(lost.decision->cause == Cause::kOwnerLost);
    CHECK(lost.decision->token == token);

    SECTION("a late order for the old owner is shown as refused") {
      REQUIRE(history.Append(ShardsAssigned{
                  kEast,
                  token,
                  {{history.KeyShardId(), Ref("e0"), Ref("e0"), LogOffset(3)}},
                  Cause::kRebalance,
                  Proof::kAcknowledged,
                  DaemonId("d0")}) == Verdict::kStaleShard);
      const Explanation answer = history.Explain();
      CHECK(answer.owner == Ref("e1"));
      CHECK(answer.history.back().verdict == Verdict::kStaleShard);
    }
    SECTION("it comes back and the shard returns") {
      REQUIRE(history.Move("d0", token, Ref("e0"), Cause::kRebalance,
                           Proof::kAcknowledged) == Verdict::kAccepted);
      CHECK(history.Explain().owner == Ref("e0"));
      CHECK(history.Explain(4s).owner == Ref("e1"));
      CHECK(history.Explain(3s).owner == Ref("e0"));
      const std::string text = ToText(history.Explain(4s));
      const std::string shard = std::to_string(history.KeyShardId().value);
      CHECK(Contains(text,
                     "key \"episode-7\" of service reader at "
                     "2026-12-04T10:00:04.000Z: shard " +
                         shard + ", group reader/east/0, owner e1@i1\n"));
      CHECK(Contains(text,
                     "decision: time=2026-12-04T10:00:04.000Z offset=4 "
                     "kind=owner verdict=accepted group=reader/east/0 shard=" +
                         shard +
                         " from=e0@i1 to=e1@i1 token=2 cause=owner_lost "
                         "proof=lapsed daemon=d0 rules_revision=0\n"));
      CHECK(Contains(ToJson(history.Explain()),
                     R"("owner":"e0@i1","decision":{"time":)"));
    }
  }

  SECTION("two operators race to make the key hot") {
    const auto publish = [&history](std::uint32_t shard) {
      return history.Append(RulesPublished{
          Revision(0),
          log_service::MakeRules({{HashText(kKey), ShardId(shard)}})});
    };
    REQUIRE(publish(9) == Verdict::kAccepted);
    REQUIRE(publish(8) == Verdict::kStaleBase);
    const Explanation answer = history.Explain();
    THEN("the first one's shard counts and keeps the owner") {
      CHECK(answer.shard == ShardId(9));
      CHECK(answer.owner == Ref("e0"));
      REQUIRE(answer.decision);
      CHECK(answer.decision->rules_revision == Revision(4));
      CHECK(history.Explain(3s).shard != ShardId(9));
    }
    THEN("the second one is listed as refused") {
      const HistoryEntry& refused = answer.history.back();
      CHECK(refused.kind == EntryKind::kRules);
      CHECK(refused.verdict == Verdict::kStaleBase);
      CHECK(refused.rules_revision == Revision(4));
      CHECK(Contains(ToText(answer), "kind=rules verdict=stale_base"));
    }
  }

  SECTION("the log is out while an upstream and then a daemon are lost") {
    // d0 moves the shard to e1 without the log; d1 takes over when the log is
    // back and learns the owner from e1; the record of d0 comes late.
    const ShardState before = history.KeyShard();
    const FencingToken next = history.Take("d1", Cause::kAuthoritySilent);
    REQUIRE(history.Append(ShardsAssigned{kEast,
                                          token,
                                          {{history.KeyShardId(), before.owner,
                                            Ref("e1"), before.changed_at}},
                                          Cause::kOwnerLost,
                                          Proof::kLapsed,
                                          DaemonId("d0")}) ==
            Verdict::kStaleToken);
    REQUIRE(history.Move("d1", next, Ref("e1"), Cause::kOwnerLost,
                         Proof::kReported) == Verdict::kAccepted);
    const Explanation answer = history.Explain();
    CHECK(answer.owner == Ref("e1"));
    REQUIRE(answer.decision);
    CHECK(answer.decision->daemon == DaemonId("d1"));
    CHECK(answer.decision->proof == Proof::kReported);
    REQUIRE(answer.authority);
    CHECK(answer.authority->other_daemon == DaemonId("d0"));
    CHECK(answer.authority->cause == Cause::kAuthoritySilent);
    THEN("the late record is listed but is not the decision") {
      CHECK(history.Explain(5s).owner == Ref("e0"));
      CHECK(
          Contains(ToText(answer), "offset=5 kind=owner verdict=stale_token"));
    }
  }

  SECTION("the log was trimmed and the reader starts from a snapshot") {
    Explainer explainer(KeyQuestion{kReader, kKey, {}});
    const LogRecord piece{LogOffset(9), kStart + 9s,
                          Record{RecordId("9"), SnapshotPiece{}}};
    explainer.Observe(piece, Verdict::kAccepted, history.fold.State());
    const Explanation answer = explainer.Answer();
    CHECK(answer.owner == Ref("e0"));
    REQUIRE(answer.decision);
    CHECK(!answer.decision->cause);
  }
}

SCENARIO("a time on the command line is misread") {
  CHECK(ToRfc3339(*FromRfc3339("2026-12-04T10:00:00.25Z")) ==
        "2026-12-04T10:00:00.250Z");
  CHECK(ToRfc3339(*FromRfc3339("2026-12-04T10:00:00-05:00")) ==
        "2026-12-04T15:00:00.000Z");
  const auto wrong = GENERATE(as<std::string>(), "", "now", "2026-12-04",
                              "2026-12-04T10:00:00", "2026-13-04T10:00:00Z",
                              "2026-12-04T10:00:00Zx");
  CHECK(!FromRfc3339(wrong));
}

}  // namespace
}  // namespace bamboorack::operators
