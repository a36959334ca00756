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

/// Encodes requests and control calls to upstreams and decodes their answers.
/// Stateless, so one object serves all connections.
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
  /// Encodes the call that stops a request. Returns nothing if the protocol
  /// cancels a request by closing its connection.
  virtual std::optional<HttpBytes> EncodeCancel(
      const RequestId& request, const Endpoint& endpoint) const = 0;
  /// Whether an answer body may be chunked or end with the connection.
  virtual bool AllowsUnknownLength() const = 0;
  /// Returns whether `request` is sent with its id, so that answers can bear
  /// it.
  virtual bool SendsRequestId(const Request& /*request*/) const { return true; }
  /// Returns the id of the request that an answer with this head belongs to,
  /// or null if the head does not name one.
  virtual const std::string* FindRequestId(const AnswerHead& head) const = 0;
  /// Returns what the head of an answer says of `upstream`. An answer of
  /// another upstream at its address says nothing.
  virtual UpstreamNotice DecodeNotice(const UpstreamId& /*upstream*/,
                                      const AnswerHead& /*head*/) const {
    return {};
  }
  virtual Result DecodeDispatchAnswer(const Dispatch& dispatch, AnswerHead head,
                                      Body body) const = 0;
  virtual tl::expected<ControlAnswer, ControlError> DecodeControlAnswer(
      const ControlRequest& request, const AnswerHead& head,
      const std::string& body) const = 0;
};

/// Returns the native protocol of Bamboorack.
std::shared_ptr<const UpstreamProtocol> MakeNativeProtocol();

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_PROTOCOL_H_
