#include "bamboorack/peer/frame_codec.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace bamboorack::peer {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kNow{std::chrono::hours(1)};

std::string WithoutPrefix(const std::string& encoded) {
  return encoded.substr(kLengthPrefixBytes);
}

template <typename T>
T RoundTrip(const T& frame, MonotonicTime sent, MonotonicTime received) {
  const auto decoded =
      DecodeFrame(WithoutPrefix(EncodeFrame(frame, sent)), received);
  REQUIRE(decoded.has_value());
  return std::get<T>(*decoded);
}

SCENARIO("a request reaches the authority changed") {
  GIVEN("a forward with every field set") {
    ForwardFrame frame;
    frame.id = ForwardId(9);
    frame.body_size = 12;
    frame.request = {RequestId("r1"),
                     ServiceName("reader"),
                     "key/1",
                     "PUT",
                     "/a?b=c",
                     Rank::kOnce,
                     kNow + milliseconds(80),
                     "text/plain",
                     nullptr};
    WHEN("another daemon with another clock decodes it") {
      const MonotonicTime later = kNow + std::chrono::hours(5);
      const ForwardFrame decoded = RoundTrip(frame, kNow, later);
      THEN("all fields are equal and the deadline keeps its distance") {
        CHECK(decoded.id == frame.id);
        CHECK(decoded.body_size == 12);
        CHECK(decoded.request.id == frame.request.id);
        CHECK(decoded.request.service == frame.request.service);
        CHECK(decoded.request.key == "key/1");
        CHECK(decoded.request.method == "PUT");
        CHECK(decoded.request.rest == "/a?b=c");
        CHECK(decoded.request.rank == Rank::kOnce);
        CHECK(decoded.request.content_type == "text/plain");
        CHECK(decoded.request.deadline == later + milliseconds(80));
      }
    }
  }
  GIVEN("a refusal") {
    const RefusalFrame decoded =
        RoundTrip(RefusalFrame{ForwardId(3),
                               {Ending::kUnknown, Reason::kUpstreamLost, "u7"}},
                  kNow, kNow);
    THEN("ending and reason stay what they were") {
      CHECK(decoded.refusal.ending == Ending::kUnknown);
      CHECK(decoded.refusal.reason == Reason::kUpstreamLost);
      CHECK(decoded.refusal.detail == "u7");
    }
  }
}

SCENARIO("a malformed frame is taken for a message") {
  ForwardFrame bad_rank;
  bad_rank.request.rank = static_cast<Rank>(kRankCount);
  ForwardFrame far_deadline;
  far_deadline.request.deadline = kNow + std::chrono::hours(2);
  ForwardFrame huge_body;
  huge_body.body_size = kMaxBodyBytes + 1;
  const auto message_of = [](const Frame& frame) {
    return WithoutPrefix(EncodeFrame(frame, kNow));
  };
  struct Fault {
    std::string name;
    std::string message;
  };
  const std::string whole = message_of(ProbeFrame{7});
  const std::vector<Fault> faults = {
      {"empty", ""},
      {"random bytes", "not a flatbuffer at all"},
      {"truncated", whole.substr(0, whole.size() / 2)},
      {"rank out of range", message_of(bad_rank)},
      {"deadline too far away", message_of(far_deadline)},
      {"body above the limit", message_of(huge_body)},
      {"hello without a daemon", message_of(HelloFrame{})},
      {"refusal that claims to be done",
       message_of(RefusalFrame{ForwardId(1), {Ending::kDone, {}, {}}})},
  };
  for (const Fault& fault : faults) {
    SECTION(fault.name) {
      CHECK_FALSE(DecodeFrame(fault.message, kNow).has_value());
    }
  }
}

SCENARIO("a stream of frames loses its frame boundaries") {
  GIVEN("frames that arrive in pieces of any size") {
    rc::prop("every message comes out whole and in order", [] {
      const auto ids = *rc::gen::container<std::vector<std::uint64_t>>(
          20, rc::gen::arbitrary<std::uint64_t>());
      const auto piece = *rc::gen::inRange<std::size_t>(1, 200);
      std::string stream;
      for (const std::uint64_t id : ids) {
        stream += EncodeFrame(ProbeFrame{id}, kNow);
      }
      FrameReader reader;
      std::vector<std::uint64_t> received;
      for (std::size_t at = 0; at < stream.size(); at += piece) {
        reader.Append(std::string_view(stream).substr(at, piece));
        while (true) {
          const auto message = reader.Next();
          RC_ASSERT(message.has_value());
          if (message->empty()) break;
          const auto frame = DecodeFrame(*message, kNow);
          RC_ASSERT(frame.has_value());
          received.push_back(std::get<ProbeFrame>(*frame).id);
        }
      }
      RC_ASSERT(received == ids);
    });
  }
  GIVEN("a length that no frame may have") {
    for (const std::string& prefix :
         {std::string(4, '\0'), std::string("\xFF\xFF\xFF\x7F")}) {
      FrameReader reader;
      reader.Append(prefix);
      CHECK(reader.Next().error() == FrameError::kBadLength);
    }
  }
}

}  // namespace
}  // namespace bamboorack::peer
