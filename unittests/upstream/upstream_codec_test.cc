#include "bamboorack/upstream/upstream_codec.h"

#include <memory>
#include <string>

#include "bamboorack/upstream/exchange.h"
#include "bamboorack/upstream/upstream_protocol.h"
#include "catch2/catch.hpp"

namespace bamboorack::upstream {
namespace {

using Catch::Matchers::Contains;
using std::chrono::milliseconds;

const GroupId kGroup{ServiceName("reader"), FailureDomain("hartford"), 0};
const Endpoint kEndpoint{"127.0.0.1", 81};

Dispatch MakeDispatch(const std::string& method, std::string body) {
  Dispatch dispatch;
  dispatch.upstream = {UpstreamId("u"), UpstreamInstance("i1")};
  dispatch.endpoint = kEndpoint;
  dispatch.token = FencingToken(7);
  dispatch.shard = ShardId(3);
  dispatch.upstream_deadline = UpstreamReading(milliseconds(99));
  Request& request = dispatch.request;
  request.id = RequestId("r1");
  request.service = ServiceName("reader");
  request.key = "a/b c";
  request.rest = "/x?y=%20";
  request.method = method;
  request.rank = Rank::kOnce;
  request.content_type = "text/plain";
  request.body = std::make_shared<const std::string>(std::move(body));
  return dispatch;
}

SCENARIO("an upstream reads another request or control call than was sent") {
  SECTION("a dispatched request") {
    const auto bytes = EncodeDispatch(MakeDispatch("PUT", "body"));
    CHECK(bytes.head ==
          "PUT /a%2Fb%20c/x?y=%20 HTTP/1.1\r\nHost: 127.0.0.1:81\r\n"
          "X-Request-Id: r1\r\nX-Service: reader\r\nX-Shard: 3\r\n"
          "X-Token: 7\r\nX-Dispatch: 0\r\nX-Instance: "
          "i1\r\nX-Deadline-Clock-Ms: 99\r\n"
          "X-Rank: once\r\nContent-Type: text/plain\r\n"
          "Content-Length: 4\r\n\r\n");
    CHECK(*bytes.body == "body");
  }
  SECTION("a request without a body has no Content-Length") {
    CHECK_THAT(EncodeDispatch(MakeDispatch("GET", "")).head,
               !Contains("Content-Length"));
  }
  SECTION("a clock call") {
    const auto bytes = EncodeControl(ClockCall{}, kEndpoint);
    CHECK(bytes.head ==
          "GET /control/clock HTTP/1.1\r\nHost: 127.0.0.1:81\r\n\r\n");
  }
  SECTION("a grant") {
    const auto bytes =
        EncodeControl(GrantCall{kGroup,
                                UpstreamInstance("i1"),
                                FencingToken(7),
                                UpstreamReading(milliseconds(1234)),
                                milliseconds(1000),
                                true,
                                {ShardId(1), ShardId(64)}},
                      kEndpoint);
    CHECK_THAT(bytes.head, Contains("POST /control/grant HTTP/1.1\r\n") &&
                               Contains("Content-Length: " +
                                        std::to_string(bytes.body->size())));
    CHECK(*bytes.body ==
          R"({"group":"reader/hartford/0","instance":"i1","token":7,)"
          R"("echo_clock_ms":1234,"lease_ms":1000,"only_if_unexpired":true,)"
          R"("shards":[1,64]})");
  }
}

SCENARIO("an answer that violates the protocol is accepted") {
  struct Row {
    const char* title;
    std::string head;
    bool is_accepted;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const Row rows[] = {
      {"plain", ok + "Content-Length: 10\r\n\r\n", true},
      {"no body by status", "HTTP/1.1 204 No Content\r\n\r\n", true},
      {"no length", ok + "\r\n", false},
      {"two lengths", ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
       false},
      {"negative length", ok + "Content-Length: -1\r\n\r\n", false},
      {"length over the limit", ok + "Content-Length: 11\r\n\r\n", false},
      {"chunked",
       ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", false},
      {"no status", "HTTP/1.1 OK\r\nContent-Length: 1\r\n\r\n", false},
      {"status out of range", "HTTP/1.1 999 X\r\nContent-Length: 1\r\n\r\n",
       false},
      {"status of four digits", "HTTP/1.1 2000\r\nContent-Length: 1\r\n\r\n",
       false},
      {"status without a standard reason phrase",
       "HTTP/1.1 599\r\nContent-Length: 1\r\n\r\n", true},
      {"other protocol", "SSH-2.0-x\r\n\r\n", false},
  };
  for (const Row& row : rows) {
    SECTION(row.title) {
      CHECK(DecodeAnswerHead(row.head, false, 10).has_value() ==
            row.is_accepted);
    }
  }
  SECTION("an answer to HEAD has no body, whatever its Content-Length") {
    const auto head =
        DecodeAnswerHead(ok + "Content-Length: 999\r\n\r\n", true, 10);
    CHECK(head->body_length == 0);
  }
  SECTION("the request id is found, whatever the case of its header") {
    const auto head = DecodeAnswerHead(
        ok + "Content-Length: 0\r\nx-request-id: r1\r\n\r\n", false, 10);
    const std::string* id = MakeNativeProtocol()->FindRequestId(*head);
    CHECK(MatchRequestId(id, RequestId("r1")) == AnswerMatch::kAccepted);
    CHECK(MatchRequestId(id, RequestId("r2")) == AnswerMatch::kOther);
  }
  SECTION("an answer without an id, or with an empty one, is unidentified") {
    const std::string empty;
    CHECK(MatchRequestId(nullptr, RequestId("r1")) ==
          AnswerMatch::kUnidentified);
    CHECK(MatchRequestId(&empty, RequestId("")) == AnswerMatch::kUnidentified);
  }
}

SCENARIO("a request that may have run is reported as not run") {
  struct Row {
    int status;
    const char* not_run;
    Ending ending;
    Reason reason;
  };
  const Row rows[] = {
      {503, "shed", Ending::kNotRun, Reason::kUpstreamShed},
      {503, "draining", Ending::kNotRun, Reason::kUpstreamDraining},
      {503, "deadline", Ending::kNotRun, Reason::kDeadlinePassed},
      {503, "stale_token", Ending::kNotRun, Reason::kUpstreamRefusedToken},
      {503, "not_owner", Ending::kNotRun, Reason::kUpstreamRefusedOwner},
      {503, "other_instance", Ending::kNotRun, Reason::kUpstreamLost},
      {503, "maybe", Ending::kUnknown, Reason::kUpstreamBadAnswer},
      {503, nullptr, Ending::kUnknown, Reason::kUpstreamBadAnswer},
      {500, "shed", Ending::kUnknown, Reason::kUpstreamBadAnswer},
  };
  for (const Row& row : rows) {
    CAPTURE(row.status, row.not_run);
    AnswerHead head;
    head.status = row.status;
    if (row.not_run != nullptr) head.headers = {{"X-Not-Run", row.not_run}};
    const Result result = DecodeDispatchAnswer(head, EmptyBody());
    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().ending == row.ending);
    CHECK(result.error().reason == row.reason);
  }
  for (const int status : {200, 302, 404, 499}) {
    AnswerHead head;
    head.status = status;
    CHECK(DecodeDispatchAnswer(head, EmptyBody())->status == status);
  }
}

SCENARIO("a malformed control answer is accepted") {
  const ControlRequest fence =
      FenceCall{kGroup, UpstreamInstance("i1"), FencingToken(7)};
  const std::string good =
      R"({"clock_ms":5,"lease_expired":false,"draining":true,"shards":[0,2]})";
  SECTION("a complete answer is decoded") {
    const auto answer = DecodeControlAnswer(fence, 200, good);
    const auto& fenced = std::get<FenceAnswer>(*answer);
    CHECK(fenced.reading == UpstreamReading(milliseconds(5)));
    CHECK_FALSE(fenced.lease_expired);
    CHECK(fenced.is_draining);
    CHECK(fenced.shards == std::vector<ShardId>{ShardId(0), ShardId(2)});
  }
  SECTION("each error status has its own error") {
    CHECK(DecodeControlAnswer(fence, 409, "").error() ==
          ControlError::kStaleToken);
    CHECK(DecodeControlAnswer(fence, 410, "").error() ==
          ControlError::kOtherInstance);
    CHECK(DecodeControlAnswer(fence, 412, "").error() ==
          ControlError::kLeaseExpired);
    CHECK(DecodeControlAnswer(fence, 500, good).error() ==
          ControlError::kBadAnswer);
  }
  const char* faults[] = {
      "",
      "{",
      "[]",
      "null",
      "{}",
      "[[[[[[[[]]]]]]]]",
      R"({"clock_ms":5,"draining":true,"shards":[]})",
      R"({"clock_ms":"5","lease_expired":false,"draining":true,"shards":[]})",
      R"({"clock_ms":-5,"lease_expired":false,"draining":true,"shards":[]})",
      R"({"clock_ms":5,"lease_expired":0,"draining":true,"shards":[]})",
      R"({"clock_ms":5,"lease_expired":false,"draining":true,"shards":["0"]})",
      R"({"clock_ms":5,"lease_expired":false,"draining":true,"shards":[-1]})",
      R"({"clock_ms":5,"lease_expired":false,"draining":true,"shards":{}})"};
  for (const char* fault : faults) {
    SECTION(std::string("malformed answer ") + fault) {
      const auto answer = DecodeControlAnswer(fence, 200, fault);
      REQUIRE_FALSE(answer.has_value());
      CHECK(answer.error() == ControlError::kBadAnswer);
    }
  }
  SECTION("an unknown settle state is an error") {
    const ControlRequest settle = SettleCall{RequestId("r"), {}};
    CHECK(std::get<SettleAnswer>(
              *DecodeControlAnswer(settle, 200, R"({"state":"not_run"})"))
              .state == SettleState::kNotRun);
    CHECK_FALSE(
        DecodeControlAnswer(settle, 200, R"({"state":"never"})").has_value());
    CHECK_FALSE(DecodeControlAnswer(settle, 501, "{}").has_value());
  }
}

}  // namespace
}  // namespace bamboorack::upstream
