#ifndef BAMBOORACK_CORE_HTTP_BODY_H_
#define BAMBOORACK_CORE_HTTP_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/request.h"

namespace bamboorack {

/// How the end of an HTTP message body is found.
enum class BodyFraming : std::uint8_t { kLength, kChunked, kUntilClose };

/// The framing that a message head announces.
struct BodyFrame {
  BodyFraming framing = BodyFraming::kLength;
  /// In bytes, for `kLength`.
  std::size_t length = 0;
};

/// Reads the framing headers. A message with neither `Content-Length` nor
/// chunked coding gets `without`. The error names the header that is wrong;
/// two lengths, or a length beside chunked coding, are errors because two
/// readers could see two different bodies.
tl::expected<BodyFrame, std::string> FrameOf(const std::vector<Header>& headers,
                                             const BodyFrame& without);

/// Collects one message body from the bytes of a connection.
class BodyReader {
 public:
  enum class Status : std::uint8_t {
    kIncomplete,
    kComplete,
    /// The framing is broken, or more of it comes than a body needs.
    kMalformed,
    /// More than `max_body` bytes.
    kTooLarge,
  };

  BodyReader() = default;
  BodyReader(const BodyFrame& body_frame, std::size_t max_body_bytes)
      : frame(body_frame), max_body(max_body_bytes) {}

  /// Takes the bytes of the body from the front of `input` and leaves those
  /// that follow the body.
  Status Feed(std::string& input);
  /// Tells that the peer ended its data with an orderly close.
  Status FeedEnd();
  /// Returns the whole body. Valid once after `kComplete`.
  std::string Take() { return std::move(this->body); }
  std::size_t Size() const { return this->body.size(); }
  /// Bytes that the body takes up in memory.
  std::size_t Capacity() const { return this->body.capacity(); }
  /// Bytes that it takes up at most while `Feed` takes up to `more` bytes. A
  /// body of a known length has its whole length from the start; another one
  /// is copied when it grows.
  std::size_t CapacityDuring(std::size_t more) const;
  bool HasKnownLength() const {
    return this->frame.framing == BodyFraming::kLength;
  }

 private:
  enum class ChunkPart : std::uint8_t { kSizeLine, kData, kDataEnd, kTrailer };

  /// Returns the capacity after room was made for `wanted` bytes in all.
  std::size_t GrownCapacity(std::size_t wanted) const;
  /// Appends bytes of a body whose length is not known.
  void Append(std::string_view bytes);
  Status FeedLength(std::string& input);
  Status FeedChunked(std::string& input);
  Status FeedUntilClose(std::string& input);
  /// Takes one part of a chunk at `position`; advances `position`.
  Status TakeChunkPart(const std::string& input, std::size_t& position);
  Status TakeSizeLine(const std::string& input, std::size_t& position);
  Status TakeChunkData(const std::string& input, std::size_t& position);
  Status TakeTrailer(const std::string& input, std::size_t& position);

  BodyFrame frame;
  std::size_t max_body = 0;
  std::string body;
  ChunkPart part = ChunkPart::kSizeLine;
  std::size_t chunk_left = 0;
  /// Bytes of chunk extensions and trailers so far.
  std::size_t ignored = 0;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HTTP_BODY_H_
