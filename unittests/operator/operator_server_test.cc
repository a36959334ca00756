#include "bamboorack/operator/operator_server.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace bamboorack::operators {
namespace {

using namespace std::chrono_literals;

/// No wait of these tests takes longer.
const Poco::Timespan kBound(10, 0);

Poco::Net::StreamSocket Connect(const Endpoint& endpoint) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(endpoint.host, endpoint.port),
                 kBound);
  socket.setReceiveTimeout(kBound);
  socket.setSendTimeout(kBound);
  return socket;
}

void Send(Poco::Net::StreamSocket& socket, const std::string& text) {
  socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

/// Reads until the server closes.
std::string ReadAll(Poco::Net::StreamSocket& socket) {
  std::string answer;
  std::array<char, 4096> buffer{};
  try {
    int count = 0;
    while ((count = socket.receiveBytes(buffer.data(), buffer.size())) > 0) {
      answer.append(buffer.data(), static_cast<std::size_t>(count));
    }
  } catch (const Poco::Net::ConnectionResetException&) {
    // The server closed with unread input.
  }
  return answer;
}

std::string Exchange(const Endpoint& endpoint, const std::string& request) {
  Poco::Net::StreamSocket socket = Connect(endpoint);
  Send(socket, request);
  return ReadAll(socket);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::shared_ptr<const StatusSnapshot> MakeSnapshot() {
  auto state = std::make_shared<ClusterState>();
  state->next_offset = LogOffset(12);
  state->inventory_revision = Revision(3);
  state->rules_revision = Revision(4);
  const GroupId group{ServiceName("reader"), FailureDomain("east"), 0};
  state->shards[group.service] = {
      {group, UpstreamRef{UpstreamId("u1"), UpstreamInstance("i1")},
       LogOffset(7)},
      {group, {}, {}}};
  state->shards[ServiceName("other")] = {};
  auto snapshot = std::make_shared<StatusSnapshot>();
  snapshot->daemon = DaemonId("d1");
  snapshot->state = state;
  snapshot->groups = {{group, FencingToken(5)}};
  return snapshot;
}

SCENARIO("an operator's request gets a wrong answer or stops the listener") {
  Metrics metrics;
  StatusHolder status;
  BoundedRing<OperatorCommand> ring(1);
  const OperatorServerLimits limits{300ms, 4096};
  auto started = OperatorServer::Start(Endpoint{"127.0.0.1", 0}, metrics,
                                       status, ring, limits);
  REQUIRE(started);
  OperatorServer& server = **started;
  const Endpoint endpoint = server.BoundEndpoint();
  const auto get = [&](const std::string& path) {
    return Exchange(endpoint, "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
  };
  const auto post = [&](const std::string& path, const std::string& rest) {
    return Exchange(endpoint,
                    "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + rest);
  };

  SECTION("before the daemon has a status") {
    CHECK(Contains(get("/status"), R"({"error":"no_status")"));
    CHECK(Contains(get("/owners"), R"({"error":"no_state")"));
    CHECK(metrics.CountOf("operator_no_state") == 1);
  }

  SECTION("once the daemon has a status") {
    status.Set(MakeSnapshot());
    SECTION("it tells the revisions in force") {
      const std::string answer = get("/status");
      CHECK(Contains(answer, "HTTP/1.1 200"));
      CHECK(Contains(answer, R"("token":5)"));
      const auto revisions =
          ReadRevisions(answer.substr(answer.find("\r\n\r\n") + 4));
      REQUIRE(revisions);
      CHECK(revisions->inventory == Revision(3));
      CHECK(revisions->rules == Revision(4));
    }
    SECTION("it tells the owners of one service") {
      const std::string answer = get("/owners?service=reader");
      CHECK(Contains(answer, R"({"shard":0,"group":"reader/east/0",)"
                             R"("upstream":"u1","instance":"i1",)"
                             R"("changed_at":7},{"shard":1,)"));
      CHECK(!Contains(answer, "other"));
    }
    SECTION("it tells the counters") {
      metrics.Count("moves", 2);
      CHECK(Contains(get("/metrics"), "bamboorack_moves_total 2"));
    }
  }

  SECTION("a drain reaches the control thread once") {
    CHECK(Contains(post("/drain", "\r\n"), "HTTP/1.1 202"));
    SECTION("and a second one, with the ring full, is refused") {
      CHECK(Contains(post("/drain", "\r\n"), R"({"error":"ring_full")"));
      CHECK(metrics.CountOf("operator_ring_full") == 1);
    }
    const auto command = ring.TryPop();
    REQUIRE(command);
    CHECK(std::holds_alternative<DrainCommand>(*command));
    CHECK(!ring.TryPop());
  }

  SECTION("a wrong request") {
    SECTION("with an unknown path gets 404") {
      const std::string answer = get("/stats");
      CHECK(Contains(answer, "HTTP/1.1 404"));
      CHECK(Contains(answer, R"("detail":"path \"/stats\" does not exist")"));
      CHECK(metrics.CountOf("operator_unknown_path") == 1);
    }
    SECTION("with the wrong method gets 405 and does not drain") {
      const std::string answer = get("/drain");
      CHECK(Contains(answer, "HTTP/1.1 405"));
      CHECK(Contains(answer, "Allow: POST"));
      CHECK(ring.Size() == 0);
      CHECK(metrics.CountOf("operator_wrong_method") == 1);
    }
    SECTION("with a large body gets 413 and does not drain") {
      CHECK(Contains(post("/drain", "Content-Length: 1025\r\n\r\n"),
                     R"({"error":"body_too_large")"));
      CHECK(ring.Size() == 0);
    }
    SECTION("with a chunked body gets 411 and does not drain") {
      CHECK(Contains(post("/drain", "Transfer-Encoding: chunked\r\n\r\n"),
                     R"({"error":"length_required")"));
      CHECK(ring.Size() == 0);
    }
    SECTION("with long headers gets 431") {
      const auto headers = GENERATE(
          as<std::string>(), "X-Long: " + std::string(20'000, 'a') + "\r\n",
          std::string(5000, 'a'));
      CHECK(Contains(post("/drain", headers + "\r\n"),
                     R"({"error":"request_too_large")"));
      CHECK(metrics.CountOf("operator_request_too_large") == 1);
    }
    SECTION("that is no HTTP is closed") {
      const auto text =
          GENERATE(as<std::string>(), "\r\n\r\n", "nonsense\r\n\r\n",
                   "POST /drain HTTP/1.1\r\nContent-Length: many\r\n\r\n",
                   std::string("\0\xff\x01\r\n\r\n", 7));
      CHECK(!Contains(Exchange(endpoint, text), "HTTP/1.1 2"));
    }
    CHECK(Contains(get("/metrics"), "HTTP/1.1 200"));
  }

  SECTION("a slow sender") {
    Poco::Net::StreamSocket slow = Connect(endpoint);
    SECTION("that stops in its headers gets 408") {
      Send(slow, "GET /status HTTP/1.1\r\nHo");
      CHECK(Contains(ReadAll(slow), R"({"error":"request_too_slow")"));
      CHECK(metrics.CountOf("operator_request_too_slow") == 1);
    }
    SECTION("that sends a byte now and then does not win time") {
      Send(slow, "GET /status HTTP/1.1\r\nX: ");
      int sent = 0;
      const Poco::Timespan pause(0, 20'000);
      while (!slow.poll(pause, Poco::Net::Socket::SELECT_READ) && sent < 500) {
        Send(slow, "a");
        ++sent;
      }
      CHECK(sent < 500);
      CHECK(Contains(ReadAll(slow), R"({"error":"request_too_slow")"));
    }
    SECTION("does not shut out others for longer than its time") {
      Poco::Net::StreamSocket second = Connect(endpoint);
      Send(slow, "G");
      Send(second, "G");
      CHECK(Contains(get("/metrics"), "HTTP/1.1 200"));
    }
    SECTION("does not keep the daemon from stopping") {
      Send(slow, "G");
      server.Stop();
      CHECK(!Contains(ReadAll(slow), "HTTP/1.1 2"));
    }
  }

  SECTION("a second listener cannot take the same port") {
    const auto second =
        OperatorServer::Start(endpoint, metrics, status, ring, limits);
    REQUIRE(!second);
    CHECK(Contains(second.error(), "cannot listen on 127.0.0.1:"));
  }
}

}  // namespace
}  // namespace bamboorack::operators
