#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_ANY_LENGTH_PROTOCOL_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_ANY_LENGTH_PROTOCOL_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "bamboorack/upstream/upstream_protocol.h"

namespace bamboorack::upstream {

/// The native protocol, but with answers of any framing.
class AnyLengthProtocol : public UpstreamProtocol {
 public:
  HttpBytes EncodeDispatch(const Dispatch& dispatch,
                           MonotonicTime now) const override {
    return this->native->EncodeDispatch(dispatch, now);
  }
  HttpBytes EncodeControl(const ControlRequest& request,
                          const Endpoint& endpoint) const override {
    return this->native->EncodeControl(request, endpoint);
  }
  std::optional<HttpBytes> EncodeCancel(
      const RequestId& request, const Endpoint& endpoint) const override {
    return this->native->EncodeCancel(request, endpoint);
  }
  bool AllowsUnknownLength() const override { return true; }
  const std::string* FindRequestId(const AnswerHead& head) const override {
    return this->native->FindRequestId(head);
  }
  Result DecodeDispatchAnswer(const Dispatch& dispatch, AnswerHead head,
                              Body body) const override {
    return this->native->DecodeDispatchAnswer(dispatch, std::move(head),
                                              std::move(body));
  }
  tl::expected<ControlAnswer, ControlError> DecodeControlAnswer(
      const ControlRequest& request, const AnswerHead& head,
      const std::string& body) const override {
    return this->native->DecodeControlAnswer(request, head, body);
  }

 private:
  const std::shared_ptr<const UpstreamProtocol> native = MakeNativeProtocol();
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_ANY_LENGTH_PROTOCOL_H_
