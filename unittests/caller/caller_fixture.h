#ifndef BAMBOORACK_UNITTESTS_CALLER_CALLER_FIXTURE_H_
#define BAMBOORACK_UNITTESTS_CALLER_CALLER_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "bamboorack/caller/caller_thread.h"
#include "catch2/catch.hpp"
#include "support/raw_peer.h"

namespace bamboorack::caller {

inline const std::string kLookupHeaders =
    "X-Rank: lookup\r\nX-Deadline-Ms: 60000\r\n";

inline std::string Get(const std::string& key,
                       const std::string& headers = "") {
  return "GET /v1/reader/" + key + " HTTP/1.1\r\n" + kLookupHeaders + headers +
         "\r\n";
}

inline std::string Post(const std::string& body,
                        const std::string& headers = "") {
  return "POST /v1/reader/k HTTP/1.1\r\n" + kLookupHeaders + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A request that must not run twice.
inline std::string PostOnce(const std::string& body) {
  return "POST /v1/reader/k HTTP/1.1\r\nX-Rank: once\r\nX-Request-Id: p1\r\n"
         "X-Deadline-Ms: 60000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline Answer MakeAnswer(std::string body) {
  return {200,
          {{"X-Own", "1"}, {"Connection", "close"}},
          std::make_shared<const std::string>(std::move(body))};
}

/// A caller thread whose routing thread is the test.
struct Fixture {
  explicit Fixture(CallerThreadSettings settings = {},
                   std::size_t ring_size = 64)
      : out(ring_size), in(64) {
    settings.listen = {"127.0.0.1", 0};
    this->thread = std::make_unique<CallerThread>(settings, this->out, this->in,
                                                  this->metrics);
    REQUIRE(this->thread->Start().has_value());
  }

  testing::RawPeer Connect() const {
    return testing::RawPeer(this->thread->Port());
  }

  RequestArrived NextRequest() {
    auto message = this->out.PopUntil(testing::TestDeadline());
    REQUIRE(message.has_value());
    REQUIRE(std::holds_alternative<RequestArrived>(*message));
    return std::get<RequestArrived>(std::move(*message));
  }

  void Reply(CallerSlot slot, Result result) {
    REQUIRE(this->in.TryPush(ToCaller{slot, std::move(result)}));
  }

  BoundedRing<FromCaller> out;
  BoundedRing<ToCaller> in;
  Metrics metrics;
  std::unique_ptr<CallerThread> thread;
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_UNITTESTS_CALLER_CALLER_FIXTURE_H_
