// What the scripts of the second review share: processes, sockets, HTTP/1.1
// messages, the store's records and the record file. Needs POSIX only.

#ifndef REVIEW_HARNESS_2_H_
#define REVIEW_HARNESS_2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
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
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The case could not run. `Main` turns it into exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void Sleep(milliseconds span) { std::this_thread::sleep_for(span); }

/// Lines with the milliseconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : out(path), start(Clock::now()) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    this->out << this->Now() << " ms  " << text << std::endl;
  }
  long Now() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->start)
        .count();
  }

 private:
  std::mutex mutex;
  std::ofstream out;
  const Clock::time_point start;
};

/// A child process. Ended by its process id when the object goes.
class Process {
 public:
  Process() = default;
  ~Process() { this->End(SIGKILL); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// `environment` has entries NAME=value that are added. Output goes to `log`.
  void Start(const std::vector<std::string>& arguments,
             const std::vector<std::string>& environment,
             const std::string& log) {
    this->id = ::fork();
    if (this->id < 0) throw CannotRun("fork failed");
    if (this->id > 0) return;
    // Ends with the case, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, 1);
    ::dup2(file, 2);
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    sigset_t none;
    ::sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    for (const std::string& entry : environment) {
      ::putenv(const_cast<char*>(entry.c_str()));
    }
    std::vector<char*> words;
    for (const std::string& word : arguments) {
      words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    ::execv(words[0], words.data());
    ::_exit(127);
  }
  void Signal(int number) {
    if (this->id > 0) ::kill(this->id, number);
  }
  bool IsRunning() {
    if (this->id <= 0) return false;
    if (::waitpid(this->id, nullptr, WNOHANG) == 0) return true;
    this->id = -1;
    return false;
  }
  void End(int number) {
    if (this->id <= 0) return;
    ::kill(this->id, SIGCONT);
    ::kill(this->id, number);
    ::waitpid(this->id, nullptr, 0);
    this->id = -1;
  }

 private:
  pid_t id = -1;
};

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::uint16_t PortOf(int socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/// Returns a port that is free for TCP and UDP now.
inline std::uint16_t FreePort() {
  for (int i = 0; i < 100; ++i) {
    const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Loopback(0);
    ::bind(tcp, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    const std::uint16_t port = PortOf(tcp);
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    address = Loopback(port);
    const bool is_free = ::bind(udp, reinterpret_cast<sockaddr*>(&address),
                                sizeof(address)) == 0;
    ::close(udp);
    ::close(tcp);
    if (is_free) return port;
  }
  throw CannotRun("no free port");
}

/// A blocking TCP connection with a deadline for each operation.
class Connection {
 public:
  explicit Connection(int descriptor = -1) : fd(descriptor) {
    if (fd < 0) return;
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  ~Connection() { this->Close(); }
  Connection(Connection&& other) noexcept
      : input(std::move(other.input)), fd(other.fd) {
    other.fd = -1;
  }
  Connection& operator=(Connection&& other) noexcept {
    this->Close();
    this->fd = other.fd;
    this->input = std::move(other.input);
    other.fd = -1;
    return *this;
  }

  static Connection To(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0) {
      ::close(fd);
      return Connection();
    }
    return Connection(fd);
  }

  bool IsOpen() const { return this->fd >= 0; }
  /// False once the other side has closed or reset the connection.
  bool IsUsable() const {
    char byte = 0;
    const ssize_t count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count > 0 || (count < 0 && errno == EAGAIN);
  }
  bool Send(const std::string& bytes, Clock::time_point deadline) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      if (!this->Wait(POLLOUT, deadline)) return false;
      const ssize_t count =
          ::send(this->fd, bytes.data() + sent, bytes.size() - sent,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno == EAGAIN) continue;
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// Reads what is there, at most `most` bytes. False at the end, for an error
  /// or after `deadline`.
  bool Receive(Clock::time_point deadline, std::size_t most = 65'536) {
    if (!this->Wait(POLLIN, deadline)) return false;
    std::vector<char> buffer(most);
    const ssize_t count = ::recv(this->fd, buffer.data(), buffer.size(), 0);
    this->ended_in_order = count == 0;
    if (count <= 0) return false;
    this->input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
  }
  void CloseSend() { ::shutdown(this->fd, SHUT_WR); }
  void Close() {
    if (this->fd >= 0) ::close(this->fd);
    this->fd = -1;
  }
  /// Closes with a reset.
  void Reset() {
    if (this->fd < 0) return;
    const linger now{1, 0};
    ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    this->Close();
  }

  std::string input;
  bool ended_in_order = false;

 private:
  bool Wait(short events, Clock::time_point deadline) const {
    if (this->fd < 0) return false;
    while (true) {
      const auto left =
          std::chrono::ceil<milliseconds>(deadline - Clock::now());
      if (left.count() <= 0) return false;
      pollfd poll{this->fd, events, 0};
      const int ready = ::poll(&poll, 1, static_cast<int>(left.count()));
      if (ready > 0) return true;
      if (ready < 0 && errno != EINTR) return false;
    }
  }

  int fd = -1;
};

/// The start line and the headers of a message; names in lower case.
struct Head {
  std::string start;
  std::map<std::string, std::string> headers;

  std::string Get(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
  }
  bool Has(const std::string& name) const {
    return this->headers.contains(name);
  }
  /// Of a response.
  int Status() const {
    return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0;
  }
  std::string Word(std::size_t index) const {
    std::istringstream words(this->start);
    std::string word;
    for (std::size_t i = 0; i <= index; ++i) words >> word;
    return word;
  }
};

inline std::optional<Head> ReadHead(Connection& connection,
                                    Clock::time_point deadline) {
  std::size_t end = 0;
  while ((end = connection.input.find("\r\n\r\n")) == std::string::npos) {
    if (!connection.Receive(deadline)) return std::nullopt;
  }
  std::istringstream lines(connection.input.substr(0, end + 2));
  connection.input.erase(0, end + 4);
  Head head;
  std::string line;
  const auto next = [&] {
    if (!std::getline(lines, line)) return false;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    return true;
  };
  next();
  head.start = line;
  while (next()) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::size_t begin = line.find_first_not_of(' ', colon + 1);
    head.headers[name] =
        begin == std::string::npos ? std::string() : line.substr(begin);
  }
  return head;
}

/// An answer as a client sees it.
struct Answer {
  int status = 0;
  Head head;
  std::string body;
  /// The body has the length that the head tells.
  bool is_complete = false;
};

/// Reads an answer with a length.
inline Answer ReadAnswer(Connection& connection, Clock::time_point deadline) {
  Answer answer;
  const auto head = ReadHead(connection, deadline);
  if (!head) return answer;
  answer.head = *head;
  answer.status = head->Status();
  if (!head->Has("content-length")) return answer;
  const std::size_t length = std::stoull(head->Get("content-length"));
  while (connection.input.size() < length) {
    if (!connection.Receive(deadline)) break;
  }
  const std::size_t taken = std::min(length, connection.input.size());
  answer.body = connection.input.substr(0, taken);
  connection.input.erase(0, taken);
  answer.is_complete = taken == length;
  return answer;
}

/// Sends a request on a connection of its own and reads the answer.
inline Answer Call(std::uint16_t port, const std::string& request,
                   milliseconds limit) {
  const auto deadline = Clock::now() + limit;
  Connection connection = Connection::To(port);
  if (!connection.IsOpen() || !connection.Send(request, deadline)) return {};
  return ReadAnswer(connection, deadline);
}

inline std::string Request(const std::string& method, const std::string& path,
                           const std::string& headers,
                           const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a port of loopback and serves each connection with a thread.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server() = default;
  ~Server() { this->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// `mss` bounds the segments to that size, as on a link between machines.
  void Start(Handler new_handler, int mss = 0, int receive_buffer = 0) {
    this->handler = std::move(new_handler);
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (mss > 0) {
      ::setsockopt(this->listener, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof(mss));
    }
    if (receive_buffer > 0) {
      ::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
    }
    const sockaddr_in address = Loopback(0);
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(this->listener, 512) != 0) {
      throw CannotRun("cannot listen");
    }
    this->port = PortOf(this->listener);
    this->thread = std::thread([this] { this->Run(); });
  }
  void Stop() {
    if (!this->thread.joinable()) return;
    this->is_stopping = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
    while (this->active > 0) Sleep(milliseconds(5));
  }
  std::uint16_t Port() const { return this->port; }
  bool IsStopping() const { return this->is_stopping; }

 private:
  void Run() {
    while (!this->is_stopping) {
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      ++this->active;
      std::thread([this, fd] {
        Connection connection(fd);
        this->handler(connection);
        connection.Close();
        --this->active;
      }).detach();
    }
  }

  Handler handler;
  int listener = -1;
  std::uint16_t port = 0;
  std::thread thread;
  std::atomic<bool> is_stopping{false};
  std::atomic<int> active{0};
};

/// The project's stand-in for the platform's store, as a process.
class Store {
 public:
  void Start(const std::string& programs, const std::string& directory) {
    const std::string log = directory + "/store.log";
    this->process.Start({programs + "/fake_platform_store"}, {}, log);
    const std::string prefix = "listening port=";
    for (int i = 0; i < 250; ++i) {
      std::ifstream in(log);
      std::string line;
      if (std::getline(in, line) && line.rfind(prefix, 0) == 0 && !in.eof()) {
        this->port =
            static_cast<std::uint16_t>(std::stoul(line.substr(prefix.size())));
        return;
      }
      Sleep(milliseconds(20));
    }
    throw CannotRun("the store does not start");
  }
  std::uint16_t Port() const { return this->port; }

  /// Returns whether the store acknowledged the record.
  bool Write(const std::string& topic, const std::string& key,
             const std::string& value) const {
    std::string content(1, static_cast<char>(key.size()));
    content += key + value;
    std::string body;
    for (int shift = 24; shift >= 0; shift -= 8) {
      body.push_back(static_cast<char>((content.size() >> shift) & 0xFFU));
    }
    body += content;
    const Answer answer =
        Call(this->port,
             Request("POST", "/-/log-append?topic=" + topic + "&part=0",
                     "Host: store\r\n", body),
             milliseconds(2'000));
    return answer.status == 200;
  }

 private:
  Process process;
  std::uint16_t port = 0;
};

/// One gateway, started with the command and the template of `deploy/`.
class Gateway {
 public:
  void Start(const std::string& programs, const std::string& directory,
             const std::string& name, const std::string& zone,
             std::uint16_t store_port) {
    this->program = programs + "/bamboorack_gateway";
    this->log = directory + "/" + name + ".log";
    this->settings = directory + "/" + name + ".json";
    this->front = FreePort();
    this->ready = FreePort();
    const std::string host = "127.0.0.1:";
    std::ofstream out(this->settings);
    out << R"({"gateway":{"daemon_id":")" << name
        << R"(_127.0.0.1","failure_domain":")" << zone
        << R"(","caller_endpoint":")" << host << this->front
        << R"(","readiness_endpoint":")" << host << this->ready
        << R"(","gossip_endpoint":")" << host << FreePort()
        << R"(","log_endpoint":")" << host << store_port << R"("},)"
        << R"("bounds":{"seed_lag":"3s","reuse_after":"2s",)"
        << R"("stability":"3000ms","ack":"4000ms","catch_up":"4s",)"
        << R"("drain":"2000ms","grace":"6s","loss_slack":"200ms",)"
        << R"("apply":"2000ms","downgrade":"250ms","skew_max":"5000ms",)"
        << R"("retry_ratio":0.2,"retry_window":"10s","retry_slack":60,)"
        << R"("recover":"15s","hold_max":"10000ms","thaw":"300ms"},)"
        << R"("limits":{"cpu_share":0.4,"cores":1,"memory_mb":520,)"
        << R"("max_fds":8200,"link_mbps":2000.0,"disk_mb":0}})";
    out.close();
    this->Restart();
  }
  void Restart() {
    this->process.Start({this->program},
                        {"BAMBOORACK_SETTINGS=" + this->settings}, this->log);
  }
  bool IsReady() const {
    return Call(this->ready, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n",
                milliseconds(500))
               .status == 200;
  }
  void AwaitReady(milliseconds limit = milliseconds(15'000)) const {
    const auto deadline = Clock::now() + limit;
    while (!this->IsReady()) {
      if (Clock::now() > deadline) throw CannotRun("a gateway is not ready");
      Sleep(milliseconds(50));
    }
  }
  std::uint16_t Port() const { return this->front; }
  /// Returns the value of the first metric whose name ends with `name`.
  double Metric(const std::string& name) const {
    const Answer answer =
        Call(this->ready, "GET /metrics HTTP/1.1\r\nHost: r\r\n\r\n",
             milliseconds(500));
    std::istringstream lines(answer.body);
    std::string line;
    while (std::getline(lines, line)) {
      const std::size_t space = line.rfind(' ');
      if (line.empty() || line[0] == '#' || space == std::string::npos)
        continue;
      if (line.substr(0, space).ends_with(name)) {
        return std::atof(line.c_str() + space);
      }
    }
    return -1;
  }

  Process process;

 private:
  std::string program;
  std::string settings;
  std::string log;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
};

struct Place {
  /// Where the programs of the deploy file's build are.
  std::string programs;
  /// A temporary folder.
  std::string directory;
  /// False with TROUBLE=0.
  bool has_trouble = true;
  Record& record;
};

/// Runs a case: argv is the programs' folder, the temporary folder and the
/// record file. `run` returns whether the rule held.
inline int Main(int argc, char** argv, bool (*run)(Place&)) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: case PROGRAMS TEMPORARY RECORD\n");
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  Record record(argv[3]);
  Place place{argv[1], argv[2],
              trouble == nullptr || std::strcmp(trouble, "0") != 0, record};
  try {
    const bool held = run(place);
    record.Line(held ? "RESULT the rule held" : "RESULT the rule was broken");
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    record.Line(std::string("RESULT the case could not run: ") + error.what());
    return 2;
  }
}

}  // namespace review

#endif  // REVIEW_HARNESS_2_H_
