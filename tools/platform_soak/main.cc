#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "bamboorack/core/http_text.h"
#include "platform_soak/checks.h"
#include "platform_soak/cluster.h"

namespace {

using bamboorack::soak::ClientRecord;
using bamboorack::soak::Cluster;
using bamboorack::soak::ClusterPlan;
using bamboorack::soak::LinkFault;
using bamboorack::soak::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr seconds kStartLimit{15};
// After the last fault: the longest lease, and a change of leader.
constexpr seconds kHealTime{14};
constexpr seconds kFinalCheck{4};
constexpr double kServedAfterHealing = 0.9;
// How long an evacuation lasts beyond its bound.
constexpr seconds kEvacuationCheck{4};
// Of the requests with a body, one of so many is an upload.
constexpr unsigned kUploadEvery = 10;
constexpr std::size_t kUploadBytes = 360'000;
constexpr std::size_t kSmallBodyBytes = 200;

/// Sends requests from one thread over connections that it keeps.
class Client {
 public:
  Client(Cluster& test_cluster, std::uint64_t seed, std::string client_name)
      : cluster(test_cluster), random(seed), name(std::move(client_name)) {}

  void Run(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      this->SendOne();
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  std::vector<ClientRecord> records;
  /// When each record was sent.
  std::vector<Time> sent;

 private:
  void SendOne() {
    constexpr std::array<const char*, 3> kTargets = {"/read/x", "/put/x",
                                                     "/pay/x"};
    const std::size_t kind = this->random() % kTargets.size();
    const std::string id = this->name + "-" + std::to_string(++this->count);
    if (this->session == nullptr || this->random() % 20 == 0) {
      const std::size_t gateway = this->random() % this->cluster.GatewayCount();
      this->session = std::make_unique<Poco::Net::HTTPClientSession>(
          "127.0.0.1", this->cluster.CallerPort(gateway));
      this->session->setKeepAlive(true);
      this->session->setTimeout(Poco::Timespan(0, 300'000),
                                Poco::Timespan(1, 0), Poco::Timespan(2, 0));
    }
    ClientRecord record{id, 0, false};
    this->sent.push_back(steady_clock::now());
    try {
      Poco::Net::HTTPRequest request(kind == 0 ? "GET" : "POST",
                                     kTargets.at(kind),
                                     Poco::Net::HTTPMessage::HTTP_1_1);
      request.setHost("soak.example");
      request.set("X-Request-Id", id);
      request.set("X-Deadline-Ms", "1500");
      request.set("X-Shard-Key", std::to_string(this->random() % 65'536));
      const bool is_upload = kind != 0 && this->random() % kUploadEvery == 0;
      const std::string body(
          kind == 0 ? 0 : (is_upload ? kUploadBytes : kSmallBodyBytes), 'b');
      request.setContentLength(static_cast<int>(body.size()));
      this->session->sendRequest(request) << body;
      Poco::Net::HTTPResponse response;
      std::string answer;
      Poco::StreamCopier::copyToString(this->session->receiveResponse(response),
                                       answer);
      record.status = response.getStatus();
      record.has_right_body =
          answer.find("\"" + id + "\"") != std::string::npos;
      record.has_valid_head = std::all_of(
          response.begin(), response.end(),
          [](const auto& header) { return bamboorack::IsToken(header.first); });
      if (!response.getKeepAlive()) this->session.reset();
    } catch (const Poco::Exception&) {
      this->session.reset();
    }
    this->records.push_back(record);
  }

  Cluster& cluster;
  std::mt19937_64 random;
  std::string name;
  std::uint64_t count = 0;
  std::unique_ptr<Poco::Net::HTTPClientSession> session;
};

/// Draws faults from a seed, in series that overlap.
class Chaos {
 public:
  Chaos(Cluster& test_cluster, std::uint64_t seed)
      : cluster(test_cluster), random(seed) {}

  void Run(Time until) {
    while (steady_clock::now() < until) {
      (this->*kFaults.at(this->random() % kFaults.size()))();
      this->Pause(100, 1'500);
      for (std::size_t i = 0; i < this->cluster.GatewayCount(); ++i) {
        this->cluster.ReviveGateway(i);
      }
    }
    this->Heal();
  }

  void Heal() {
    for (std::size_t i = 0; i < this->cluster.GatewayCount(); ++i) {
      this->cluster.SignalGateway(i, SIGCONT);
      this->cluster.StoreLink(i).SetFault(LinkFault::kNone);
    }
    for (std::size_t i = 0; i < this->cluster.UpstreamCount(); ++i) {
      this->cluster.UpstreamLink(i).SetFault(LinkFault::kNone);
    }
    this->cluster.SetStoreFault("none");
    // Planned stops that are under way end within the grace.
    std::this_thread::sleep_for(seconds(6));
    for (std::size_t i = 0; i < this->cluster.GatewayCount(); ++i) {
      this->cluster.ReviveGateway(i);
    }
  }

 private:
  using Fault = void (Chaos::*)();
  static const std::array<Fault, 10> kFaults;

  void Pause(int from_ms, int to_ms) {
    std::this_thread::sleep_for(milliseconds(
        from_ms + static_cast<int>(this->random() %
                                   static_cast<unsigned>(to_ms - from_ms))));
  }

  std::size_t AnyGateway() {
    return this->random() % this->cluster.GatewayCount();
  }
  std::size_t AnyUpstream() {
    return this->random() % this->cluster.UpstreamCount();
  }
  LinkFault AnyLinkFault() {
    constexpr std::array kAll = {
        LinkFault::kNone,        LinkFault::kDelay,       LinkFault::kReset,
        LinkFault::kCutToServer, LinkFault::kCutToClient, LinkFault::kSilent};
    return kAll.at(this->random() % kAll.size());
  }

  void KillGateway() {
    this->cluster.SignalGateway(this->AnyGateway(), SIGKILL);
  }
  void KillAllGateways() {
    for (std::size_t i = 0; i < this->cluster.GatewayCount(); ++i) {
      this->cluster.SignalGateway(i, SIGKILL);
    }
  }
  void StopGateway() {
    this->cluster.SignalGateway(this->AnyGateway(), SIGTERM);
  }
  void PauseGateway() {
    const std::size_t gateway = this->AnyGateway();
    this->cluster.SignalGateway(gateway, SIGSTOP);
    this->Pause(200, 3'000);
    this->cluster.SignalGateway(gateway, SIGCONT);
  }
  void ReplaceUpstream() { this->cluster.ReplaceUpstream(this->AnyUpstream()); }
  void FaultUpstreamLink() {
    this->cluster.UpstreamLink(this->AnyUpstream())
        .SetFault(this->AnyLinkFault());
  }
  void FaultStoreLink() {
    this->cluster.StoreLink(this->AnyGateway()).SetFault(this->AnyLinkFault());
  }
  void FaultStore() {
    constexpr std::array<const char*, 6> kKinds = {
        "none", "busy", "throttle", "reset", "silent", "lost-answers"};
    this->cluster.SetStoreFault(kKinds.at(this->random() % kKinds.size()));
    this->Pause(100, 2'000);
    this->cluster.SetStoreFault("none");
  }
  void DropHistory() { this->cluster.DropStoreHistory(); }
  void ChangeDesiredState() { this->cluster.PublishDesiredState(); }

  Cluster& cluster;
  std::mt19937_64 random;
};

const std::array<Chaos::Fault, 10> Chaos::kFaults = {
    &Chaos::KillGateway,     &Chaos::KillAllGateways,
    &Chaos::StopGateway,     &Chaos::PauseGateway,
    &Chaos::ReplaceUpstream, &Chaos::FaultUpstreamLink,
    &Chaos::FaultStoreLink,  &Chaos::FaultStore,
    &Chaos::DropHistory,     &Chaos::ChangeDesiredState};

/// Orders an evacuation, and lets a gateway start again and the history go
/// while the order stands. Returns when no request may reach the zone.
bamboorack::soak::ClosedZone Evacuate(Cluster& cluster) {
  cluster.SetEvacuated(true);
  const Time from = steady_clock::now() + bamboorack::soak::kEvacuationBound;
  std::this_thread::sleep_until(from - seconds(1));
  cluster.DropStoreHistory();
  cluster.SignalGateway(0, SIGKILL);
  std::this_thread::sleep_for(milliseconds(100));
  cluster.ReviveGateway(0);
  std::this_thread::sleep_until(from + kEvacuationCheck);
  const Time until = steady_clock::now();
  cluster.SetEvacuated(false);
  return {bamboorack::soak::kEvacuatedZone, from, until};
}

bool WaitUntilReady(const Cluster& cluster) {
  const Time limit = steady_clock::now() + kStartLimit;
  while (steady_clock::now() < limit) {
    bool all_ready = true;
    for (std::size_t i = 0; i < cluster.GatewayCount(); ++i) {
      all_ready = all_ready && cluster.IsReady(i);
    }
    if (all_ready) return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

int RunSeed(const ClusterPlan& plan, std::uint64_t seed, seconds length) {
  std::filesystem::remove_all(plan.directory);
  std::filesystem::create_directories(plan.directory);
  Cluster cluster(plan);
  cluster.Start();
  std::vector<std::string> breaches;
  if (!WaitUntilReady(cluster)) breaches.emplace_back("gateways do not start");
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::jthread> threads;
  for (std::uint64_t i = 0; i < 6; ++i) {
    clients.push_back(std::make_unique<Client>(cluster, seed * 100 + i,
                                               "c" + std::to_string(i)));
    threads.emplace_back([client = clients.back().get()](const auto& stop) {
      client->Run(stop);
    });
  }
  Chaos(cluster, seed).Run(steady_clock::now() + length);
  std::this_thread::sleep_for(kHealTime);
  const auto closed = Evacuate(cluster);
  std::this_thread::sleep_for(kHealTime);
  const Time healed = steady_clock::now();
  std::this_thread::sleep_for(kFinalCheck);
  for (std::jthread& thread : threads) thread.request_stop();
  for (std::jthread& thread : threads) thread.join();
  const auto upstreams = cluster.Finish();

  std::vector<ClientRecord> records;
  double asked = 0;
  double served = 0;
  for (const auto& client : clients) {
    for (std::size_t i = 0; i < client->records.size(); ++i) {
      records.push_back(client->records[i]);
      if (client->sent[i] < healed) continue;
      ++asked;
      if (client->records[i].status == 200) ++served;
    }
  }
  const auto found = bamboorack::soak::FindBreaches(upstreams, records);
  breaches.insert(breaches.end(), found.begin(), found.end());
  const auto evacuation =
      bamboorack::soak::FindEvacuationBreaches(upstreams, closed);
  breaches.insert(breaches.end(), evacuation.begin(), evacuation.end());
  if (served < asked * kServedAfterHealing) {
    breaches.push_back("only " + std::to_string(served) + " of " +
                       std::to_string(asked) + " served after healing");
  }
  std::cout << "seed " << seed << ": " << records.size() << " requests, "
            << breaches.size() << " breaches\n";
  for (const std::string& breach : breaches)
    std::cout << "  " << breach << '\n';
  return breaches.empty() ? 0 : 1;
}

}  // namespace

/// Runs the real programs under random faults and checks what upstreams and
/// clients saw. Exit codes: 0 if every promise was kept, 1 if not, 2 for wrong
/// usage.
int main(int argc, char** argv) {
  CLI::App app("fault soak of bamboorack on stand-ins of the users' platform");
  ClusterPlan plan;
  std::vector<std::uint64_t> seeds = {1};
  std::uint64_t length = 20;
  app.add_option("--binaries", plan.binaries, "directory of the programs")
      ->required()
      ->check(CLI::ExistingDirectory);
  app.add_option("--directory", plan.directory, "where logs go")->required();
  app.add_option("--seeds", seeds, "one run for each");
  app.add_option("--seconds", length, "how long faults come")
      ->check(CLI::Range(1, 600));
  app.add_option("--gateways", plan.gateways)->check(CLI::Range(1, 50));
  app.add_option("--upstreams", plan.upstreams, "of each service")
      ->check(CLI::Range(1, 60));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int failed = 0;
  const std::string base = plan.directory;
  for (const std::uint64_t seed : seeds) {
    plan.directory = base + "/seed-" + std::to_string(seed);
    failed += RunSeed(plan, seed, seconds(length));
  }
  std::cout << seeds.size() - static_cast<std::size_t>(failed) << " passed, "
            << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
