#ifndef BAMBOORACK_CORE_HTTP_HEAD_H_
#define BAMBOORACK_CORE_HTTP_HEAD_H_

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/request.h"

namespace bamboorack {

/// The head of an answer.
struct ResponseHead {
  /// 100 to 599.
  int status = 0;
  /// In the order in which they were sent.
  std::vector<Header> headers;
  /// Whether the connection may carry another exchange.
  bool keep_alive = false;
};

/// Returns the length of the message head at the start of `input`, with its
/// blank line, or nothing if the head is not complete.
std::optional<std::size_t> FindHeadEnd(std::string_view input);

/// Parses a request head that ends with its blank line. The error says what is
/// wrong.
tl::expected<Poco::Net::HTTPRequest, std::string> ParseRequestHead(
    std::string_view head);

/// The same for the head of an answer.
tl::expected<ResponseHead, std::string> ParseResponseHead(
    std::string_view head);

/// Returns all headers of `message` in the order in which they were sent.
std::vector<Header> HeadersOf(const Poco::Net::HTTPMessage& message);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HTTP_HEAD_H_
