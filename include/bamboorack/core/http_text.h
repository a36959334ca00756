#ifndef BAMBOORACK_CORE_HTTP_TEXT_H_
#define BAMBOORACK_CORE_HTTP_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bamboorack/core/request.h"

namespace bamboorack {

/// An encoded HTTP message. `body` may be null.
struct HttpBytes {
  std::string head;
  Body body;
};

/// Returns a shared body without bytes.
Body EmptyBody();

/// Returns the first line of an answer, with its line end.
std::string StatusLine(int status);

/// Whether an answer with this status has neither a body nor a Content-Length
/// (RFC 9110).
bool HasNoBody(int status);

/// Appends one header line to `head`.
void AppendHeader(std::string& head, std::string_view name,
                  std::string_view value);

/// Reads a decimal number without sign or space; nothing if `text` is empty,
/// has another character or does not fit.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

/// Returns whether `text` may be the name of a header: not empty, and without
/// blanks, control characters, delimiters and bytes outside ASCII (RFC 9110).
bool IsToken(std::string_view text);

/// Returns whether `text` has a control character other than a tab. Readers
/// differ in whether they take one for a blank, for a line end or for a part of
/// a value.
bool HasControl(std::string_view text);

/// Compares header names without regard to ASCII case.
bool IsSameHeaderName(std::string_view first, std::string_view second);

/// Returns whether the header belongs to one connection or frames the body, so
/// that it must not be passed on.
bool IsConnectionHeader(std::string_view name);

/// Decodes `%XX`; nothing if an escape is broken. Leaves `+` as it is.
std::optional<std::string> PercentDecode(std::string_view text);

/// Escapes all bytes but letters, digits and `-._~`, so that the result is one
/// path segment.
std::string PercentEncode(std::string_view text);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HTTP_TEXT_H_
