#ifndef BAMBOORACK_CORE_HTTP_CLIENT_H_
#define BAMBOORACK_CORE_HTTP_CLIENT_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/PollSet.h>

#include <chrono>
#include <cstddef>
#include <stop_token>
#include <string>
#include <tl/expected.hpp>

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
  /// `connect_limit` bounds each attempt to connect.
  HttpClient(const Endpoint& server, std::chrono::milliseconds connect_limit);

  /// Makes a call. Fails if there is no complete answer by `deadline`, or if
  /// `stop` is requested while it waits for the answer. A failure closes the
  /// connection, so that a late answer is never taken for the next one.
  tl::expected<HttpReply, HttpFailure> Call(const HttpCall& call,
                                            MonotonicTime deadline,
                                            const std::stop_token& stop);

 private:
  HttpReply Exchange(const HttpCall& call, MonotonicTime deadline,
                     const std::stop_token& stop, bool& was_sent);
  void WaitForAnswer(MonotonicTime deadline, const std::stop_token& stop);
  HttpReply Receive(MonotonicTime deadline);

  std::chrono::milliseconds connect_limit;
  Poco::Net::HTTPClientSession session;
  Poco::Net::PollSet poll_set;
  PollWaker waker;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HTTP_CLIENT_H_
