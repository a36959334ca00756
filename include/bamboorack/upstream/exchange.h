#ifndef BAMBOORACK_UPSTREAM_EXCHANGE_H_
#define BAMBOORACK_UPSTREAM_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/http_text.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/upstream_protocol.h"

namespace bamboorack::upstream {

/// Connections to one upstream are kept apart by lane, so that no renewal is
/// delayed by a full upstream, by a revocation that waits for work to end, or
/// by the many settle calls after a takeover.
enum class Lane : std::uint8_t { kData, kControl, kRevoke, kSettle };

inline constexpr std::size_t kLaneCount = 4;

/// Why an exchange ended without an answer.
enum class Failure : std::uint8_t {
  kConnectFailed,
  kQueueFull,
  kConnectionLost,
  kBadAnswer,
  kDeadlinePassed,
  kCancelled,
  kStopping,
};

/// Holds results until the rings take them. A lost result would leave a
/// request without an answer.
class ResultOutbox {
 public:
  ResultOutbox(BoundedRing<UpstreamToRouting>& to_routing,
               BoundedRing<ControlResult>& to_control);

  void Add(UpstreamToRouting result);
  void AddForControl(ControlResult result);
  /// Pushes what fits. Returns whether nothing is left.
  bool Flush();

 private:
  BoundedRing<UpstreamToRouting>& routing;
  BoundedRing<ControlResult>& control;
  std::deque<UpstreamToRouting> routing_results;
  std::deque<ControlResult> control_results;
};

/// One request to an upstream and what its end means.
class Exchange {
 public:
  Exchange() = default;
  virtual ~Exchange() = default;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  virtual Lane GetLane() const = 0;
  virtual const Endpoint& Target() const = 0;
  /// Encodes what is written at `now`.
  virtual HttpBytes Encode(MonotonicTime now) const = 0;
  /// Nothing is written after this time.
  virtual MonotonicTime SendBefore() const = 0;
  /// The wait for the answer ends at this time.
  virtual MonotonicTime Deadline() const = 0;
  /// Whether the request is HEAD.
  virtual bool IsHead() const { return false; }
  /// Set if the exchange can be cancelled.
  virtual std::optional<DispatchId> Id() const { return std::nullopt; }
  /// Returns whether an answer with this head may belong to the request.
  virtual bool Matches(const AnswerHead& /*head*/) const { return true; }
  virtual void Succeed(AnswerHead head, Body body, ResultOutbox& outbox) = 0;
  /// `was_written` tells whether a byte of the request left this process.
  virtual void Fail(Failure failure, bool was_written,
                    ResultOutbox& outbox) = 0;
  /// Returns what tells the upstream to stop work on this request, or null.
  virtual std::unique_ptr<Exchange> MakeCancel(MonotonicTime /*deadline*/) {
    return nullptr;
  }
};

/// Sends a request; ends with a `DispatchResult`. `protocol` must outlive the
/// exchange.
std::unique_ptr<Exchange> MakeExchange(Dispatch dispatch,
                                       const UpstreamProtocol& protocol);

/// Sends a control call; ends with a `ControlResult`, which goes to the routing
/// thread for settle calls and to the control thread for all others.
std::unique_ptr<Exchange> MakeExchange(ControlCall call,
                                       const UpstreamProtocol& protocol);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_EXCHANGE_H_
