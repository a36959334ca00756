#include "bamboorack/peer/forward_table.h"

#include <catch2/catch.hpp>

#include "bamboorack/peer/probe_monitor.h"

namespace bamboorack::peer {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kStart{std::chrono::hours(1)};
const DaemonId kPeer("d1");
const ConnectionGeneration kGeneration(4);

SCENARIO("a caller receives the answer to somebody else's request") {
  ForwardTable table;
  REQUIRE(
      table.Add(ForwardId(1), kPeer, kGeneration, kStart + milliseconds(100)));

  SECTION("an id is used for one forward at a time") {
    CHECK_FALSE(table.Add(ForwardId(1), kPeer, kGeneration, kStart));
  }
  SECTION("an answer is rejected") {
    SECTION("with an id that was never sent") {
      CHECK_FALSE(table.OnAnswerHead(kPeer, kGeneration, ForwardId(2), {}, 0));
    }
    SECTION("from another daemon") {
      CHECK_FALSE(
          table.OnAnswerHead(DaemonId("d2"), kGeneration, ForwardId(1), {}, 0));
    }
    SECTION("from an earlier connection") {
      CHECK_FALSE(table.OnAnswerHead(kPeer, ConnectionGeneration(3),
                                     ForwardId(1), {}, 0));
    }
    SECTION("that starts twice") {
      REQUIRE(table.OnAnswerHead(kPeer, kGeneration, ForwardId(1), {}, 3));
      CHECK_FALSE(table.OnAnswerHead(kPeer, kGeneration, ForwardId(1), {}, 3));
      CHECK_FALSE(table.OnRefusal(kPeer, kGeneration, ForwardId(1), {}));
    }
    SECTION("that is longer than its head said") {
      REQUIRE(table.OnAnswerHead(kPeer, kGeneration, ForwardId(1), {}, 3));
      CHECK_FALSE(table.OnAnswerBody(kPeer, kGeneration, ForwardId(1), "abcd"));
    }
    SECTION("whose body comes before its head") {
      CHECK_FALSE(table.OnAnswerBody(kPeer, kGeneration, ForwardId(1), "a"));
    }
    CHECK(table.TakeEnded().empty());
  }
  SECTION("a whole answer ends the forward") {
    Answer head;
    head.status = 200;
    REQUIRE(table.OnAnswerHead(kPeer, kGeneration, ForwardId(1), head, 4));
    REQUIRE(table.OnAnswerBody(kPeer, kGeneration, ForwardId(1), "ab"));
    CHECK(table.TakeEnded().empty());
    REQUIRE(table.OnAnswerBody(kPeer, kGeneration, ForwardId(1), "cd"));
    const auto ended = table.TakeEnded();
    REQUIRE(ended.size() == 1);
    CHECK(*ended[0].result->body == "abcd");
    CHECK(table.OpenCount() == 0);
  }
}

SCENARIO("a request that may have run is reported as not run") {
  ForwardTable table;
  table.Add(ForwardId(1), kPeer, kGeneration, kStart + milliseconds(100));
  table.Add(ForwardId(2), kPeer, ConnectionGeneration(5),
            kStart + milliseconds(100));

  SECTION("a lost connection ends its own forwards as unknown") {
    table.OnConnectionLost(kPeer, kGeneration);
    const auto ended = table.TakeEnded();
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].id == ForwardId(1));
    CHECK(ended[0].result.error().ending == Ending::kUnknown);
    CHECK(ended[0].result.error().reason == Reason::kPeerLost);
  }
  SECTION("a deadline ends a forward as unknown, once") {
    table.Tick(kStart + milliseconds(99));
    CHECK(table.TakeEnded().empty());
    table.Tick(kStart + milliseconds(100));
    CHECK(table.TakeEnded().size() == 2);
    table.Tick(kStart + milliseconds(101));
    SECTION("and the late answer is discarded, not delivered") {
      CHECK(table.OnAnswerHead(kPeer, kGeneration, ForwardId(1), {}, 0));
      CHECK(table.TakeEnded().empty());
      CHECK(table.OpenCount() == 1);
    }
  }
}

SCENARIO("a connection that carries nothing any more stays in use") {
  ProbeMonitor monitor(kStart);
  REQUIRE(monitor.NextProbe(kStart) == 1U);
  CHECK_FALSE(monitor.NextProbe(kStart + milliseconds(149)).has_value());

  SECTION("without answers it counts as lost after the timeout") {
    CHECK_FALSE(monitor.IsLost(kStart + milliseconds(449)));
    CHECK(monitor.IsLost(kStart + milliseconds(450)));
  }
  SECTION("an answer extends it by the timeout") {
    monitor.OnAck(1, kStart + milliseconds(100));
    CHECK_FALSE(monitor.IsLost(kStart + milliseconds(549)));
    CHECK(monitor.IsLost(kStart + milliseconds(550)));
  }
  SECTION("an answer to a probe that was never sent does not") {
    monitor.OnAck(2, kStart + milliseconds(400));
    CHECK(monitor.IsLost(kStart + milliseconds(450)));
  }
}

}  // namespace
}  // namespace bamboorack::peer
