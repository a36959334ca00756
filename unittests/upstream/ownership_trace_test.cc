// The failure scenarios in section 7.2 of the design that affect ownership.
#include <algorithm>
#include <catch2/catch.hpp>

#include "upstream/simulated_world.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs until all shards are served, then for 3 s more so that leases are
/// renewed regularly.
void RunUntilSteady(SimulatedWorld& world) {
  REQUIRE(world.RunUntil([&] { return world.IsServingAll(); }, seconds(3)));
  world.Run(seconds(3));
  REQUIRE(world.IsServingAll());
}

/// Runs for `duration` and returns whether all shards were served throughout.
bool StaysServed(SimulatedWorld& world, milliseconds duration) {
  return !world.RunUntil([&] { return !world.IsServingAll(); }, duration);
}

bool ServesAgain(SimulatedWorld& world, milliseconds limit) {
  return world.RunUntil([&] { return world.IsServingAll(); }, limit);
}

std::vector<Proof> ProofsSince(const SimulatedWorld& world, LogOffset offset) {
  std::vector<Proof> proofs;
  for (const ShardsAssigned& move : world.MovesSince(offset)) {
    proofs.push_back(move.proof);
  }
  return proofs;
}

SCENARIO("trace 1: a delayed renewal revives a lease that has expired") {
  WorldOptions options;
  options.on_log_loss = OnLogLoss::kStop;
  options.upstream_rules.counts_from_echo = GENERATE(true, false);
  const bool counts_from_echo = options.upstream_rules.counts_from_echo;
  SimulatedWorld world(options);
  RunUntilSteady(world);
  GIVEN("an authority that is paused with an unsent renewal for upstream A") {
    const int first = world.Authority();
    const UpstreamRef owner = *world.OwnerOf(ShardId(0));
    const int a = world.IndexOf(owner);
    world.HoldCalls(first, true);
    world.Run(milliseconds(300));
    world.PauseDaemon(first);
    AND_GIVEN("a successor that cannot reach A") {
      for (int i = 0; i < world.DaemonCount(); ++i) {
        if (i != first) world.CutDaemonFromUpstream(i, a, true);
      }
      const LogOffset head = world.Head().next_offset;
      const auto has_moved = [&] {
        return world.OwnerOf(ShardId(0)) != owner && world.IsServingAll();
      };
      REQUIRE(world.RunUntil(has_moved, seconds(4)));
      CHECK(ProofsSince(world, head).front() == Proof::kLapsed);
      WHEN("the delayed renewal arrives") {
        world.HoldCalls(first, false);
        world.Run(milliseconds(100));
        THEN("A accepts it, but the lease it grants has already expired") {
          CHECK(world.Upstream(a).shards.contains(ShardId(0)));
          CHECK(world.Upstream(a).Owns(ShardId(0), world.Now()) ==
                !counts_from_echo);
          CHECK((world.Violation() == "") == counts_from_echo);
        }
      }
    }
  }
}

SCENARIO("trace 3: a partitioned domain and a successor both assign shards") {
  SimulatedWorld world{WorldOptions()};
  RunUntilSteady(world);
  GIVEN("an authority and upstreams cut off from the log and other daemons") {
    const int first = world.Authority();
    world.CutDaemonFromLog(first, true);
    for (int i = 0; i < world.DaemonCount(); ++i) {
      if (i == first) continue;
      world.CutDaemons(first, i, true);
      for (int j = 0; j < world.UpstreamCount(); ++j) {
        world.CutDaemonFromUpstream(i, j, true);
      }
    }
    WHEN("an upstream dies while another daemon takes the authority") {
      const UpstreamRef lost = *world.OwnerOf(ShardId(0));
      world.KillUpstream(world.IndexOf(lost));
      world.Run(seconds(5));
      THEN("the other upstreams keep their shards") {
        CHECK(world.Violation() == "");
        CHECK(world.Head().authorities.at(world.Group()).daemon !=
              DaemonId("d" + std::to_string(first)));
        for (std::uint32_t i = 0; i < 6; ++i) {
          const UpstreamRef owner = *world.OwnerOf(ShardId(i));
          if (owner == lost) continue;
          CHECK(world.Upstream(world.IndexOf(owner))
                    .Owns(ShardId(i), world.Now()));
        }
      }
      AND_WHEN("the domain is connected again") {
        world.Heal();
        THEN("the successor serves all shards") {
          CHECK(ServesAgain(world, seconds(5)));
          CHECK(world.Violation() == "");
        }
      }
    }
  }
}

SCENARIO("trace 4: two daemons take the authority at once") {
  SimulatedWorld world{WorldOptions()};
  RunUntilSteady(world);
  GIVEN("two candidates that receive no heartbeats and know the same token") {
    const ClusterState state = world.Head();
    SimulatedLog log = world.Log();
    std::vector<Record> takes;
    for (const char* name : {"d0", "d1", "d2"}) {
      const DaemonId id(name);
      if (state.authorities.at(world.Group()).daemon == id) continue;
      AuthorityElection election(id, DaemonInstance(id.value + ".9"),
                                 [name] { return RecordId(name); });
      for (int tick = 0; tick < 30; ++tick) {
        const MonotonicTime now{milliseconds(50 * tick)};
        for (Record& record : election.Tick(state, {}, true, now)) {
          takes.push_back(std::move(record));
        }
      }
    }
    REQUIRE(takes.size() == 2);
    WHEN("the first append seems to time out and the second one is sent") {
      const std::size_t winner = GENERATE(0, 1);
      CHECK(log.Append(takes[winner]) == Verdict::kAccepted);
      THEN("the first record in the log wins") {
        CHECK(log.Append(takes[1 - winner]) == Verdict::kStaleToken);
        CHECK(log.Append(takes[winner]) == Verdict::kDuplicate);
        CHECK(log.head.State().authorities.at(world.Group()).daemon ==
              std::get<AuthorityTaken>(takes[winner].body).daemon);
      }
    }
  }
}

SCENARIO("trace 5: a replacement VM at the same address inherits ownership") {
  WorldOptions options;
  options.checks_tokens = GENERATE(true, false);
  CAPTURE(options.checks_tokens);
  SimulatedWorld world(options);
  RunUntilSteady(world);
  GIVEN("an upstream that owns shards") {
    const UpstreamRef old = *world.OwnerOf(ShardId(0));
    const int index = world.IndexOf(old);
    const LogOffset head = world.Head().next_offset;
    WHEN("its VM is replaced") {
      world.ReplaceUpstream(index);
      THEN("the new instance gets no shard until the old lease has expired") {
        const UpstreamRef fresh{old.id, world.Upstream(index).instance};
        world.Run(milliseconds(700));
        CHECK(world.OwnerOf(ShardId(0)) == old);
        CHECK(world.Upstream(index).shards.empty());
        CHECK(ServesAgain(world, seconds(2)));
        CHECK(world.OwnerOf(ShardId(0)) != old);
        CHECK(ProofsSince(world, head).front() == Proof::kLapsed);
        CHECK(world.Violation() == "");
      }
    }
  }
}

SCENARIO("trace 7: clocks that step or drift end a lease") {
  WorldOptions options;
  options.checks_tokens = GENERATE(true, false);
  options.on_log_loss = GENERATE(OnLogLoss::kKeepServing, OnLogLoss::kStop);
  SimulatedWorld world(options);
  RunUntilSteady(world);
  GIVEN("monotonic clocks that drift apart by 0.2 %") {
    const LogOffset head = world.Head().next_offset;
    THEN("service continues for a minute") {
      CHECK(StaysServed(world, seconds(60)));
    }
    WHEN("the wall clock steps by an hour") {
      world.StepWallClock(hours(1));
      THEN("no shard moves and service continues") {
        CHECK(StaysServed(world, seconds(10)));
        CHECK(world.MovesSince(head).empty());
      }
    }
    WHEN("the owner freezes for just longer than its lease") {
      const int owner = world.IndexOf(*world.OwnerOf(ShardId(0)));
      world.FreezeUpstream(owner);
      world.Run(milliseconds(1003));
      world.ThawUpstream(owner);
      THEN("service returns") { CHECK(ServesAgain(world, seconds(3))); }
    }
  }
  CHECK(world.Violation() == "");
}

SCENARIO("trace 8: the VM list is wrong about an instance") {
  SimulatedWorld world{WorldOptions()};
  RunUntilSteady(world);
  // Longer than `kMaxVmListLag`, so that the disappearance of a VM applies to
  // the current instance.
  world.Run(seconds(15));
  const UpstreamRef owner = *world.OwnerOf(ShardId(0));
  const int index = world.IndexOf(owner);
  const LogOffset head = world.Head().next_offset;
  GIVEN("a list without the VM of an instance that still answers") {
    world.HideFromVmList(index, true);
    THEN("no shard moves") {
      CHECK(StaysServed(world, seconds(10)));
      CHECK(world.MovesSince(head).empty());
    }
    WHEN("the instance is frozen afterwards") {
      world.Run(seconds(5));
      world.FreezeUpstream(index);
      THEN("the list is no proof, because the instance answered later") {
        REQUIRE(world.RunUntil(
            [&] { return world.OwnerOf(ShardId(0)) != owner; }, seconds(3)));
        CHECK(ProofsSince(world, head).front() == Proof::kLapsed);
      }
    }
  }
  GIVEN("a list that still shows an instance that was replaced") {
    world.SetVmListLag(seconds(60));
    world.ReplaceUpstream(index);
    THEN("the replacement is not treated as the owner") {
      world.Run(milliseconds(700));
      CHECK(world.Upstream(index).shards.empty());
      CHECK(ServesAgain(world, seconds(2)));
      CHECK(world.OwnerOf(ShardId(0)) != owner);
    }
  }
  CHECK(world.Violation() == "");
}

}  // namespace
}  // namespace bamboorack::upstream
