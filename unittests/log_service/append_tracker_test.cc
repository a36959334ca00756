#include "bamboorack/log_service/append_tracker.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "log_service/test_records.h"

namespace bamboorack::log_service {
namespace {

using std::chrono::milliseconds;

SCENARIO("an append whose answer was lost takes effect twice or never") {
  const MonotonicTime start{std::chrono::hours(1)};
  const auto after = [start](int ms) { return start + milliseconds(ms); };
  const Record record{RecordId("a"), UpstreamDeclaredLost{Ref("e0"), "ann"}};
  const auto read_at = [&record](std::uint64_t offset) {
    return LogRecord{LogOffset(offset), WallTime(), record};
  };

  GIVEN("an append that is sent until 500 ms") {
    AppendTracker tracker(milliseconds(500));
    CHECK(tracker.Add(record, after(500)).record.id == record.id);

    WHEN("the record is read") {
      const auto settled = tracker.OnRead(read_at(7), Verdict::kStaleBase);
      THEN("it is settled with the verdict and never sent again") {
        REQUIRE(settled.has_value());
        CHECK(settled->verdict == Verdict::kStaleBase);
        CHECK(settled->offset == LogOffset(7));
        CHECK(tracker.Tick(after(2000), after(1900)).empty());
        CHECK(tracker.Size() == 0);
      }
      THEN("a late copy is not reported") {
        CHECK_FALSE(tracker.OnRead(read_at(9), Verdict::kDuplicate));
      }
    }
    WHEN("the log cannot be read") {
      THEN("nothing is sent again, because nothing is known") {
        CHECK(tracker.Tick(after(5000), std::nullopt).empty());
        CHECK(tracker.Tick(after(5000), after(500)).empty());
      }
    }
    WHEN("the log is read beyond the limit without the record") {
      const auto resends = tracker.Tick(after(800), after(501));
      THEN("the same record is sent again with a new limit") {
        REQUIRE(resends.size() == 1);
        CHECK(resends[0].record.id == record.id);
        CHECK(resends[0].give_up_at == after(1300));
        CHECK(tracker.Tick(after(900), after(850)).empty());
        CHECK(tracker.Tick(after(1400), after(1301)).size() == 1);
      }
      THEN("the first attempt may still show up and settles it") {
        CHECK(tracker.OnRead(read_at(8), Verdict::kAccepted)->verdict ==
              Verdict::kAccepted);
        CHECK(tracker.Tick(after(9000), after(8999)).empty());
      }
    }
    WHEN("the ring had no room for it") {
      tracker.OnSendFailed(record.id);
      THEN("the next tick sends it, whatever was read") {
        CHECK(tracker.Tick(after(10), std::nullopt).size() == 1);
        CHECK(tracker.Tick(after(20), std::nullopt).empty());
      }
    }
    WHEN("the sender stopped early without an answer") {
      tracker.OnSendUnknown(record.id, after(100));
      THEN("reading beyond that time is enough") {
        CHECK(tracker.Tick(after(200), after(100)).empty());
        CHECK(tracker.Tick(after(200), after(101)).size() == 1);
      }
    }
    WHEN("the record is withdrawn") {
      tracker.Withdraw(record.id);
      THEN("it is not sent again") {
        CHECK(tracker.Tick(after(5000), after(4000)).empty());
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::log_service
