#include "platform/store_log.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <stop_token>
#include <string>
#include <thread>

#include "fakes/platform_store/platform_store.h"

namespace bamboorack::platform {
namespace {

using fakes::PlatformStore;
using fakes::StoreFault;
using log_service::KeyedAppend;
using log_service::KeyedAppendFault;
using log_service::ReadFault;
using log_service::Topic;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

struct Fixture {
  Fixture() {
    this->store.Start(0);
    this->log = MakeStoreLogFactory({"127.0.0.1", this->store.Port()})();
  }

  MonotonicTime In(milliseconds span) const {
    return steady_clock::now() + span;
  }

  auto Append(const std::string& key, const std::string& value,
              std::optional<LogOffset> end = {}) {
    return this->log->Append(KeyedAppend{Topic::kOwnership, {key, value}, end},
                             this->In(milliseconds(800)), {});
  }

  PlatformStore store;
  std::unique_ptr<log_service::KeyedLog> log;
};

SCENARIO("two writers overwrite each other's record") {
  Fixture fixture;
  REQUIRE(fixture.Append("owners", "one", LogOffset(0))->value == 1);

  SECTION("an append at the wrong end is refused") {
    const auto second = fixture.Append("owners", "two", LogOffset(0));
    REQUIRE_FALSE(second.has_value());
    CHECK(second.error().fault == KeyedAppendFault::kConflict);
    const auto read = fixture.log->ReadNewest(
        Topic::kOwnership, fixture.In(milliseconds(800)), {});
    REQUIRE(read->records.size() == 1);
    CHECK(read->records[0].value == "one");
    CHECK(read->end == LogOffset(1));
  }

  SECTION("an append whose answer is lost may have taken effect") {
    fixture.store.SetFault(StoreFault::kLostAnswers);
    const auto lost = fixture.Append("owners", "two", LogOffset(1));
    CHECK(lost.error().fault == KeyedAppendFault::kUnknown);
    fixture.store.SetFault(StoreFault::kNone);
    const auto read = fixture.log->ReadNewest(
        Topic::kOwnership, fixture.In(milliseconds(800)), {});
    CHECK(read->records.at(0).value == "two");
  }

  SECTION("an append that is turned away has not") {
    for (const StoreFault fault : {StoreFault::kBusy, StoreFault::kThrottle}) {
      fixture.store.SetFault(fault);
      CHECK(fixture.Append("owners", "x").error().fault ==
            KeyedAppendFault::kNotAppended);
    }
  }
}

SCENARIO("a follower misses a record") {
  Fixture fixture;

  SECTION("an empty topic has no records") {
    const auto read = fixture.log->ReadNewest(
        Topic::kDesiredState, fixture.In(milliseconds(800)), {});
    REQUIRE(read.has_value());
    CHECK(read->records.empty());
  }

  SECTION("more keys than a page holds are all read") {
    for (int i = 0; i < 50; ++i) {
      fixture.store.Write("keyed.servers", "s" + std::to_string(i), "v");
    }
    const auto read = fixture.log->ReadNewest(
        Topic::kUpstreams, fixture.In(milliseconds(800)), {});
    CHECK(read->records.size() == 50);
  }

  SECTION("a read waits for the next record") {
    std::jthread writer([&fixture] {
      std::this_thread::sleep_for(milliseconds(100));
      fixture.store.Write("keyed.op", "config", "new");
    });
    const auto read = fixture.log->ReadFrom(
        {Topic::kDesiredState, LogOffset(0), milliseconds(2'000)},
        fixture.In(milliseconds(3'000)), {});
    REQUIRE(read->records.size() == 1);
    CHECK(read->records[0].value == "new");
    CHECK(read->end == LogOffset(1));
  }

  SECTION("a dropped key is told apart from an empty value") {
    fixture.store.Write("keyed.servers", "s1", "v");
    fixture.store.Write("keyed.servers", "s1", "");
    const auto read =
        fixture.log->ReadFrom({Topic::kUpstreams, LogOffset(0), {}},
                              fixture.In(milliseconds(800)), {});
    REQUIRE(read->records.size() == 2);
    CHECK_FALSE(read->records[1].value.has_value());
  }

  SECTION("a history that is gone is told") {
    fixture.store.Write("keyed.op", "config", "one");
    fixture.store.DropHistory();
    const auto read =
        fixture.log->ReadFrom({Topic::kDesiredState, LogOffset(0), {}},
                              fixture.In(milliseconds(800)), {});
    CHECK(read.error().fault == ReadFault::kHistoryGone);
  }

  SECTION("a store that does not serve is told, within the time") {
    for (const StoreFault fault :
         {StoreFault::kBusy, StoreFault::kReset, StoreFault::kSilent}) {
      fixture.store.SetFault(fault);
      const MonotonicTime begun = steady_clock::now();
      const auto read =
          fixture.log->ReadFrom({Topic::kDesiredState, LogOffset(0), {}},
                                fixture.In(milliseconds(300)), {});
      CHECK_FALSE(read.has_value());
      CHECK(steady_clock::now() - begun < milliseconds(1'500));
    }
  }
}

}  // namespace
}  // namespace bamboorack::platform
