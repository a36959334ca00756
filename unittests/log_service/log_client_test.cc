#include "bamboorack/log_service/log_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <limits>
#include <stop_token>
#include <string>
#include <thread>

#include "bamboorack/log_service/log_protocol_codec.h"
#include "log_service/test_log.h"
#include "support/endless_sender.h"
#include "support/raw_peer.h"

namespace bamboorack::log_service {
namespace {

using fakes::Fault;
using fakes::FaultMode;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

MonotonicTime TestDeadline() { return steady_clock::now() + seconds(5); }

SCENARIO("an append is reported wrongly when the log fails") {
  fakes::FakeLog log(0, 1000);
  Metrics metrics;
  LogClient client(EndpointOf(log), metrics);
  const std::stop_token never;

  GIVEN("a healthy log") {
    THEN("offsets count from 1") {
      CHECK(client.Append(NamedRecord("a"), TestDeadline(), never) ==
            LogOffset(1));
      CHECK(client.Append(NamedRecord("b"), TestDeadline(), never) ==
            LogOffset(2));
    }
  }
  struct Case {
    std::string what;
    Fault fault;
    AppendFault expected;
    std::uint64_t appended;
  };
  const std::vector<Case> cases = {
      {"is down", {FaultMode::kDown, {}, {}}, AppendFault::kUnknown, 0},
      {"is unavailable",
       {FaultMode::kUnavailable, {}, {}},
       AppendFault::kUnknown,
       0},
      {"loses the answer",
       {FaultMode::kLoseAppendAnswer, {}, {}},
       AppendFault::kUnknown,
       1}};
  for (const Case& fault : cases) {
    GIVEN("a log that " + fault.what) {
      log.Faults().Set(fault.fault);
      const auto answer =
          client.Append(NamedRecord("a"), TestDeadline(), never);
      REQUIRE_FALSE(answer.has_value());
      CHECK(answer.error().fault == fault.expected);
      CHECK(log.Store().Next() == LogOffset(1 + fault.appended));
      THEN("the same client succeeds once the log is back") {
        log.Faults().Set({});
        CHECK(
            client.Append(NamedRecord("b"), TestDeadline(), never).has_value());
      }
    }
  }
  GIVEN("a log that is slower than the deadline") {
    log.Faults().Set({FaultMode::kSlow, seconds(30), 1});
    const auto answer = client.Append(
        NamedRecord("a"), steady_clock::now() + milliseconds(50), never);
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().fault == AppendFault::kUnknown);
    THEN("a later answer belongs to the later call") {
      CHECK(client.Append(NamedRecord("b"), TestDeadline(), never) ==
            LogOffset(1));
    }
  }
  GIVEN("a log that gets to an append after the caller has given up") {
    log.Faults().Set({FaultMode::kSlow, milliseconds(150), 1});
    const auto answer = client.Append(
        NamedRecord("a"), steady_clock::now() + milliseconds(30), never);
    REQUIRE_FALSE(answer.has_value());
    THEN("the stand-in does not append the abandoned record") {
      std::this_thread::sleep_for(milliseconds(300));
      CHECK(log.Store().Next() == LogOffset(1));
    }
  }
  GIVEN("a port where nothing listens") {
    std::uint16_t port = 0;
    {
      const fakes::FakeLog gone(0, 1);
      port = gone.Port();
    }
    LogClient lost(Endpoint{"127.0.0.1", port}, metrics);
    THEN("the append did not happen") {
      const auto answer = lost.Append(NamedRecord("a"), TestDeadline(), never);
      REQUIRE_FALSE(answer.has_value());
      CHECK(answer.error().fault == AppendFault::kNotAppended);
    }
  }
}

SCENARIO("a read gives something else than what the log holds") {
  fakes::FakeLog log(0, 5);
  Metrics metrics;
  LogClient client(EndpointOf(log), metrics);
  const std::stop_token never;
  const auto read = [&](std::uint64_t from, std::size_t max = 100,
                        milliseconds wait = milliseconds(0)) {
    return client.Read({LogOffset(from), max, wait}, TestDeadline(), never);
  };
  const auto append = [&](const std::string& id) {
    REQUIRE(client.Append(NamedRecord(id), TestDeadline(), never).has_value());
  };

  GIVEN("an empty log") {
    const auto answer = read(1);
    REQUIRE(answer.has_value());
    THEN("the read reaches the head and stays where it is") {
      CHECK(answer->reached_head);
      CHECK(answer->next == LogOffset(1));
      CHECK(answer->records.empty());
    }
    THEN("a long poll returns when a record arrives") {
      auto poll = std::async(std::launch::async, [&] {
        LogClient other(EndpointOf(log), metrics);
        return other.Read({LogOffset(1), 100, seconds(4)}, TestDeadline(),
                          never);
      });
      append("a");
      const auto polled = poll.get();
      REQUIRE(polled.has_value());
      REQUIRE(polled->records.size() == 1);
      CHECK(polled->records[0].record.id == RecordId("a"));
    }
  }
  GIVEN("three records") {
    for (const char* id : {"a", "b", "c"}) append(id);
    THEN("a read that asks for two does not reach the head") {
      const auto answer = read(1, 2);
      REQUIRE(answer.has_value());
      CHECK(answer->records.size() == 2);
      CHECK(answer->next == LogOffset(3));
      CHECK_FALSE(answer->reached_head);
      CHECK(answer->records[1].time > WallTime());
    }
    THEN("an unreadable record is skipped and counted") {
      log.Store().Append("{\"kind\":");
      append("d");
      const auto answer = read(3);
      REQUIRE(answer.has_value());
      REQUIRE(answer->records.size() == 2);
      CHECK(answer->records[1].offset == LogOffset(5));
      CHECK(answer->next == LogOffset(6));
      CHECK(metrics.CountOf("log_records_malformed") == 1);
    }
    THEN("a trimmed log begins with the first offset that it kept") {
      for (const char* id : {"d", "e", "f", "g"}) append(id);
      const auto answer = read(1);
      REQUIRE(answer.has_value());
      CHECK(answer->first_kept == LogOffset(3));
      REQUIRE(answer->records.size() == 5);
      CHECK(answer->records[0].offset == LogOffset(3));
    }
    for (const FaultMode mode : {FaultMode::kDown, FaultMode::kUnavailable,
                                 FaultMode::kTruncate, FaultMode::kMalformed}) {
      const std::string name(
          fakes::kFaultModeNames.at(static_cast<std::size_t>(mode)));
      THEN("the fault " + name + " is an error, and then all is well") {
        log.Faults().Set({mode, {}, 1});
        CHECK_FALSE(read(1).has_value());
        CHECK(read(1)->records.size() == 3);
      }
    }
    THEN("a slow read is an error and its answer is not mixed up") {
      log.Faults().Set({FaultMode::kSlow, seconds(30), 1});
      CHECK_FALSE(client
                      .Read({LogOffset(1), 100, milliseconds(0)},
                            steady_clock::now() + milliseconds(50), never)
                      .has_value());
      CHECK(read(3)->records.size() == 1);
    }
    THEN("a stop ends a long poll") {
      std::stop_source stop;
      const MonotonicTime begin = steady_clock::now();
      std::jthread stopper([&stop] { stop.request_stop(); });
      CHECK_FALSE(client
                      .Read({LogOffset(4), 100, seconds(9)},
                            begin + seconds(20), stop.get_token())
                      .has_value());
      CHECK(steady_clock::now() - begin < seconds(5));
    }
  }
}

SCENARIO("a log whose answers have no end holds its callers or answers them") {
  for (const auto& answer : testing::EndlessAnswers()) {
    GIVEN(answer.title) {
      Poco::Net::ServerSocket listener;
      listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
      listener.listen(1);
      Metrics metrics;
      LogClient client({"127.0.0.1", listener.address().port()}, metrics);
      const auto accept = [&listener] {
        REQUIRE(listener.poll(Poco::Timespan(10, 0),
                              Poco::Net::Socket::SELECT_READ));
        testing::RawPeer peer(listener.acceptConnection());
        peer.ReadMessage();
        return peer;
      };
      const MonotonicTime deadline = steady_clock::now() + seconds(3);
      WHEN("a record is appended") {
        auto append = std::async(std::launch::async, [&] {
          return client.Append(NamedRecord("a"), deadline, {});
        });
        const testing::EndlessSender sender(accept(), answer.bytes);
        THEN("it may have taken effect") {
          REQUIRE(append.wait_for(seconds(8)) == std::future_status::ready);
          const auto result = append.get();
          REQUIRE_FALSE(result.has_value());
          CHECK(result.error().fault == AppendFault::kUnknown);
          CHECK(sender.IsClosedByPeer());
        }
      }
      WHEN("records are read") {
        auto read = std::async(std::launch::async, [&] {
          return client.Read({LogOffset(1), 100, milliseconds(0)}, deadline,
                             {});
        });
        const testing::EndlessSender sender(accept(), answer.bytes);
        THEN("the read fails") {
          REQUIRE(read.wait_for(seconds(8)) == std::future_status::ready);
          CHECK_FALSE(read.get().has_value());
          CHECK(sender.IsClosedByPeer());
        }
      }
    }
  }
}

SCENARIO("a log that breaks its protocol moves a reader back") {
  const std::string record = R"({"offset":7,"time_ms":1,"body":"{}"})";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"no first", R"({"next":8,"records":[]})"},
      {"a next below the position", R"({"first":1,"next":6,"records":[]})"},
      {"an offset below first",
       R"({"first":8,"next":9,"records":[)" + record + "]}"},
      {"an offset twice",
       R"({"first":1,"next":9,"records":[)" + record + "," + record + "]}"},
      {"an offset beyond next",
       R"({"first":1,"next":7,"records":[)" + record + "]}"},
      {"records that are no objects", R"({"first":1,"next":8,"records":[7]})"},
      {"a body that is no text",
       R"({"first":1,"next":8,"records":[{"offset":7,"time_ms":1,"body":{}}]})"}};
  for (const auto& [what, text] : cases) {
    SECTION("with " + what) {
      CHECK_FALSE(DecodeRecordsAnswer(text, LogOffset(7)).has_value());
    }
  }
}

}  // namespace
}  // namespace bamboorack::log_service
