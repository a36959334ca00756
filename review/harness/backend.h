#ifndef BAMBOORACK_REVIEW_BACKEND_H_
#define BAMBOORACK_REVIEW_BACKEND_H_

#include "harness.h"

// A stand-in for a backend of the platform.

namespace review {

/// What a backend of the platform is told to be.
struct BackendPlan {
  std::string id;
  std::string service;
  std::string zone = "gs-a";
  unsigned slots = 3;
  /// Requests that wait for a slot; more are rejected.
  unsigned queue = 2;
  milliseconds work{96};
  bool is_sharded = false;
};

/// A stand-in for a backend: registers itself, takes grants and releases, runs
/// requests, and rejects them as the pages say.
class Backend {
 public:
  /// Changes an answer that is about to be sent, or sends bytes of its own
  /// before the next answer on the connection.
  struct Connection {
    std::shared_ptr<Stream> stream;
    /// Bytes to be sent when the next request has been read.
    std::string late;
  };
  using AnswerHook = std::function<void(Connection&, const Message& request,
                                        const std::string& answer, int status)>;

  Backend(BackendPlan backend_plan, std::uint16_t store_port, Record& log)
      : plan(std::move(backend_plan)), store(store_port), record(log) {}
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;
  ~Backend() { this->Stop(); }

  AnswerHook after_answer;
  /// Sends bytes of its own in place of a 200 and returns true, or false to
  /// have the answer sent. The connection is closed afterwards.
  std::function<bool(const Stream& stream, const Message& request)>
      replace_answer;
  /// Draws the work of a request; without it every request takes `plan.work`.
  std::function<milliseconds(const Message& request)> draw_work;

  void Start() {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) !=
            0 ||
        ::listen(this->listener, 512) != 0) {
      throw CannotRun("a backend cannot listen");
    }
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    this->born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    this->threads.emplace_back([this] { this->Accept(); });
    this->threads.emplace_back([this] { this->Beat(); });
  }

  void Stop() {
    if (this->is_stopping.exchange(true)) return;
    ::shutdown(this->listener, SHUT_RDWR);
    for (std::thread& thread : this->threads) thread.join();
    ::close(this->listener);
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& weak : this->streams) {
        if (const auto stream = weak.lock()) stream->Shutdown();
      }
    }
    // Threads of connections are detached and counted.
    for (int i = 0; i < 400 && this->open > 0; ++i) Sleep(milliseconds(10));
  }

  std::uint16_t Port() const { return this->port; }
  const BackendPlan& Plan() const { return this->plan; }
  std::string Entry(const std::string& state) {
    return "{\"address\":\"127.0.0.1:" + std::to_string(this->port) +
           "\",\"born\":" + std::to_string(this->born) +
           ",\"info\":{\"service\":\"" + this->plan.service +
           "\",\"version\":\"v1\",\"zone\":\"" + this->plan.zone +
           "\",\"slots\":" + std::to_string(this->plan.slots) +
           "},\"status\":{\"state\":\"" + state +
           "\",\"seq\":" + std::to_string(++this->beats) +
           ",\"warmup_left\":\"0ms\"}}";
  }

  /// A run of a request; without an end while the backend is at work.
  struct Span {
    std::string id;
    Time begin;
    std::optional<Time> end;
  };
  std::vector<Span> Spans() const {
    const std::lock_guard lock(this->mutex);
    return this->spans;
  }

  /// Keys that this backend held for a time.
  struct HeldSpan {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t fence = 0;
    Time begin;
    Time end;
  };
  std::vector<HeldSpan> HeldSpans() const {
    const std::lock_guard lock(this->mutex);
    return this->held;
  }

  /// How often each request id began to run here.
  std::map<std::string, int> Runs() const {
    const std::lock_guard lock(this->mutex);
    return this->runs;
  }
  std::uint64_t Answers() const { return this->answers; }
  std::uint64_t Rejections() const { return this->rejections; }

 private:
  struct Hold {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t fence = 0;
    Time until;
  };

  void Beat() {
    Time next = Clock::now();
    while (!this->is_stopping) {
      if (Clock::now() >= next) {
        AppendToStore(this->store, "keyed.servers", this->plan.id,
                      this->Entry("ready"));
        next = Clock::now() + milliseconds(870);
      }
      Sleep(milliseconds(20));
    }
  }

  void Accept() {
    while (!this->is_stopping) {
      const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      auto stream = std::make_shared<Stream>(fd);
      {
        const std::lock_guard lock(this->mutex);
        this->streams.push_back(stream);
      }
      ++this->open;
      std::thread([this, stream] {
        this->Serve(stream);
        --this->open;
      }).detach();
    }
  }

  void Serve(const std::shared_ptr<Stream>& stream) {
    Connection connection{stream, {}};
    while (!this->is_stopping) {
      const auto request =
          stream->Read(Clock::now() + std::chrono::seconds(10));
      if (!request) return;
      if (!connection.late.empty()) {
        stream->Send(connection.late);
        connection.late.clear();
      }
      const auto [status, answer] = this->Handle(*request, stream);
      const bool is_replaced = status == 200 && this->replace_answer &&
                               this->replace_answer(*stream, *request);
      if (is_replaced || !stream->Send(answer)) return;
      ++this->answers;
      if (this->after_answer) {
        this->after_answer(connection, *request, answer, status);
      }
    }
  }

  static std::string Format(
      int status, const std::vector<std::pair<std::string, std::string>>& more,
      const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : more) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
  }

  std::pair<int, std::string> Handle(const Message& request,
                                     const std::shared_ptr<Stream>& stream) {
    std::istringstream line(request.start_line);
    std::string method;
    std::string target;
    line >> method >> target;
    const std::string id = request.Get("X-Request-Id");
    const std::string expected = request.Get("X-Expect-Instance");
    if (!expected.empty() && expected != this->plan.id) {
      return {421, Format(421,
                          {{"X-Instance-Id", this->plan.id},
                           {"X-Not-Executed", "1"},
                           {"X-Request-Id", id}},
                          "")};
    }
    if (target == "/health") {
      return {200, Format(200, {{"X-Instance-Id", this->plan.id}}, "")};
    }
    if (target == "/-/grant") {
      const int status = this->Grant(request.body);
      return {status, Format(status, {}, "{}")};
    }
    if (target == "/-/release") {
      this->Release(request.body);
      return {200, Format(200, {{"X-Handover", "h" + this->plan.id}}, "{}")};
    }
    return this->Run(request, method, target, id, stream);
  }

  std::pair<int, std::string> Run(const Message& request,
                                  const std::string& method,
                                  const std::string& target,
                                  const std::string& id,
                                  const std::shared_ptr<Stream>& stream) {
    const std::uint64_t key =
        std::strtoull(request.Get("X-Shard-Key").c_str(), nullptr, 10);
    const Time deadline =
        Clock::now() +
        milliseconds(std::atoll(request.Get("X-Deadline-Ms").c_str()));
    if (id.empty()) {
      ++this->rejections;
      return {400, Format(400, {{"X-Not-Executed", "1"}}, "")};
    }
    const auto reject = [&](int status, const std::string& cause) {
      ++this->rejections;
      this->record.Line("backend " + this->plan.id + " rejects " + id + " " +
                        std::to_string(status) + " " + cause);
      return std::pair{
          status,
          Format(status, {{"X-Request-Id", id}, {"X-Not-Executed", "1"}}, "")};
    };
    {
      std::unique_lock lock(this->mutex);
      if (this->plan.is_sharded && !this->Holds(key)) {
        lock.unlock();
        return reject(421, "key not held");
      }
      if (this->busy >= this->plan.slots + this->plan.queue) {
        lock.unlock();
        return reject(503, "full");
      }
      ++this->busy;
    }
    std::size_t span = 0;
    // Waits for a slot.
    while (true) {
      {
        const std::lock_guard lock(this->mutex);
        if (this->working < this->plan.slots) {
          ++this->working;
          ++this->runs[id];
          ++this->running[key];
          span = this->spans.size();
          this->spans.push_back({id, Clock::now(), std::nullopt});
          break;
        }
      }
      if (Clock::now() >= deadline || this->IsGone(stream)) {
        const std::lock_guard lock(this->mutex);
        --this->busy;
        return reject(503, "time limit or caller gone in the queue");
      }
      Sleep(milliseconds(1));
    }
    this->record.Line("backend " + this->plan.id + " runs " + id + " " +
                      method + " " + target + " body " +
                      std::to_string(request.body.size()));
    const Time end = Clock::now() + (this->draw_work ? this->draw_work(request)
                                                     : this->plan.work);
    // The work is dropped when its connection closes.
    while (Clock::now() < end && !this->IsGone(stream)) Sleep(milliseconds(4));
    {
      const std::lock_guard lock(this->mutex);
      this->spans[span].end = Clock::now();
      --this->busy;
      --this->working;
      if (--this->running[key] == 0) this->running.erase(key);
    }
    this->record.Line("backend " + this->plan.id + " ends " + id);
    return {200, Format(200,
                        {{"X-Request-Id", id},
                         {"X-Server-Stamp", this->plan.id + "." + id}},
                        "done " + id)};
  }

  static bool IsGone(const std::shared_ptr<Stream>& stream) {
    char byte = 0;
    const ssize_t n =
        ::recv(stream->Descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  int Grant(const std::string& json) {
    const Time arrived = Clock::now();
    const Hold hold{NumberIn(json, "from"), NumberIn(json, "to"),
                    NumberIn(json, "fence"),
                    arrived + SpanIn(json, "hold_time")};
    this->record.Line("backend " + this->plan.id + " gets the grant " + json);
    const std::lock_guard lock(this->mutex);
    for (const Hold& seen : this->seen) {
      const bool overlaps = seen.first <= hold.last && hold.first <= seen.last;
      if (overlaps && hold.fence < seen.fence) return 409;
    }
    std::erase_if(this->seen, [&hold](const Hold& row) {
      return hold.first <= row.first && row.last <= hold.last;
    });
    this->seen.push_back(hold);
    std::erase_if(this->holds,
                  [arrived](const Hold& row) { return row.until <= arrived; });
    this->holds.push_back(hold);
    this->held.push_back(
        {hold.first, hold.last, hold.fence, arrived, hold.until});
    return 200;
  }

  void Release(const std::string& json) {
    const std::uint64_t first = NumberIn(json, "from");
    const std::uint64_t last = NumberIn(json, "to");
    this->record.Line("backend " + this->plan.id + " gets the release " + json);
    {
      const std::lock_guard lock(this->mutex);
      std::vector<Hold> kept;
      for (const Hold& hold : this->holds) {
        if (last < hold.first || hold.last < first) {
          kept.push_back(hold);
          continue;
        }
        Hold part = hold;
        if (hold.first < first) {
          part.last = first - 1;
          kept.push_back(part);
        }
        part = hold;
        if (last < hold.last) {
          part.first = last + 1;
          kept.push_back(part);
        }
      }
      this->holds = std::move(kept);
      this->EndHeld(first, last, Clock::now());
    }
    while (!this->is_stopping) {
      {
        const std::lock_guard lock(this->mutex);
        const auto run = this->running.lower_bound(first);
        if (run == this->running.end() || run->first > last) return;
      }
      Sleep(milliseconds(2));
    }
  }

  /// Ends the spans of these keys now, and keeps those of other keys.
  void EndHeld(std::uint64_t first, std::uint64_t last, Time now) {
    std::vector<HeldSpan> parts;
    for (HeldSpan& span : this->held) {
      if (last < span.first || span.last < first || span.end <= now) continue;
      HeldSpan part = span;
      if (span.first < first) {
        part.last = first - 1;
        parts.push_back(part);
      }
      part = span;
      if (last < span.last) {
        part.first = last + 1;
        parts.push_back(part);
      }
      span.first = std::max(span.first, first);
      span.last = std::min(span.last, last);
      span.end = now;
    }
    this->held.insert(this->held.end(), parts.begin(), parts.end());
  }

  bool Holds(std::uint64_t key) const {
    const Time now = Clock::now();
    return std::any_of(
        this->holds.begin(), this->holds.end(), [key, now](const Hold& hold) {
          return hold.first <= key && key <= hold.last && now < hold.until;
        });
  }

  const BackendPlan plan;
  const std::uint16_t store;
  Record& record;
  int listener = -1;
  std::uint16_t port = 0;
  std::int64_t born = 0;
  std::atomic<std::uint64_t> beats{0};
  std::atomic<std::uint64_t> answers{0};
  std::atomic<std::uint64_t> rejections{0};
  std::atomic<bool> is_stopping{false};
  std::atomic<int> open{0};
  std::vector<std::thread> threads;
  mutable std::mutex mutex;
  std::vector<std::weak_ptr<Stream>> streams;
  std::vector<Hold> holds;
  std::vector<Hold> seen;
  std::vector<HeldSpan> held;
  unsigned busy = 0;
  unsigned working = 0;
  std::map<std::string, int> runs;
  std::vector<Span> spans;
  std::map<std::uint64_t, int> running;
};

}  // namespace review

#endif  // BAMBOORACK_REVIEW_BACKEND_H_
