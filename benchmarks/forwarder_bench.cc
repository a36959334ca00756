// Compares a running daemon with a bare forwarder made of POCO's HTTPServer
// and HTTPClientSession: requests a second and response times, in one run with
// the same clients. scripts/measure_daemon_cost starts the daemon for it.

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack {
namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using std::chrono::microseconds;
using std::chrono::steady_clock;

// As long as the answers of the stand-in upstream.
constexpr std::size_t kAnswerBytes = 140;
constexpr int kServerThreads = 64;

/// Answers every request with the same bytes.
class EchoHandler final : public HTTPRequestHandler {
 public:
  void handleRequest(HTTPServerRequest& /*request*/,
                     HTTPServerResponse& response) override {
    static const std::string body(kAnswerBytes, 'a');
    response.sendBuffer(body.data(), body.size());
  }
};

/// Sends every request on to one endpoint over a connection of its thread.
class ForwardHandler final : public HTTPRequestHandler {
 public:
  explicit ForwardHandler(const Endpoint& upstream) : target(upstream) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    thread_local std::unique_ptr<HTTPClientSession> session;
    if (session == nullptr) {
      session = std::make_unique<HTTPClientSession>(this->target.host,
                                                    this->target.port);
      session->setKeepAlive(true);
    }
    HTTPRequest forwarded(request.getMethod(), request.getURI(),
                          HTTPRequest::HTTP_1_1);
    session->sendRequest(forwarded);
    HTTPResponse answer;
    std::string body;
    Poco::StreamCopier::copyToString(session->receiveResponse(answer), body);
    response.setStatus(answer.getStatus());
    response.sendBuffer(body.data(), body.size());
  }

 private:
  Endpoint target;
};

using MakeHandler = std::function<HTTPRequestHandler*()>;

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(MakeHandler function) : make(std::move(function)) {}
  HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return this->make();
  }

 private:
  MakeHandler make;
};

/// A POCO server on a free loopback port.
class Server {
 public:
  explicit Server(const MakeHandler& make)
      : socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        server(new HandlerFactory(make), this->pool, this->socket, Params()) {
    this->server.start();
  }
  ~Server() { this->server.stopAll(true); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Endpoint Address() const { return {"127.0.0.1", this->server.port()}; }

 private:
  static Poco::Net::HTTPServerParams::Ptr Params() {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setMaxThreads(kServerThreads);
    return params;
  }

  Poco::ThreadPool pool{2, kServerThreads + 2};
  Poco::Net::ServerSocket socket;
  Poco::Net::HTTPServer server;
};

struct ClientSettings {
  Endpoint target;
  std::string path;
  MonotonicTime end_at;
};

/// Sends lookups one after the other and returns their response times.
std::vector<microseconds> RunClient(const ClientSettings& settings) {
  HTTPClientSession session(settings.target.host, settings.target.port);
  session.setKeepAlive(true);
  std::vector<microseconds> times;
  while (steady_clock::now() < settings.end_at) {
    const MonotonicTime started = steady_clock::now();
    HTTPRequest request(HTTPRequest::HTTP_GET, settings.path,
                        HTTPRequest::HTTP_1_1);
    request.set("X-Rank", "lookup");
    request.set("X-Deadline-Ms", "1000");
    session.sendRequest(request);
    HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    if (response.getStatus() != HTTPResponse::HTTP_OK) continue;
    times.push_back(std::chrono::duration_cast<microseconds>(
        steady_clock::now() - started));
  }
  return times;
}

void Measure(const std::string& name, const Endpoint& target,
             const std::string& path, std::size_t clients,
             std::chrono::seconds length) {
  const ClientSettings settings{target, path, steady_clock::now() + length};
  std::vector<std::vector<microseconds>> parts(clients);
  std::vector<std::thread> threads;
  threads.reserve(clients);
  for (std::size_t i = 0; i < clients; ++i) {
    threads.emplace_back(
        [&settings, &parts, i] { parts[i] = RunClient(settings); });
  }
  for (std::thread& thread : threads) thread.join();
  std::vector<microseconds> times;
  for (const auto& part : parts) {
    times.insert(times.end(), part.begin(), part.end());
  }
  std::sort(times.begin(), times.end());
  if (times.empty()) {
    std::cout << name << ": no request was answered\n";
    return;
  }
  std::cout << std::left << std::setw(12) << name << std::right << std::setw(4)
            << clients << " clients " << std::setw(8)
            << times.size() / static_cast<std::size_t>(length.count())
            << " requests/s, p50 " << times[times.size() / 2].count()
            << " us, p99 " << times[times.size() * 99 / 100].count() << " us\n";
}

}  // namespace
}  // namespace bamboorack

int main(int argc, char** argv) {
  using bamboorack::Endpoint;
  CLI::App app("compares a daemon with a bare forwarder");
  std::uint16_t daemon_port = 0;
  std::string path = "/v1/reader/k";
  int seconds = 3;
  app.add_option("--daemon-port", daemon_port,
                 "caller port of a daemon on 127.0.0.1");
  app.add_option("--path", path);
  app.add_option("--seconds", seconds)->check(CLI::Range(1, 60));
  CLI11_PARSE(app, argc, argv);

  using bamboorack::Server;
  const Server echo([] { return new bamboorack::EchoHandler; });
  const Endpoint upstream = echo.Address();
  const Server forwarder(
      [upstream] { return new bamboorack::ForwardHandler(upstream); });
  const std::chrono::seconds length(seconds);
  for (const std::size_t clients : {1, 8, 32}) {
    bamboorack::Measure("no hop", upstream, path, clients, length);
    bamboorack::Measure("forwarder", forwarder.Address(), path, clients,
                        length);
    if (daemon_port == 0) continue;
    bamboorack::Measure("daemon", {"127.0.0.1", daemon_port}, path, clients,
                        length);
  }
  return 0;
}
