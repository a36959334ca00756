#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "bamboorack/caller/caller_thread.h"
#include "caller/caller_fixture.h"
#include "catch2/catch.hpp"

namespace bamboorack::caller {
namespace {

using bamboorack::testing::RawPeer;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kRequests = 100'000;
constexpr std::size_t kUploads = 300'000;
/// Heads count beside the bodies.
constexpr std::size_t kHeadBytes = 10'000;

std::string UploadHead(std::size_t length, const std::string& headers = "") {
  return "POST /v1/reader/k HTTP/1.1\r\nX-Rank: bulk\r\n"
         "X-Request-Id: u1\r\nX-Deadline-Ms: 60000\r\n" +
         headers + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string Chunk(std::size_t length) {
  std::ostringstream chunk;
  chunk << std::hex << length << "\r\n" << std::string(length, 'c') << "\r\n";
  return chunk.str();
}

/// Takes every body in chunks.
class ChunkedProtocol : public CallerProtocol {
 public:
  tl::expected<CheckedRequest, Refusal> Check(
      const RequestHead& head, const RequestLimits& limits,
      MonotonicTime now) const override {
    CheckedRequest checked;
    checked.request.method = head.method;
    checked.request.deadline = now + std::chrono::seconds(60);
    checked.framing = BodyFraming::kChunked;
    checked.body_limit = limits.bulk_body;
    return checked;
  }
  HttpBytes Encode(const Result& result,
                   const AnswerForm& form) const override {
    return MakeNativeProtocol()->Encode(result, form);
  }
};

/// A caller thread that has memory for one large upload.
struct MemoryFixture {
  explicit MemoryFixture(
      std::shared_ptr<const CallerProtocol> protocol = MakeNativeProtocol())
      : fixture(this->MakeSettings(std::move(protocol))) {}

  CallerThreadSettings MakeSettings(
      std::shared_ptr<const CallerProtocol> protocol) const {
    CallerThreadSettings settings;
    settings.memory = this->memory;
    settings.protocol = std::move(protocol);
    return settings;
  }
  std::size_t Held(MemoryUse use) const { return this->memory->Held(use); }
  bool AwaitCount(std::string_view counter, std::uint64_t count) const {
    const MonotonicTime end = testing::TestDeadline();
    while (this->fixture.metrics.CountOf(counter) < count) {
      if (steady_clock::now() >= end) return false;
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }
  bool AwaitHeld(MemoryUse use, std::size_t bytes) const {
    const MonotonicTime end = testing::TestDeadline();
    while (this->Held(use) != bytes) {
      if (steady_clock::now() >= end) return false;
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }

  const std::shared_ptr<MemoryBudget> memory =
      std::make_shared<MemoryBudget>(MemoryLimits{kRequests, kUploads, 0, 0});
  Fixture fixture;
};

SCENARIO("uploads that are all proper take up the memory of the process") {
  GIVEN("an upload that fills most of the memory for uploads") {
    MemoryFixture test;
    const std::string body(200'000, 'a');
    RawPeer first = test.fixture.Connect();
    first.Send(UploadHead(body.size()) + body);
    RequestArrived arrived = test.fixture.NextRequest();
    CHECK(*arrived.request.body == body);
    WHEN("a second one does not fit beside it") {
      RawPeer second = test.fixture.Connect();
      second.Send(UploadHead(body.size(), "Expect: 100-continue\r\n"));
      REQUIRE(test.AwaitCount("caller_uploads_held_back", 1));
      THEN("it stays unread, and is read when the first one has ended") {
        CHECK(test.Held(MemoryUse::kUploads) < body.size() + kHeadBytes);
        arrived.request.body.reset();
        test.fixture.Reply(arrived.slot, MakeAnswer("first"));
        CHECK(second.ReadHead() == "HTTP/1.1 100 Continue\r\n\r\n");
        second.Send(body);
        CHECK(*test.fixture.NextRequest().request.body == body);
      }
      THEN("it is refused as not run while the caller can still go on") {
        const std::string answer = second.ReadMessage();
        CHECK_THAT(answer, StartsWith("HTTP/1.1 503 "));
        CHECK_THAT(answer, Contains("queue_full") && Contains("not_run"));
        CHECK(test.fixture.metrics.Refusals(Reason::kQueueFull) == 1);
      }
      THEN("a small request does not wait for it") {
        RawPeer small = test.fixture.Connect();
        small.Send(Post("small"));
        CHECK(*test.fixture.NextRequest().request.body == "small");
      }
      THEN("a caller that leaves frees its place") {
        second.Close();
        arrived.request.body.reset();
        test.fixture.Reply(arrived.slot, MakeAnswer("first"));
        CHECK(test.AwaitHeld(MemoryUse::kUploads, 0));
      }
    }
    WHEN("a larger and a smaller one wait") {
      RawPeer larger = test.fixture.Connect();
      larger.Send(UploadHead(250'000));
      REQUIRE(test.AwaitCount("caller_uploads_held_back", 1));
      RawPeer smaller = test.fixture.Connect();
      smaller.Send(UploadHead(70'000) + std::string(70'000, 's'));
      REQUIRE(test.AwaitCount("caller_uploads_held_back", 2));
      THEN("the smaller one has its turn when the larger one gives up") {
        larger.Close();
        CHECK(test.fixture.NextRequest().request.body->size() == 70'000);
      }
    }
    WHEN("the answer to the first one is ready") {
      arrived.request.body.reset();
      test.fixture.Reply(arrived.slot, MakeAnswer("first"));
      first.ReadMessage();
      THEN("nothing is held any more") {
        CHECK(test.AwaitHeld(MemoryUse::kUploads, 0));
        CHECK(test.Held(MemoryUse::kRequests) == 0);
      }
    }
  }
  GIVEN("an upload that can never fit") {
    MemoryFixture test;
    RawPeer caller = test.fixture.Connect();
    const MonotonicTime start = steady_clock::now();
    caller.Send(UploadHead(400'000));
    THEN("it is refused at once, before its body is read") {
      CHECK_THAT(caller.ReadMessage(), Contains("queue_full"));
      CHECK(steady_clock::now() - start < milliseconds(900));
      CHECK(test.Held(MemoryUse::kUploads) == 0);
    }
  }
  GIVEN("an upload that is cut off") {
    MemoryFixture test;
    RawPeer caller = test.fixture.Connect();
    caller.Send(UploadHead(200'000) + "begin");
    REQUIRE(test.AwaitHeld(MemoryUse::kRequests, 0));
    caller.Close();
    THEN("its memory is free again") {
      CHECK(test.AwaitHeld(MemoryUse::kUploads, 0));
    }
  }
}

SCENARIO("uploads without a length grow beyond the memory of the process") {
  GIVEN("two uploads in chunks, each of which fits alone") {
    MemoryFixture test(std::make_shared<const ChunkedProtocol>());
    const std::string head =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    RawPeer first = test.fixture.Connect();
    RawPeer second = test.fixture.Connect();
    first.Send(head);
    second.Send(head);
    for (int i = 0; i < 4; ++i) {
      first.Send(Chunk(20'000));
      second.Send(Chunk(20'000));
    }
    WHEN("neither can grow any more") {
      std::jthread more([&] {
        first.TrySend(Chunk(20'000) + "0\r\n\r\n");
        second.TrySend(Chunk(20'000) + "0\r\n\r\n");
      });
      THEN("one is refused, and the other one comes whole") {
        CHECK(test.fixture.NextRequest().request.body->size() == 100'000);
        CHECK(test.memory->Peak(MemoryUse::kUploads) <= kUploads + kHeadBytes);
      }
    }
  }
}

SCENARIO("many small requests take up the memory of the process") {
  GIVEN("requests that fill the memory for small ones") {
    MemoryFixture test;
    RawPeer first = test.fixture.Connect();
    first.Send(Post(std::string(60'000, 'a')));
    const RequestArrived arrived = test.fixture.NextRequest();
    WHEN("another one comes") {
      RawPeer second = test.fixture.Connect();
      second.Send(Post(std::string(60'000, 'b')));
      THEN("it is refused at once, since another daemon may have room") {
        CHECK_THAT(second.ReadMessage(), Contains("queue_full"));
      }
    }
    WHEN("heads come that are not complete") {
      std::vector<RawPeer> callers;
      for (int i = 0; i < 4; ++i) {
        callers.push_back(test.fixture.Connect());
        callers.back().Send("GET /v1/reader/k HTTP/1.1\r\nX-Own: " +
                            std::string(14'000, 'h'));
      }
      THEN("those that do not fit are refused") {
        const MonotonicTime end = testing::TestDeadline();
        while (test.fixture.metrics.Refusals(Reason::kQueueFull) == 0) {
          REQUIRE(steady_clock::now() < end);
          std::this_thread::sleep_for(milliseconds(1));
        }
        CHECK(test.memory->Peak(MemoryUse::kRequests) <= kRequests);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::caller
