#include <Poco/Exception.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <string>

#include "common/signals.h"
#include "upstream_server.h"

namespace bamboorack::fakes {
namespace {

// Enough for the connections that one daemon keeps, and for a second daemon
// that takes over.
constexpr int kMaxThreads = 280;
constexpr int kKeepAliveSeconds = 60;
constexpr int kBacklog = 1024;

struct Options {
  std::uint16_t port = 0;
  std::uint32_t service_ms = 0;
  UpstreamSettings upstream;
};

std::string DrawInstance() {
  std::random_device device;
  const std::uint64_t high = device();
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16)
       << ((high << 32U) | device());
  return text.str();
}

void AddOptions(CLI::App& app, Options& options) {
  UpstreamSettings& upstream = options.upstream;
  app.add_option("--port", options.port, "Port on 127.0.0.1, 0 for any");
  app.add_option("--id", upstream.id, "Name in answers")->required();
  app.add_option("--slots", upstream.slots, "Requests that run at once")
      ->check(CLI::PositiveNumber);
  app.add_option("--checks-tokens", upstream.ownership.checks_tokens,
                 "Whether stale tokens and foreign shards are refused");
  app.add_option("--can-settle", upstream.can_settle,
                 "Whether the fate of a request id can be asked for");
  app.add_option("--service-ms", options.service_ms, "Time for each request");
  app.add_option("--lease-check", upstream.ownership.checks_lease,
                 "Whether requests are refused once the lease has expired");
}

void Serve(const Options& options) {
  const sigset_t stop_signals = tools::BlockSignals({SIGTERM, SIGINT});
  UpstreamServer upstream(options.upstream);
  Poco::ThreadPool threads(4, kMaxThreads);
  // Without SO_REUSEPORT, so that two upstreams cannot share a port.
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", options.port), true, false);
  socket.listen(kBacklog);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  params->setKeepAlive(true);
  params->setMaxKeepAliveRequests(0);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  Poco::Net::HTTPServer server(new UpstreamHandlerFactory(upstream), threads,
                               socket, params);
  server.start();
  std::cout << "listening port=" << socket.address().port() << std::endl;
  tools::WaitForSignal(stop_signals);
  upstream.Stop();
  server.stopAll(true);
}

}  // namespace
}  // namespace bamboorack::fakes

int main(int argc, char** argv) {
  bamboorack::fakes::Options options;
  CLI::App app("Stand-in for an upstream");
  bamboorack::fakes::AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  options.upstream.ownership.instance = bamboorack::fakes::DrawInstance();
  options.upstream.service_time = std::chrono::milliseconds(options.service_ms);
  try {
    bamboorack::fakes::Serve(options);
  } catch (const Poco::Exception& error) {
    std::cerr << "cannot serve: " << error.displayText() << '\n';
    return 1;
  }
  return 0;
}
