#include "bamboorack/log_service/log_reader_thread.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "log_service/test_log.h"
#include "log_service/test_ring.h"

namespace bamboorack::log_service {
namespace {

using fakes::FaultMode;
using std::chrono::seconds;
using std::chrono::steady_clock;

SCENARIO("a daemon misses records of the log") {
  fakes::FakeLog log(0, 6);
  Metrics metrics;
  BoundedRing<FromLog> ring(64);
  for (const char* id : {"a", "b", "c"}) AppendTo(log, id);

  GIVEN("a reader from the start") {
    LogReaderThread reader(EndpointOf(log), LogOffset(0), ring, metrics);
    reader.Start();
    REQUIRE(ReadIds(ring, 3) == std::vector<std::string>{"a", "b", "c"});

    WHEN("records arrive later") {
      AppendTo(log, "d");
      THEN("they follow without a repetition") {
        CHECK(ReadIds(ring, 1) == std::vector<std::string>{"d"});
      }
    }
    WHEN("nothing arrives") {
      THEN("empty reads show the contact with the head") {
        const auto read = PopA<RecordsRead>(ring);
        REQUIRE(read.has_value());
        CHECK(read->records.empty());
        CHECK(read->reached_head);
        CHECK(read->next == LogOffset(4));
      }
    }
    WHEN("the log is down, drops an answer and is back") {
      log.Faults().Set({FaultMode::kDown, {}, {}});
      CHECK(PopA<ReadFailed>(ring).has_value());
      AppendTo(log, "d");
      log.Faults().Set({FaultMode::kTruncate, {}, 1});
      THEN("the reader goes on where it was") {
        CHECK(ReadIds(ring, 1) == std::vector<std::string>{"d"});
        CHECK(metrics.CountOf("log_reads_failed") >= 2);
      }
    }
    WHEN("the log is down and trims what was not read") {
      log.Faults().Set({FaultMode::kDown, {}, {}});
      REQUIRE(PopA<ReadFailed>(ring).has_value());
      for (int i = 0; i < 8; ++i) AppendTo(log, "t" + std::to_string(i));
      log.Faults().Set({});
      THEN("it starts over from the first kept offset and says so") {
        std::optional<RecordsRead> read;
        do {
          read = PopA<RecordsRead>(ring);
        } while (read && read->records.empty());
        REQUIRE(read.has_value());
        CHECK(read->first_kept == LogOffset(6));
        CHECK(read->records.front().record.id == RecordId("t2"));
        CHECK(metrics.CountOf("log_reads_trimmed") == 1);
      }
    }
    WHEN("it is stopped") {
      const MonotonicTime begin = steady_clock::now();
      reader.Stop();
      THEN("it ends at once, and a second stop is harmless") {
        reader.Stop();
        CHECK(steady_clock::now() - begin < seconds(5));
      }
    }
  }
  GIVEN("a reader that starts in the middle") {
    LogReaderThread reader(EndpointOf(log), LogOffset(3), ring, metrics);
    reader.Start();
    THEN("it reads from there") {
      CHECK(ReadIds(ring, 1) == std::vector<std::string>{"c"});
    }
  }
  GIVEN("a ring that is full") {
    BoundedRing<FromLog> small(1);
    REQUIRE(small.TryPush(ReadFailed{"filler"}));
    LogReaderThread reader(EndpointOf(log), LogOffset(1), small, metrics);
    reader.Start();
    const MonotonicTime deadline = steady_clock::now() + kLimit;
    while (metrics.CountOf("log_reads_refused_by_ring") == 0 &&
           steady_clock::now() < deadline) {
      std::this_thread::yield();
    }
    THEN("refused records are read again") {
      CHECK(ReadIds(small, 3) == std::vector<std::string>{"a", "b", "c"});
    }
  }
  GIVEN("several readers that wait in long polls") {
    std::vector<std::unique_ptr<BoundedRing<FromLog>>> rings;
    std::vector<std::unique_ptr<LogReaderThread>> readers;
    for (int i = 0; i < 20; ++i) {
      rings.push_back(std::make_unique<BoundedRing<FromLog>>(64));
      readers.push_back(std::make_unique<LogReaderThread>(
          EndpointOf(log), LogOffset(4), *rings.back(), metrics));
      readers.back()->Start();
    }
    AppendTo(log, "d");
    THEN("all of them get the record") {
      for (const auto& each : rings) {
        CHECK(ReadIds(*each, 1) == std::vector<std::string>{"d"});
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::log_service
