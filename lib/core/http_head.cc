#include "bamboorack/core/http_head.h"

#include <algorithm>
#include <utility>

#include "bamboorack/core/http_text.h"

namespace bamboorack {
namespace {

// POCO's parser is not used for heads: it decodes RFC 2047 words in values,
// line ends among them, so that a value becomes further headers when it is
// passed on. It also skips lines without a colon and takes other blanks for a
// space.

constexpr std::size_t kMaxHeaders = 100;
// In bytes.
constexpr std::size_t kMaxMethod = 32;
constexpr std::size_t kMaxName = 256;
constexpr std::size_t kMaxValue = 8'192;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHttp10 = "HTTP/1.0";
constexpr std::string_view kHttp11 = "HTTP/1.1";

bool IsVersion(std::string_view text) {
  return text == kHttp10 || text == kHttp11;
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) + 1 - begin);
}

/// Takes the next line from the front of `rest`, without its end.
std::optional<std::string_view> TakeLine(std::string_view& rest) {
  const std::size_t end = rest.find(kLineEnd);
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view line = rest.substr(0, end);
  rest.remove_prefix(end + kLineEnd.size());
  return line;
}

/// Takes the part of `rest` before the next space, and the space.
std::string_view TakeWord(std::string_view& rest) {
  const std::size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view word = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return word;
}

/// A head whose start line is still to be parsed.
struct SplitHead {
  std::string_view start_line;
  std::vector<Header> headers;
};

/// Splits a head into its lines and parses all but the first.
tl::expected<SplitHead, std::string> Split(std::string_view head) {
  SplitHead split;
  auto line = TakeLine(head);
  if (!line || line->empty()) {
    return tl::make_unexpected("head without start line");
  }
  if (HasControl(*line)) {
    return tl::make_unexpected("control character in the head");
  }
  split.start_line = *line;
  while ((line = TakeLine(head)) && !line->empty()) {
    auto header = ParseHeaderLine(*line);
    if (!header) return tl::make_unexpected(std::move(header.error()));
    if (split.headers.size() == kMaxHeaders) {
      return tl::make_unexpected("too many headers");
    }
    split.headers.push_back(std::move(*header));
  }
  if (!line) return tl::make_unexpected("line without end");
  if (!head.empty()) return tl::make_unexpected("bytes behind the head");
  return split;
}

/// Whether a header `Connection` lists `option`.
bool HasConnectionOption(const std::vector<Header>& headers,
                         std::string_view option) {
  for (const Header& header : headers) {
    if (!IsSameHeaderName(header.name, "Connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find(','), rest.size());
      if (IsSameHeaderName(TrimBlanks(rest.substr(0, end)), option)) {
        return true;
      }
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  return false;
}

bool KeepsConnection(std::string_view version,
                     const std::vector<Header>& headers) {
  if (HasConnectionOption(headers, "close")) return false;
  return version == kHttp11 || HasConnectionOption(headers, "keep-alive");
}

std::optional<int> ParseStatus(std::string_view text) {
  constexpr std::size_t kDigits = 3;
  const auto status = ParseDecimal(text);
  if (!status || text.size() != kDigits || *status < 100 || *status > 599) {
    return std::nullopt;
  }
  return static_cast<int>(*status);
}

}  // namespace

std::optional<std::size_t> FindHeadEnd(std::string_view input) {
  constexpr std::string_view kBlankLine = "\r\n\r\n";
  const std::size_t position = input.find(kBlankLine);
  if (position == std::string_view::npos) return std::nullopt;
  return position + kBlankLine.size();
}

tl::expected<Header, std::string> ParseHeaderLine(std::string_view line) {
  if (HasControl(line)) {
    return tl::make_unexpected("control character in the head");
  }
  const std::size_t colon = line.find(':');
  const bool has_name =
      colon != std::string_view::npos && IsToken(line.substr(0, colon));
  if (!has_name) {
    return tl::make_unexpected("header line without a name");
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (colon > kMaxName || value.size() > kMaxValue) {
    return tl::make_unexpected("header is too long");
  }
  return Header{std::string(line.substr(0, colon)), std::string(value)};
}

tl::expected<RequestHead, std::string> ParseRequestHead(std::string_view head) {
  auto split = Split(head);
  if (!split) return tl::make_unexpected(std::move(split.error()));
  // What follows the target is the version, with no other space.
  std::string_view version = split->start_line;
  const std::string_view method = TakeWord(version);
  const std::string_view target = TakeWord(version);
  if (!IsToken(method) || method.size() > kMaxMethod) {
    return tl::make_unexpected("invalid method");
  }
  if (target.empty() || target.find('\t') != std::string_view::npos) {
    return tl::make_unexpected("invalid request target");
  }
  if (!IsVersion(version)) {
    return tl::make_unexpected("unsupported version " + std::string(version));
  }
  const bool keep_alive = KeepsConnection(version, split->headers);
  return RequestHead{std::string(method), std::string(target),
                     std::move(split->headers), keep_alive};
}

tl::expected<ResponseHead, std::string> ParseResponseHead(
    std::string_view head) {
  auto split = Split(head);
  if (!split) return tl::make_unexpected(std::move(split.error()));
  // What follows the status is the reason phrase, which may be absent.
  std::string_view reason = split->start_line;
  const std::string_view version = TakeWord(reason);
  const auto status = ParseStatus(TakeWord(reason));
  if (!IsVersion(version)) {
    return tl::make_unexpected("unsupported version " + std::string(version));
  }
  if (!status) return tl::make_unexpected("status is not in 100 to 599");
  const bool keep_alive = KeepsConnection(version, split->headers);
  return ResponseHead{*status, std::move(split->headers), keep_alive};
}

}  // namespace bamboorack
