#include "bamboorack/log_service/fold.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "log_service/test_records.h"

namespace bamboorack::log_service {
namespace {

SCENARIO("an accepted configuration is reverted") {
  GIVEN("a log with an inventory") {
    FoldedLog log;
    REQUIRE(log.Append(InventoryPublished{Revision(0), MakeInventory(2, 2)}) ==
            Verdict::kAccepted);
    const Revision revision = log.InventoryRevision();
    CHECK(revision == Revision(1));

    WHEN("a second operator publishes against the same base") {
      THEN("the second inventory is refused and the first stays in force") {
        CHECK(log.Append(InventoryPublished{
                  Revision(0), MakeInventory(1, 1)}) == Verdict::kStaleBase);
        CHECK(log.InventoryRevision() == revision);
        CHECK(log.fold.State().FindUpstream(UpstreamId("w1")) != nullptr);
      }
    }
    WHEN("a change against the revision in force follows") {
      log.Append(InventoryPublished{revision, MakeInventory(3, 2)});
      REQUIRE(log.InventoryRevision() == Revision(2));
      THEN("reading the first inventory again changes nothing") {
        CHECK(log.fold.Apply(log.records.front()) == Verdict::kDuplicate);
        CHECK(log.InventoryRevision() == Revision(2));
      }
      THEN("a copy of the first inventory later in the log changes nothing") {
        CHECK(log.Append(log.records.front().record) == Verdict::kDuplicate);
        CHECK(log.InventoryRevision() == Revision(2));
      }
      THEN("a snapshot of the earlier state is refused") {
        FoldedLog earlier;
        earlier.Append(InventoryPublished{Revision(0), MakeInventory(2, 2)});
        CHECK_FALSE(log.fold.TakeOver(earlier.fold.Snapshot()));
        FoldSnapshot with_old_revision = earlier.fold.Snapshot();
        with_old_revision.state.next_offset = LogOffset(100);
        CHECK_FALSE(log.fold.TakeOver(with_old_revision));
        CHECK(log.InventoryRevision() == Revision(2));
      }
    }
  }
}

SCENARIO("a key changes its shard because of an inventory") {
  GIVEN("an inventory in force") {
    FoldedLog log;
    log.Append(InventoryPublished{Revision(0), MakeInventory(2, 2, 8)});
    const FencingToken token = log.Take(log.Shard(0).group, FencingToken(0));
    const auto upstreams = log.fold.State().UpstreamsOf(log.Shard(0).group);
    const UpstreamRef owner = Ref(upstreams.front()->id.value);
    REQUIRE(log.Assign(token, 0, owner) == Verdict::kAccepted);

    const std::map<std::string, Inventory> refused = {
        {"another shard count", MakeInventory(2, 2, 16)},
        {"no shards", MakeInventory(2, 2, 0)},
        {"more shards than memory allows", MakeInventory(2, 2, 2'000'000'000)},
        {"no groups",
         [] {
           Inventory inventory = MakeInventory(2, 2);
           inventory.services[0].groups_per_domain = 0;
           return inventory;
         }()},
        {"a weight of zero",
         [] {
           Inventory inventory = MakeInventory(2, 2);
           inventory.services[0].upstreams[0].weight = 0.0;
           return inventory;
         }()},
        {"an upstream twice", [] {
           Inventory inventory = MakeInventory(2, 2);
           inventory.services[0].upstreams.push_back(
               inventory.services[0].upstreams[0]);
           return inventory;
         }()}};
    for (const auto& [what, inventory] : refused) {
      SECTION("an inventory with " + what + " is invalid") {
        CHECK(log.Append(InventoryPublished{log.InventoryRevision(),
                                            inventory}) == Verdict::kInvalid);
        CHECK(log.InventoryRevision() == Revision(1));
      }
    }
    WHEN("the owner leaves the inventory") {
      const GroupId group = log.Shard(0).group;
      const bool is_east = group == kEast;
      log.Append(
          InventoryPublished{log.InventoryRevision(),
                             MakeInventory(is_east ? 0 : 4, is_east ? 4 : 0)});
      THEN("the owned shard keeps group and owner, unowned ones move") {
        CHECK(log.Shard(0).group == group);
        CHECK(log.Shard(0).owner == owner);
        for (std::uint32_t i = 1; i < 8; ++i) {
          CHECK(log.Shard(i).group == (is_east ? kWest : kEast));
        }
      }
      THEN("a daemon can still take the group and release the shard") {
        const FencingToken next = log.Take(group, token);
        REQUIRE(next > token);
        REQUIRE(log.Assign(next, 0, std::nullopt) == Verdict::kAccepted);
        CHECK_FALSE(log.Shard(0).owner.has_value());
        CHECK(log.Shard(0).group == (is_east ? kWest : kEast));
      }
    }
    WHEN("the whole service is removed and returns") {
      Inventory without = MakeInventory(2, 2);
      without.services.clear();
      REQUIRE(log.Append(InventoryPublished{log.InventoryRevision(),
                                            without}) == Verdict::kAccepted);
      THEN("it must return with the same shards and its owner is known") {
        CHECK(log.Append(InventoryPublished{log.InventoryRevision(),
                                            MakeInventory(2, 2, 4)}) ==
              Verdict::kInvalid);
        CHECK(log.Append(InventoryPublished{log.InventoryRevision(),
                                            MakeInventory(2, 2, 8)}) ==
              Verdict::kAccepted);
        CHECK(log.Shard(0).owner == owner);
      }
    }
  }
}

SCENARIO("two daemons hold the authority over one group") {
  GIVEN("a group whose authority was taken") {
    FoldedLog log;
    log.Append(InventoryPublished{Revision(0), MakeInventory(2, 2)});
    const FencingToken token = log.Take(kEast, FencingToken(0));
    CHECK(token == FencingToken(2));

    THEN("a second daemon that knew no authority is refused") {
      CHECK(log.Append(AuthorityTaken{
                kEast, DaemonId("d1"), DaemonInstance("s2"), FencingToken(0),
                Cause::kAuthorityVacant}) == Verdict::kStaleToken);
      CHECK(log.fold.State().authorities.at(kEast).daemon == DaemonId("d0"));
    }
    THEN("a group without upstreams cannot be taken") {
      CHECK(log.Append(AuthorityTaken{
                GroupId{kReader, FailureDomain("north"), 0}, DaemonId("d1"),
                DaemonInstance("s2"), FencingToken(0),
                Cause::kAuthorityVacant}) == Verdict::kUnknownTarget);
    }
    WHEN("it is handed over") {
      CHECK(log.Append(
                AuthorityReleased{kEast, FencingToken(1), DaemonId("d1")}) ==
            Verdict::kStaleToken);
      REQUIRE(log.Append(AuthorityReleased{kEast, token, DaemonId("d1")}) ==
              Verdict::kAccepted);
      CHECK(log.fold.State().authorities.at(kEast).released_to ==
            DaemonId("d1"));
      THEN("the successor's token is the offset of its own record") {
        const FencingToken next = log.Take(kEast, token);
        CHECK(next == FencingToken(log.records.size()));
        CHECK_FALSE(log.fold.State().authorities.at(kEast).released_to);
        AND_THEN("the predecessor can neither release nor assign") {
          CHECK(log.Append(AuthorityReleased{kEast, token, DaemonId("d1")}) ==
                Verdict::kStaleToken);
          CHECK(log.Append(ShardsAssigned{kEast,
                                          token,
                                          {{ShardId(0), {}, Ref("e0"), {}}},
                                          Cause::kFirstAssignment,
                                          Proof::kUnowned,
                                          DaemonId("d0")}) ==
                Verdict::kStaleToken);
        }
      }
    }
  }
}

SCENARIO("a shard gets a second owner") {
  GIVEN("a group of two upstreams that owns a shard") {
    FoldedLog log;
    log.Append(InventoryPublished{Revision(0), MakeInventory(2, 0)});
    const FencingToken token = log.Take(kEast, FencingToken(0));
    REQUIRE(log.Assign(token, 0, Ref("e0")) == Verdict::kAccepted);
    const LogOffset base = log.Shard(0).changed_at;
    CHECK(base == LogOffset(3));
    const ShardChange valid{ShardId(0), Ref("e0"), Ref("e1"), base};

    struct Case {
      std::string what;
      std::vector<ShardChange> changes;
      Proof proof;
      Verdict verdict;
    };
    const ShardChange other{ShardId(1), {}, Ref("e1"), {}};
    const std::vector<Case> cases = {
        {"another base",
         {{ShardId(0), Ref("e0"), Ref("e1"), LogOffset(2)}},
         Proof::kLapsed,
         Verdict::kStaleShard},
        {"another owner",
         {{ShardId(0), Ref("e1"), Ref("e1"), base}},
         Proof::kLapsed,
         Verdict::kStaleShard},
        {"another instance of the owner",
         {{ShardId(0), Ref("e0", "i2"), Ref("e1"), base}},
         Proof::kLapsed,
         Verdict::kStaleShard},
        {"no proof", {valid}, Proof::kUnowned, Verdict::kInvalid},
        {"a declaration that nobody made",
         {valid},
         Proof::kDeclared,
         Verdict::kInvalid},
        {"a shard that does not exist",
         {{ShardId(8), {}, Ref("e1"), {}}},
         Proof::kUnowned,
         Verdict::kUnknownTarget},
        {"an unknown new owner",
         {{ShardId(0), Ref("e0"), Ref("e9"), base}},
         Proof::kLapsed,
         Verdict::kUnknownTarget},
        {"the same shard twice",
         {other, other},
         Proof::kUnowned,
         Verdict::kInvalid},
        {"no changes", {}, Proof::kUnowned, Verdict::kInvalid},
        {"no owner before and after",
         {{ShardId(1), {}, {}, {}}},
         Proof::kUnowned,
         Verdict::kInvalid},
        {"one valid and one stale change",
         {other, {ShardId(0), Ref("e0"), Ref("e1"), LogOffset(2)}},
         Proof::kLapsed,
         Verdict::kStaleShard}};
    for (const Case& refused : cases) {
      SECTION("a record with " + refused.what + " changes nothing") {
        CHECK(log.Append(ShardsAssigned{kEast, token, refused.changes,
                                        Cause::kRebalance, refused.proof,
                                        DaemonId("d0")}) == refused.verdict);
        CHECK(log.Shard(0).owner == Ref("e0"));
        CHECK_FALSE(log.Shard(1).owner.has_value());
      }
    }
    WHEN("an operator declares the owner lost") {
      CHECK(log.Append(UpstreamDeclaredLost{Ref("x9"), "ann"}) ==
            Verdict::kUnknownTarget);
      REQUIRE(log.Append(UpstreamDeclaredLost{Ref("e0"), "ann"}) ==
              Verdict::kAccepted);
      THEN("the shard moves by that proof and never back to the instance") {
        CHECK(log.Assign(token, 0, Ref("e1"), Proof::kDeclared) ==
              Verdict::kAccepted);
        CHECK(log.Shard(0).owner == Ref("e1"));
        CHECK(log.Assign(token, 0, Ref("e0")) == Verdict::kInvalid);
        CHECK(log.Assign(token, 0, Ref("e0", "i2")) == Verdict::kAccepted);
      }
    }
  }
}

SCENARIO("a hot key has two owners while it gets or loses its own shard") {
  GIVEN("a service whose ordinary shards are all owned by e0") {
    FoldedLog log;
    log.Append(InventoryPublished{Revision(0), MakeInventory(2, 0)});
    const FencingToken token = log.Take(kEast, FencingToken(0));
    for (std::uint32_t i = 0; i < 8; ++i) {
      REQUIRE(log.Assign(token, i, Ref("e0")) == Verdict::kAccepted);
    }
    const auto publish = [&log](std::vector<HotKey> hot_keys) {
      return log.Append(
          RulesPublished{log.RulesRevision(), MakeRules(std::move(hot_keys))});
    };
    THEN("a shard below the ordinary count or used twice is invalid") {
      CHECK(publish({{3, ShardId(7)}}) == Verdict::kInvalid);
      CHECK(publish({{3, ShardId(8)}, {4, ShardId(8)}}) == Verdict::kInvalid);
      CHECK(publish({{3, ShardId(4'000'000'000)}}) == Verdict::kInvalid);
      CHECK(log.RulesRevision() == Revision(0));
    }
    WHEN("the key 3 becomes hot") {
      REQUIRE(publish({{3, ShardId(9)}}) == Verdict::kAccepted);
      THEN("its shard starts with the owner and group of its ordinary shard") {
        REQUIRE(log.fold.State().shards.at(kReader).size() == 10);
        CHECK(log.Shard(9).owner == Ref("e0"));
        CHECK(log.Shard(9).group == kEast);
        CHECK(log.Shard(9).changed_at == LogOffset(log.records.size()));
        CHECK_FALSE(log.Shard(8).owner.has_value());
      }
      THEN("a far shard can be added and dropped, and memory stays in bounds") {
        REQUIRE(publish({{3, ShardId(9)}, {5, ShardId(3999)}}) ==
                Verdict::kAccepted);
        REQUIRE(log.fold.State().shards.at(kReader).size() == 4000);
        CHECK(publish({}) == Verdict::kAccepted);
        CHECK(log.fold.State().shards.at(kReader).size() == 8);
      }
      THEN("it may stop being hot while the owners are the same") {
        CHECK(publish({}) == Verdict::kAccepted);
        CHECK(log.fold.State().shards.at(kReader).size() == 8);
      }
      AND_WHEN("its shard moved to e1") {
        REQUIRE(log.Assign(token, 9, Ref("e1")) == Verdict::kAccepted);
        THEN("it stays hot until e1 gave the shard up") {
          CHECK(publish({}) == Verdict::kInvalid);
          REQUIRE(log.Assign(token, 9, std::nullopt) == Verdict::kAccepted);
          CHECK(publish({}) == Verdict::kAccepted);
        }
        THEN("another key cannot take over its shard") {
          CHECK(publish({{3, ShardId(10)}, {4, ShardId(9)}}) ==
                Verdict::kInvalid);
        }
        THEN("it may get another shard with the same owner") {
          CHECK(publish({{3, ShardId(10)}}) == Verdict::kAccepted);
          CHECK(log.Shard(10).owner == Ref("e1"));
        }
      }
    }
  }
}

SCENARIO("a reader loses its place in the log") {
  FoldedLog log;
  CHECK(log.fold.State().next_offset == LogOffset(1));
  log.Append(InventoryPublished{Revision(0), MakeInventory(1, 1)});
  WHEN("unreadable records were skipped") {
    log.fold.AdvanceTo(LogOffset(7));
    THEN("the position counts them and never goes back") {
      CHECK(log.fold.State().next_offset == LogOffset(7));
      log.fold.AdvanceTo(LogOffset(3));
      CHECK(log.fold.State().next_offset == LogOffset(7));
    }
  }
}

SCENARIO("the remembered ids grow without bound") {
  RecentIds ids;
  for (std::size_t i = 0; i <= kRememberedIds; ++i) {
    REQUIRE(ids.Insert(RecordId(std::to_string(i))));
  }
  CHECK(ids.OldestFirst().size() == kRememberedIds);
  CHECK_FALSE(ids.Insert(RecordId("1")));
  CHECK(ids.Insert(RecordId("0")));
}

}  // namespace
}  // namespace bamboorack::log_service
