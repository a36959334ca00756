#include "bamboorack/core/upstream_registry.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace bamboorack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RegisteredUpstream Entry(const std::string& id, std::uint64_t life = 1) {
  RegisteredUpstream entry;
  entry.run = {UpstreamId(id), UpstreamLife(life)};
  entry.service = ServiceName("s");
  return entry;
}

TEST_CASE("an upstream that lives is dropped, or one that is gone is kept") {
  UpstreamRegistry registry;
  MonotonicTime now{seconds(100)};
  registry.Replace({Entry("a"), Entry("b")}, now);
  REQUIRE(registry.Update(now));
  REQUIRE(registry.Entries().size() == 2);

  SECTION("a removal counts at once while the registry is in reach") {
    registry.Set(UpstreamId("a"), std::nullopt, now);
    CHECK(registry.Update(now));
    CHECK(registry.Entries().size() == 1);
  }

  SECTION("a run that said that it leaves is usable again") {
    registry.MarkLeaving({UpstreamId("a"), UpstreamLife(1)});
    CHECK(registry.Update(now));
    const auto is_draining = [&registry] {
      return registry.Entries().at(0).is_draining;
    };
    CHECK(is_draining());
    registry.Set(UpstreamId("a"), Entry("a"), now);
    CHECK(is_draining());
    registry.Set(UpstreamId("a"), std::nullopt, now);
    registry.Update(now);
    registry.Set(UpstreamId("a"), Entry("a"), now);
    CHECK(is_draining());
    SECTION("but its next run is") {
      registry.Set(UpstreamId("a"), Entry("a", 2), now);
      CHECK_FALSE(is_draining());
    }
  }

  SECTION("after an outage entries have time to come back") {
    registry.NoteContact(now);
    now += seconds(3);
    registry.NoteContact(now);
    registry.Replace({Entry("b")}, now);
    registry.Update(now + milliseconds(100));
    CHECK(registry.Entries().size() == 2);
    SECTION("and those that do stay") {
      registry.Set(UpstreamId("a"), Entry("a"), now + seconds(1));
      registry.Update(now + seconds(9));
      CHECK(registry.Entries().size() == 2);
    }
    SECTION("and those that do not are gone") {
      CHECK(registry.Update(now + UpstreamRegistry::kReturnTime));
      CHECK(registry.Entries().size() == 1);
    }
    SECTION("but no longer than that after the return") {
      registry.NoteContact(now + seconds(1));
      registry.NoteContact(now + seconds(2));
      registry.Set(UpstreamId("b"), std::nullopt, now + seconds(2));
      registry.Update(now + UpstreamRegistry::kReturnTime);
      CHECK(registry.Entries().empty());
    }
  }

  SECTION("a read that fails on a slow link does not keep a removed entry") {
    // Guards against removed upstreams that get requests for another 2.5 s,
    // since each failed read counts as an outage.
    registry.NoteContact(now);
    now += milliseconds(2'400);
    registry.NoteContact(now);
    registry.Set(UpstreamId("a"), std::nullopt, now);
    CHECK(registry.Update(now));
    CHECK(registry.Entries().size() == 1);
  }

  SECTION("a new run replaces the old one") {
    registry.Set(UpstreamId("a"), Entry("a", 2), now);
    CHECK(registry.Update(now));
    CHECK(registry.Entries()[0].run.life == UpstreamLife(2));
  }

  SECTION("a heartbeat is no change") {
    registry.Set(UpstreamId("a"), Entry("a"), now);
    CHECK_FALSE(registry.Update(now));
    SECTION("nor is one of a warm-up that runs") {
      RegisteredUpstream beat = Entry("a");
      beat.warm_up_left = seconds(5);
      registry.Set(UpstreamId("a"), beat, now);
      REQUIRE(registry.Update(now));
      now += milliseconds(900);
      beat.warm_up_left = milliseconds(4'100);
      registry.Set(UpstreamId("a"), beat, now);
      CHECK_FALSE(registry.Update(now));
    }
  }
}

}  // namespace
}  // namespace bamboorack
