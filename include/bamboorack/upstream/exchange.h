#ifndef BAMBOORACK_UPSTREAM_EXCHANGE_H_
#define BAMBOORACK_UPSTREAM_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/http_text.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/connection_history.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/upstream_protocol.h"

namespace bamboorack::upstream {

/// Each traffic class has its own connections to an upstream, so that a lease
/// renewal is never delayed by an upstream at its limit, by a revocation that
/// waits for running requests, or by the many settle calls after a takeover.
enum class TrafficClass : std::uint8_t { kData, kControl, kRevoke, kSettle };

inline constexpr std::size_t kTrafficClassCount = 4;

/// Why an exchange ended without an answer.
enum class Failure : std::uint8_t {
  kConnectFailed,
  kQueueFull,
  kConnectionLost,
  kBadAnswer,
  kDeadlinePassed,
  kCancelled,
  kStopping,
  /// The answer took up more memory than there is for it.
  kAnswerCut,
};

/// Whether an answer may be taken for the answer to an exchange.
enum class AnswerMatch : std::uint8_t {
  /// It belongs to another request.
  kOther,
  /// Nothing ties it to the exchange, so it may be a late second answer to an
  /// earlier one. Only accepted on a connection that has carried no other.
  kUnidentified,
  /// It bears the id of the request, or it makes no difference which call it
  /// answers.
  kAccepted,
};

/// Compares the request id that an answer bears, or null, with that of the
/// request which waits for it.
AnswerMatch MatchRequestId(const std::string* answered,
                           const RequestId& request);

/// Buffers results while the rings are full. A dropped result would leave a
/// request without an answer.
class ResultOutbox {
 public:
  ResultOutbox(BoundedRing<UpstreamToRouting>& to_routing,
               BoundedRing<ControlResult>& to_control);

  void Add(UpstreamToRouting result);
  void AddForControl(ControlResult result);
  /// Pushes as many results as fit. Returns true if all were pushed.
  bool Flush();

 private:
  BoundedRing<UpstreamToRouting>& routing;
  BoundedRing<ControlResult>& control;
  std::deque<UpstreamToRouting> routing_results;
  std::deque<ControlResult> control_results;
};

/// One HTTP request to an upstream and the handling of its outcome.
class Exchange {
 public:
  Exchange() = default;
  virtual ~Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  virtual TrafficClass GetTrafficClass() const = 0;
  virtual const Endpoint& Target() const = 0;
  /// Encodes the request as it is written at `now`.
  virtual HttpBytes Encode(MonotonicTime now) const = 0;
  /// If writing has not begun by this time, the exchange fails.
  virtual MonotonicTime SendBefore() const = 0;
  /// Time at which the exchange fails if the answer is not complete.
  virtual MonotonicTime Deadline() const = 0;
  /// Whether the request is HEAD.
  virtual bool IsHead() const { return false; }
  /// Returns the id for `CancelDispatch`, or nothing if the exchange cannot be
  /// cancelled.
  virtual std::optional<DispatchId> Id() const { return std::nullopt; }
  /// Returns whether the exchange may use a connection that has carried
  /// `history`: a late answer from then must not match this exchange.
  virtual bool MayFollow(const ConnectionHistory& history) const = 0;
  /// Adds the exchange to the history of its connection.
  virtual void AddTo(ConnectionHistory& history) const = 0;
  /// Limit of the answer's body in bytes, at most `limit`.
  virtual std::size_t MaxAnswerBody(std::size_t limit) const { return limit; }
  virtual AnswerMatch Match(const AnswerHead& head) const = 0;
  virtual void Succeed(AnswerHead head, Body body, ResultOutbox& outbox) = 0;
  /// `was_written` is true if any byte of the request was written to the
  /// socket.
  virtual void Fail(Failure failure, bool was_written,
                    ResultOutbox& outbox) = 0;
  /// Returns the exchange that tells the upstream to stop this request, or
  /// null.
  virtual std::unique_ptr<Exchange> MakeCancel(MonotonicTime /*deadline*/) {
    return nullptr;
  }
};

/// Creates the exchange for a request. Its outcome is a `DispatchResult`.
/// `protocol` must outlive the exchange.
std::unique_ptr<Exchange> MakeExchange(Dispatch dispatch,
                                       const UpstreamProtocol& protocol);

/// Creates the exchange for a control call. Its outcome is a `ControlResult`,
/// which goes to the routing thread for settle calls and to the control thread
/// for all others. `protocol` must outlive the exchange.
std::unique_ptr<Exchange> MakeExchange(ControlCall call,
                                       const UpstreamProtocol& protocol);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_EXCHANGE_H_
