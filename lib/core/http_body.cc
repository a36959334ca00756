#include "bamboorack/core/http_body.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

#include "bamboorack/core/http_head.h"
#include "bamboorack/core/http_text.h"

namespace bamboorack {
namespace {

// A chunk's size line with extensions, or a trailer line.
constexpr std::size_t kMaxLine = 4'096;
// Chunk extensions and trailers of one body together. Without this bound a
// peer could send them without end below the limit of the body itself.
constexpr std::size_t kMaxIgnored = 65'536;
// The digits of the largest chunk size.
constexpr std::size_t kSizeDigits = 16;
constexpr std::string_view kLineEnd = "\r\n";
// A body of unknown length doubles its memory up to the second of these, and
// then grows by a quarter: doubled, as `std::string` does it, a large one would
// take up twice the bytes that came.
constexpr std::size_t kMinGrowth = 1'024;
constexpr std::size_t kMaxDoubling = 65'536;
constexpr std::size_t kGrowthDivisor = 4;

std::optional<std::size_t> ParseChunkSize(std::string_view line) {
  const std::string_view digits =
      line.substr(0, std::min(line.find(';'), line.size()));
  std::size_t size = 0;
  const char* const end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, size, 16);
  const bool is_hex = error == std::errc() && stop != digits.data() &&
                      digits.find_first_not_of(" \t", stop - digits.data()) ==
                          std::string_view::npos;
  if (!is_hex) return std::nullopt;
  return size;
}

}  // namespace

tl::expected<BodyFrame, std::string> FrameOf(const std::vector<Header>& headers,
                                             const BodyFrame& without) {
  std::optional<std::string> length;
  std::optional<std::string> coding;
  for (const Header& header : headers) {
    if (IsSameHeaderName(header.name, "Content-Length")) {
      if (length) return tl::make_unexpected("second Content-Length");
      length = header.value;
    }
    if (IsSameHeaderName(header.name, "Transfer-Encoding")) {
      if (coding) return tl::make_unexpected("second Transfer-Encoding");
      coding = header.value;
    }
  }
  if (length && coding) {
    return tl::make_unexpected("Content-Length beside Transfer-Encoding");
  }
  if (coding) {
    if (!IsSameHeaderName(*coding, "chunked")) {
      return tl::make_unexpected("unsupported Transfer-Encoding " + *coding);
    }
    return BodyFrame{BodyFraming::kChunked, 0};
  }
  if (!length) return without;
  const auto number = ParseDecimal(*length);
  if (!number) return tl::make_unexpected("invalid Content-Length " + *length);
  return BodyFrame{BodyFraming::kLength, *number};
}

BodyReader::Status BodyReader::Feed(std::string& input) {
  switch (this->frame.framing) {
    case BodyFraming::kLength:
      return this->FeedLength(input);
    case BodyFraming::kChunked:
      return this->FeedChunked(input);
    case BodyFraming::kUntilClose:
      return this->FeedUntilClose(input);
  }
  return Status::kMalformed;
}

BodyReader::Status BodyReader::FeedEnd() {
  return this->frame.framing == BodyFraming::kUntilClose ? Status::kComplete
                                                         : Status::kMalformed;
}

std::size_t BodyReader::CapacityDuring(std::size_t more) const {
  if (this->HasKnownLength()) {
    return std::max(this->frame.length, this->body.capacity());
  }
  const std::size_t wanted = this->body.size() + more;
  if (wanted <= this->body.capacity()) return this->body.capacity();
  return this->body.capacity() + this->GrownCapacity(wanted);
}

std::size_t BodyReader::GrownCapacity(std::size_t wanted) const {
  const std::size_t now = this->body.capacity();
  const std::size_t growth =
      std::max(now / kGrowthDivisor, std::clamp(now, kMinGrowth, kMaxDoubling));
  return std::max(wanted, std::min(now + growth, this->max_body));
}

void BodyReader::Append(std::string_view bytes) {
  const std::size_t wanted = this->body.size() + bytes.size();
  if (wanted > this->body.capacity()) {
    // `reserve` on a string with bytes doubles its capacity.
    std::string grown;
    grown.reserve(this->GrownCapacity(wanted));
    grown.append(this->body);
    this->body = std::move(grown);
  }
  this->body.append(bytes);
}

BodyReader::Status BodyReader::FeedLength(std::string& input) {
  if (this->frame.length > this->max_body) return Status::kTooLarge;
  const std::size_t wanted = this->frame.length - this->body.size();
  // Input with much spare capacity would keep it as long as the body lives.
  const bool is_tight = input.capacity() / 2 <= wanted;
  if (this->body.empty() && input.size() == wanted && is_tight) {
    this->body = std::move(input);
    input.clear();
    return Status::kComplete;
  }
  const std::size_t taken = std::min(wanted, input.size());
  if (this->body.empty()) this->body.reserve(this->frame.length);
  this->body.append(input, 0, taken);
  input.erase(0, taken);
  return taken == wanted ? Status::kComplete : Status::kIncomplete;
}

BodyReader::Status BodyReader::FeedUntilClose(std::string& input) {
  this->Append(input);
  input.clear();
  return this->body.size() > this->max_body ? Status::kTooLarge
                                            : Status::kIncomplete;
}

BodyReader::Status BodyReader::FeedChunked(std::string& input) {
  std::size_t position = 0;
  Status status = Status::kIncomplete;
  while (status == Status::kIncomplete) {
    const std::size_t before = position;
    const ChunkPart part_before = this->part;
    status = this->TakeChunkPart(input, position);
    if (position == before && this->part == part_before) break;
  }
  input.erase(0, position);
  return status;
}

BodyReader::Status BodyReader::TakeChunkPart(const std::string& input,
                                             std::size_t& position) {
  switch (this->part) {
    case ChunkPart::kSizeLine:
      return this->TakeSizeLine(input, position);
    case ChunkPart::kData:
      return this->TakeChunkData(input, position);
    case ChunkPart::kDataEnd: {
      if (input.size() - position < kLineEnd.size()) return Status::kIncomplete;
      if (input.compare(position, kLineEnd.size(), kLineEnd) != 0) {
        return Status::kMalformed;
      }
      position += kLineEnd.size();
      this->part = ChunkPart::kSizeLine;
      return Status::kIncomplete;
    }
    case ChunkPart::kTrailer:
      return this->TakeTrailer(input, position);
  }
  return Status::kMalformed;
}

BodyReader::Status BodyReader::TakeSizeLine(const std::string& input,
                                            std::size_t& position) {
  const std::size_t end = input.find(kLineEnd, position);
  if (end == std::string::npos) {
    return input.size() - position > kMaxLine ? Status::kMalformed
                                              : Status::kIncomplete;
  }
  const std::size_t length = end - position;
  const auto line = std::string_view(input).substr(position, length);
  const auto size = ParseChunkSize(line);
  if (!size || HasControl(line)) return Status::kMalformed;
  this->ignored += length - std::min(length, kSizeDigits);
  if (this->ignored > kMaxIgnored) return Status::kMalformed;
  if (*size > this->max_body - this->body.size()) return Status::kTooLarge;
  position = end + kLineEnd.size();
  this->chunk_left = *size;
  this->part = *size == 0 ? ChunkPart::kTrailer : ChunkPart::kData;
  return Status::kIncomplete;
}

BodyReader::Status BodyReader::TakeChunkData(const std::string& input,
                                             std::size_t& position) {
  const std::size_t taken = std::min(this->chunk_left, input.size() - position);
  this->Append(std::string_view(input).substr(position, taken));
  position += taken;
  this->chunk_left -= taken;
  if (this->chunk_left == 0) this->part = ChunkPart::kDataEnd;
  return Status::kIncomplete;
}

BodyReader::Status BodyReader::TakeTrailer(const std::string& input,
                                           std::size_t& position) {
  const std::size_t end = input.find(kLineEnd, position);
  if (end == std::string::npos) {
    return input.size() - position > kMaxLine ? Status::kMalformed
                                              : Status::kIncomplete;
  }
  const bool is_last = end == position;
  const auto line = std::string_view(input).substr(position, end - position);
  // Anything else is a part of a body whose chunk sizes are wrong.
  if (!is_last && !ParseHeaderLine(line)) return Status::kMalformed;
  this->ignored += end - position;
  if (this->ignored > kMaxIgnored) return Status::kMalformed;
  position = end + kLineEnd.size();
  return is_last ? Status::kComplete : Status::kIncomplete;
}

}  // namespace bamboorack
