#include "bamboorack/log_service/record_codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "log_service/test_records.h"

namespace bamboorack::log_service {
namespace {

std::vector<std::pair<std::string, RecordBody>> OneOfEachKind() {
  return {
      {"inventory_published",
       InventoryPublished{Revision(4), MakeInventory(1, 1)}},
      {"rules_published",
       RulesPublished{Revision(5), MakeRules({{~0ULL, ShardId(8)}})}},
      {"authority_taken",
       AuthorityTaken{kEast, DaemonId("d0"), DaemonInstance("s1"),
                      FencingToken(3), Cause::kAuthoritySilent}},
      {"authority_released",
       AuthorityReleased{kEast, FencingToken(3), DaemonId("d1")}},
      {"shards_assigned",
       ShardsAssigned{kEast,
                      FencingToken(3),
                      {{ShardId(1), {}, Ref("e0"), LogOffset(0)},
                       {ShardId(2), Ref("e0"), {}, LogOffset(1ULL << 62)}},
                      Cause::kHotKey,
                      Proof::kVmGone,
                      DaemonId("d0")}},
      {"upstream_declared_lost",
       UpstreamDeclaredLost{Ref("e0"), "Ann Ö. \"q\""}},
      {"snapshot_piece", SnapshotPiece{RecordId("s1"), LogOffset(9), 1, 3,
                                       "{\"a\":\"\\u00e9é\"}"}},
  };
}

SCENARIO("a record is not the same after a trip through the log") {
  for (const auto& [kind, body] : OneOfEachKind()) {
    SECTION("of kind " + kind) {
      const std::string text = EncodeRecord({RecordId("id1"), body});
      CHECK(text.find("\"kind\":\"" + kind + "\"") != std::string::npos);
      const auto decoded = DecodeRecord(text);
      REQUIRE(decoded.has_value());
      CHECK(decoded->id == RecordId("id1"));
      CHECK(decoded->body.index() == body.index());
      CHECK(EncodeRecord(*decoded) == text);
    }
  }
  SECTION("because optional owners get mixed up") {
    const auto decoded = DecodeRecord(
        EncodeRecord({RecordId("id1"), OneOfEachKind()[4].second}));
    const auto& changes = std::get<ShardsAssigned>(decoded->body).changes;
    CHECK_FALSE(changes.at(0).from.has_value());
    CHECK(changes.at(0).to == Ref("e0"));
    CHECK(changes.at(1).from == Ref("e0"));
    CHECK_FALSE(changes.at(1).to.has_value());
    CHECK(changes.at(1).base == LogOffset(1ULL << 62));
  }
  SECTION("because the hash of a hot key loses bits") {
    const auto decoded = DecodeRecord(
        EncodeRecord({RecordId("id1"), OneOfEachKind()[1].second}));
    const auto& rules = std::get<RulesPublished>(decoded->body).rules;
    CHECK(rules.services.at(kReader).hot_keys.at(0).key_hash == ~0ULL);
  }
}

SCENARIO("a malformed record stops a reader") {
  const std::string taken =
      R"({"kind":"authority_taken","id":"a","daemon":"d","daemon_instance":"s",)";
  const std::string group =
      R"("group":{"service":"s","failure_domain":"f","index":0},)";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"nothing", ""},
      {"no JSON", "{\"kind\":"},
      {"an array", "[]"},
      {"a number", "7"},
      {"no kind", R"({"id":"a"})"},
      {"an unknown kind", R"({"kind":"x","id":"a"})"},
      {"a kind that is a number", R"({"kind":7,"id":"a"})"},
      {"no id", R"({"kind":"authority_taken"})"},
      {"an empty id", R"({"kind":"authority_taken","id":""})"},
      {"no group", taken + R"("base_token":1,"cause":"hot_key"})"},
      {"an unknown cause",
       taken + group + R"("base_token":1,"cause":"because"})"},
      {"a negative token",
       taken + group + R"("base_token":-1,"cause":"hot_key"})"},
      {"a token that is a text",
       taken + group + R"("base_token":"1","cause":"hot_key"})"},
      {"a token that is a fraction",
       taken + group + R"("base_token":1.5,"cause":"hot_key"})"},
      {"a token that is true",
       taken + group + R"("base_token":true,"cause":"hot_key"})"},
      {"a token above 64 bits",
       taken + group +
           R"("base_token":99999999999999999999,"cause":"hot_key"})"},
      {"an index above 32 bits",
       taken +
           R"("group":{"service":"s","failure_domain":"f","index":4294967296},)"
           R"("base_token":1,"cause":"hot_key"})"},
      {"an inventory with problems",
       R"({"kind":"inventory_published","id":"a","base_revision":0,)"
       R"("inventory":{"services":[{"slots":"x"}]}})"},
      {"changes that are numbers",
       R"({"kind":"shards_assigned","id":"a",)" + group +
           R"("token":1,"changes":[1],"cause":"hot_key","proof":"lapsed",)"
           R"("daemon":"d"})"}};
  for (const auto& [what, text] : cases) {
    SECTION("with " + what) {
      const auto decoded = DecodeRecord(text);
      REQUIRE_FALSE(decoded.has_value());
      CHECK_FALSE(decoded.error().empty());
    }
  }
  SECTION("cut at any byte") {
    for (const auto& [kind, body] : OneOfEachKind()) {
      const std::string text = EncodeRecord({RecordId("id1"), body});
      for (std::size_t length = 0; length < text.size(); ++length) {
        CHECK_FALSE(DecodeRecord(text.substr(0, length)).has_value());
      }
    }
  }
}

SCENARIO("a damaged snapshot is taken for a state") {
  FoldedLog log;
  log.Append(InventoryPublished{Revision(0), MakeInventory(2, 2)});
  log.Append(RulesPublished{Revision(0), MakeRules({{3, ShardId(9)}})});
  const FencingToken token = log.Take(kEast, FencingToken(0));
  log.Append(AuthorityReleased{kEast, token, DaemonId("d1")});
  log.Append(UpstreamDeclaredLost{Ref("e1"), "ann"});
  for (std::uint32_t i = 0; i < 8; ++i) log.Assign(token, i, Ref("e0"));
  const std::string text = EncodeSnapshot(log.fold.Snapshot());

  SECTION("the whole text gives an equal state") {
    const auto decoded = DecodeSnapshot(text);
    REQUIRE(decoded.has_value());
    CHECK(EncodeSnapshot(*decoded) == text);
    CHECK(decoded->state.declared_lost.contains(Ref("e1")));
    CHECK(decoded->state.authorities.at(kEast).released_to == DaemonId("d1"));
    CHECK(decoded->state.shards.at(kReader).size() == 10);
  }
  SECTION("a part of the text is an error") {
    for (std::size_t length = 0; length < text.size(); length += 7) {
      CHECK_FALSE(DecodeSnapshot(text.substr(0, length)).has_value());
    }
  }
  SECTION("an index without a value is an error") {
    std::string damaged = text;
    const std::size_t rows = damaged.find("\"rows\":[[");
    REQUIRE(rows != std::string::npos);
    damaged.replace(rows + 9, 1, "99");
    CHECK_FALSE(DecodeSnapshot(damaged).has_value());
  }
}

}  // namespace
}  // namespace bamboorack::log_service
