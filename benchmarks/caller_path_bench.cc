#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

#include "bamboorack/caller/caller_thread.h"
#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/metrics.h"

// Compares the caller thread, with a routing thread that answers at once, with
// a bare POCO HTTPServer that has a thread for each connection. Both answer the
// same keep-alive clients on loopback, in turns, in one run.

namespace bamboorack {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kRounds = 7;
constexpr milliseconds kRoundTime{500};
constexpr std::size_t kAnswerBytes = 256;
constexpr int kMaxServerThreads = 160;
constexpr std::string_view kRequest =
    "GET /v1/reader/key HTTP/1.1\r\nHost: bench\r\nX-Rank: lookup\r\n"
    "X-Deadline-Ms: 10000\r\nX-Request-Id: bench\r\n\r\n";

struct Load {
  int client_threads;
  /// Each client thread sends on all its connections, then reads from all.
  int connections_per_thread;
};

constexpr std::array<Load, 3> kLoads = {Load{1, 1}, Load{4, 1}, Load{4, 32}};

/// The caller thread with a consumer that answers each request.
class EchoDaemon {
 public:
  EchoDaemon() : out(4096), in(4096) {
    caller::CallerThreadSettings settings;
    settings.listen = {"127.0.0.1", 0};
    this->callers = std::make_unique<caller::CallerThread>(
        settings, this->out, this->in, this->metrics);
    const auto started = this->callers->Start();
    CHECK(started.has_value()) << started.error();
    this->consumer = std::thread([this] { this->AnswerAll(); });
  }

  EchoDaemon(const EchoDaemon&) = delete;
  EchoDaemon& operator=(const EchoDaemon&) = delete;

  ~EchoDaemon() {
    this->callers->Stop(steady_clock::now());
    this->out.Close();
    this->consumer.join();
  }

  std::uint16_t Port() const { return this->callers->Port(); }

 private:
  void AnswerAll() {
    const Body body = std::make_shared<const std::string>(kAnswerBytes, 'x');
    while (!this->out.IsClosed()) {
      const auto message =
          this->out.PopUntil(steady_clock::now() + std::chrono::seconds(1));
      if (!message) continue;
      const auto* arrived = std::get_if<caller::RequestArrived>(&*message);
      if (arrived == nullptr) continue;
      caller::ToCaller answer{arrived->slot, Answer{200, {}, body}};
      CHECK(this->in.TryPush(std::move(answer))) << "answer ring is full";
    }
  }

  BoundedRing<caller::FromCaller> out;
  BoundedRing<caller::ToCaller> in;
  Metrics metrics;
  std::unique_ptr<caller::CallerThread> callers;
  std::thread consumer;
};

class BareHandler : public Poco::Net::HTTPRequestHandler {
 public:
  void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                     Poco::Net::HTTPServerResponse& response) override {
    static const std::string body(kAnswerBytes, 'x');
    response.set("X-Bamboorack-Outcome", "done");
    response.sendBuffer(body.data(), body.size());
  }
};

class BareFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new BareHandler;
  }
};

/// A POCO HTTPServer without anything of this project.
class BareServer {
 public:
  BareServer() : threads(4, kMaxServerThreads) {
    this->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    this->socket.listen(1024);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(kMaxServerThreads);
    params->setMaxQueued(kMaxServerThreads);
    params->setMaxKeepAliveRequests(0);
    this->server = std::make_unique<Poco::Net::HTTPServer>(
        new BareFactory, this->threads, this->socket, params);
    this->server->start();
  }

  BareServer(const BareServer&) = delete;
  BareServer& operator=(const BareServer&) = delete;
  ~BareServer() { this->server->stopAll(true); }

  std::uint16_t Port() const { return this->socket.address().port(); }

 private:
  Poco::ThreadPool threads;
  Poco::Net::ServerSocket socket;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

struct Figures {
  double requests_per_second = 0;
  duration<double, std::micro> round_trip{0};
};

/// Reads one answer, whose body has `kAnswerBytes`.
void ReadAnswer(Poco::Net::StreamSocket& socket) {
  std::array<char, 4096> buffer{};
  std::size_t length = 0;
  while (true) {
    const int received = socket.receiveBytes(
        buffer.data() + length, static_cast<int>(buffer.size() - length));
    CHECK_GT(received, 0) << "server closed the connection";
    length += static_cast<std::size_t>(received);
    const std::string_view text(buffer.data(), length);
    const std::size_t end = text.find("\r\n\r\n");
    if (end == std::string_view::npos) continue;
    if (length >= end + 4 + kAnswerBytes) return;
  }
}

using RoundTrips = std::vector<steady_clock::duration>;

RoundTrips RunClient(std::uint16_t port, int connections) {
  std::vector<Poco::Net::StreamSocket> sockets;
  for (int i = 0; i < connections; ++i) {
    sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", port));
    sockets.back().setNoDelay(true);
  }
  RoundTrips round_trips;
  std::vector<steady_clock::time_point> sent(sockets.size());
  const auto end = steady_clock::now() + kRoundTime;
  while (steady_clock::now() < end) {
    for (std::size_t i = 0; i < sockets.size(); ++i) {
      sent[i] = steady_clock::now();
      sockets[i].sendBytes(kRequest.data(), static_cast<int>(kRequest.size()));
    }
    for (std::size_t i = 0; i < sockets.size(); ++i) {
      ReadAnswer(sockets[i]);
      round_trips.push_back(steady_clock::now() - sent[i]);
    }
  }
  return round_trips;
}

template <typename Value>
Value Median(std::vector<Value> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

Figures RunRound(std::uint16_t port, const Load& load) {
  std::vector<RoundTrips> results(
      static_cast<std::size_t>(load.client_threads));
  std::vector<std::thread> clients;
  clients.reserve(results.size());
  const auto begin = steady_clock::now();
  for (RoundTrips& result : results) {
    clients.emplace_back([&result, port, &load] {
      result = RunClient(port, load.connections_per_thread);
    });
  }
  for (std::thread& client : clients) client.join();
  const duration<double> elapsed = steady_clock::now() - begin;
  RoundTrips all;
  for (const RoundTrips& result : results) {
    all.insert(all.end(), result.begin(), result.end());
  }
  return {static_cast<double>(all.size()) / elapsed.count(),
          Median(std::move(all))};
}

void Print(const char* server, const Load& load,
           const std::vector<Figures>& rounds) {
  std::vector<double> rates;
  std::vector<double> round_trips;
  for (const Figures& round : rounds) {
    rates.push_back(round.requests_per_second);
    round_trips.push_back(round.round_trip.count());
  }
  std::cout << std::fixed << std::setprecision(0) << std::left << std::setw(14)
            << server << std::right << std::setw(12)
            << load.client_threads * load.connections_per_thread
            << std::setw(12) << Median(rates) << std::setw(16)
            << Median(round_trips) << '\n';
}

void Compare() {
  EchoDaemon daemon;
  BareServer bare;
  std::cout << "medians of " << kRounds << " rounds of " << kRoundTime.count()
            << " ms\nserver         connections  requests/s  round trip us\n";
  for (const Load& load : kLoads) {
    std::vector<Figures> daemon_rounds;
    std::vector<Figures> bare_rounds;
    for (int round = 0; round < kRounds; ++round) {
      daemon_rounds.push_back(RunRound(daemon.Port(), load));
      bare_rounds.push_back(RunRound(bare.Port(), load));
    }
    Print("caller thread", load, daemon_rounds);
    Print("HTTPServer", load, bare_rounds);
  }
}

}  // namespace
}  // namespace bamboorack

int main(int /*argc*/, char** argv) {
  google::InitGoogleLogging(argv[0]);
  bamboorack::Compare();
  return 0;
}
