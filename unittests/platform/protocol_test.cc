#include <chrono>
#include <string>

#include "bamboorack/operator/settings.h"
#include "bamboorack/upstream/exchange.h"
#include "catch2/catch.hpp"
#include "platform/caller_protocol.h"
#include "platform/settings.h"
#include "platform/upstream_protocol.h"

namespace bamboorack::platform {
namespace {

using Catch::Matchers::Contains;
using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kNow{seconds(100)};

RequestHead Head(std::vector<Header> headers) {
  return {"POST", "/a/b?c=d", std::move(headers)};
}

SCENARIO("a client's request is changed on its way") {
  const auto callers = MakeCallerProtocol();
  const auto checked = callers->Check(Head({{"Host", "a.example"},
                                            {"X-Request-Id", "q1"},
                                            {"X-Deadline-Ms", "1500"},
                                            {"X-Shard-Key", "77"},
                                            {"X-Expect-Instance", "forged"},
                                            {"Connection", "keep-alive"},
                                            {"X-Own", "kept"},
                                            {"Content-Length", "4"}}),
                                      {}, kNow);
  REQUIRE(checked.has_value());
  CHECK(checked->body_length == 4);
  CHECK(checked->request.deadline == kNow + milliseconds(1'500));
  CHECK(checked->request.key == "77");

  upstream::Dispatch dispatch;
  dispatch.request = checked->request;
  dispatch.request.body = std::make_shared<const std::string>("body");
  dispatch.upstream.id = UpstreamId("i-1");
  dispatch.finish_before = kNow + milliseconds(900);
  const HttpBytes bytes =
      MakeUpstreamProtocol()->EncodeDispatch(dispatch, kNow);
  CHECK_THAT(bytes.head, Catch::StartsWith("POST /a/b?c=d HTTP/1.1\r\n"));
  CHECK_THAT(bytes.head, Contains("Host: a.example\r\n"));
  CHECK_THAT(bytes.head, Contains("X-Request-Id: q1\r\n"));
  CHECK_THAT(bytes.head, Contains("X-Own: kept\r\n"));
  CHECK_THAT(bytes.head, Contains("X-Shard-Key: 77\r\n"));
  CHECK_THAT(bytes.head, Contains("X-Deadline-Ms: 900\r\n"));
  CHECK_THAT(bytes.head, Contains("X-Expect-Instance: i-1\r\n"));
  CHECK_THAT(bytes.head, !Contains("forged") && !Contains("Connection"));
  CHECK_THAT(bytes.head, Contains("Content-Length: 4\r\n"));

  SECTION("a request with two framings is refused") {
    const auto smuggled =
        callers->Check(Head({{"Host", "a.example"},
                             {"Content-Length", "4"},
                             {"Transfer-Encoding", "chunked"}}),
                       {}, kNow);
    CHECK(smuggled.error().reason == Reason::kMalformedRequest);
  }
}

SCENARIO("a client is told that its request did not run, and it may have") {
  const auto callers = MakeCallerProtocol();
  struct Row {
    Refusal refusal;
    std::string status;
  };
  const std::vector<Row> rows = {
      {{Ending::kNotRun, Reason::kDeadlineWouldPass, "", milliseconds(250)},
       "503"},
      {{Ending::kNotRun, Reason::kUpstreamLost}, "503"},
      {{Ending::kNotRun, Reason::kDeadlinePassed}, "503"},
      {{Ending::kUnknown, Reason::kUpstreamLost}, "502"},
      {{Ending::kUnknown, Reason::kUpstreamBadAnswer}, "502"},
      {{Ending::kUnknown, Reason::kDeadlinePassed}, "504"},
      {{Ending::kNotRun, Reason::kUnknownService}, "404"},
      {{Ending::kNotRun, Reason::kMalformedRequest}, "400"}};
  for (const Row& row : rows) {
    const HttpBytes bytes =
        callers->Encode(tl::make_unexpected(row.refusal), {});
    CHECK_THAT(bytes.head, Catch::StartsWith("HTTP/1.1 " + row.status + " "));
  }
  const HttpBytes bytes =
      callers->Encode(tl::make_unexpected(rows[0].refusal), {false, false});
  CHECK_THAT(bytes.head, Contains("Retry-After: 0.250\r\n"));
  CHECK_THAT(bytes.head, Contains("Connection: close\r\n"));
}

upstream::AnswerHead AnswerOf(int status, std::vector<Header> headers) {
  upstream::AnswerHead head;
  head.status = status;
  head.headers = std::move(headers);
  return head;
}

SCENARIO("an upstream runs a request and the caller is told that it did not") {
  const auto upstreams = MakeUpstreamProtocol();
  const auto callers = MakeCallerProtocol();
  upstream::Dispatch dispatch;
  dispatch.upstream.id = UpstreamId("i-1");
  const Body body = std::make_shared<const std::string>("x");
  const Header stamp{"X-Server-Stamp", "s"};
  const Header mark{"X-Not-Executed", "1"};
  const auto decode = [&](int status, std::vector<Header> headers) {
    return upstreams->DecodeDispatchAnswer(
        dispatch, AnswerOf(status, std::move(headers)), body);
  };

  for (const int status : {503, 429, 408, 421}) {
    CAPTURE(status);
    GIVEN("an answer with status " + std::to_string(status) +
          " of the upstream's own") {
      const std::vector<std::vector<Header>> own_answers = {
          {stamp},
          {stamp, {"X-Instance-Id", "i-1"}},
          {stamp, {"X-Instance-Id", "i-2"}},
          {{"X-Instance-Id", "i-1"}},
          {}};
      THEN("it may have run") {
        for (const std::vector<Header>& headers : own_answers) {
          const Result result = decode(status, headers);
          REQUIRE_FALSE(result.has_value());
          CHECK(result.error().ending == Ending::kUnknown);
        }
      }
      THEN("the caller gets neither the status nor the stamp") {
        for (const std::vector<Header>& headers : own_answers) {
          const HttpBytes answer = callers->Encode(decode(status, headers), {});
          CHECK_THAT(answer.head, Catch::StartsWith("HTTP/1.1 502 "));
          CHECK_THAT(answer.head, !Contains("X-Server-Stamp"));
          CHECK_THAT(answer.head, !Contains("Retry-After"));
        }
      }
      THEN("operators see the reason") {
        CHECK(decode(status, {stamp}).error().reason ==
              Reason::kUpstreamUnmarkedRejection);
      }
    }
    GIVEN("a rejection with status " + std::to_string(status) +
          " that bears the mark") {
      THEN("it has not run") {
        CHECK(decode(status, {mark}).error().ending == Ending::kNotRun);
      }
    }
  }
  GIVEN("a failure that promises nothing") {
    THEN("it is passed on with its status and its stamp") {
      const HttpBytes answer = callers->Encode(decode(500, {stamp}), {});
      CHECK_THAT(answer.head, Catch::StartsWith("HTTP/1.1 500 "));
      CHECK_THAT(answer.head, Contains("X-Server-Stamp: s\r\n"));
    }
  }
}

SCENARIO("an answer of an upstream is taken for another one") {
  const auto upstreams = MakeUpstreamProtocol();
  upstream::Dispatch dispatch;
  dispatch.upstream.id = UpstreamId("i-1");
  const Body body = std::make_shared<const std::string>("x");
  const auto decode = [&](int status, std::vector<Header> headers) {
    return upstreams->DecodeDispatchAnswer(
        dispatch, AnswerOf(status, std::move(headers)), body);
  };

  SECTION("an answer with a digest is the upstream's, a failure too") {
    CHECK(decode(200, {{"X-Server-Stamp", "s"}})->status == 200);
    CHECK(decode(500, {{"X-Server-Stamp", "s"}})->status == 500);
  }
  SECTION("an answer without one may be anything") {
    CHECK(decode(200, {}).error().ending == Ending::kUnknown);
    CHECK(decode(503, {}).error().ending == Ending::kUnknown);
  }
  SECTION("only the mark says that a request did not run") {
    const std::vector<Header> mark = {{"X-Not-Executed", "1"}};
    CHECK(decode(503, mark).error().reason == Reason::kUpstreamShed);
    CHECK(decode(429, mark).error().ending == Ending::kNotRun);
    CHECK(decode(421, mark).error().reason == Reason::kUpstreamRefusedOwner);
  }
  SECTION("another upstream at the address has not run it") {
    const auto other = decode(421, {{"X-Instance-Id", "i-2"}});
    CHECK(other.error().reason == Reason::kUpstreamReplaced);
    CHECK(other.error().ending == Ending::kNotRun);
    CHECK(decode(421, {{"X-Instance-Id", "i-2"}, {"X-Not-Executed", "1"}})
              .error()
              .reason == Reason::kUpstreamReplaced);
  }
  SECTION("the id tells late answers apart") {
    const auto late = AnswerOf(200, {{"X-Request-Id", "q1"}});
    const std::string* id = upstreams->FindRequestId(late);
    CHECK(upstream::MatchRequestId(id, RequestId("q1")) ==
          upstream::AnswerMatch::kAccepted);
    CHECK(upstream::MatchRequestId(id, RequestId("q2")) ==
          upstream::AnswerMatch::kOther);
    CHECK(upstreams->FindRequestId(AnswerOf(200, {})) == nullptr);
  }
  SECTION("a request without an id of its caller is sent without one") {
    Request request;
    CHECK_FALSE(upstreams->SendsRequestId(request));
    request.headers = {{"x-request-id", ""}};
    CHECK_FALSE(upstreams->SendsRequestId(request));
    request.headers = {{"x-request-id", "q1"}};
    CHECK(upstreams->SendsRequestId(request));
  }
}

SCENARIO("an upstream's word about itself is missed or misread") {
  const auto upstreams = MakeUpstreamProtocol();
  const auto notice_of = [&](int status, std::vector<Header> headers) {
    return upstreams->DecodeNotice(UpstreamId("i-1"),
                                   AnswerOf(status, std::move(headers)));
  };

  SECTION("it leaves") {
    CHECK(notice_of(200, {{"Server-Leaving", "1"}}).is_leaving);
    CHECK(notice_of(503, {{"server-leaving", "1"}}).is_leaving);
    CHECK_FALSE(notice_of(200, {}).is_leaving);
    CHECK_FALSE(notice_of(200, {{"Server-Leaving", "0"}}).is_leaving);
  }
  SECTION("another upstream at its address says nothing about it") {
    const Header leaving{"Server-Leaving", "1"};
    CHECK_FALSE(notice_of(421, {leaving}).is_leaving);
    CHECK_FALSE(notice_of(200, {leaving, {"X-Instance-Id", "i-2"}}).is_leaving);
    CHECK(notice_of(421, {leaving, {"X-Instance-Id", "i-1"}}).is_leaving);
  }
  SECTION("it asks for time") {
    CHECK(notice_of(503, {{"Retry-After", "2"}}).retry_after == seconds(2));
    CHECK(notice_of(503, {{"Retry-After", "0.25"}}).retry_after ==
          milliseconds(250));
    CHECK_FALSE(notice_of(200, {{"Retry-After", "2"}}).retry_after);
  }
  SECTION("it asks for an absurd time") {
    for (const char* text :
         {"0", "-1", "", "soon", "1s", "nan", "1e999", "2 "}) {
      const upstream::UpstreamNotice notice =
          notice_of(503, {{"Retry-After", text}});
      CHECK_FALSE(notice.retry_after.has_value());
      CHECK(notice.is_retry_after_invalid);
    }
    CHECK(notice_of(503, {{"Retry-After", "1e300"}}).retry_after ==
          std::chrono::hours(24));
  }
}

SCENARIO("an order about keys says something else than decided") {
  const auto upstreams = MakeUpstreamProtocol();
  const Endpoint endpoint{"10.0.0.1", 80};
  const KeyRange keys{ShardKey(4'096), ShardKey(8'191)};

  SECTION("a grant") {
    const upstream::RangeGrantCall grant{UpstreamId("i-1"), keys,
                                         FencingToken(12), milliseconds(4'000),
                                         Handover("abc")};
    const HttpBytes bytes = upstreams->EncodeControl(grant, endpoint);
    CHECK_THAT(bytes.head, Catch::StartsWith("POST /-/grant HTTP/1.1\r\n") &&
                               Contains("X-Expect-Instance: i-1\r\n"));
    CHECK(*bytes.body ==
          R"({"from":4096,"to":8191,"fence":12,"hold_time":"4000ms",)"
          R"("handover":"abc"})");
    CHECK(upstreams->DecodeControlAnswer(grant, AnswerOf(200, {}), "")
              .has_value());
    CHECK(
        upstreams->DecodeControlAnswer(grant, AnswerOf(409, {}), "").error() ==
        upstream::ControlError::kStaleToken);
    CHECK(
        upstreams->DecodeControlAnswer(grant, AnswerOf(421, {}), "").error() ==
        upstream::ControlError::kOtherInstance);
    CHECK(
        upstreams->DecodeControlAnswer(grant, AnswerOf(500, {}), "").error() ==
        upstream::ControlError::kBadAnswer);
  }
  SECTION("a release") {
    const upstream::RangeReleaseCall release{UpstreamId("i-1"), keys,
                                             FencingToken(12)};
    const HttpBytes bytes = upstreams->EncodeControl(release, endpoint);
    CHECK(*bytes.body == R"({"from":4096,"to":8191,"fence":12})");
    const auto answer = upstreams->DecodeControlAnswer(
        release, AnswerOf(200, {{"X-Handover", "h"}}), "");
    CHECK(std::get<upstream::RangeReleaseAnswer>(*answer).handover ==
          Handover("h"));
  }
}

// The template renders the bounds as a table. Read only as a list, all of them
// were dropped without a message, and a stop broke off requests early.
SCENARIO("a bound is dropped because of the shape in which it is given") {
  const auto with = [](const std::string& bounds) {
    return ReadSettings(R"({"gateway": {"daemon_id": "n_10.0.0.1",
      "failure_domain": "east", "caller_endpoint": "10.0.0.1:1",
      "readiness_endpoint": "10.0.0.1:2", "gossip_endpoint": "10.0.0.1:3",
      "log_endpoint": "10.0.0.2:4"}, "bounds": )" +
                        bounds + "}");
  };
  const auto error_of = [&with](const std::string& bounds) {
    const auto settings = with(bounds);
    REQUIRE_FALSE(settings.has_value());
    return operators::ToText(settings.error());
  };

  SECTION("a table, as the template renders it") {
    const auto settings = with(
        R"({"seed_lag":"3s","drain":"2000ms","grace":"10s","retry_ratio":0.2,
            "retry_slack":60,"hold_max":"8000ms","thaw":"300ms"})");
    REQUIRE(settings.has_value());
    CHECK(settings->stop_time == milliseconds(10'000));
    CHECK(settings->longest_lease == milliseconds(8'000));
  }
  SECTION("a list, as the settings file has it") {
    const auto settings = with(R"(["grace=10s", "retry_ratio=0.2"])");
    REQUIRE(settings.has_value());
    CHECK(settings->stop_time == milliseconds(10'000));
  }
  SECTION("no bounds leave the defaults") {
    const operators::GatewaySettings defaults;
    REQUIRE(with("null").has_value());
    CHECK(with("null")->stop_time == defaults.stop_time);
    CHECK(with("{}")->longest_lease == defaults.longest_lease);
  }
  SECTION("any other shape or unit is an error that names it") {
    CHECK_THAT(error_of(R"("grace=10s")"), Contains("bounds"));
    CHECK_THAT(error_of("7"), Contains("bounds"));
    CHECK_THAT(error_of(R"(["grace"])"), Contains("\"grace\""));
    CHECK_THAT(error_of("[7]"), Contains("\"7\""));
    CHECK_THAT(error_of(R"({"grace":10})"), Contains("grace: \"10\""));
    CHECK_THAT(error_of(R"({"grace":null})"), Contains("grace: \"\""));
    CHECK_THAT(error_of(R"({"grace":{"s":10}})"), Contains("grace"));
    CHECK_THAT(error_of(R"({"grace":"10"})"), Contains("grace: \"10\""));
  }
}

SCENARIO("a setting is missed or read wrongly") {
  const std::string good = R"({"gateway": {"daemon_id": "n_10.0.0.1",
    "failure_domain": "east", "caller_endpoint": "10.0.0.1:1",
    "readiness_endpoint": "10.0.0.1:2", "gossip_endpoint": "10.0.0.1:3",
    "log_endpoint": "10.0.0.2:4"},
    "bounds": ["hold_max=8s", "grace=5000ms", "other=1"]})";
  const auto settings = ReadSettings(good);
  REQUIRE(settings.has_value());
  CHECK(settings->longest_lease == milliseconds(8'000));
  CHECK(settings->stop_time == milliseconds(5'000));
  CHECK(settings->log_endpoint == Endpoint{"10.0.0.2", 4});

  SECTION("the rate of the link, with a fraction or without one") {
    const auto with = [&good](const std::string& limits) {
      return ReadSettings(good.substr(0, good.rfind('}')) + "," + limits + "}");
    };
    CHECK(settings->link_mbps == 0);
    CHECK(with(R"("limits": {"link_mbps": 11.7})")->link_mbps == 11);
    CHECK(with(R"("limits": {"link_mbps": 0.4})")->link_mbps == 1);
    CHECK(with(R"("limits": {"link_mbps": 0})")->link_mbps == 0);
    CHECK(with(R"("limits": {})")->link_mbps == 0);
    CHECK_FALSE(with(R"("limits": {"link_mbps": "fast"})").has_value());
    CHECK(with(R"("limits": {"memory_mb": 390})")->memory_mb == 390);
    CHECK_FALSE(with(R"("limits": {"memory_mb": "much"})").has_value());
  }
  SECTION("every error is listed") {
    const auto bad = ReadSettings(R"({"gateway": {"daemon_id": "n",
      "caller_endpoint": 7}, "bounds": []})");
    REQUIRE_FALSE(bad.has_value());
    CHECK(bad.error().size() >= 4);
  }
  SECTION("text that is not a document is told") {
    CHECK_FALSE(ReadSettings("node: x").has_value());
    CHECK_FALSE(ReadSettings(R"({"bounds": []})").has_value());
    CHECK_FALSE(ReadSettings(R"({"gateway": {}, "bounds": ["grace=soon"]})")
                    .has_value());
  }
}

}  // namespace
}  // namespace bamboorack::platform
