#include "bamboorack/core/http_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <stop_token>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/endless_sender.h"
#include "support/raw_peer.h"

namespace bamboorack {
namespace {

using bamboorack::testing::EndlessAnswer;
using bamboorack::testing::EndlessAnswers;
using bamboorack::testing::EndlessBytes;
using bamboorack::testing::EndlessSender;
using bamboorack::testing::kSocketBufferBytes;
using bamboorack::testing::RawPeer;
using bamboorack::testing::TestDeadline;
using bamboorack::testing::WithPauses;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;
using Reply = tl::expected<HttpReply, HttpFailure>;

/// A client whose server is the test.
struct Fixture {
  Fixture() {
    this->listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->listener.listen(8);
    this->client = std::make_unique<HttpClient>(
        Endpoint{"127.0.0.1", this->listener.address().port()}, seconds(5));
  }

  /// Makes a call in another thread.
  std::future<Reply> Call(MonotonicTime deadline,
                          const std::string& body = "record") {
    return std::async(std::launch::async, [this, deadline, body] {
      return this->client->Call({"POST", "/append", body}, deadline,
                                this->stop.get_token());
    });
  }

  RawPeer AcceptConnection() {
    REQUIRE(this->listener.poll(Poco::Timespan(10, 0),
                                Poco::Net::Socket::SELECT_READ));
    return RawPeer(this->listener.acceptConnection());
  }

  RawPeer Accept() {
    RawPeer peer = this->AcceptConnection();
    peer.ReadMessage();
    return peer;
  }

  /// Accepts a call and leaves its body unread.
  RawPeer AcceptHead() {
    RawPeer peer = this->AcceptConnection();
    peer.ReadHead();
    return peer;
  }

  Poco::Net::ServerSocket listener;
  std::unique_ptr<HttpClient> client;
  std::stop_source stop;
};

/// Ends as a failure that does not claim that the call did not run.
void ExpectFailure(std::future<Reply>& call) {
  // The sender ends with the scope of the caller, so the call ends as well.
  REQUIRE(call.wait_for(seconds(8)) == std::future_status::ready);
  const Reply reply = call.get();
  REQUIRE_FALSE(reply.has_value());
  CHECK(reply.error().may_have_run);
}

/// A call whose answer has no end.
struct EndlessFixture {
  EndlessFixture(const char* name, MonotonicTime deadline)
      : title(name), call(this->fixture.Call(deadline)) {}

  void Send(const EndlessBytes& bytes) {
    this->sender =
        std::make_unique<EndlessSender>(this->fixture.Accept(), bytes);
  }

  const char* title;
  Fixture fixture;
  std::future<Reply> call;
  /// Ends first, which ends the call.
  std::unique_ptr<EndlessSender> sender;
};

const char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

SCENARIO("an answer without end holds a call beyond its deadline") {
  GIVEN("a trickle of each kind at the same time") {
    std::vector<std::unique_ptr<EndlessFixture>> all;
    for (const EndlessAnswer& answer : EndlessAnswers()) {
      all.push_back(std::make_unique<EndlessFixture>(
          answer.title, steady_clock::now() + seconds(2)));
      all.back()->Send(WithPauses(answer.bytes));
    }
    THEN("the calls fail at their deadline and the connections close") {
      for (const auto& one : all) {
        CAPTURE(one->title);
        ExpectFailure(one->call);
        CHECK(one->sender->IsClosedByPeer());
      }
    }
  }
  GIVEN("half an answer and then nothing") {
    Fixture fixture;
    const MonotonicTime begun = steady_clock::now();
    auto call = fixture.Call(begun + seconds(2));
    RawPeer peer = fixture.Accept();
    const std::string half = GENERATE(
        "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na");
    peer.Send(half);
    THEN("the call fails at its deadline") {
      ExpectFailure(call);
      CHECK(steady_clock::now() - begun < seconds(8));
      CHECK(peer.IsClosedByPeer());
    }
  }
}

SCENARIO("an answer without end fills the memory") {
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    GIVEN(answer.title) {
      EndlessFixture flood(
          answer.title, steady_clock::now() + seconds(answer.is_body ? 2 : 60));
      flood.Send(answer.bytes);
      ExpectFailure(flood.call);
      CHECK(flood.sender->IsClosedByPeer());
      // Bodies are kept up to the largest answer in use.
      if (!answer.is_body)
        CHECK(flood.sender->BytesSent() < kSocketBufferBytes);
    }
  }
}

SCENARIO("a stop waits for an answer that trickles") {
  Fixture fixture;
  const MonotonicTime begun = steady_clock::now();
  auto call = fixture.Call(begun + seconds(30));
  const EndlessSender sender(
      fixture.Accept(),
      WithPauses({"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", "a"}));
  std::this_thread::sleep_for(milliseconds(60));
  fixture.stop.request_stop();
  ExpectFailure(call);
  CHECK(steady_clock::now() - begun < seconds(7));
}

SCENARIO("a chunked answer that is cut short is taken for a whole one") {
  Fixture fixture;
  auto call = fixture.Call(TestDeadline());
  RawPeer peer = fixture.Accept();
  SECTION("by the end of the connection") {
    peer.Send(std::string(kChunkedHead) + "3\r\nabc\r\n");
  }
  SECTION("inside a chunk") {
    peer.Send(std::string(kChunkedHead) + "3\r\nab");
  }
  SECTION("by a size that is no number") {
    peer.Send(std::string(kChunkedHead) + "3\r\nabc\r\nno size\r\n");
  }
  peer.Close();
  ExpectFailure(call);
}

// The client writes its call while it reads. A failed write takes the error of
// the socket, and the next read looks like an orderly close.
SCENARIO("an answer that is reset midway is taken for a whole one") {
  Fixture fixture;
  auto call = fixture.Call(TestDeadline(), std::string(16'000'000, 'r'));
  RawPeer peer = fixture.AcceptHead();
  GIVEN("a server that answers before it has read the call") {
    peer.Send("HTTP/1.1 200 OK\r\n\r\nfirst half, ");
    std::this_thread::sleep_for(milliseconds(50));
    WHEN("it resets the connection") {
      peer.Reset();
      THEN("the call fails, and may have run") { ExpectFailure(call); }
    }
    WHEN("it sends the rest and closes its sending direction") {
      peer.Send("second half");
      peer.CloseSend();
      THEN("the answer is whole") {
        const Reply reply = call.get();
        REQUIRE(reply.has_value());
        CHECK(reply->body == "first half, second half");
      }
    }
  }
}

// The whole answer is in the kernel's buffer when the write of the call fails.
SCENARIO("an answer that came whole is lost with its connection") {
  Fixture fixture;
  auto call = fixture.Call(TestDeadline(), std::string(16'000'000, 'r'));
  RawPeer peer = fixture.AcceptHead();
  const std::string body(2'000'000, 'a');
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
  REQUIRE(peer.IsDelivered());
  peer.Reset();
  const Reply reply = call.get();
  REQUIRE(reply.has_value());
  CHECK(reply->body == body);
}

// Taken for an interim answer, it would be skipped with its head, and its body
// read as the answer.
SCENARIO("the body of an answer without a valid status becomes the answer") {
  Fixture fixture;
  auto call = fixture.Call(TestDeadline());
  RawPeer peer = fixture.Accept();
  const std::string body = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake";
  for (const char* status : {"000", "099", "600", "999", "+20", "-10", "20"}) {
    WHEN(std::string("the status is ") + status) {
      peer.Send(std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
      THEN("the call fails, possibly run") { ExpectFailure(call); }
    }
  }
}

SCENARIO("bytes that belong to no call become the answer to the next one") {
  Fixture fixture;
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
  auto call = fixture.Call(TestDeadline());
  RawPeer peer = fixture.Accept();
  std::unique_ptr<EndlessSender> sender;
  SECTION("with the answer") { peer.Send(whole + late); }
  SECTION("after the answer") {
    peer.Send(whole);
    call.wait();
    peer.Send(late);
  }
  SECTION("without end") {
    sender = std::make_unique<EndlessSender>(peer, EndlessBytes{whole, late});
    // The next call must find bytes that came before it.
    const MonotonicTime end = TestDeadline();
    while (sender->BytesSent() <= whole.size()) {
      REQUIRE(steady_clock::now() < end);
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  CHECK(call.get()->body == "first");
  auto next = fixture.Call(TestDeadline());
  RawPeer second = fixture.Accept();
  second.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
  const Reply reply = next.get();
  REQUIRE(reply.has_value());
  CHECK(reply->body == "next");
}

SCENARIO("a connection that was closed while unused fails the next call") {
  Fixture fixture;
  auto call = fixture.Call(TestDeadline());
  RawPeer peer = fixture.Accept();
  peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
  CHECK(call.get()->body == "first");
  peer.Close();
  auto next = fixture.Call(TestDeadline());
  RawPeer second = fixture.Accept();
  second.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
  const Reply reply = next.get();
  REQUIRE(reply.has_value());
  CHECK(reply->body == "next");
}

SCENARIO("an answer of a server that keeps to HTTP is refused") {
  Fixture fixture;
  auto call = fixture.Call(TestDeadline());
  RawPeer peer = fixture.Accept();
  const auto expect = [&call](const std::string& body) {
    const Reply reply = call.get();
    REQUIRE(reply.has_value());
    CHECK(reply->status == 200);
    CHECK(reply->body == body);
  };
  SECTION("one that comes byte by byte after an interim answer") {
    peer.SendByteByByte(
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    expect("abc");
    auto next = fixture.Call(TestDeadline());
    peer.ReadMessage();
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
    CHECK(next.get()->body == "next");
  }
  SECTION("one in chunks") {
    peer.Send(std::string(kChunkedHead) +
              "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-Own: a\r\n\r\n");
    expect("abcde");
  }
  SECTION("one that ends with the connection") {
    peer.Send("HTTP/1.0 200 OK\r\n\r\nabc");
    peer.Close();
    expect("abc");
    auto next = fixture.Call(TestDeadline());
    RawPeer second = fixture.Accept();
    second.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(next.get().has_value());
  }
  SECTION("one whose server closes the connection") {
    peer.Send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc");
    expect("abc");
    auto next = fixture.Call(TestDeadline());
    RawPeer second = fixture.Accept();
    second.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(next.get().has_value());
  }
}

SCENARIO("an answer of the store takes up the memory of the process") {
  GIVEN("a client that takes small answers only") {
    Fixture fixture;
    fixture.client = std::make_unique<HttpClient>(
        Endpoint{"127.0.0.1", fixture.listener.address().port()}, seconds(5),
        std::size_t{1'000});
    auto reply = fixture.Call(TestDeadline());
    RawPeer server = fixture.Accept();
    WHEN("a larger one is announced") {
      server.Send("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n");
      THEN("the call fails, and may have run") {
        const Reply failed = reply.get();
        REQUIRE_FALSE(failed.has_value());
        CHECK(failed.error().may_have_run);
      }
    }
    WHEN("one of that size comes") {
      server.Send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" +
                  std::string(1'000, 'a'));
      THEN("it is taken") { CHECK(reply.get().has_value()); }
    }
  }
}

}  // namespace
}  // namespace bamboorack
