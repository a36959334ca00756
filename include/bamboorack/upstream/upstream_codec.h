#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_CODEC_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/http_body.h"
#include "bamboorack/core/http_text.h"
#include "bamboorack/core/request.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::upstream {

/// Encodes a control call to the upstream at `endpoint`.
HttpBytes EncodeControl(const ControlRequest& request,
                        const Endpoint& endpoint);

/// Encodes the request of `dispatch` with its token, shard and deadline.
HttpBytes EncodeDispatch(const Dispatch& dispatch);

/// Encodes the call that tells the upstream to stop `request`.
HttpBytes EncodeCancel(const RequestId& request, const Endpoint& endpoint);

/// The head of an upstream's answer.
struct AnswerHead {
  int status = 0;
  std::vector<Header> headers;
  std::size_t body_length = 0;
  BodyFraming framing = BodyFraming::kLength;
  bool keep_alive = true;

  /// Returns the value of the first header called `name`, or null.
  const std::string* Find(std::string_view name) const;
};

/// Parses the head of an answer. `is_head_request` is true if the request was
/// HEAD, whose answer has no body. A body must have a Content-Length of at most
/// `max_body` bytes. The error describes the protocol violation.
tl::expected<AnswerHead, std::string> DecodeAnswerHead(std::string_view head,
                                                       bool is_head_request,
                                                       std::size_t max_body);

/// Like `DecodeAnswerHead`, but also accepts bodies that are chunked or end
/// with the connection.
tl::expected<AnswerHead, std::string> DecodeAnswerHeadAnyLength(
    std::string_view head, bool is_head_request, std::size_t max_body);

/// Decodes the answer to `request`.
tl::expected<ControlAnswer, ControlError> DecodeControlAnswer(
    const ControlRequest& request, int status, const std::string& body);

/// Decodes the answer to a dispatched request. Only a 503 with a known
/// `X-Not-Run` value means that the request did not run; after any other 5xx
/// its outcome is unknown.
Result DecodeDispatchAnswer(AnswerHead head, Body body);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_CODEC_H_
