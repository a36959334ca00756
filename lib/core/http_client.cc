#include "bamboorack/core/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>

namespace bamboorack {
namespace {

using std::chrono::steady_clock;

/// Above the largest answer in use, 128 log records with 64 KiB each.
constexpr std::size_t kMaxReplyBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;

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

}  // namespace

HttpClient::HttpClient(const Endpoint& server, std::chrono::milliseconds limit)
    : connect_limit(limit),
      session(server.host, server.port),
      waker(this->poll_set) {
  this->session.setKeepAlive(true);
}

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
  this->session.reset();
  return tl::make_unexpected(std::move(failure));
}

HttpReply HttpClient::Exchange(const HttpCall& call, MonotonicTime deadline,
                               const std::stop_token& stop, bool& was_sent) {
  if (stop.stop_requested()) throw Poco::Exception("the call was stopped");
  const Poco::Timespan left = ToTimespan(TimeLeft(deadline));
  const Poco::Timespan connect =
      std::min(left, ToTimespan(this->connect_limit));
  this->session.setTimeout(connect, left, left);
  if (this->session.connected()) {
    this->session.socket().setSendTimeout(left);
    this->session.socket().setReceiveTimeout(left);
  }
  Poco::Net::HTTPRequest request(call.method, call.target,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
  std::ostream& out = this->session.sendRequest(request);
  was_sent = true;
  out << call.body << std::flush;
  this->WaitForAnswer(deadline, stop);
  return this->Receive(deadline);
}

void HttpClient::WaitForAnswer(MonotonicTime deadline,
                               const std::stop_token& stop) {
  const std::stop_callback wake(stop, [this] { this->waker.Wake(); });
  const Poco::Net::StreamSocket socket = this->session.socket();
  this->poll_set.add(socket, Poco::Net::PollSet::POLL_READ);
  bool is_ready = false;
  while (!is_ready && !stop.stop_requested() &&
         steady_clock::now() < deadline) {
    for (const auto& [ready, mode] :
         this->poll_set.poll(ToTimespan(deadline - steady_clock::now()))) {
      if (!this->waker.Consume(ready)) is_ready = true;
    }
  }
  this->poll_set.remove(socket);
  if (stop.stop_requested()) throw Poco::Exception("the call was stopped");
  if (!is_ready) throw Poco::TimeoutException("no answer in time");
}

HttpReply HttpClient::Receive(MonotonicTime deadline) {
  Poco::Net::HTTPResponse response;
  std::istream& in = this->session.receiveResponse(response);
  HttpReply reply{response.getStatus(), {}};
  std::array<char, kReadBytes> buffer{};
  // One read of the socket at a time, so that an answer that trickles in is
  // held to the deadline.
  while (in.peek() != std::istream::traits_type::eof()) {
    const std::streamsize count = in.readsome(buffer.data(), buffer.size());
    reply.body.append(buffer.data(), static_cast<std::size_t>(count));
    if (reply.body.size() > kMaxReplyBytes) {
      throw Poco::DataFormatException("the answer is too large");
    }
    TimeLeft(deadline);
  }
  if (response.hasContentLength() &&
      static_cast<Poco::Int64>(reply.body.size()) !=
          response.getContentLength64()) {
    throw Poco::DataFormatException("the answer is cut short");
  }
  return reply;
}

}  // namespace bamboorack
