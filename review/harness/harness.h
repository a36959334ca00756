#ifndef BAMBOORACK_REVIEW_HARNESS_H_
#define BAMBOORACK_REVIEW_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Shared parts of the review's scripts: processes, a record, an HTTP client,
// and a stand-in for a backend. Only POSIX and the standard library.

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

/// A case that could not run. `main` ends with status 2.
class CannotRun : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline void Sleep(milliseconds span) { std::this_thread::sleep_for(span); }

/// Lines of `record.txt`, each with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out(path), start(Clock::now()) {}

  void Line(const std::string& text) {
    const auto at = std::chrono::duration_cast<std::chrono::microseconds>(
        Clock::now() - this->start);
    const std::lock_guard lock(this->mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%10.3f ", at.count() / 1000.0);
    this->out << stamp << text << '\n';
  }
  void Flush() {
    const std::lock_guard lock(this->mutex);
    this->out.flush();
  }

 private:
  std::ofstream out;
  Time start;
  std::mutex mutex;
};

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

/// Returns a port that is free now, for TCP or UDP. It lies below the range
/// from which outgoing connections get theirs, so that it stays free while a
/// process restarts.
inline std::uint16_t FreePort(int type = SOCK_STREAM) {
  static std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> pick(12'000, 31'000);
  for (int i = 0; i < 200; ++i) {
    const auto port = static_cast<std::uint16_t>(pick(random));
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    const bool is_free =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    if (is_free) return port;
  }
  throw CannotRun("no free port");
}

/// A child process. It is killed at the end of this object's life.
class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { this->Kill(); }

  void Start(const std::vector<std::string>& arguments,
             const std::map<std::string, std::string>& environment,
             const std::string& output_path) {
    std::vector<char*> argv;
    for (const auto& text : arguments) {
      argv.push_back(const_cast<char*>(text.c_str()));
    }
    argv.push_back(nullptr);
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid < 0) throw CannotRun("fork failed");
    if (this->pid > 0) return;
    const int out =
        ::open(output_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (const auto& [name, value] : environment) {
      ::setenv(name.c_str(), value.c_str(), 1);
    }
    // Ends with this program, whatever happens to it.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }

  pid_t Pid() const { return this->pid; }
  void Signal(int signal) const {
    if (this->pid > 0) ::kill(this->pid, signal);
  }
  /// Returns the wait status if the process has ended.
  std::optional<int> Poll() {
    if (this->pid <= 0) return this->status;
    int wait_status = 0;
    if (::waitpid(this->pid, &wait_status, WNOHANG) != this->pid) {
      return std::nullopt;
    }
    this->pid = -1;
    this->status = wait_status;
    return this->status;
  }
  void Kill() {
    if (this->pid <= 0) return;
    ::kill(this->pid, SIGCONT);
    ::kill(this->pid, SIGKILL);
    int wait_status = 0;
    ::waitpid(this->pid, &wait_status, 0);
    this->status = wait_status;
    this->pid = -1;
  }

 private:
  pid_t pid = -1;
  std::optional<int> status;
};

inline bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

/// A parsed HTTP head and the body.
struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : this->headers) {
      if (SameName(key, name)) return value;
    }
    return {};
  }
};

/// A connected socket with a read buffer.
class Stream {
 public:
  explicit Stream(int descriptor) : fd(descriptor) {
    const int on = 1;
    ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() { this->Close(); }

  static std::unique_ptr<Stream> Connect(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Stream>(fd);
  }

  void Close() {
    if (this->fd >= 0) ::close(this->fd);
    this->fd = -1;
  }
  void Shutdown() const { ::shutdown(this->fd, SHUT_RDWR); }

  bool Send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = ::send(this->fd, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads more bytes. Returns false at the end, on an error or at `until`.
  bool Fill(Time until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now());
    if (left.count() < 0) return false;
    pollfd entry{this->fd, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(left.count()) + 1) <= 0) {
      return false;
    }
    char buffer[16384];
    const ssize_t n = ::recv(this->fd, buffer, sizeof(buffer), 0);
    if (n <= 0) return false;
    this->input.append(buffer, static_cast<std::size_t>(n));
    return true;
  }

  /// Reads a whole message with a length or in chunks. Nothing if the
  /// connection ends or the time passes before that.
  std::optional<Message> Read(Time until, bool has_no_body = false) {
    std::size_t end = 0;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(until)) return std::nullopt;
    }
    Message message;
    std::istringstream head(this->input.substr(0, end));
    this->input.erase(0, end + 4);
    std::string line;
    bool is_first = true;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (is_first) {
        message.start_line = line;
        is_first = false;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto begin = line.find_first_not_of(' ', colon + 1);
      if (begin == std::string::npos) begin = line.size();
      message.headers.emplace_back(line.substr(0, colon), line.substr(begin));
    }
    if (has_no_body) return message;
    if (SameName(message.Get("Transfer-Encoding"), "chunked")) {
      return this->ReadChunks(std::move(message), until);
    }
    const std::string length = message.Get("Content-Length");
    const std::size_t wanted = length.empty() ? 0 : std::stoull(length);
    while (this->input.size() < wanted) {
      if (!this->Fill(until)) return std::nullopt;
    }
    message.body = this->input.substr(0, wanted);
    this->input.erase(0, wanted);
    return message;
  }

  bool HasInput() const { return !this->input.empty(); }
  int Descriptor() const { return this->fd; }

 private:
  std::optional<Message> ReadChunks(Message message, Time until) {
    while (true) {
      std::size_t end = 0;
      while ((end = this->input.find("\r\n")) == std::string::npos) {
        if (!this->Fill(until)) return std::nullopt;
      }
      const std::size_t size =
          std::stoull(this->input.substr(0, end), nullptr, 16);
      while (this->input.size() < end + 2 + size + 2) {
        if (!this->Fill(until)) return std::nullopt;
      }
      message.body += this->input.substr(end + 2, size);
      this->input.erase(0, end + 2 + size + 2);
      if (size == 0) return message;
    }
  }

  int fd;
  std::string input;
};

/// The status of an answer's first line, 0 if it has none.
inline int StatusOf(const Message& message) {
  const auto space = message.start_line.find(' ');
  if (space == std::string::npos) return 0;
  return std::atoi(message.start_line.c_str() + space + 1);
}

/// One call on a connection of its own. Status 0: no whole answer.
inline std::pair<int, Message> CallOnce(std::uint16_t port,
                                        const std::string& method,
                                        const std::string& target,
                                        const std::string& body,
                                        milliseconds limit) {
  const auto stream = Stream::Connect(port);
  if (stream == nullptr) return {0, {}};
  stream->Send(method + ' ' + target +
               " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
               "Content-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  auto answer = stream->Read(Clock::now() + limit);
  if (!answer) return {0, {}};
  const int status = StatusOf(*answer);
  return {status, std::move(*answer)};
}

/// A record of a topic that keeps the newest record of each key.
inline std::string KeyedRecord(const std::string& key,
                               const std::string& value) {
  std::string content(1, static_cast<char>(key.size()));
  content += key + value;
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((content.size() >> shift) & 0xFFU));
  }
  return bytes + content;
}

/// Appends to the store as the operator and the backends do.
inline bool AppendToStore(std::uint16_t store, const std::string& topic,
                          const std::string& key, const std::string& value) {
  return CallOnce(store, "POST", "/-/log-append?topic=" + topic + "&part=0",
                  KeyedRecord(key, value), milliseconds(1'000))
             .first == 200;
}

/// Reads a whole number after `"name":` in a flat JSON text.
inline std::uint64_t NumberIn(const std::string& json,
                              const std::string& name) {
  const auto at = json.find("\"" + name + "\":");
  if (at == std::string::npos) return 0;
  return std::strtoull(json.c_str() + at + name.size() + 3, nullptr, 10);
}

/// Reads a time such as "4000ms" after `"name":` in a flat JSON text.
inline milliseconds SpanIn(const std::string& json, const std::string& name) {
  const auto at = json.find("\"" + name + "\":\"");
  if (at == std::string::npos) return milliseconds(0);
  char* end = nullptr;
  const double number = std::strtod(json.c_str() + at + name.size() + 4, &end);
  const double factor = std::strncmp(end, "ms", 2) == 0 ? 1 : 1'000;
  return milliseconds(static_cast<std::int64_t>(number * factor));
}

/// A store and gateways as separate processes, in a temporary folder.
class Deployment {
 public:
  Deployment(std::string repository_path, Record& log)
      : repository(std::move(repository_path)), record(log) {
    char pattern[] = "/tmp/bamboorack-review-XXXXXX";
    const char* made = ::mkdtemp(pattern);
    if (made == nullptr) throw CannotRun("no temporary folder");
    this->folder = made;
  }
  ~Deployment() {
    this->gateways.clear();
    this->store.Kill();
    const std::string command = "rm -rf '" + this->folder + "'";
    if (std::getenv("KEEP") == nullptr && std::system(command.c_str()) != 0) {
      std::fprintf(stderr, "the temporary folder stays\n");
    }
  }

  struct Gateway {
    Process process;
    std::string settings;
    std::string output;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    unsigned starts = 0;
  };

  /// From SIGTERM to SIGKILL, a whole number of seconds.
  milliseconds grace{6'000};

  void StartStore() {
    const std::string output = this->folder + "/store.log";
    this->store.Start({this->Tool("fake_platform_store")}, {}, output);
    for (int i = 0; i < 250 && this->store_port == 0; ++i) {
      std::ifstream in(output);
      std::string line;
      const std::string prefix = "listening port=";
      if (std::getline(in, line) && line.rfind(prefix, 0) == 0) {
        this->store_port =
            static_cast<std::uint16_t>(std::stoul(line.substr(prefix.size())));
      }
      Sleep(milliseconds(20));
    }
    if (this->store_port == 0) throw CannotRun("the store does not start");
  }

  std::uint16_t StorePort() const { return this->store_port; }
  const std::string& Folder() const { return this->folder; }

  /// Adds a gateway whose calls to the store go to `store_address`.
  Gateway& AddGateway(const std::string& zone, std::uint16_t store_address) {
    auto gateway = std::make_unique<Gateway>();
    const std::string name =
        "front-" + zone + "-" + std::to_string(this->gateways.size() + 1);
    gateway->front = FreePort();
    gateway->ready = FreePort();
    const std::uint16_t gossip = FreePort(SOCK_DGRAM);
    gateway->settings = this->folder + "/" + name + ".json";
    gateway->output = this->folder + "/" + name + ".log";
    const auto at = [](std::uint16_t port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    // The template of the deploy file, filled in as `fleetbench wire` shows.
    std::ofstream out(gateway->settings);
    out << "{\"gateway\":{\"daemon_id\":\"" << name
        << "_127.0.0.1\",\"failure_domain\":\"" << zone
        << "\",\"caller_endpoint\":" << at(gateway->front)
        << ",\"readiness_endpoint\":" << at(gateway->ready)
        << ",\"gossip_endpoint\":" << at(gossip)
        << ",\"log_endpoint\":" << at(store_address)
        << "},\"bounds\":{\"drain\":\"2000ms\",\"grace\":\""
        << this->grace.count() / 1000
        << "s\","
           "\"hold_max\":\"10000ms\",\"apply\":\"2000ms\"},"
           "\"limits\":{\"cpu_share\":0.3,\"cores\":1,\"memory_mb\":390,"
           "\"max_fds\":6150,\"link_mbps\":1500.0,\"disk_mb\":0}}";
    out.close();
    this->gateways.push_back(std::move(gateway));
    this->StartGateway(*this->gateways.back());
    return *this->gateways.back();
  }

  void StartGateway(Gateway& gateway) {
    ++gateway.starts;
    gateway.process.Start({this->Tool("bamboorack_gateway")},
                          {{"BAMBOORACK_SETTINGS", gateway.settings}},
                          gateway.output);
  }

  std::vector<std::unique_ptr<Gateway>>& Gateways() { return this->gateways; }

  /// Waits until all gateways say that they are ready.
  void AwaitReady(milliseconds limit = milliseconds(15'000)) {
    const Time until = Clock::now() + limit;
    for (const auto& gateway : this->gateways) {
      while (!IsReady(*gateway)) {
        if (Clock::now() > until) throw CannotRun("a gateway is not ready");
        Sleep(milliseconds(50));
      }
    }
  }
  static bool IsReady(const Gateway& gateway) {
    return CallOnce(gateway.ready, "GET", "/-/ready", "", milliseconds(500))
               .first == 200;
  }

  std::string Tool(const std::string& name) const {
    const std::string path = this->repository + "/target/tools/" + name;
    if (::access(path.c_str(), X_OK) != 0) {
      throw CannotRun(path + " is not built");
    }
    return path;
  }

 private:
  std::string repository;
  Record& record;
  std::string folder;
  Process store;
  std::uint16_t store_port = 0;
  std::vector<std::unique_ptr<Gateway>> gateways;
};

/// Whether the disruption of the case takes place.
inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Runs a case: 0 the rule held, 1 it was broken, 2 the case could not run.
/// Arguments: the repository and the folder of the case.
inline int RunCase(int argc, char** argv,
                   const std::function<bool(const std::string& repository,
                                            Record& record)>& holds) {
  if (argc != 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  Record record(std::string(argv[2]) + "/record.txt");
  try {
    const bool ok = holds(argv[1], record);
    record.Line(ok ? "the rule held" : "the rule was broken");
    record.Flush();
    std::printf("%s\n", ok ? "held" : "broken");
    std::fflush(stdout);
    ::_exit(ok ? 0 : 1);
  } catch (const std::exception& error) {
    record.Line(std::string("could not run: ") + error.what());
    record.Flush();
    std::fprintf(stderr, "could not run: %s\n", error.what());
    ::_exit(2);
  }
}

}  // namespace review

#endif  // BAMBOORACK_REVIEW_HARNESS_H_
