#include "bamboorack/caller/request_check.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bamboorack::caller {
namespace {

using std::chrono::milliseconds;

RequestHead ValidHead() {
  return {
      "GET",
      "/v1/reader/a%2Fb/page?x=1",
      {{"X-Rank", "once"}, {"X-Deadline-Ms", "250"}, {"x-request-id", "r1"}}};
}

void Set(RequestHead& head, const std::string& name, const std::string& value) {
  for (Header& header : head.headers) {
    if (header.name == name) {
      header.value = value;
      return;
    }
  }
  head.headers.push_back({name, value});
}

SCENARIO("a valid request is refused or loses a part on the way") {
  const MonotonicTime now = std::chrono::steady_clock::now();
  RequestHead head = ValidHead();

  SECTION("every part is taken over") {
    const auto checked = CheckRequest(head, {}, now);
    REQUIRE(checked.has_value());
    CHECK(checked->request.service == ServiceName("reader"));
    CHECK(checked->request.key == "a/b");
    CHECK(checked->request.rest == "/page?x=1");
    CHECK(checked->request.rank == Rank::kOnce);
    CHECK(checked->request.id == RequestId("r1"));
    CHECK(checked->request.deadline == now + milliseconds(250));
    CHECK(checked->body_length == 0);
  }
  SECTION("a query directly after the key is kept") {
    head.target = "/v1/reader/key?x=1";
    CHECK(CheckRequest(head, {}, now)->request.rest == "?x=1");
  }
  SECTION("the largest allowed values pass") {
    head.target = "/v1/reader/" + std::string(512, 'k');
    Set(head, "x-request-id", std::string(64, 'i'));
    Set(head, "X-Deadline-Ms", "600000");
    Set(head, "Content-Length", "1048576");
    CHECK(CheckRequest(head, {}, now).has_value());
  }
  SECTION("a bulk body may be larger") {
    Set(head, "X-Rank", "bulk");
    Set(head, "Content-Length", "67108864");
    CHECK(CheckRequest(head, {}, now)->body_length == 67'108'864);
  }
  SECTION("a lookup needs no request id") {
    head.headers = {{"X-Rank", "lookup"}, {"X-Deadline-Ms", "1"}};
    CHECK(CheckRequest(head, {}, now)->request.id.IsEmpty());
  }
}

struct Fault {
  const char* title;
  Reason reason;
  void (*apply)(RequestHead&);
};

const Fault kFaults[] = {
    {"unknown method", Reason::kMalformedRequest,
     [](RequestHead& head) { head.method = "TRACE"; }},
    {"other path", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v2/reader/key"; }},
    {"no service", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1//key"; }},
    {"no key", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1/reader"; }},
    {"empty key", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1/reader/?x"; }},
    {"broken escape", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1/reader/a%2"; }},
    {"key of 513 bytes", Reason::kMalformedRequest,
     [](RequestHead& head) {
       head.target = "/v1/reader/" + std::string(513, 'k');
     }},
    {"key that reaches the control calls", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1/reader/%63ontrol/revoke"; }},
    {"dot segments", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1/reader/k/%2e%2e/control"; }},
    {"fragment", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1/reader/k#f"; }},
    {"control character", Reason::kMalformedRequest,
     [](RequestHead& head) { head.target = "/v1/reader/k\x01"; }},
    {"chunked", Reason::kLengthRequired,
     [](RequestHead& head) { Set(head, "Transfer-Encoding", "chunked"); }},
    {"POST without a length", Reason::kLengthRequired,
     [](RequestHead& head) { head.method = "POST"; }},
    {"length with a sign", Reason::kMalformedRequest,
     [](RequestHead& head) { Set(head, "Content-Length", "-1"); }},
    {"list of lengths", Reason::kMalformedRequest,
     [](RequestHead& head) { Set(head, "Content-Length", "3, 3"); }},
    {"two lengths", Reason::kMalformedRequest,
     [](RequestHead& head) {
       head.headers.push_back({"Content-Length", "3"});
       head.headers.push_back({"content-length", "3"});
     }},
    {"two ranks", Reason::kMalformedRequest,
     [](RequestHead& head) {
       head.headers.push_back({"x-rank", "bulk"});
     }},
    {"no rank", Reason::kBadRank,
     [](RequestHead& head) { head.headers.erase(head.headers.begin()); }},
    {"unknown rank", Reason::kBadRank,
     [](RequestHead& head) { Set(head, "X-Rank", "Lookup"); }},
    {"no deadline", Reason::kMissingDeadline,
     [](RequestHead& head) { head.headers.erase(head.headers.begin() + 1); }},
    {"deadline 0", Reason::kBadDeadline,
     [](RequestHead& head) { Set(head, "X-Deadline-Ms", "0"); }},
    {"deadline over 600000", Reason::kBadDeadline,
     [](RequestHead& head) { Set(head, "X-Deadline-Ms", "600001"); }},
    {"deadline with a unit", Reason::kBadDeadline,
     [](RequestHead& head) { Set(head, "X-Deadline-Ms", "5s"); }},
    {"once without an id", Reason::kMissingRequestId,
     [](RequestHead& head) { head.headers.pop_back(); }},
    {"id of 65 characters", Reason::kMalformedRequest,
     [](RequestHead& head) {
       Set(head, "x-request-id", std::string(65, 'i'));
     }},
    {"id with a space", Reason::kMalformedRequest,
     [](RequestHead& head) { Set(head, "x-request-id", "a b"); }},
    {"body over the limit of its rank", Reason::kBodyTooLarge,
     [](RequestHead& head) { Set(head, "Content-Length", "1048577"); }},
    {"bulk body over its limit", Reason::kBodyTooLarge,
     [](RequestHead& head) {
       Set(head, "X-Rank", "bulk");
       Set(head, "Content-Length", "67108865");
     }},
    {"unknown expectation", Reason::kMalformedRequest,
     [](RequestHead& head) { Set(head, "Expect", "200-ok"); }},
};

SCENARIO("a faulty request is let through or refused for another reason") {
  for (const Fault& fault : kFaults) {
    SECTION(fault.title) {
      RequestHead head = ValidHead();
      fault.apply(head);
      const auto checked =
          CheckRequest(head, {}, std::chrono::steady_clock::now());
      REQUIRE_FALSE(checked.has_value());
      CHECK(checked.error().reason == fault.reason);
      CHECK(checked.error().ending == Ending::kNotRun);
      CHECK_FALSE(checked.error().detail.empty());
    }
  }
}

}  // namespace
}  // namespace bamboorack::caller
