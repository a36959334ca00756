#include "site.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

// The line `run` of deploy/system.toml; the script runs in the repository root.
constexpr const char* kGateway = "target/tools/bamboorack_gateway";
constexpr milliseconds kTimeLimit{1'500};

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

std::string Get(std::uint16_t port, const std::string& path, int& status) {
  Poco::Net::HTTPClientSession session("127.0.0.1", port);
  session.setTimeout(Poco::Timespan(1, 0));
  Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
  Poco::Net::HTTPResponse response;
  std::string body;
  try {
    session.sendRequest(request);
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    status = response.getStatus();
  } catch (const Poco::Exception&) {
    status = 0;
  }
  return body;
}

}  // namespace

void SleepFor(milliseconds span) { std::this_thread::sleep_for(span); }

bool AwaitThat(milliseconds limit, const std::function<bool()>& check) {
  const Time end = Clock::now() + limit;
  while (Clock::now() < end) {
    if (check()) return true;
    SleepFor(milliseconds(50));
  }
  return check();
}

Site::Site(const std::string& record, std::string temporary)
    : directory(std::move(temporary)),
      journal(record, Clock::now()),
      next_port(static_cast<std::uint16_t>(11'000 + getpid() % 400 * 40)) {
  this->store.Start();
}

Site::~Site() {
  this->StopClients();
  for (Gateway& gateway : this->gateways) {
    if (gateway.pid == 0) continue;
    ::kill(gateway.pid, SIGCONT);
    ::kill(gateway.pid, SIGKILL);
    ::waitpid(gateway.pid, nullptr, 0);
  }
  for (auto& backend : this->fleet.backends) backend->Stop();
}

std::uint16_t Site::TakePort() {
  while (!IsFree(this->next_port)) ++this->next_port;
  return this->next_port++;
}

Backend& Site::StartBackend(const BackendPlan& plan) {
  auto backend =
      std::make_unique<Backend>(plan, this->store, this->fleet, this->journal);
  Backend* const started = backend.get();
  {
    const std::lock_guard lock(this->fleet.mutex);
    this->fleet.backends.push_back(std::move(backend));
  }
  started->Start();
  return *started;
}

void Site::StartGateway() {
  Gateway gateway;
  const std::string name = "front-" + std::to_string(this->gateways.size());
  gateway.caller_port = this->TakePort();
  gateway.ready_port = this->TakePort();
  gateway.settings = this->directory + "/" + name + ".json";
  gateway.log = this->directory + "/" + name + ".log";
  // deploy/settings.json, filled in.
  std::ofstream settings(gateway.settings);
  settings
      << R"({"gateway":{"daemon_id":")" << name
      << R"(_127.0.0.1","failure_domain":"east","caller_endpoint":"127.0.0.1:)"
      << gateway.caller_port << R"(","readiness_endpoint":"127.0.0.1:)"
      << gateway.ready_port << R"(","gossip_endpoint":"127.0.0.1:)"
      << this->TakePort() << R"(","log_endpoint":"127.0.0.1:)"
      << this->store.Port() << R"("},"bounds":{"seed_lag":"3s",)"
      << R"("reuse_after":"2s","stability":"3000ms","ack":"4000ms",)"
      << R"("catch_up":"4s","drain":"2000ms","grace":"6s",)"
      << R"("loss_slack":"200ms","apply":"2000ms","downgrade":"250ms",)"
      << R"("skew_max":"5000ms","retry_ratio":0.2,"retry_window":"10s",)"
      << R"("retry_slack":62,"recover":"15s","hold_max":"10000ms",)"
      << R"("thaw":"300ms"},"limits":{"cpu_share":0.4,"cores":1,)"
      << R"("memory_mb":520,"max_fds":8200,"link_mbps":2000.0,"disk_mb":0}})";
  settings.close();
  this->Spawn(gateway);
  this->gateways.push_back(std::move(gateway));
}

void Site::Spawn(Gateway& gateway) {
  const std::string variable = "BAMBOORACK_SETTINGS=" + gateway.settings;
  char* const arguments[] = {const_cast<char*>(kGateway), nullptr};
  char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, gateway.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int error = ::posix_spawn(&gateway.pid, kGateway, &actions, nullptr,
                                  arguments, environment);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start the gateway");
  // The script ends what is left if this process dies.
  std::ofstream(this->directory + "/pids", std::ios::app)
      << gateway.pid << '\n';
}

void Site::RestartGateway(std::size_t gateway) {
  this->Spawn(this->gateways.at(gateway));
}

void Site::Signal(std::size_t gateway, int signal) {
  ::kill(this->gateways.at(gateway).pid, signal);
}

bool Site::HasEnded(std::size_t gateway) {
  Gateway& target = this->gateways.at(gateway);
  if (target.pid == 0) return true;
  if (::waitpid(target.pid, nullptr, WNOHANG) == 0) return false;
  target.pid = 0;
  return true;
}

bool Site::IsReady(std::size_t gateway) const {
  int status = 0;
  Get(this->gateways.at(gateway).ready_port, "/-/ready", status);
  return status == 200;
}

std::optional<std::size_t> Site::Leader() const {
  for (std::size_t i = 0; i < this->gateways.size(); ++i) {
    int status = 0;
    std::istringstream lines(
        Get(this->gateways[i].ready_port, "/metrics", status));
    std::string line;
    while (std::getline(lines, line)) {
      if (line.starts_with('#')) continue;
      if (line.find("is_leader") != std::string::npos && line.ends_with(" 1")) {
        return i;
      }
    }
  }
  return std::nullopt;
}

bool Site::AwaitReady(milliseconds limit) {
  return AwaitThat(limit, [this] {
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
      if (!this->IsReady(i)) return false;
    }
    return true;
  });
}

int Site::Send(std::size_t gateway, const std::string& path,
               const std::string& method) {
  static thread_local std::mt19937 random(std::random_device{}());
  Answered answered;
  answered.gateway = gateway;
  answered.path = path;
  answered.request = "q" + std::to_string(++this->last_request);
  answered.sent = Clock::now();
  Poco::Net::HTTPClientSession session("127.0.0.1",
                                       this->gateways.at(gateway).caller_port);
  session.setTimeout(Poco::Timespan(2, 0));
  Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
  if (method != "GET") request.setContentLength(0);
  request.set("Host", "review.example");
  request.set("X-Request-Id", answered.request);
  request.set("X-Deadline-Ms", std::to_string(kTimeLimit.count()));
  request.set("X-Shard-Key", std::to_string(random() % 65'536));
  Poco::Net::HTTPResponse response;
  try {
    session.sendRequest(request);
    Poco::NullOutputStream sink;
    Poco::StreamCopier::copyStream(session.receiveResponse(response), sink);
    answered.status = response.getStatus();
  } catch (const Poco::Exception&) {
    answered.status = 0;
  }
  this->journal.Line("client front-" + std::to_string(gateway) + " request=" +
                     answered.request + " path=" + path + " sent=" +
                     std::to_string(this->journal.Since(answered.sent)) +
                     " status=" + std::to_string(answered.status));
  const std::lock_guard lock(this->answers_mutex);
  this->answers.push_back(answered);
  return answered.status;
}

void Site::StartClients(const std::vector<std::string>& paths,
                        milliseconds interval,
                        const std::vector<std::size_t>& to,
                        const std::string& method) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; to.empty() && i < this->gateways.size(); ++i) {
    all.push_back(i);
  }
  for (const std::size_t i : to.empty() ? all : to) {
    for (const std::string& path : paths) {
      this->clients.emplace_back(
          [this, i, path, interval, method](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
              const Time next = Clock::now() + interval;
              this->Send(i, path, method);
              std::this_thread::sleep_until(next);
            }
          });
    }
  }
}

void Site::StopClients() { this->clients.clear(); }

std::vector<Answered> Site::Answers() {
  const std::lock_guard lock(this->answers_mutex);
  return this->answers;
}

}  // namespace review
