// clang-format off
// Must be included before Catch, whose CHECK replaces that of glog.
#include "bamboorack/upstream/upstream_thread.h"
// clang-format on

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fakes/upstream/upstream_server.h"
#include "support/raw_peer.h"

namespace bamboorack::upstream {
namespace {

using bamboorack::testing::RawPeer;
using bamboorack::testing::TestDeadline;
using Catch::Matchers::Contains;
using std::chrono::milliseconds;

const GroupId kGroup{ServiceName("reader"), FailureDomain("hartford"), 0};
const UpstreamInstance kInstance("i1");
constexpr milliseconds kLongLease{60'000};

fakes::UpstreamSettings MakeSettings() {
  fakes::UpstreamSettings settings;
  settings.id = "u1";
  settings.ownership.instance = kInstance.value;
  return settings;
}

/// A simulated upstream and an upstream thread that is connected to it.
struct Fixture {
  explicit Fixture(const fakes::UpstreamSettings& settings = MakeSettings())
      : upstream(settings),
        pool(4, 32),
        in(64),
        to_routing(64),
        to_control(64) {
    this->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->socket.listen(64);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(32);
    this->server = std::make_unique<Poco::Net::HTTPServer>(
        new fakes::UpstreamHandlerFactory(this->upstream), this->pool,
        this->socket, params);
    this->server->start();
    this->endpoint = {"127.0.0.1", this->socket.address().port()};
    this->thread = std::make_unique<UpstreamThread>(
        UpstreamThreadSettings{}, this->in, this->to_routing, this->to_control,
        this->metrics);
    REQUIRE(this->thread->Start().has_value());
  }

  ~Fixture() {
    this->thread->Stop(std::chrono::steady_clock::now());
    this->upstream.Stop();
    this->server->stopAll(true);
  }

  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  void Send(ControlRequest request) {
    ControlCall call{ControlCallId(1), UpstreamId("u1"), this->endpoint,
                     TestDeadline(), std::move(request)};
    REQUIRE(this->in.TryPush(std::move(call)));
  }

  /// Sends a control call and returns its result.
  tl::expected<ControlAnswer, ControlError> Call(ControlRequest request) {
    this->Send(std::move(request));
    auto result = this->to_control.PopUntil(TestDeadline());
    REQUIRE(result.has_value());
    return result->answer;
  }

  /// Sends a settle call for `id` that fences attempts up to dispatch
  /// `through`.
  SettleState Settle(const std::string& id, DispatchId through) {
    this->Send(SettleCall{RequestId(id), {FencingToken(7), through}});
    auto result = this->to_routing.PopUntil(TestDeadline());
    REQUIRE(result.has_value());
    const auto& answer = std::get<ControlResult>(*result).answer;
    REQUIRE(answer.has_value());
    return std::get<SettleAnswer>(*answer).state;
  }

  UpstreamReading Reading() {
    return std::get<ClockAnswer>(*this->Call(ClockCall{})).reading;
  }

  tl::expected<ControlAnswer, ControlError> Grant(std::uint64_t token,
                                                  milliseconds lease,
                                                  bool only_if_unexpired) {
    return this->Call(GrantCall{kGroup,
                                kInstance,
                                FencingToken(token),
                                this->Reading(),
                                lease,
                                only_if_unexpired,
                                {ShardId(1), ShardId(2)}});
  }

  Dispatch MakeDispatch(const std::string& id) {
    Dispatch dispatch;
    dispatch.id = DispatchId(++this->last_id);
    dispatch.upstream = {UpstreamId("u1"), kInstance};
    dispatch.endpoint = this->endpoint;
    dispatch.token = FencingToken(7);
    dispatch.shard = ShardId(1);
    dispatch.upstream_deadline = this->Reading() + milliseconds(60'000);
    dispatch.send_before = TestDeadline();
    dispatch.request.id = RequestId(id);
    dispatch.request.service = kGroup.service;
    dispatch.request.key = "a/b";
    dispatch.request.method = "POST";
    dispatch.request.deadline = TestDeadline();
    dispatch.request.body = std::make_shared<const std::string>("12345");
    return dispatch;
  }

  Result Run(Dispatch dispatch) {
    REQUIRE(this->in.TryPush(std::move(dispatch)));
    return this->NextResult();
  }

  Result NextResult() {
    auto result = this->to_routing.PopUntil(TestDeadline());
    REQUIRE(result.has_value());
    return std::get<DispatchResult>(std::move(*result)).result;
  }

  void WaitUntilOneRuns() {
    RawPeer peer(this->endpoint.port);
    const MonotonicTime end = TestDeadline();
    std::string load;
    while (load.find("\"running\":1") == std::string::npos) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      peer.Send("GET /control/load HTTP/1.1\r\n\r\n");
      load = peer.ReadMessage();
    }
  }

  void SetFault(const std::string& json) {
    RawPeer peer(this->endpoint.port);
    peer.Send("POST /fault HTTP/1.1\r\nContent-Length: " +
              std::to_string(json.size()) + "\r\n\r\n" + json);
    CHECK_THAT(peer.ReadMessage(), Contains("200 OK"));
  }

  fakes::UpstreamServer upstream;
  Poco::ThreadPool pool;
  Poco::Net::ServerSocket socket;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  Endpoint endpoint;
  BoundedRing<ToUpstream> in;
  BoundedRing<UpstreamToRouting> to_routing;
  BoundedRing<ControlResult> to_control;
  Metrics metrics;
  std::unique_ptr<UpstreamThread> thread;
  std::uint64_t last_id = 0;
};

SCENARIO("the daemon and the simulated upstream disagree on the protocol") {
  GIVEN("an upstream that holds a grant with token 7") {
    Fixture fixture;
    REQUIRE(fixture.Grant(7, kLongLease, false).has_value());
    const auto reason_of = [&fixture](Dispatch dispatch) {
      const Result result = fixture.Run(std::move(dispatch));
      REQUIRE_FALSE(result.has_value());
      CHECK(result.error().ending == Ending::kNotRun);
      return result.error().reason;
    };

    THEN("a request on a granted shard runs once") {
      const Result result = fixture.Run(fixture.MakeDispatch("r1"));
      REQUIRE(result.has_value());
      CHECK(*result->body ==
            R"({"upstream":"u1","instance":"i1","key":"a/b",)"
            R"("request_id":"r1","method":"POST","body_bytes":5,"runs":1})");
      CHECK(fixture.Settle("r1", DispatchId(1)) == SettleState::kDone);
    }
    THEN("an attempt that is settled as not run never runs") {
      const Dispatch attempt = fixture.MakeDispatch("r1");
      CHECK(fixture.Settle("r1", attempt.id) == SettleState::kNotRun);
      CHECK(reason_of(attempt) == Reason::kDeadlinePassed);
      SECTION("but a later attempt does") {
        CHECK(fixture.Run(fixture.MakeDispatch("r1")).has_value());
      }
    }
    THEN("another shard, another instance or a passed deadline is refused") {
      Dispatch dispatch = fixture.MakeDispatch("r1");
      SECTION("shard") {
        dispatch.shard = ShardId(9);
        CHECK(reason_of(dispatch) == Reason::kUpstreamRefusedOwner);
      }
      SECTION("instance") {
        dispatch.upstream.instance = UpstreamInstance("i2");
        CHECK(reason_of(dispatch) == Reason::kUpstreamLost);
      }
      SECTION("deadline") {
        dispatch.upstream_deadline = UpstreamReading(milliseconds(0));
        CHECK(reason_of(dispatch) == Reason::kDeadlinePassed);
      }
    }
    THEN("a fence reports the grant and invalidates the old token") {
      const auto answer =
          fixture.Call(FenceCall{kGroup, kInstance, FencingToken(8)});
      const auto& fenced = std::get<FenceAnswer>(*answer);
      CHECK_FALSE(fenced.lease_expired);
      CHECK(fenced.shards == std::vector<ShardId>{ShardId(1), ShardId(2)});
      CHECK(reason_of(fixture.MakeDispatch("r1")) ==
            Reason::kUpstreamRefusedToken);
      CHECK(fixture.Grant(7, kLongLease, false).error() ==
            ControlError::kStaleToken);
      CHECK(std::get<ClockAnswer>(*fixture.Call(ClockCall{})).token ==
            FencingToken(8));
    }
    THEN("a settle call to another instance is refused") {
      fixture.Send(
          SettleCall{RequestId("r1"), {}, UpstreamInstance("replaced")});
      const auto result = fixture.to_routing.PopUntil(TestDeadline());
      REQUIRE(result.has_value());
      CHECK(std::get<ControlResult>(*result).answer.error() ==
            ControlError::kOtherInstance);
    }
    THEN("a fence to another instance is refused") {
      CHECK(
          fixture
              .Call(FenceCall{kGroup, UpstreamInstance("i2"), FencingToken(8)})
              .error() == ControlError::kOtherInstance);
    }
    THEN("an expired grant is not renewed if only_if_unexpired is set") {
      REQUIRE(fixture.Grant(7, milliseconds(0), true).has_value());
      CHECK(fixture.Grant(7, kLongLease, true).error() ==
            ControlError::kLeaseExpired);
      CHECK(reason_of(fixture.MakeDispatch("r1")) ==
            Reason::kUpstreamRefusedOwner);
    }
    THEN("a draining or shedding upstream reports its state") {
      fixture.SetFault(R"({"shed":true})");
      CHECK(reason_of(fixture.MakeDispatch("r1")) == Reason::kUpstreamShed);
      fixture.SetFault(R"({"drain":true})");
      CHECK(reason_of(fixture.MakeDispatch("r1")) == Reason::kUpstreamDraining);
      CHECK(std::get<ClockAnswer>(*fixture.Call(ClockCall{})).is_draining);
    }
    WHEN("a request takes 9 s") {
      fixture.SetFault(R"({"service_ms":9000})");
      Dispatch dispatch = fixture.MakeDispatch("r1");
      const DispatchId id = dispatch.id;
      REQUIRE(fixture.in.TryPush(std::move(dispatch)));
      fixture.WaitUntilOneRuns();
      THEN("a cancel ends it and a revocation completes only then") {
        fixture.Send(
            RevokeCall{kGroup, kInstance, FencingToken(7), {ShardId(1)}});
        REQUIRE(fixture.in.TryPush(CancelDispatch{id}));
        const Result result = fixture.NextResult();
        CHECK(result.error().ending == Ending::kUnknown);
        CHECK(result.error().reason == Reason::kCancelled);
        const auto revoked = fixture.to_control.PopUntil(TestDeadline());
        REQUIRE(revoked.has_value());
        CHECK(revoked->answer.has_value());
        CHECK(reason_of(fixture.MakeDispatch("r2")) ==
              Reason::kUpstreamRefusedOwner);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
