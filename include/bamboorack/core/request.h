#ifndef BAMBOORACK_CORE_REQUEST_H_
#define BAMBOORACK_CORE_REQUEST_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/rank.h"
#include "bamboorack/core/reason.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

/// How a request ended, as the caller is told.
enum class Ending : std::uint8_t {
  /// The upstream's answer is delivered whole.
  kDone,
  /// The request did not run and will not: it was never sent, or the upstream
  /// said so.
  kNotRun,
  /// The request may or may not have run.
  kUnknown,
};

inline constexpr std::array<Ending, 3> kEndings = {
    Ending::kDone, Ending::kNotRun, Ending::kUnknown};
inline constexpr std::array<std::string_view, 3> kEndingNames = {
    "done", "not_run", "unknown"};

constexpr std::string_view NameOf(Ending ending) {
  return kEndingNames.at(static_cast<std::size_t>(ending));
}

/// A request that was not answered by an upstream.
struct Refusal {
  Ending ending = Ending::kNotRun;
  Reason reason = Reason::kMalformedRequest;
  /// Names the thing and the value that were wrong. May be empty.
  std::string detail{};
  /// When the caller may come back with hope of being served. Empty if unknown.
  std::optional<std::chrono::milliseconds> retry_after{};
};

struct Header {
  std::string name;
  std::string value;
};

/// Shared so that a body passes through rings without a copy. Never null in a
/// complete request or answer.
using Body = std::shared_ptr<const std::string>;

/// A validated request of a caller.
struct Request {
  RequestId id;
  ServiceName service;
  std::string key;
  std::string method;
  /// The part of the path after the key, with its leading slash and with the
  /// query. May be empty.
  std::string rest;
  Rank rank = Rank::kLookup;
  MonotonicTime deadline;
  std::string content_type;
  Body body;
  /// The next three are set by front ends that route by host and path.
  std::string host{};
  /// Path and query as sent.
  std::string target{};
  /// Headers to pass on.
  std::vector<Header> headers{};
};

/// The whole answer of an upstream.
struct Answer {
  int status = 0;
  std::vector<Header> headers;
  Body body;
};

using Result = tl::expected<Answer, Refusal>;

/// Builds the refusal of a request that was never sent to an upstream.
inline tl::unexpected<Refusal> NotRun(Reason reason, std::string detail = {}) {
  return tl::make_unexpected(
      Refusal{Ending::kNotRun, reason, std::move(detail)});
}

/// Builds the refusal of a request that may have run.
inline tl::unexpected<Refusal> Unknown(Reason reason, std::string detail = {}) {
  return tl::make_unexpected(
      Refusal{Ending::kUnknown, reason, std::move(detail)});
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_REQUEST_H_
