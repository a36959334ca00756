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

/// Encodes the order to stop work on `request`.
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

/// Parses the head of an answer. `answers_head` tells that the request was
/// HEAD, whose answer has no body. The error says what breaks the protocol; a
/// body must have a Content-Length of at most `max_body` bytes.
tl::expected<AnswerHead, std::string> DecodeAnswerHead(std::string_view head,
                                                       bool answers_head,
                                                       std::size_t max_body);

/// The same, but a body may also be chunked or end with the connection.
tl::expected<AnswerHead, std::string> DecodeAnswerHeadAnyLength(
    std::string_view head, bool answers_head, std::size_t max_body);

/// Decodes the answer to `request`.
tl::expected<ControlAnswer, ControlError> DecodeControlAnswer(
    const ControlRequest& request, int status, const std::string& body);

/// Decodes the answer to a dispatched request. Refuses as `not_run` only a
/// 503 with a known `X-Not-Run`; other 5xx are `unknown`.
Result DecodeDispatchAnswer(AnswerHead head, Body body);

/// Returns whether the answer may belong to `request`: an upstream that
/// repeats the request id must repeat the right one.
bool IsAnswerTo(const AnswerHead& head, const RequestId& request);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_CODEC_H_
