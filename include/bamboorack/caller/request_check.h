#ifndef BAMBOORACK_CALLER_REQUEST_CHECK_H_
#define BAMBOORACK_CALLER_REQUEST_CHECK_H_

#include <cstddef>
#include <tl/expected.hpp>

#include "bamboorack/core/http_body.h"
#include "bamboorack/core/http_head.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack::caller {

/// Sizes above which a request is refused, in bytes.
struct RequestLimits {
  std::size_t head = 16'384;
  /// For the ranks lookup and once.
  std::size_t body = 1'048'576;
  std::size_t bulk_body = 67'108'864;
  /// After percent-decoding.
  std::size_t key = 512;
  std::size_t request_id = 64;
};

/// A request whose head is valid and whose body is still to be read.
struct CheckedRequest {
  /// The body is null. The id is empty if the caller sent none, which only
  /// the rank once forbids.
  Request request;
  std::size_t body_length = 0;
  /// With `kChunked` the length is not known and `body_limit` holds.
  BodyFraming framing = BodyFraming::kLength;
  std::size_t body_limit = RequestLimits{}.bulk_body;
  bool expects_continue = false;
};

/// Checks the head of a request that was received at `now`.
tl::expected<CheckedRequest, Refusal> CheckRequest(const RequestHead& head,
                                                   const RequestLimits& limits,
                                                   MonotonicTime now);

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_REQUEST_CHECK_H_
