#ifndef BAMBOORACK_CORE_HTTP_CLIENT_H_
#define BAMBOORACK_CORE_HTTP_CLIENT_H_

#include <Poco/Net/PollSet.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <stop_token>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/http_connection.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/poll_waker.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

struct HttpCall {
  std::string method;
  /// Path and query.
  std::string target;
  std::string body;
};

/// A complete answer of any status.
struct HttpReply {
  int status = 0;
  std::string body;
};

struct HttpFailure {
  /// False if the call provably did not reach the server.
  bool may_have_run = false;
  std::string detail;
};

/// Calls one HTTP server over one persistent connection. For one thread.
class HttpClient {
 public:
  /// Above the largest answer of the log service, 128 records with 64 KiB each.
  static constexpr std::size_t kMaxReplyBytes = std::size_t{64} << 20U;

  /// `limit` bounds each attempt to connect, `max_reply` the body of each
  /// answer in bytes.
  HttpClient(const Endpoint& endpoint, std::chrono::milliseconds limit,
             std::size_t max_reply = kMaxReplyBytes);

  /// Makes a call. Fails if there is no complete answer by `deadline`, however
  /// fast or slowly its bytes come, or if `stop` is requested, which is not
  /// noticed while it connects. A failure closes the connection, so that a late
  /// answer is never taken for the next one.
  tl::expected<HttpReply, HttpFailure> Call(const HttpCall& call,
                                            MonotonicTime deadline,
                                            const std::stop_token& stop);

 private:
  HttpReply Exchange(const HttpCall& call, MonotonicTime deadline,
                     const std::stop_token& stop, bool& was_sent);
  /// Makes sure that there is a connection, the kept one if possible.
  void OpenConnection(MonotonicTime deadline);
  /// Returns false if the kept connection is too old, or if the server has
  /// closed it or sent something since the last answer.
  bool IsReusable();
  /// Waits until the connection can be read or written, at most until
  /// `deadline`.
  void Wait(MonotonicTime deadline, const std::stop_token& stop);

  const Endpoint server;
  const std::chrono::milliseconds connect_limit;
  const std::size_t max_reply_bytes;
  std::optional<HttpConnection> connection;
  /// Valid while there is a connection.
  MonotonicTime reuse_before;
  Poco::Net::PollSet poll_set;
  PollWaker waker;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HTTP_CLIENT_H_
