#ifndef BAMBOORACK_CORE_HTTP_HEAD_H_
#define BAMBOORACK_CORE_HTTP_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/request.h"

namespace bamboorack {

/// The head of a request as it was received.
struct RequestHead {
  std::string method;
  /// Path and query, as sent.
  std::string target;
  /// In the order in which they were sent.
  std::vector<Header> headers;
  /// Whether the connection may carry another request.
  bool keep_alive = true;
};

/// The head of an answer as it was received.
struct ResponseHead {
  /// 100 to 599.
  int status = 0;
  /// In the order in which they were sent.
  std::vector<Header> headers;
  /// Whether the connection may carry another exchange.
  bool keep_alive = true;
};

/// Returns the length of the message head at the start of `input`, with its
/// blank line, or nothing if the head is not complete.
std::optional<std::size_t> FindHeadEnd(std::string_view input);

/// Parses one header line, without its end. The value is taken as it was sent,
/// without the blanks around it. The error says what is wrong.
tl::expected<Header, std::string> ParseHeaderLine(std::string_view line);

/// Parses a request head that ends with its blank line. A head that two
/// readers could take for different messages is an error, which says what is
/// wrong.
tl::expected<RequestHead, std::string> ParseRequestHead(std::string_view head);

/// The same for the head of an answer.
tl::expected<ResponseHead, std::string> ParseResponseHead(
    std::string_view head);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HTTP_HEAD_H_
