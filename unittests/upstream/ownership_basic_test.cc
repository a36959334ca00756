#include <catch2/catch.hpp>

#include "upstream/simulated_world.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("a group without faults does not start to serve") {
  WorldOptions options;
  options.checks_tokens = GENERATE(true, false);
  options.on_log_loss = GENERATE(OnLogLoss::kKeepServing, OnLogLoss::kStop);
  SimulatedWorld world(options);
  CAPTURE(options.checks_tokens, static_cast<int>(options.on_log_loss));
  GIVEN("daemons and upstreams without faults") {
    THEN("all shards are granted within two seconds") {
      const bool is_serving =
          world.RunUntil([&] { return world.IsServingAll(); }, seconds(2));
      CHECK(world.Violation() == "");
      CHECK(is_serving);
    }
  }
}

SCENARIO("a shard stays unserved after the loss of its owner or authority") {
  WorldOptions options;
  options.checks_tokens = GENERATE(true, false);
  SimulatedWorld world(options);
  CAPTURE(options.checks_tokens);
  GIVEN("a group that serves") {
    REQUIRE(world.RunUntil([&] { return world.IsServingAll(); }, seconds(2)));
    world.Run(seconds(1));
    REQUIRE(world.IsServingAll());
    WHEN("an upstream freezes") {
      const int owner = world.IndexOf(*world.OwnerOf(ShardId(0)));
      const TrueTime start = world.Now();
      world.FreezeUpstream(owner);
      THEN("other upstreams serve its shards within two seconds") {
        CHECK(world.RunUntil([&] { return world.IsServingAll(); }, seconds(3)));
        CHECK(world.Violation() == "");
        CHECK(world.Now() - start < seconds(2));
      }
    }
    WHEN("the authority's daemon pauses") {
      const int first = world.Authority();
      const TrueTime start = world.Now();
      world.PauseDaemon(first);
      THEN("another daemon takes over and no shard moves") {
        const LogOffset head = world.Head().next_offset;
        CHECK(world.RunUntil([&] { return world.IsServingAll(); }, seconds(3)));
        CHECK(world.Violation() == "");
        CHECK(world.Authority() != first);
        CHECK(world.MovesSince(head).empty());
        CHECK(world.Now() - start < seconds(2));
      }
    }
  }
}

SCENARIO("a shard of another group is kept, or released without a proof") {
  WorldOptions options;
  options.checks_tokens = GENERATE(true, false);
  SimulatedWorld world(options);
  GIVEN("a group that serves all shards") {
    REQUIRE(world.RunUntil([&] { return world.IsServingAll(); }, seconds(3)));
    world.Run(seconds(2));
    const LogOffset head = world.Head().next_offset;
    WHEN("the inventory places some shards in another failure domain") {
      world.PublishOtherDomain();
      world.Run(seconds(8));
      THEN("they are released with a proof, within the move budget") {
        const Proof proof =
            options.checks_tokens ? Proof::kAcknowledged : Proof::kLapsed;
        int released = 0;
        for (const ShardsAssigned& move : world.MovesSince(head)) {
          CHECK(move.proof == proof);
          CHECK(move.cause == Cause::kRebalance);
          for (const ShardChange& change : move.changes) {
            if (!change.to) ++released;
          }
        }
        CHECK(released > 0);
        CHECK(released <= 17);
        CHECK(world.Violation() == "");
      }
      THEN("the other shards still have an owner") {
        for (const ShardState& shard :
             world.Head().shards.at(world.Group().service)) {
          CHECK((shard.group == world.Group()) == shard.owner.has_value());
        }
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
