#include "bamboorack/core/http_body.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bamboorack {
namespace {

using Status = BodyReader::Status;

/// Feeds `bytes` in pieces of `step` bytes.
Status FeedInSteps(BodyReader& reader, const std::string& bytes,
                   std::size_t step, std::string& rest) {
  Status status = Status::kIncomplete;
  std::string input;
  std::size_t position = 0;
  while (status == Status::kIncomplete && position < bytes.size()) {
    input += bytes.substr(position, step);
    position += step;
    status = reader.Feed(input);
  }
  if (position < bytes.size()) input += bytes.substr(position);
  rest = input;
  return status;
}

TEST_CASE("the end of a body is found at the wrong place") {
  const std::size_t step = GENERATE(1U, 3U, 1000U);
  std::string rest;

  SECTION("a body with a length ends there, and what follows is left") {
    BodyReader reader({BodyFraming::kLength, 5}, 10);
    CHECK(FeedInSteps(reader, "helloGET /", step, rest) == Status::kComplete);
    CHECK(reader.Take() == "hello");
    CHECK(rest == "GET /");
  }

  SECTION("a chunked body is joined, and what follows is left") {
    BodyReader reader({BodyFraming::kChunked, 0}, 10);
    CHECK(FeedInSteps(reader,
                      "3;x=y\r\nabc\r\n2 \r\nde\r\n0\r\nT: v\r\n\r\nGET /",
                      step, rest) == Status::kComplete);
    CHECK(reader.Take() == "abcde");
    CHECK(rest == "GET /");
  }

  SECTION("broken chunks are told apart from incomplete ones") {
    for (const std::string bytes :
         {"x\r\n", "-1\r\n", "2\r\nabc\r\n", "\r\n", "1g\r\n"}) {
      CAPTURE(bytes);
      BodyReader reader({BodyFraming::kChunked, 0}, 10);
      CHECK(FeedInSteps(reader, bytes, step, rest) == Status::kMalformed);
    }
  }

  // A chunk that is longer than its size says may have "0" on a line of its
  // own; what follows is no header then.
  SECTION("what follows the last chunk is no trailer") {
    for (const std::string line : {"more of the body", "T\x01: v", " T: v",
                                   ": v", "T: \x01", "T: v\n"}) {
      CAPTURE(line);
      BodyReader reader({BodyFraming::kChunked, 0}, 10);
      CHECK(FeedInSteps(reader, "3\r\nabc\r\n0\r\n" + line + "\r\n\r\n", step,
                        rest) == Status::kMalformed);
    }
  }

  SECTION("a chunk extension has control characters") {
    for (const std::string line : {"3;x\n", "3;x=\x01", "3;\v"}) {
      CAPTURE(line);
      BodyReader reader({BodyFraming::kChunked, 0}, 10);
      CHECK(FeedInSteps(reader, line + "\r\nabc\r\n0\r\n\r\n", step, rest) ==
            Status::kMalformed);
    }
  }

  SECTION("a body that is too large is refused before it is read") {
    BodyReader reader({BodyFraming::kChunked, 0}, 4);
    CHECK(FeedInSteps(reader, "2\r\nab\r\n3\r\n", step, rest) ==
          Status::kTooLarge);
  }

  SECTION("only a body without a length may end with the connection") {
    BodyReader endless({BodyFraming::kUntilClose, 0}, 10);
    CHECK(FeedInSteps(endless, "abc", step, rest) == Status::kIncomplete);
    CHECK(endless.FeedEnd() == Status::kComplete);
    CHECK(endless.Take() == "abc");
    BodyReader cut({BodyFraming::kLength, 5}, 10);
    CHECK(FeedInSteps(cut, "abc", step, rest) == Status::kIncomplete);
    CHECK(cut.FeedEnd() == Status::kMalformed);
  }
}

TEST_CASE("the framing of a chunked body comes without end") {
  BodyReader reader({BodyFraming::kChunked, 0}, std::size_t{1} << 20U);
  std::string unit;
  SECTION("as chunk extensions") {
    unit = "1;" + std::string(4'000, 'a') + "\r\nx\r\n";
  }
  SECTION("as zeros and white space of chunk sizes") {
    unit =
        std::string(2'000, '0') + "1" + std::string(2'000, ' ') + "\r\nx\r\n";
  }
  SECTION("as trailers") {
    std::string last = "0\r\n";
    REQUIRE(reader.Feed(last) == Status::kIncomplete);
    unit = "X-Own: a\r\n";
  }
  constexpr std::size_t kEnough = std::size_t{1} << 20U;
  std::size_t sent = 0;
  Status status = Status::kIncomplete;
  while (status == Status::kIncomplete && sent < kEnough) {
    std::string input = unit;
    status = reader.Feed(input);
    sent += unit.size();
  }
  CHECK(status == Status::kMalformed);
}

TEST_CASE("the framing of an ordinary body is taken for an endless one") {
  // One byte in each chunk, and a short extension on some.
  BodyReader reader({BodyFraming::kChunked, 0}, 200'000);
  for (int i = 0; i < 200'000; ++i) {
    std::string input = i % 100 == 0 ? "1;a=b\r\nx\r\n" : "1\r\nx\r\n";
    REQUIRE(reader.Feed(input) == Status::kIncomplete);
  }
  std::string input = "0\r\nDigest: a\r\n\r\n";
  CHECK(reader.Feed(input) == Status::kComplete);
  CHECK(reader.Take().size() == 200'000);
}

TEST_CASE("two readers see two different bodies in one message") {
  const BodyFrame without{BodyFraming::kUntilClose, 0};
  CHECK(FrameOf({{"Content-Length", "5"}}, without)->length == 5);
  CHECK(FrameOf({{"transfer-encoding", "Chunked"}}, without)->framing ==
        BodyFraming::kChunked);
  CHECK(FrameOf({}, without)->framing == BodyFraming::kUntilClose);
  const std::vector<std::vector<Header>> faults = {
      {{"Content-Length", "5"}, {"Content-Length", "6"}},
      {{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}},
      {{"Transfer-Encoding", "gzip"}},
      {{"Content-Length", "-1"}}};
  for (const auto& headers : faults) {
    CHECK_FALSE(FrameOf(headers, without).has_value());
  }
}

}  // namespace
}  // namespace bamboorack
