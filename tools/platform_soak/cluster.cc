#include "platform_soak/cluster.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "bamboorack/core/http_client.h"

namespace bamboorack::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kCallLimit{2'000};
// Upstreams answer one request of so many with a status that means not run,
// although they ran it.
constexpr int kOwnRejectionEvery = 50;
// They answer one upload of so many unread, and break off.
constexpr int kBrokenOffAnswerEvery = 3;
// They run one request of so many and send what is no HTTP message.
constexpr int kMalformedAnswerEvery = 70;

// The kernel hands out ports from 32768 on, so that between the choice of a
// port and its use by a gateway another process could get it. Each soak has a
// block of ports below, and none of those of scripts/lib/cluster.sh, from 21000
// on.
constexpr std::uint16_t kFirstPort = 10'000;
constexpr std::uint16_t kPortsPerBlock = 200;
constexpr std::uint16_t kBlocks = 50;

std::uint16_t FirstPortOfProcess() {
  return static_cast<std::uint16_t>(kFirstPort +
                                    getpid() % kBlocks * kPortsPerBlock);
}

/// Whether neither a stream nor a datagram socket uses the port.
bool IsFree(std::uint16_t port) {
  const Poco::Net::SocketAddress address("127.0.0.1", port);
  try {
    Poco::Net::ServerSocket stream;
    stream.bind(address, false, false);
    const Poco::Net::DatagramSocket datagram(address, false);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

/// Waits for the line in which a stand-in tells its port.
std::uint16_t ReadPort(const std::string& path) {
  constexpr std::string_view kPrefix = "listening port=";
  for (int i = 0; i < 200; ++i) {
    std::ifstream in(path);
    std::string line;
    if (std::getline(in, line) && line.starts_with(kPrefix)) {
      return static_cast<std::uint16_t>(
          std::stoul(line.substr(kPrefix.size())));
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  throw std::runtime_error("no port in " + path);
}

std::string DesiredStateOf(std::uint64_t version) {
  std::ostringstream text;
  text << R"({"version":")" << std::hex << version << R"(","routes":[)"
       << R"({"name":"read","host":"soak.example","path_prefix":"/read/",)"
       << R"("kind":"safe","timeout":"1500ms","latency_target":"300ms",)"
       << R"("priority":1,"service":"reader","max_attempts":2},)"
       << R"({"name":"put","host":"soak.example","path_prefix":"/put/",)"
       << R"("kind":"unsafe","timeout":"1500ms","latency_target":"300ms",)"
       << R"("priority":0,"service":"reader","max_attempts":2},)"
       << R"({"name":"pay","host":"soak.example","path_prefix":"/pay/",)"
       << R"("kind":"unsafe","timeout":"1500ms","latency_target":"300ms",)"
       << R"("priority":0,"service":"desk","max_attempts":2}],)"
       << R"("services":[{"name":"reader","max_conns":130,"sharded":true},)"
       << R"({"name":"desk","max_conns":130}],"limits":{}})";
  return text.str();
}

std::string EncodeRecord(const std::string& key, const std::string& value) {
  std::string content(1, static_cast<char>(key.size()));
  content += key + value;
  std::string body;
  for (int shift = 24; shift >= 0; shift -= 8) {
    body.push_back(static_cast<char>((content.size() >> shift) & 0xFFU));
  }
  return body + content;
}

}  // namespace

Cluster::Cluster(ClusterPlan cluster_plan)
    : plan(std::move(cluster_plan)), next_port(FirstPortOfProcess()) {}

Cluster::~Cluster() = default;

void Cluster::Start() {
  this->StartStore();
  this->PublishDesiredState();
  for (std::size_t i = 0; i < this->plan.upstreams * 2; ++i) {
    auto upstream = std::make_unique<Upstream>();
    upstream->is_sharded = i < this->plan.upstreams;
    upstream->id = (upstream->is_sharded ? "r" : "d") + std::to_string(i);
    upstream->zone = i % 2 == 0 ? "east" : kEvacuatedZone;
    upstream->link = std::make_unique<TcpProxy>();
    this->StartUpstream(*upstream);
    this->upstreams.push_back(std::move(upstream));
  }
  for (std::size_t i = 0; i < this->plan.gateways; ++i) {
    auto gateway = std::make_unique<Gateway>();
    gateway->store_link = std::make_unique<TcpProxy>();
    gateway->store_link->SetTarget(this->store_port);
    gateway->caller_port = this->TakePort();
    gateway->ready_port = this->TakePort();
    this->StartGateway(*gateway, i);
    this->gateways.push_back(std::move(gateway));
  }
}

std::uint16_t Cluster::TakePort() {
  while (!IsFree(this->next_port)) ++this->next_port;
  return this->next_port++;
}

void Cluster::StartStore() {
  const std::string log = this->plan.directory + "/store.log";
  this->store.Start({this->plan.binaries + "/fake_platform_store"}, log);
  this->store_port = ReadPort(log);
}

void Cluster::StartUpstream(Upstream& upstream) {
  const std::string log = this->plan.directory + "/" + upstream.id + "." +
                          std::to_string(++upstream.runs) + ".log";
  std::vector<std::string> arguments = {
      this->plan.binaries + "/fake_platform_upstream",
      "--id",
      upstream.id,
      "--service",
      upstream.is_sharded ? "reader" : "desk",
      "--zone",
      upstream.zone,
      "--store-port",
      std::to_string(this->store_port),
      "--advertise",
      std::to_string(upstream.link->Port()),
      "--own-rejection-every",
      std::to_string(kOwnRejectionEvery),
      "--broken-off-answer-every",
      std::to_string(kBrokenOffAnswerEvery),
      "--malformed-answer-every",
      std::to_string(kMalformedAnswerEvery)};
  if (upstream.is_sharded) arguments.emplace_back("--sharded");
  upstream.process.Start(arguments, log);
  upstream.link->SetTarget(ReadPort(log));
  upstream.logs.emplace_back(log, Time::max());
}

void Cluster::StartGateway(Gateway& gateway, std::size_t index) {
  if (gateway.settings_path.empty()) {
    gateway.settings_path =
        this->plan.directory + "/g" + std::to_string(index) + ".json";
    gateway.log_path =
        this->plan.directory + "/g" + std::to_string(index) + ".log";
    std::ofstream settings(gateway.settings_path);
    settings << R"({"gateway":{"daemon_id":"g)" << index
             << R"(","failure_domain":"east","caller_endpoint":"127.0.0.1:)"
             << gateway.caller_port << R"(","readiness_endpoint":"127.0.0.1:)"
             << gateway.ready_port << R"(","gossip_endpoint":"127.0.0.1:)"
             << this->TakePort() << R"(","log_endpoint":"127.0.0.1:)"
             << gateway.store_link->Port()
             << R"("},"bounds":["hold_max=10000ms","grace=6s","evacuate=)"
             << kEvacuationBound.count() << R"(ms"]})";
  }
  gateway.process.Start({this->plan.binaries + "/bamboorack_gateway",
                         "--settings", gateway.settings_path},
                        gateway.log_path);
}

std::uint16_t Cluster::CallerPort(std::size_t gateway) const {
  return this->gateways.at(gateway)->caller_port;
}

bool Cluster::IsReady(std::size_t gateway) const {
  HttpClient client({"127.0.0.1", this->gateways.at(gateway)->ready_port},
                    milliseconds(200));
  const auto reply = client.Call({"GET", "/-/ready", {}},
                                 steady_clock::now() + milliseconds(500), {});
  return reply && reply->status == 200;
}

void Cluster::SignalGateway(std::size_t gateway, int signal) {
  this->gateways.at(gateway)->process.Signal(signal);
}

void Cluster::ReviveGateway(std::size_t gateway) {
  Gateway& target = *this->gateways.at(gateway);
  if (!target.process.IsRunning()) this->StartGateway(target, gateway);
}

void Cluster::ReplaceUpstream(std::size_t upstream) {
  Upstream& target = *this->upstreams.at(upstream);
  target.process.Signal(SIGKILL);
  target.process.Wait();
  target.logs.back().second = steady_clock::now();
  this->StartUpstream(target);
}

TcpProxy& Cluster::UpstreamLink(std::size_t upstream) {
  return *this->upstreams.at(upstream)->link;
}

TcpProxy& Cluster::StoreLink(std::size_t gateway) {
  return *this->gateways.at(gateway)->store_link;
}

std::string Cluster::CallStore(const std::string& method,
                               const std::string& target,
                               const std::string& body) const {
  HttpClient client({"127.0.0.1", this->store_port}, kCallLimit);
  const auto reply =
      client.Call({method, target, body}, steady_clock::now() + kCallLimit, {});
  return reply ? reply->body : std::string();
}

void Cluster::SetStoreFault(const std::string& kind) {
  this->CallStore("POST", "/fake/fault?kind=" + kind, {});
}

void Cluster::DropStoreHistory() {
  this->CallStore("POST", "/fake/drop-history", {});
}

void Cluster::PublishDesiredState() {
  this->CallStore("POST", "/-/log-append?topic=keyed.op&part=0",
                  EncodeRecord("config", DesiredStateOf(++this->version)));
}

void Cluster::SetEvacuated(bool is_evacuated) {
  this->CallStore("POST", "/-/log-append?topic=keyed.op&part=0",
                  EncodeRecord(std::string("evacuate/") + kEvacuatedZone,
                               is_evacuated ? "{}" : ""));
}

std::vector<UpstreamRecord> Cluster::Finish() {
  for (auto& gateway : this->gateways) {
    gateway->process.Signal(SIGCONT);
    gateway->process.Signal(SIGKILL);
    gateway->process.Wait();
  }
  std::vector<UpstreamRecord> records;
  for (auto& upstream : this->upstreams) {
    upstream->process.Signal(SIGTERM);
    upstream->process.Wait();
    for (const auto& [log, ended] : upstream->logs) {
      std::ifstream in(log);
      records.push_back({upstream->id, ReadEvents(in), ended, upstream->zone});
    }
  }
  this->store.Signal(SIGTERM);
  this->store.Wait();
  return records;
}

}  // namespace bamboorack::soak
