#ifndef BAMBOORACK_UPSTREAM_MESSAGES_H_
#define BAMBOORACK_UPSTREAM_MESSAGES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/key_range.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/stated_load.h"

namespace bamboorack::upstream {

/// Asks an upstream for its instance, clock, highest token and drain state.
struct ClockCall {};

/// Makes an upstream refuse all tokens below `token` and report its current
/// grant.
struct FenceCall {
  GroupId group;
  UpstreamInstance instance;
  FencingToken token;
};

/// Replaces the shards granted to the upstream with `shards` until
/// `echoed_reading + lease` on the upstream's clock.
struct GrantCall {
  GroupId group;
  UpstreamInstance instance;
  FencingToken token;
  UpstreamReading echoed_reading;
  std::chrono::milliseconds lease{0};
  /// Refuse if the current lease of the group has already expired.
  bool only_if_unexpired = false;
  std::vector<ShardId> shards;
};

/// Revokes `shards`. The upstream answers once no request on them is running.
struct RevokeCall {
  GroupId group;
  UpstreamInstance instance;
  FencingToken token;
  std::vector<ShardId> shards;
};

/// Identifies one attempt to run a request. Later attempts compare greater: a
/// successor has a higher token, and the dispatch ids of a daemon increase.
struct Attempt {
  FencingToken token;
  DispatchId dispatch;

  auto operator<=>(const Attempt&) const = default;
};

/// Asks for the outcome of a request. If it did not run, the upstream refuses
/// all attempts up to `fence_through`, which may still be in transit; a later
/// attempt with the same request id may run.
struct SettleCall {
  RequestId request;
  Attempt fence_through;
  /// The instance that the request was or would be sent to. Another instance
  /// at the same address does not know what its predecessor ran and must answer
  /// `kOtherInstance`. Empty if any instance may answer.
  UpstreamInstance instance{};
};

/// Grants the keys of `range` for `lease`, which starts when the call arrives.
/// For upstreams that do not report a clock reading.
struct RangeGrantCall {
  /// The upstream that the call is for. Any other upstream at this address
  /// refuses with `kOtherInstance`.
  UpstreamId holder;
  KeyRange range;
  FencingToken token;
  std::chrono::milliseconds lease{0};
  /// Returned by the last holder when it released the keys. Empty if there is
  /// none; the new holder then starts without cached state.
  Handover handover{};
};

/// Takes back the keys of `range`. The upstream answers once no request on
/// them is running.
struct RangeReleaseCall {
  /// As in `RangeGrantCall`.
  UpstreamId holder;
  KeyRange range;
  FencingToken token;
};

using ControlRequest =
    std::variant<ClockCall, FenceCall, GrantCall, RevokeCall, SettleCall,
                 RangeGrantCall, RangeReleaseCall>;

/// One call on an upstream's control interface.
struct ControlCall {
  ControlCallId id;
  UpstreamId upstream;
  Endpoint endpoint;
  MonotonicTime deadline;
  ControlRequest request;
  /// If writing has not begun by this time, the call is not sent. Usually the
  /// end of the sender's authority.
  MonotonicTime send_before = MonotonicTime::max();
};

/// The upstream's answer to `ClockCall`.
struct ClockAnswer {
  UpstreamInstance instance;
  UpstreamReading reading;
  FencingToken token;
  bool is_draining = false;
};

/// The upstream accepted a fence. `shards` are those of its last grant for the
/// group, whether or not the lease has expired.
struct FenceAnswer {
  UpstreamReading reading;
  bool lease_expired = true;
  bool is_draining = false;
  std::vector<ShardId> shards;
};

/// The upstream applied a grant; `reading` is its clock at that time.
struct GrantAnswer {
  UpstreamReading reading;
  bool is_draining = false;
};

struct RevokeAnswer {};

/// State of a request id, as reported by an upstream.
enum class SettleState : std::uint8_t { kDone, kRunning, kNotRun };

struct SettleAnswer {
  SettleState state = SettleState::kRunning;
};

struct RangeGrantAnswer {};

struct RangeReleaseAnswer {
  Handover handover;
};

/// Why a control call failed.
enum class ControlError : std::uint8_t {
  /// No answer before the deadline, or the connection failed.
  kUnreachable,
  /// The upstream has seen a higher token.
  kStaleToken,
  /// Another instance answers at this address.
  kOtherInstance,
  /// `only_if_unexpired` was set and the lease had expired.
  kLeaseExpired,
  /// The answer violates the protocol.
  kBadAnswer,
  /// Nothing was written to the upstream.
  kNotSent,
};

constexpr std::string_view NameOf(ControlError error) {
  constexpr std::array<std::string_view, 6> kNames = {
      "unreachable",   "stale_token", "other_instance",
      "lease_expired", "bad_answer",  "not_sent"};
  return kNames.at(static_cast<std::size_t>(error));
}

using ControlAnswer =
    std::variant<ClockAnswer, FenceAnswer, GrantAnswer, RevokeAnswer,
                 SettleAnswer, RangeGrantAnswer, RangeReleaseAnswer>;

/// The outcome of the `ControlCall` with the same id.
struct ControlResult {
  ControlCallId id;
  UpstreamId upstream;
  tl::expected<ControlAnswer, ControlError> answer;
  /// The HTTP status of the answer, or 0 if there was none. Only for logs.
  int status = 0;
};

/// Sends one request to an upstream.
struct Dispatch {
  DispatchId id;
  UpstreamRef upstream;
  Endpoint endpoint;
  FencingToken token;
  ShardId shard;
  /// The request's deadline on the upstream's own clock.
  UpstreamReading upstream_deadline;
  /// If writing has not begun by this time, the request is not sent and ends
  /// as `kNotRun`.
  MonotonicTime send_before;
  Request request;
  /// The deadline that is passed to the upstream, on this process's clock. For
  /// upstreams whose clock is not known.
  MonotonicTime finish_before{};
};

/// Stops waiting for a dispatch and tells the upstream to stop it.
struct CancelDispatch {
  DispatchId id;
};

/// Messages to the upstream thread.
using ToUpstream = std::variant<Dispatch, CancelDispatch, ControlCall>;

/// What an upstream says of itself beside its answer.
struct UpstreamNotice {
  /// It leaves and wants no new requests.
  bool is_leaving = false;
  /// It turned the request away and wants no other from this daemon for this
  /// time.
  std::optional<std::chrono::milliseconds> retry_after{};
  /// It asked for a time that is no positive number of seconds.
  bool is_retry_after_invalid = false;
  /// The load that it states, if it does.
  std::optional<StatedLoad> load{};
  /// It stated a load that cannot be read.
  bool is_load_invalid = false;
};

/// The outcome of a dispatch. The ending is `kNotRun` only if nothing was
/// written to the connection or the upstream reported that it did not run the
/// request.
struct DispatchResult {
  DispatchId id;
  Result result;
  UpstreamNotice notice{};
};

/// Messages from the upstream thread to the routing thread: the outcomes of
/// dispatches and settle calls. The results of all other control calls go to
/// the control thread.
using UpstreamToRouting = std::variant<DispatchResult, ControlResult>;

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_MESSAGES_H_
