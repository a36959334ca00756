#include "bamboorack/core/http_head.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPResponse.h>

#include <utility>

#include "bamboorack/core/http_text.h"

namespace bamboorack {
namespace {

// POCO takes a lone line feed for a line end, skips lines without a colon and
// takes any bytes for a name. A peer that reads them differently could see
// another message than this process, so such heads are refused.
std::optional<std::string> FindFramingFault(std::string_view head) {
  std::size_t begin = 0;
  bool is_start_line = true;
  while (begin < head.size()) {
    const std::size_t end = head.find("\r\n", begin);
    if (end == std::string_view::npos) return "line without end";
    const std::string_view line = head.substr(begin, end - begin);
    if (line.find_first_of(std::string_view("\0\r\n", 3)) !=
        std::string_view::npos) {
      return "control character in the head";
    }
    begin = end + 2;
    if (line.empty()) break;
    const std::size_t colon = line.find(':');
    const bool has_name =
        colon != std::string_view::npos && IsToken(line.substr(0, colon));
    if (!is_start_line && !has_name) return "header line without a valid name";
    is_start_line = false;
  }
  if (is_start_line || begin != head.size()) return "head without start line";
  return std::nullopt;
}

template <typename Message>
tl::expected<Message, std::string> ParseHead(std::string_view head) {
  if (auto fault = FindFramingFault(head)) {
    return tl::make_unexpected(std::move(*fault));
  }
  Message message;
  Poco::MemoryInputStream stream(head.data(),
                                 static_cast<std::streamsize>(head.size()));
  try {
    message.read(stream);
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected(error.displayText());
  }
  if (message.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1 &&
      message.getVersion() != Poco::Net::HTTPMessage::HTTP_1_0) {
    return tl::make_unexpected("unsupported version " + message.getVersion());
  }
  return message;
}

// POCO stores the status in an enumeration without values above 511, so its
// `getStatus` must not be called for larger ones.
std::optional<int> ParseStatus(std::string_view head) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  if (head.size() < kVersion.size() + 4) return std::nullopt;
  const auto status = ParseDecimal(head.substr(kVersion.size(), 3));
  const char end = head[kVersion.size() + 3];
  const bool is_delimited = end == ' ' || end == '\r';
  if (!status || !is_delimited || *status < 100 || *status > 599) {
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

tl::expected<Poco::Net::HTTPRequest, std::string> ParseRequestHead(
    std::string_view head) {
  return ParseHead<Poco::Net::HTTPRequest>(head);
}

tl::expected<ResponseHead, std::string> ParseResponseHead(
    std::string_view head) {
  const auto parsed = ParseHead<Poco::Net::HTTPResponse>(head);
  if (!parsed) return tl::make_unexpected(parsed.error());
  const auto status = ParseStatus(head);
  if (!status) return tl::make_unexpected("status is not in 100 to 599");
  return ResponseHead{*status, HeadersOf(*parsed), parsed->getKeepAlive()};
}

std::vector<Header> HeadersOf(const Poco::Net::HTTPMessage& message) {
  std::vector<Header> headers;
  headers.reserve(message.size());
  for (const auto& [name, value] : message) headers.push_back({name, value});
  return headers;
}

}  // namespace bamboorack
