#include "bamboorack/peer/peer_thread.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

namespace bamboorack::peer {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kRingSize = 64;

MonotonicTime TestDeadline() { return steady_clock::now() + seconds(10); }

/// A peer thread with its rings.
struct Node {
  BoundedRing<ToPeer> input{kRingSize};
  BoundedRing<PeerToRouting> routing;
  BoundedRing<PeerToControl> control{kRingSize};
  Metrics metrics;
  PeerThread thread;

  explicit Node(const std::string& name, std::size_t routing_room = kRingSize)
      : routing(routing_room),
        thread({DaemonId(name), DaemonInstance(name + "-1"),
                Endpoint{"127.0.0.1", 0}},
               this->input, this->routing, this->control, this->metrics) {
    REQUIRE(this->thread.Start().has_value());
  }

  void Send(ToPeer message) {
    REQUIRE(this->input.TryPush(std::move(message)));
  }

  void ConnectTo(const std::string& name, std::uint16_t port) {
    this->Send(SetPeers{{{DaemonId(name), Endpoint{"127.0.0.1", port}}}});
  }
};

Request MakeRequest(std::string body) {
  Request request;
  request.id = RequestId("r");
  request.service = ServiceName("reader");
  request.key = "k";
  request.method = "GET";
  request.deadline = TestDeadline();
  request.body = std::make_shared<const std::string>(std::move(body));
  return request;
}

/// Repeats a heartbeat until one arrives, which shows that the connection is
/// up. Bounded by `TestDeadline`.
void WaitUntilConnected(Node& from, const std::string& to, Node& target) {
  const MonotonicTime give_up = TestDeadline();
  while (steady_clock::now() < give_up) {
    from.Send(SendHeartbeat{DaemonId(to), LogOffset(5)});
    const auto heard = target.control.PopUntil(steady_clock::now() +
                                               std::chrono::milliseconds(50));
    if (heard) return;
  }
  FAIL("no connection to " << to);
}

SCENARIO("a forwarded request or its answer is damaged between daemons") {
  GIVEN("two connected daemons") {
    Node entry("entry");
    Node authority("authority");
    entry.ConnectTo("authority", authority.thread.Port());
    WaitUntilConnected(entry, "authority", authority);

    WHEN("a request and an answer of several pieces are exchanged") {
      const std::string large(3 * kBodyPieceBytes + 17, 'x');
      entry.Send(
          SendForward{DaemonId("authority"), ForwardId(1), MakeRequest(large)});
      const auto arrived = authority.routing.PopUntil(TestDeadline());
      REQUIRE(arrived.has_value());
      const auto& forward = std::get<ForwardArrived>(*arrived);
      CHECK(*forward.request.body == large);
      Answer answer;
      answer.status = 201;
      answer.headers = {{"Content-Type", "text/plain"}};
      answer.body = std::make_shared<const std::string>(large + "y");
      authority.Send(SendAnswer{forward.from, answer});
      THEN("both arrive whole") {
        const auto ended = entry.routing.PopUntil(TestDeadline());
        REQUIRE(ended.has_value());
        const auto& result = std::get<ForwardAnswered>(*ended);
        CHECK(result.id == ForwardId(1));
        CHECK(result.result->status == 201);
        CHECK(result.result->headers.at(0).value == "text/plain");
        CHECK(*result.result->body == large + "y");
      }
    }
    WHEN("the authority stops before it answers") {
      entry.Send(
          SendForward{DaemonId("authority"), ForwardId(1), MakeRequest("")});
      REQUIRE(authority.routing.PopUntil(TestDeadline()).has_value());
      authority.thread.Stop();
      THEN("the ending is unknown") {
        const auto ended = entry.routing.PopUntil(TestDeadline());
        REQUIRE(ended.has_value());
        const Result& result = std::get<ForwardAnswered>(*ended).result;
        CHECK(result.error().ending == Ending::kUnknown);
        CHECK(result.error().reason == Reason::kPeerLost);
      }
    }
    WHEN("a state is requested") {
      entry.Send(RequestState{DaemonId("authority")});
      const auto asked = authority.control.PopUntil(TestDeadline());
      REQUIRE(asked.has_value());
      CHECK(std::get<StateRequested>(*asked).from == DaemonId("entry"));
      const auto state = std::make_shared<const std::string>(200'000, 's');
      authority.Send(SendState{DaemonId("entry"), LogOffset(77), state});
      THEN("it arrives whole") {
        const auto received = entry.control.PopUntil(TestDeadline());
        REQUIRE(received.has_value());
        CHECK(std::get<StateReceived>(*received).covers_before ==
              LogOffset(77));
        CHECK(*std::get<StateReceived>(*received).body == *state);
      }
    }
  }
}

SCENARIO("an authority that is overloaded loses requests unseen") {
  GIVEN("an authority whose ring to routing has room for one request") {
    Node entry("entry");
    Node authority("authority", 1);
    entry.ConnectTo("authority", authority.thread.Port());
    WaitUntilConnected(entry, "authority", authority);
    WHEN("two requests arrive and none is taken") {
      entry.Send(
          SendForward{DaemonId("authority"), ForwardId(1), MakeRequest("")});
      entry.Send(
          SendForward{DaemonId("authority"), ForwardId(2), MakeRequest("")});
      THEN("the second one is refused as not run") {
        const auto ended = entry.routing.PopUntil(TestDeadline());
        REQUIRE(ended.has_value());
        const auto& refused = std::get<ForwardAnswered>(*ended);
        CHECK(refused.id == ForwardId(2));
        CHECK(refused.result.error().ending == Ending::kNotRun);
        CHECK(refused.result.error().reason == Reason::kRingFull);
      }
    }
  }
}

SCENARIO("a connection that went silent keeps its requests waiting") {
  GIVEN("a listener that accepts and never reads") {
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    Node entry("entry");
    entry.ConnectTo("silent", silent.address().port());
    WHEN("the probes stay without an answer") {
      Poco::Net::StreamSocket accepted = silent.acceptConnection();
      const MonotonicTime connected = steady_clock::now();
      THEN("the request ends as unknown within the probe timeout") {
        std::optional<PeerToRouting> ended;
        std::uint64_t id = 0;
        do {
          entry.Send(SendForward{DaemonId("silent"), ForwardId(++id),
                                 MakeRequest("")});
          ended = entry.routing.PopUntil(TestDeadline());
          REQUIRE(ended.has_value());
        } while (std::get<ForwardAnswered>(*ended).result.error().ending ==
                 Ending::kNotRun);
        CHECK(std::get<ForwardAnswered>(*ended).result.error().reason ==
              Reason::kPeerLost);
        // Twice the timeout leaves room for a busy machine.
        CHECK(steady_clock::now() - connected < 2 * kProbeTimeout);
      }
    }
  }
  GIVEN("a daemon that is not there") {
    Node entry("entry");
    WHEN("a request is forwarded to it") {
      entry.Send(
          SendForward{DaemonId("nobody"), ForwardId(1), MakeRequest("")});
      THEN("it is refused as not run") {
        const auto ended = entry.routing.PopUntil(TestDeadline());
        REQUIRE(ended.has_value());
        CHECK(std::get<ForwardAnswered>(*ended).result.error().ending ==
              Ending::kNotRun);
      }
    }
  }
}

SCENARIO("bytes that are not frames bring a daemon down") {
  GIVEN("a daemon and a connection that sends garbage") {
    Node node("node");
    Poco::Net::StreamSocket garbage(
        Poco::Net::SocketAddress("127.0.0.1", node.thread.Port()));
    garbage.setReceiveTimeout(Poco::Timespan(10, 0));
    const auto is_closed_after = [&garbage](const std::string& bytes) {
      garbage.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      char byte = 0;
      try {
        return garbage.receiveBytes(&byte, 1) == 0;
      } catch (const Poco::Exception&) {
        return true;
      }
    };
    const std::string cases[] = {
        std::string("GET / HTTP/1.1\r\n\r\n"),
        EncodeFrame(HeartbeatFrame{LogOffset(1)}, steady_clock::now()),
        EncodeFrame(HelloFrame{DaemonId("x"), DaemonInstance("y"), {}},
                    steady_clock::now()) +
            EncodeFrame(AnswerHeadFrame{}, steady_clock::now()),
    };
    for (const std::string& bytes : cases) {
      DYNAMIC_SECTION("the connection is closed after " << bytes.size()
                                                        << " bytes") {
        CHECK(is_closed_after(bytes));
        CHECK(node.metrics.CountOf("peer_bad_frames") == 1);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::peer
