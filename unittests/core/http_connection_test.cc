#include "bamboorack/core/http_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "bamboorack/core/poll_reactor.h"

namespace bamboorack {
namespace {

using Poco::Net::PollSet;
using Poco::Net::StreamSocket;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

struct SocketPair {
  SocketPair() {
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->client.connect(listener.address());
    this->server = listener.acceptConnection();
  }
  StreamSocket client;
  StreamSocket server;
};

MonotonicTime TestDeadline() {
  return steady_clock::now() + std::chrono::seconds(5);
}

SCENARIO("a slow or closed peer stops the thread or keeps it busy") {
  SocketPair pair;
  PollReactor reactor;
  HttpConnection connection(pair.server);
  const auto key = reactor.Add(connection.Socket(), PollSet::POLL_READ);

  SECTION("nothing has arrived, so a read returns at once") {
    CHECK(connection.Read(100) == HttpConnection::IoStatus::kOk);
    CHECK(connection.Input().empty());
  }
  SECTION("more than the limit arrives") {
    pair.client.sendBytes("0123456789", 10);
    REQUIRE(reactor.Wait(TestDeadline()).size() == 1);
    REQUIRE(connection.Read(4) == HttpConnection::IoStatus::kOk);
    CHECK(connection.Input() == "0123");
  }
  SECTION("a peer that does not read") {
    const auto body =
        std::make_shared<const std::string>(std::size_t{64} << 20, 'x');
    connection.Queue({"head", body});
    REQUIRE(connection.Write() == HttpConnection::IoStatus::kOk);
    CHECK(connection.HasOutput());
    CHECK(connection.BytesWritten() > 0);
    CHECK(connection.BytesWritten() < body->size());
    THEN("it is not taken for one whose connection is broken") {
      CHECK(connection.Write() == HttpConnection::IoStatus::kOk);
      CHECK(connection.HasOutput());
    }
  }
  SECTION("the peer resets a connection that is watched for nothing") {
    reactor.SetModes(key, 0);
    pair.client.setLinger(true, 0);
    pair.client.close();
    const auto events = reactor.Wait(TestDeadline());
    REQUIRE(events.size() == 1);
    CHECK(events[0].has_failed);
  }
  SECTION("the peer closes") {
    pair.client.close();
    SECTION("and the event says so") {
      REQUIRE(reactor.Wait(TestDeadline()).at(0).key == key);
      CHECK(connection.Read(100) == HttpConnection::IoStatus::kClosed);
    }
    SECTION("and a connection watched for nothing does not spin") {
      reactor.SetModes(key, 0);
      const auto until = steady_clock::now() + milliseconds(20);
      CHECK(reactor.Wait(until).empty());
      CHECK(steady_clock::now() >= until);
    }
  }
}

// The kernel reports the error of a socket once. Whoever takes it leaves the
// next read 0 bytes, as after an orderly close.
SCENARIO("a reset passes for the end of the data") {
  SocketPair pair;
  PollReactor reactor;
  HttpConnection connection(pair.server);
  reactor.Add(connection.Socket(), PollSet::POLL_READ);
  GIVEN("a peer that sends a part and does not read what is sent to it") {
    connection.Queue({"head", std::make_shared<const std::string>(
                                  std::size_t{64} << 20, 'x')});
    REQUIRE(connection.Write() == HttpConnection::IoStatus::kOk);
    REQUIRE(connection.HasOutput());
    pair.client.sendBytes("part", 4);
    REQUIRE(reactor.Wait(TestDeadline()).size() == 1);
    REQUIRE(connection.Read(100) == HttpConnection::IoStatus::kOk);
    REQUIRE(connection.Input() == "part");
    WHEN("it resets the connection") {
      pair.client.setLinger(true, 0);
      pair.client.close();
      REQUIRE(reactor.Wait(TestDeadline()).size() == 1);
      THEN("a read after a failed write fails") {
        REQUIRE(connection.Write() == HttpConnection::IoStatus::kFailed);
        CHECK(connection.Read(100) == HttpConnection::IoStatus::kFailed);
        CHECK(connection.Read(100) == HttpConnection::IoStatus::kFailed);
      }
      THEN("a read after a failed read fails") {
        REQUIRE(connection.Read(100) == HttpConnection::IoStatus::kFailed);
        CHECK(connection.Read(100) == HttpConnection::IoStatus::kFailed);
        CHECK(connection.ReadAndDiscard() == HttpConnection::IoStatus::kFailed);
      }
      THEN("a read after the error was asked for fails") {
        CHECK_FALSE(connection.IsConnected());
        CHECK(connection.Read(100) == HttpConnection::IoStatus::kFailed);
      }
    }
    WHEN("it takes nothing for too long") {
      const int timeout_ms = 1;
      pair.server.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
      REQUIRE(reactor.Wait(TestDeadline()).size() == 1);
      THEN("all reads after that fail") {
        CHECK(connection.Read(100) == HttpConnection::IoStatus::kFailed);
        CHECK(connection.Read(100) == HttpConnection::IoStatus::kFailed);
      }
    }
    WHEN("it sends the rest and closes its sending direction") {
      pair.client.sendBytes("rest", 4);
      pair.client.shutdownSend();
      THEN("the data ends with an orderly close") {
        const MonotonicTime end = TestDeadline();
        auto status = HttpConnection::IoStatus::kOk;
        while (status == HttpConnection::IoStatus::kOk) {
          REQUIRE(steady_clock::now() < end);
          reactor.Wait(end);
          status = connection.Read(100);
        }
        CHECK(status == HttpConnection::IoStatus::kClosed);
        CHECK(connection.Input() == "partrest");
      }
    }
  }
}

SCENARIO("a thread that waits for sockets misses a push or a deadline") {
  PollReactor reactor;
  SECTION("a wake-up before the wait ends it") {
    reactor.Wake();
    const auto begin = steady_clock::now();
    CHECK(reactor.Wait(begin + std::chrono::seconds(5)).empty());
    CHECK(steady_clock::now() - begin < std::chrono::seconds(4));
    SECTION("and only this one") {
      const auto until = steady_clock::now() + milliseconds(5);
      CHECK(reactor.Wait(until).empty());
      CHECK(steady_clock::now() >= until);
    }
  }
  SECTION("a wake-up during the wait ends it") {
    std::thread waker([&reactor] { reactor.Wake(); });
    const auto begin = steady_clock::now();
    CHECK(reactor.Wait(begin + std::chrono::seconds(5)).empty());
    CHECK(steady_clock::now() - begin < std::chrono::seconds(4));
    waker.join();
  }
  SECTION("deadlines expire in order and once") {
    const auto now = steady_clock::now();
    const auto late = reactor.NewKey();
    const auto early = reactor.NewKey();
    const auto cleared = reactor.NewKey();
    reactor.SetDeadline(late, now - milliseconds(1));
    reactor.SetDeadline(early, now - milliseconds(2));
    reactor.SetDeadline(cleared, now - milliseconds(3));
    reactor.ClearDeadline(cleared);
    CHECK(reactor.Wait(TestDeadline()).empty());
    CHECK(reactor.PopExpired(now) == early);
    CHECK(reactor.PopExpired(now) == late);
    CHECK_FALSE(reactor.PopExpired(now).has_value());
  }
}

}  // namespace
}  // namespace bamboorack
