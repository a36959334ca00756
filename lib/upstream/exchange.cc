#include "bamboorack/upstream/exchange.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <variant>

namespace bamboorack::upstream {
namespace {

struct FailureMapping {
  Failure failure;
  Reason reason;
  std::string_view detail;
  ControlError control_error;
};

// Indexed by failure.
constexpr std::array<FailureMapping, 8> kFailures = {
    FailureMapping{Failure::kConnectFailed, Reason::kUpstreamLost,
                   "cannot connect to the upstream",
                   ControlError::kUnreachable},
    FailureMapping{Failure::kQueueFull, Reason::kQueueFull,
                   "too many requests wait for a connection",
                   ControlError::kUnreachable},
    FailureMapping{Failure::kConnectionLost, Reason::kUpstreamLost,
                   "connection lost before the whole answer came",
                   ControlError::kUnreachable},
    FailureMapping{Failure::kBadAnswer, Reason::kUpstreamBadAnswer,
                   "answer breaks the protocol", ControlError::kBadAnswer},
    FailureMapping{Failure::kDeadlinePassed, Reason::kDeadlinePassed,
                   "no answer by the deadline", ControlError::kUnreachable},
    FailureMapping{Failure::kCancelled, Reason::kCancelled, "cancelled",
                   ControlError::kUnreachable},
    FailureMapping{Failure::kStopping, Reason::kStopping, "the daemon stops",
                   ControlError::kUnreachable},
    FailureMapping{Failure::kAnswerCut, Reason::kUpstreamAnswerCut,
                   "answer takes up too much memory",
                   ControlError::kBadAnswer}};

// Answers to control calls name at most all shards of a service.
constexpr std::size_t kMaxControlAnswer = 1'048'576;

// Indexed by the alternatives of `ControlRequest`.
constexpr std::array<TrafficClass, std::variant_size_v<ControlRequest>>
    kControlTrafficClasses = {TrafficClass::kControl, TrafficClass::kControl,
                              TrafficClass::kControl, TrafficClass::kRevoke,
                              TrafficClass::kSettle,  TrafficClass::kControl,
                              TrafficClass::kRevoke};

const FailureMapping& MappingOf(Failure failure) {
  return kFailures.at(static_cast<std::size_t>(failure));
}

/// Tells an upstream to stop a request. Its outcome is ignored.
class CancelExchange : public Exchange {
 public:
  CancelExchange(HttpBytes encoded, Endpoint target, MonotonicTime end)
      : bytes(std::move(encoded)), endpoint(std::move(target)), deadline(end) {}

  TrafficClass GetTrafficClass() const override {
    return TrafficClass::kSettle;
  }
  const Endpoint& Target() const override { return this->endpoint; }
  HttpBytes Encode(MonotonicTime /*now*/) const override { return this->bytes; }
  MonotonicTime SendBefore() const override { return this->deadline; }
  MonotonicTime Deadline() const override { return this->deadline; }
  bool MayFollow(const ConnectionHistory& /*history*/) const override {
    return true;
  }
  void AddTo(ConnectionHistory& history) const override {
    history.AddUnidentified();
  }
  AnswerMatch Match(const AnswerHead& /*head*/) const override {
    return AnswerMatch::kAccepted;
  }
  void Succeed(AnswerHead /*head*/, Body /*body*/,
               ResultOutbox& /*outbox*/) override {}
  void Fail(Failure /*failure*/, bool /*was_written*/,
            ResultOutbox& /*outbox*/) override {}

 private:
  HttpBytes bytes;
  Endpoint endpoint;
  MonotonicTime deadline;
};

class DispatchExchange : public Exchange {
 public:
  DispatchExchange(Dispatch new_dispatch, const UpstreamProtocol& used_protocol)
      : dispatch(std::move(new_dispatch)), protocol(used_protocol) {}

  TrafficClass GetTrafficClass() const override { return TrafficClass::kData; }
  const Endpoint& Target() const override { return this->dispatch.endpoint; }
  HttpBytes Encode(MonotonicTime now) const override {
    return this->protocol.EncodeDispatch(this->dispatch, now);
  }
  MonotonicTime SendBefore() const override {
    return this->dispatch.send_before;
  }
  MonotonicTime Deadline() const override {
    return this->dispatch.request.deadline;
  }
  bool IsHead() const override {
    return this->dispatch.request.method == "HEAD";
  }
  std::optional<DispatchId> Id() const override { return this->dispatch.id; }
  // All attempts of a request bear the same id, so a late answer to one would
  // be taken for the answer to a later one on the same connection.
  bool MayFollow(const ConnectionHistory& history) const override {
    if (history.IsNew()) return true;
    return this->SendsId() && !history.Contains(this->dispatch.request.id);
  }
  void AddTo(ConnectionHistory& history) const override {
    history.Add(this->dispatch.request.id);
  }
  AnswerMatch Match(const AnswerHead& head) const override {
    return MatchRequestId(this->protocol.FindRequestId(head),
                          this->dispatch.request.id);
  }

  void Succeed(AnswerHead head, Body body, ResultOutbox& outbox) override {
    const UpstreamNotice notice =
        this->protocol.DecodeNotice(this->dispatch.upstream.id, head);
    outbox.Add(
        DispatchResult{this->dispatch.id,
                       this->protocol.DecodeDispatchAnswer(
                           this->dispatch, std::move(head), std::move(body)),
                       notice});
  }

  void Fail(Failure failure, bool was_written, ResultOutbox& outbox) override {
    const FailureMapping& row = MappingOf(failure);
    const Ending ending = was_written ? Ending::kUnknown : Ending::kNotRun;
    outbox.Add(DispatchResult{
        this->dispatch.id, tl::make_unexpected(Refusal{
                               ending, row.reason, std::string(row.detail)})});
  }

  std::unique_ptr<Exchange> MakeCancel(MonotonicTime deadline) override {
    auto bytes = this->protocol.EncodeCancel(this->dispatch.request.id,
                                             this->dispatch.endpoint);
    if (!bytes) return nullptr;
    return std::make_unique<CancelExchange>(std::move(*bytes),
                                            this->dispatch.endpoint, deadline);
  }

 private:
  bool SendsId() const {
    return this->protocol.SendsRequestId(this->dispatch.request);
  }

  Dispatch dispatch;
  const UpstreamProtocol& protocol;
};

class ControlExchange : public Exchange {
 public:
  ControlExchange(ControlCall new_call, const UpstreamProtocol& used_protocol)
      : call(std::move(new_call)), protocol(used_protocol) {}

  TrafficClass GetTrafficClass() const override {
    return kControlTrafficClasses.at(this->call.request.index());
  }
  const Endpoint& Target() const override { return this->call.endpoint; }
  HttpBytes Encode(MonotonicTime /*now*/) const override {
    return this->protocol.EncodeControl(this->call.request,
                                        this->call.endpoint);
  }
  MonotonicTime SendBefore() const override {
    return std::min(this->call.send_before, this->call.deadline);
  }
  MonotonicTime Deadline() const override { return this->call.deadline; }
  // With a connection for each grant, upstreams under overload more often did
  // not hold the keys that requests came for, so grants share connections.
  bool MayFollow(const ConnectionHistory& history) const override {
    return history.IsNew() || this->IsRangeGrant();
  }
  void AddTo(ConnectionHistory& history) const override {
    history.AddUnidentified();
  }
  std::size_t MaxAnswerBody(std::size_t limit) const override {
    return std::min(limit, kMaxControlAnswer);
  }
  // Answers to control calls bear no id. A late failure that is taken for the
  // answer to another grant would end the lease of a holder that goes on. A
  // late success still counts: it dates the lease from before that grant
  // arrived and lets an unanswered one before it count as fenced
  // (docs/proofs.md).
  AnswerMatch Match(const AnswerHead& head) const override {
    constexpr int kOk = 200;
    return this->IsRangeGrant() && head.status == kOk
               ? AnswerMatch::kAccepted
               : AnswerMatch::kUnidentified;
  }

  void Succeed(AnswerHead head, Body body, ResultOutbox& outbox) override {
    this->Finish(
        this->protocol.DecodeControlAnswer(this->call.request, head, *body),
        head.status, outbox);
  }

  void Fail(Failure failure, bool was_written, ResultOutbox& outbox) override {
    const ControlError error = !was_written && this->IsRangeCall()
                                   ? ControlError::kNotSent
                                   : MappingOf(failure).control_error;
    this->Finish(tl::make_unexpected(error), 0, outbox);
  }

 private:
  bool IsRangeGrant() const {
    return std::holds_alternative<RangeGrantCall>(this->call.request);
  }

  // The lease of a range grant starts on arrival, so the caller must know
  // whether the call may still arrive.
  bool IsRangeCall() const {
    return this->IsRangeGrant() ||
           std::holds_alternative<RangeReleaseCall>(this->call.request);
  }

  void Finish(tl::expected<ControlAnswer, ControlError> answer, int status,
              ResultOutbox& outbox) {
    ControlResult result{this->call.id, this->call.upstream, std::move(answer),
                         status};
    if (std::holds_alternative<SettleCall>(this->call.request)) {
      outbox.Add(std::move(result));
      return;
    }
    outbox.AddForControl(std::move(result));
  }

  ControlCall call;
  const UpstreamProtocol& protocol;
};

template <typename Item>
bool FlushTo(std::deque<Item>& items, BoundedRing<Item>& ring) {
  while (!items.empty() && ring.TryPush(std::move(items.front()))) {
    items.pop_front();
  }
  return items.empty();
}

}  // namespace

AnswerMatch MatchRequestId(const std::string* answered,
                           const RequestId& request) {
  if (answered == nullptr || answered->empty()) {
    return AnswerMatch::kUnidentified;
  }
  return *answered == request.value ? AnswerMatch::kAccepted
                                    : AnswerMatch::kOther;
}

ResultOutbox::ResultOutbox(BoundedRing<UpstreamToRouting>& to_routing,
                           BoundedRing<ControlResult>& to_control)
    : routing(to_routing), control(to_control) {}

void ResultOutbox::Add(UpstreamToRouting result) {
  this->routing_results.push_back(std::move(result));
}

void ResultOutbox::AddForControl(ControlResult result) {
  this->control_results.push_back(std::move(result));
}

bool ResultOutbox::Flush() {
  const bool is_routing_empty = FlushTo(this->routing_results, this->routing);
  const bool is_control_empty = FlushTo(this->control_results, this->control);
  return is_routing_empty && is_control_empty;
}

std::unique_ptr<Exchange> MakeExchange(Dispatch dispatch,
                                       const UpstreamProtocol& protocol) {
  return std::make_unique<DispatchExchange>(std::move(dispatch), protocol);
}

std::unique_ptr<Exchange> MakeExchange(ControlCall call,
                                       const UpstreamProtocol& protocol) {
  return std::make_unique<ControlExchange>(std::move(call), protocol);
}

}  // namespace bamboorack::upstream
