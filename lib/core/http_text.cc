#include "bamboorack/core/http_text.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <memory>
#include <system_error>

namespace bamboorack {
namespace {

constexpr std::array<std::string_view, 8> kConnectionHeaders = {
    "Connection", "Content-Length", "Keep-Alive", "Proxy-Connection",
    "TE",         "Trailer",        "Upgrade",    "Transfer-Encoding"};

constexpr char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                        : letter;
}

constexpr bool IsAlphanumeric(char letter) {
  const char lower = ToLower(letter);
  return (lower >= 'a' && lower <= 'z') || (letter >= '0' && letter <= '9');
}

constexpr bool IsUnreserved(char letter) {
  return IsAlphanumeric(letter) || letter == '-' || letter == '.' ||
         letter == '_' || letter == '~';
}

constexpr bool IsTokenLetter(char letter) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsAlphanumeric(letter) ||
         kOthers.find(letter) != std::string_view::npos;
}

std::optional<unsigned char> ParseHexByte(std::string_view digits) {
  unsigned char byte = 0;
  const char* const end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, byte, 16);
  if (digits.size() != 2 || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return byte;
}

}  // namespace

Body EmptyBody() {
  static const Body empty = std::make_shared<const std::string>();
  return empty;
}

std::string StatusLine(int status) {
  using Poco::Net::HTTPResponse;
  // POCO's enumeration has no value above 511.
  const bool is_known = status >= 100 && status <= 511;
  const std::string phrase =
      is_known ? HTTPResponse::getReasonForStatus(
                     static_cast<HTTPResponse::HTTPStatus>(status))
               : "Unknown";
  return "HTTP/1.1 " + std::to_string(status) + ' ' + phrase + "\r\n";
}

bool HasNoBody(int status) {
  return status < 200 || status == 204 || status == 304;
}

void AppendHeader(std::string& head, std::string_view name,
                  std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end) return std::nullopt;
  return number;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenLetter);
}

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char letter) {
    const auto byte = static_cast<unsigned char>(letter);
    return (byte < ' ' && letter != '\t') || letter == '\x7f';
  });
}

bool IsSameHeaderName(std::string_view first, std::string_view second) {
  return std::equal(first.begin(), first.end(), second.begin(), second.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [name](std::string_view own) { return IsSameHeaderName(own, name); });
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    const auto byte = ParseHexByte(text.substr(i + 1, 2));
    if (!byte) return std::nullopt;
    decoded.push_back(static_cast<char>(*byte));
    i += 2;
  }
  return decoded;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char letter : text) {
    if (IsUnreserved(letter)) {
      encoded.push_back(letter);
      continue;
    }
    const auto byte = static_cast<unsigned char>(letter);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4U]);
    encoded.push_back(kDigits[byte & 0xFU]);
  }
  return encoded;
}

}  // namespace bamboorack
