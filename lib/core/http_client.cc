#include "bamboorack/core/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <memory>
#include <sstream>
#include <utility>

#include "bamboorack/core/http_body.h"
#include "bamboorack/core/http_head.h"
#include "bamboorack/core/http_text.h"

namespace bamboorack {
namespace {

using Poco::Net::PollSet;
using std::chrono::steady_clock;
using IoStatus = HttpConnection::IoStatus;

constexpr std::size_t kMaxHead = 32'768;
constexpr std::size_t kReadBytes = std::size_t{256} * 1024;
constexpr int kMaxInterimAnswers = 16;
// Servers close an unused connection after some time, and a call on it then
// fails as one that may have run. This is the limit that POCO's client uses.
constexpr std::chrono::seconds kReuseLimit{8};

/// Rounds up to milliseconds: POCO takes 0 for no limit and polls with that
/// resolution, so that rounding down would spin through the last one.
Poco::Timespan ToTimespan(std::chrono::nanoseconds duration) {
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(duration, std::chrono::nanoseconds(1)));
  return std::chrono::microseconds(rounded).count();
}

std::chrono::nanoseconds TimeLeft(MonotonicTime deadline) {
  const auto now = steady_clock::now();
  if (now >= deadline) throw Poco::TimeoutException("no answer in time");
  return deadline - now;
}

HttpBytes Encode(const HttpCall& call, const Endpoint& server) {
  Poco::Net::HTTPRequest request(call.method, call.target,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(server.host, server.port);
  request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
  std::ostringstream head;
  request.write(head);
  return {head.str(), std::make_shared<const std::string>(call.body)};
}

/// Collects one answer from the bytes of a connection. Throws if they are no
/// answer.
class AnswerReader {
 public:
  /// `max_reply` bounds the body in bytes.
  explicit AnswerReader(std::size_t max_reply) : max_body(max_reply) {}

  /// Takes the bytes of the answer from the front of `input`. Returns whether
  /// the answer is complete.
  bool Feed(std::string& input) {
    while (!this->has_head) {
      if (!this->TakeHead(input)) return false;
    }
    const BodyReader::Status status = this->body.Feed(input);
    if (status == BodyReader::Status::kIncomplete) return false;
    Check(status);
    return true;
  }

  /// Tells that the server closed its sending direction.
  void FeedEnd() {
    if (!this->has_head) {
      throw Poco::DataFormatException("no answer before the connection ended");
    }
    Check(this->body.FeedEnd());
    this->keeps_connection = false;
  }

  /// Returns the complete answer. Valid once.
  HttpReply Take() { return {this->status_code, this->body.Take()}; }
  bool KeepsConnection() const { return this->keeps_connection; }

 private:
  static void Check(BodyReader::Status status) {
    if (status == BodyReader::Status::kTooLarge) {
      throw Poco::DataFormatException("the answer is too large");
    }
    if (status != BodyReader::Status::kComplete) {
      throw Poco::DataFormatException("the answer is malformed or cut short");
    }
  }

  /// Returns false if the head is not complete.
  bool TakeHead(std::string& input) {
    const auto length = FindHeadEnd(input);
    if (length.value_or(input.size()) > kMaxHead) {
      throw Poco::DataFormatException("the head of the answer is too large");
    }
    if (!length) return false;
    const auto head =
        ParseResponseHead(std::string_view(input).substr(0, *length));
    if (!head) throw Poco::DataFormatException(head.error());
    input.erase(0, *length);
    this->status_code = head->status;
    if (this->status_code < 200) {
      if (++this->interim_answers > kMaxInterimAnswers) {
        throw Poco::DataFormatException("too many interim answers");
      }
      return true;
    }
    this->TakeFraming(*head);
    return true;
  }

  void TakeFraming(const ResponseHead& head) {
    this->has_head = true;
    this->keeps_connection = head.keep_alive;
    BodyFrame frame;
    if (!HasNoBody(head.status)) {
      const auto announced =
          FrameOf(head.headers, {BodyFraming::kUntilClose, 0});
      if (!announced) throw Poco::DataFormatException(announced.error());
      frame = *announced;
    }
    this->body = BodyReader(frame, this->max_body);
  }

  const std::size_t max_body;
  bool has_head = false;
  bool keeps_connection = false;
  int status_code = 0;
  int interim_answers = 0;
  BodyReader body;
};

/// Reads what has come and passes it to `answer`. `is_broken` says that nothing
/// more can come. Returns whether the answer is complete; throws if it cannot
/// become so.
bool Receive(HttpConnection& http, AnswerReader& answer, bool is_broken) {
  const std::uint64_t before = http.BytesRead();
  const IoStatus status = http.Read(kReadBytes);
  if (answer.Feed(http.Input())) return true;
  // The kernel keeps what came before the connection broke, so the answer may
  // be whole. One turn may not read all of it.
  const bool has_read = http.BytesRead() > before;
  if (status == IoStatus::kFailed || (is_broken && !has_read)) {
    throw Poco::IOException("connection lost");
  }
  if (status != IoStatus::kClosed) return false;
  answer.FeedEnd();
  return true;
}

/// Watches a socket as long as it lives.
class Watch {
 public:
  Watch(PollSet& set, const Poco::Net::StreamSocket& watched)
      : poll_set(set), socket(watched) {
    this->poll_set.add(this->socket, PollSet::POLL_READ);
  }
  ~Watch() { this->poll_set.remove(this->socket); }
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void SetModes(int modes) { this->poll_set.update(this->socket, modes); }

 private:
  PollSet& poll_set;
  const Poco::Net::StreamSocket socket;
};

}  // namespace

HttpClient::HttpClient(const Endpoint& endpoint,
                       std::chrono::milliseconds limit, std::size_t max_reply)
    : server(endpoint),
      connect_limit(limit),
      max_reply_bytes(max_reply),
      waker(this->poll_set) {}

tl::expected<HttpReply, HttpFailure> HttpClient::Call(
    const HttpCall& call, MonotonicTime deadline, const std::stop_token& stop) {
  bool was_sent = false;
  HttpFailure failure;
  try {
    return this->Exchange(call, deadline, stop, was_sent);
  } catch (const Poco::Exception& error) {
    failure.detail = error.displayText();
  } catch (const std::exception& error) {
    failure.detail = error.what();
  }
  failure.may_have_run = was_sent;
  this->connection.reset();
  return tl::make_unexpected(std::move(failure));
}

HttpReply HttpClient::Exchange(const HttpCall& call, MonotonicTime deadline,
                               const std::stop_token& stop, bool& was_sent) {
  if (stop.stop_requested()) throw Poco::Exception("the call was stopped");
  this->OpenConnection(deadline);
  HttpConnection& http = *this->connection;
  const std::stop_callback wake(stop, [this] { this->waker.Wake(); });
  Watch watch(this->poll_set, http.Socket());
  http.Queue(Encode(call, this->server));
  AnswerReader answer(this->max_reply_bytes);
  bool is_complete = false;
  while (!is_complete) {
    // The kernel may take a part before the connection breaks.
    const std::uint64_t before = http.BytesWritten();
    const IoStatus sent = http.Write();
    was_sent = was_sent || http.BytesWritten() > before;
    const bool is_broken = sent != IoStatus::kOk;
    if (!is_broken) {
      watch.SetModes(PollSet::POLL_READ |
                     (http.HasOutput() ? PollSet::POLL_WRITE : 0));
      this->Wait(deadline, stop);
    }
    is_complete = Receive(http, answer, is_broken);
  }
  // A server may answer before it has read the whole request.
  if (!answer.KeepsConnection() || http.HasOutput()) this->connection.reset();
  this->reuse_before = steady_clock::now() + kReuseLimit;
  return answer.Take();
}

void HttpClient::OpenConnection(MonotonicTime deadline) {
  const std::chrono::nanoseconds left = TimeLeft(deadline);
  if (this->connection && this->IsReusable()) return;
  this->connection.reset();
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(this->server.host, this->server.port),
                 ToTimespan(std::min<std::chrono::nanoseconds>(
                     left, this->connect_limit)));
  this->connection.emplace(socket);
}

bool HttpClient::IsReusable() {
  // Bytes that come without a call would be taken for its answer.
  return steady_clock::now() < this->reuse_before &&
         this->connection->Read(1) == IoStatus::kOk &&
         this->connection->Input().empty();
}

void HttpClient::Wait(MonotonicTime deadline, const std::stop_token& stop) {
  while (true) {
    if (stop.stop_requested()) throw Poco::Exception("the call was stopped");
    bool is_ready = false;
    for (const auto& [ready, mode] :
         this->poll_set.poll(ToTimespan(TimeLeft(deadline)))) {
      if (!this->waker.Consume(ready)) is_ready = true;
    }
    if (is_ready) return;
  }
}

}  // namespace bamboorack
