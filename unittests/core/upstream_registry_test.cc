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

  SECTION("around an outage entries have time to come back") {
    registry.NoteFailure(now);
    registry.Replace({Entry("b")}, now + milliseconds(500));
    registry.Update(now + milliseconds(600));
    CHECK(registry.Entries().size() == 2);
    SECTION("and those that do stay") {
      registry.Set(UpstreamId("a"), Entry("a"), now + seconds(1));
      registry.Update(now + seconds(9));
      CHECK(registry.Entries().size() == 2);
    }
    SECTION("and those that do not are gone") {
      CHECK(registry.Update(now + milliseconds(500) +
                            UpstreamRegistry::kReturnTime));
      CHECK(registry.Entries().size() == 1);
    }
  }

  SECTION("a new run replaces the old one") {
    registry.Set(UpstreamId("a"), Entry("a", 2), now);
    CHECK(registry.Update(now));
    CHECK(registry.Entries()[0].run.life == UpstreamLife(2));
  }

  SECTION("a heartbeat is no change") {
    RegisteredUpstream beat = Entry("a");
    beat.warm_up_left = milliseconds(300);
    registry.Set(UpstreamId("a"), beat, now);
    CHECK_FALSE(registry.Update(now));
  }
}

}  // namespace
}  // namespace bamboorack
