#include "bamboorack/caller/request_check.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "bamboorack/core/http_text.h"

namespace bamboorack::caller {
namespace {

using Finding = std::optional<Refusal>;

constexpr std::string_view kPathPrefix = "/v1/";
constexpr std::uint64_t kMaxDeadlineMs = 600'000;
// Upstreams answer control calls below this path segment, so a key of this
// name would let a caller send control calls.
constexpr std::string_view kReservedKey = "control";

struct MethodInfo {
  std::string_view name;
  /// Whether a request needs a Content-Length.
  bool has_body;
};

constexpr std::array kMethods = {
    MethodInfo{"GET", false},  MethodInfo{"HEAD", false},
    MethodInfo{"POST", true},  MethodInfo{"PUT", true},
    MethodInfo{"PATCH", true}, MethodInfo{"DELETE", false}};

// Headers whose meaning depends on there being only one.
constexpr std::array<std::string_view, 6> kSingleHeaders = {
    "Content-Length", "X-Rank",       "X-Deadline-Ms",
    "X-Request-Id",   "Content-Type", "Expect"};

Finding Refuse(Reason reason, std::string detail) {
  return Refusal{Ending::kNotRun, reason, std::move(detail)};
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return letter > ' ' && letter < '\x7f';
  });
}

// A server that resolves `..` could take the path for a control call.
bool HasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/'), path.size());
    const auto segment = PercentDecode(path.substr(0, end));
    if (!segment || *segment == "." || *segment == "..") return true;
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return false;
}

/// Fills a request from a head, one rule at a time.
class HeadCheck {
 public:
  HeadCheck(const RequestHead& request_head,
            const RequestLimits& request_limits, MonotonicTime received)
      : head(request_head), limits(request_limits), now(received) {}

  Finding CheckHeaders() {
    for (const std::string_view name : kSingleHeaders) {
      const auto count =
          std::count_if(this->head.headers.begin(), this->head.headers.end(),
                        [name](const Header& header) {
                          return IsSameHeaderName(header.name, name);
                        });
      if (count > 1) {
        return Refuse(Reason::kMalformedRequest,
                      "header " + std::string(name) + " appears twice");
      }
    }
    return std::nullopt;
  }

  Finding CheckMethod() {
    const auto found = std::find_if(kMethods.begin(), kMethods.end(),
                                    [this](const MethodInfo& info) {
                                      return info.name == this->head.method;
                                    });
    if (found == kMethods.end()) {
      return Refuse(Reason::kMalformedRequest,
                    "unsupported method " + this->head.method);
    }
    this->needs_length = found->has_body;
    this->checked.request.method = this->head.method;
    return std::nullopt;
  }

  Finding CheckFraming() {
    if (this->Find("Transfer-Encoding") != nullptr) {
      return Refuse(Reason::kLengthRequired,
                    "Transfer-Encoding is not supported, use Content-Length");
    }
    const std::string* length = this->Find("Content-Length");
    if (length == nullptr) {
      if (!this->needs_length) return std::nullopt;
      return Refuse(Reason::kLengthRequired, "Content-Length is missing");
    }
    const auto number = ParseDecimal(*length);
    if (!number) {
      return Refuse(Reason::kMalformedRequest,
                    "invalid Content-Length " + *length);
    }
    this->checked.body_length = *number;
    return std::nullopt;
  }

  Finding CheckPath() {
    std::string_view target = this->head.target;
    if (!target.starts_with(kPathPrefix) || !IsPrintable(target) ||
        target.find('#') != std::string_view::npos) {
      return Refuse(Reason::kMalformedRequest,
                    "path is not /v1/<service>/<key>: " + this->head.target);
    }
    target.remove_prefix(kPathPrefix.size());
    const std::size_t slash = target.find_first_of("/?");
    if (slash == 0 || slash == std::string_view::npos || target[slash] == '?') {
      return Refuse(Reason::kMalformedRequest,
                    "path has no service or no key: " + this->head.target);
    }
    this->checked.request.service =
        ServiceName(std::string(target.substr(0, slash)));
    return this->CheckKey(target.substr(slash + 1));
  }

  Finding CheckRank() {
    const std::string* name = this->Find("X-Rank");
    if (name == nullptr) return Refuse(Reason::kBadRank, "X-Rank is missing");
    const auto rank = RankFromName(*name);
    if (!rank) return Refuse(Reason::kBadRank, "unknown rank " + *name);
    this->checked.request.rank = *rank;
    return std::nullopt;
  }

  Finding CheckDeadline() {
    const std::string* text = this->Find("X-Deadline-Ms");
    if (text == nullptr) {
      return Refuse(Reason::kMissingDeadline, "X-Deadline-Ms is missing");
    }
    const auto remaining = ParseDecimal(*text);
    if (!remaining || *remaining == 0 || *remaining > kMaxDeadlineMs) {
      return Refuse(Reason::kBadDeadline,
                    "X-Deadline-Ms is not in 1 to 600000: " + *text);
    }
    this->checked.request.deadline =
        this->now + std::chrono::milliseconds(*remaining);
    return std::nullopt;
  }

  Finding CheckRequestId() {
    const std::string* id = this->Find("X-Request-Id");
    if (id == nullptr || id->empty()) {
      if (this->checked.request.rank != Rank::kOnce) return std::nullopt;
      return Refuse(Reason::kMissingRequestId,
                    "rank once needs the header X-Request-Id");
    }
    if (id->size() > this->limits.request_id || !IsPrintable(*id)) {
      return Refuse(Reason::kMalformedRequest,
                    "X-Request-Id is longer than " +
                        std::to_string(this->limits.request_id) +
                        " characters or not printable");
    }
    this->checked.request.id = RequestId(*id);
    return std::nullopt;
  }

  Finding CheckBodySize() {
    const std::size_t limit = this->checked.request.rank == Rank::kBulk
                                  ? this->limits.bulk_body
                                  : this->limits.body;
    if (this->checked.body_length <= limit) return std::nullopt;
    return Refuse(Reason::kBodyTooLarge,
                  "body of " + std::to_string(this->checked.body_length) +
                      " bytes is larger than " + std::to_string(limit));
  }

  Finding CheckExpectation() {
    const std::string* expectation = this->Find("Expect");
    if (expectation == nullptr) return std::nullopt;
    if (!IsSameHeaderName(*expectation, "100-continue")) {
      return Refuse(Reason::kMalformedRequest,
                    "unsupported expectation " + *expectation);
    }
    this->checked.expects_continue = true;
    return std::nullopt;
  }

  CheckedRequest Take() {
    const std::string* type = this->Find("Content-Type");
    if (type != nullptr) this->checked.request.content_type = *type;
    return std::move(this->checked);
  }

 private:
  const std::string* Find(std::string_view name) const {
    for (const Header& header : this->head.headers) {
      if (IsSameHeaderName(header.name, name)) return &header.value;
    }
    return nullptr;
  }

  Finding CheckKey(std::string_view path) {
    const std::size_t end = std::min(path.find_first_of("/?"), path.size());
    const auto key = PercentDecode(path.substr(0, end));
    if (!key || key->empty()) {
      return Refuse(Reason::kMalformedRequest,
                    "key is empty or has a broken escape");
    }
    if (key->size() > this->limits.key) {
      return Refuse(
          Reason::kMalformedRequest,
          "key is longer than " + std::to_string(this->limits.key) + " bytes");
    }
    const std::string_view without_query = path.substr(0, path.find('?'));
    if (*key == kReservedKey || HasDotSegment(without_query)) {
      return Refuse(Reason::kMalformedRequest,
                    "path has a reserved segment: " + this->head.target);
    }
    this->checked.request.key = *key;
    this->checked.request.rest = std::string(path.substr(end));
    return std::nullopt;
  }

  const RequestHead& head;
  const RequestLimits& limits;
  MonotonicTime now;
  bool needs_length = false;
  CheckedRequest checked;
};

// Framing comes first: while it is in doubt, nothing else can be trusted.
constexpr std::array kRules = {
    &HeadCheck::CheckHeaders,    &HeadCheck::CheckMethod,
    &HeadCheck::CheckFraming,    &HeadCheck::CheckPath,
    &HeadCheck::CheckRank,       &HeadCheck::CheckDeadline,
    &HeadCheck::CheckRequestId,  &HeadCheck::CheckBodySize,
    &HeadCheck::CheckExpectation};

}  // namespace

tl::expected<CheckedRequest, Refusal> CheckRequest(const RequestHead& head,
                                                   const RequestLimits& limits,
                                                   MonotonicTime now) {
  HeadCheck check(head, limits, now);
  for (const auto rule : kRules) {
    if (auto refusal = (check.*rule)()) {
      return tl::make_unexpected(std::move(*refusal));
    }
  }
  return check.Take();
}

}  // namespace bamboorack::caller
