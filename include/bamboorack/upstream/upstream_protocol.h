#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_PROTOCOL_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_PROTOCOL_H_

#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/http_text.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/upstream_codec.h"

namespace bamboorack::upstream {

/// How requests and orders to upstreams are written and their answers read.
/// Stateless, so that one object serves all connections.
class UpstreamProtocol {
 public:
  UpstreamProtocol() = default;
  virtual ~UpstreamProtocol() = default;
  UpstreamProtocol(const UpstreamProtocol&) = delete;
  UpstreamProtocol& operator=(const UpstreamProtocol&) = delete;

  /// Encodes a request that is written at `now`.
  virtual HttpBytes EncodeDispatch(const Dispatch& dispatch,
                                   MonotonicTime now) const = 0;
  virtual HttpBytes EncodeControl(const ControlRequest& request,
                                  const Endpoint& endpoint) const = 0;
  /// Encodes the order to stop work on a request. Nothing if closing the
  /// connection is that order.
  virtual std::optional<HttpBytes> EncodeCancel(
      const RequestId& request, const Endpoint& endpoint) const = 0;
  /// Whether a body without a length is accepted in an answer.
  virtual bool AllowsUnknownLength() const = 0;
  /// Returns whether an answer with this head may belong to `request`.
  virtual bool IsAnswerTo(const AnswerHead& head,
                          const RequestId& request) const = 0;
  virtual Result DecodeDispatchAnswer(const Dispatch& dispatch, AnswerHead head,
                                      Body body) const = 0;
  virtual tl::expected<ControlAnswer, ControlError> DecodeControlAnswer(
      const ControlRequest& request, const AnswerHead& head,
      const std::string& body) const = 0;
};

/// Returns the product's own protocol.
std::shared_ptr<const UpstreamProtocol> MakeNativeProtocol();

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_PROTOCOL_H_
