#ifndef BAMBOORACK_CALLER_CALLER_PROTOCOL_H_
#define BAMBOORACK_CALLER_CALLER_PROTOCOL_H_

#include <memory>
#include <tl/expected.hpp>

#include "bamboorack/caller/request_check.h"
#include "bamboorack/core/http_text.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack::caller {

/// What the form of an answer depends on besides the result.
struct AnswerForm {
  /// An answer to HEAD has the headers of the body but no body.
  bool is_head = false;
  bool keep_alive = true;
};

/// How a front end reads requests and writes answers. Stateless, so that one
/// object serves all connections.
class CallerProtocol {
 public:
  CallerProtocol() = default;
  virtual ~CallerProtocol() = default;
  CallerProtocol(const CallerProtocol&) = delete;
  CallerProtocol& operator=(const CallerProtocol&) = delete;

  /// Checks the head of a request that was received at `now`.
  virtual tl::expected<CheckedRequest, Refusal> Check(
      const RequestHead& head, const RequestLimits& limits,
      MonotonicTime now) const = 0;
  /// Encodes the answer to a caller.
  virtual HttpBytes Encode(const Result& result,
                           const AnswerForm& form) const = 0;
};

/// Returns the product's own protocol.
std::shared_ptr<const CallerProtocol> MakeNativeProtocol();

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_CALLER_PROTOCOL_H_
