#include "bamboorack/log_service/log_appender_thread.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "bamboorack/log_service/log_reader_thread.h"
#include "log_service/test_log.h"
#include "log_service/test_ring.h"

namespace bamboorack::log_service {
namespace {

using fakes::FaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

SCENARIO("a record is lost between the control thread and the log") {
  fakes::FakeLog log(0, 1000);
  Metrics metrics;
  BoundedRing<AppendRequest> requests(16);
  BoundedRing<FromLog> ring(64);
  LogAppenderThread appender(EndpointOf(log), requests, metrics);
  LogReaderThread reader(EndpointOf(log), LogOffset(1), ring, metrics);
  reader.Start();
  const auto push = [&requests](const std::string& id, milliseconds limit) {
    REQUIRE(requests.TryPush({NamedRecord(id), steady_clock::now() + limit}));
  };
  appender.Start();

  GIVEN("a healthy log") {
    push("a", kLimit);
    push("b", kLimit);
    THEN("the records arrive in order") {
      CHECK(ReadIds(ring, 2) == std::vector<std::string>{"a", "b"});
    }
  }
  for (const FaultMode mode : {FaultMode::kDown, FaultMode::kUnavailable}) {
    GIVEN("a log that fails three times with mode " +
          std::to_string(static_cast<int>(mode))) {
      log.Faults().Set({mode, {}, 3});
      push("a", kLimit);
      THEN("the record arrives in the end") {
        CHECK(ReadIds(ring, 1) == std::vector<std::string>{"a"});
      }
    }
  }
  GIVEN("a log that appends but loses the answer") {
    log.Faults().Set({FaultMode::kLoseAppendAnswer, {}, 1});
    push("a", kLimit);
    push("b", kLimit);
    THEN("the copy has the same id, so the fold can ignore it") {
      CHECK(ReadIds(ring, 3) == std::vector<std::string>{"a", "a", "b"});
    }
  }
  GIVEN("a log that stays down") {
    log.Faults().Set({FaultMode::kDown, {}, {}});
    push("late", milliseconds(100));
    const MonotonicTime deadline = steady_clock::now() + kLimit;
    while (metrics.CountOf("log_appends_given_up") == 0 &&
           steady_clock::now() < deadline) {
      std::this_thread::yield();
    }
    THEN("the appender gives up in time and takes the next record") {
      CHECK(metrics.CountOf("log_appends_given_up") == 1);
      log.Faults().Set({});
      push("next", kLimit);
      CHECK(ReadIds(ring, 1) == std::vector<std::string>{"next"});
    }
    THEN("a stop ends its attempts") {
      push("unsent", std::chrono::minutes(10));
      const MonotonicTime begin = steady_clock::now();
      appender.Stop();
      CHECK(steady_clock::now() - begin < seconds(5));
    }
  }
}

}  // namespace
}  // namespace bamboorack::log_service
