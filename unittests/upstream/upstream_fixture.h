#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_UPSTREAM_FIXTURE_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_UPSTREAM_FIXTURE_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "bamboorack/upstream/upstream_thread.h"
#include "support/raw_peer.h"

namespace bamboorack::upstream {

using bamboorack::testing::RawPeer;
using bamboorack::testing::TestDeadline;
using std::chrono::milliseconds;

inline std::string Ok(const std::string& body,
                      const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Runs an upstream thread; the test plays its routing thread and upstream.
struct Fixture {
  explicit Fixture(const UpstreamThreadSettings& settings = {},
                   std::size_t ring_size = 64)
      : in(64), to_routing(ring_size), to_control(64) {
    this->listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->listener.listen(64);
    this->endpoint = {"127.0.0.1", this->listener.address().port()};
    this->thread = std::make_unique<UpstreamThread>(
        settings, this->in, this->to_routing, this->to_control, this->metrics);
    REQUIRE(this->thread->Start().has_value());
  }

  RawPeer Accept() {
    REQUIRE(this->listener.poll(Poco::Timespan(10, 0),
                                Poco::Net::Socket::SELECT_READ));
    return RawPeer(this->listener.acceptConnection());
  }

  bool HasNewConnection(milliseconds wait) {
    return this->listener.poll(
        Poco::Timespan(0, static_cast<int>(wait.count()) * 1000),
        Poco::Net::Socket::SELECT_READ);
  }

  Dispatch MakeDispatch(std::uint64_t id, std::string body = "") const {
    Dispatch dispatch;
    dispatch.id = DispatchId(id);
    dispatch.endpoint = this->endpoint;
    dispatch.send_before = TestDeadline();
    dispatch.request.id = RequestId("r" + std::to_string(id));
    dispatch.request.key = "k" + std::to_string(id);
    dispatch.request.method = body.empty() ? "GET" : "POST";
    dispatch.request.deadline = TestDeadline();
    dispatch.request.body =
        std::make_shared<const std::string>(std::move(body));
    return dispatch;
  }

  ControlCall MakeCall(std::uint64_t id, ControlRequest request) const {
    return {ControlCallId(id), UpstreamId("u"), this->endpoint, TestDeadline(),
            std::move(request)};
  }

  void Push(ToUpstream message) {
    REQUIRE(this->in.TryPush(std::move(message)));
  }

  DispatchResult NextResult() {
    auto result = this->to_routing.PopUntil(TestDeadline());
    REQUIRE(result.has_value());
    REQUIRE(std::holds_alternative<DispatchResult>(*result));
    return std::get<DispatchResult>(std::move(*result));
  }

  Poco::Net::ServerSocket listener;
  Endpoint endpoint;
  BoundedRing<ToUpstream> in;
  BoundedRing<UpstreamToRouting> to_routing;
  BoundedRing<ControlResult> to_control;
  Metrics metrics;
  std::unique_ptr<UpstreamThread> thread;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_UPSTREAM_FIXTURE_H_
