#ifndef BAMBOORACK_UPSTREAM_MESSAGES_H_
#define BAMBOORACK_UPSTREAM_MESSAGES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/key_range.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// Asks an upstream for its instance, clock, highest token and drain state.
struct ClockCall {};

/// Makes an upstream refuse all tokens below `token` and report what it holds.
struct FenceCall {
  GroupId group;
  UpstreamInstance instance;
  FencingToken token;
};

/// Grants the whole set `shards` until `echoed_reading + lease` on the
/// upstream's clock.
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

/// Takes `shards` back. The upstream answers once no work on them runs.
struct RevokeCall {
  GroupId group;
  UpstreamInstance instance;
  FencingToken token;
  std::vector<ShardId> shards;
};

/// One attempt to run a request. Later attempts compare greater: a successor
/// has a higher token, and a daemon counts its dispatches upwards.
struct Attempt {
  FencingToken token;
  DispatchId dispatch;

  auto operator<=>(const Attempt&) const = default;
};

/// Asks what became of a request. If it did not run, the upstream refuses the
/// attempts up to `fence_through`, which may still be on their way; a later
/// attempt with the same request id may run.
struct SettleCall {
  RequestId request;
  Attempt fence_through;
  /// The instance that the request was or would be sent to. A replacement at
  /// the same address does not know what its predecessor ran, so another
  /// instance must answer `kOtherInstance`. Empty if any instance may answer.
  UpstreamInstance instance{};
};

/// Grants the keys of `range` for `lease`, counted from the arrival of the
/// call. For upstreams that have no clock reading to echo.
struct RangeGrantCall {
  /// Another upstream at the address refuses with `kOtherInstance`.
  UpstreamId holder;
  KeyRange range;
  FencingToken token;
  std::chrono::milliseconds lease{0};
  /// What the last holder returned when it released the keys. Empty if there
  /// is none; the new holder then starts cold.
  Handover handover{};
};

/// Takes the keys of `range` back. The upstream answers once no work on them
/// runs.
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
  /// Nothing is written after this time, such as the end of a mandate.
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

/// The upstream carried out a grant; `reading` is its clock at that time.
struct GrantAnswer {
  UpstreamReading reading;
  bool is_draining = false;
};

struct RevokeAnswer {};

/// What an upstream says of a request id.
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
  /// The answer breaks the protocol.
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

/// The outcome of a `ControlCall` with the same id.
struct ControlResult {
  ControlCallId id;
  UpstreamId upstream;
  tl::expected<ControlAnswer, ControlError> answer;
  /// The status of the upstream's answer, or 0 if none came. Only for logs.
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
  /// Nothing is written after this time; the result is then "not run".
  MonotonicTime send_before;
  Request request;
  /// The time by which the upstream is told to be done, on this process's
  /// clock. For upstreams whose clock is not known.
  MonotonicTime finish_before{};
};

/// Ends the wait for a dispatch and tells the upstream to stop.
struct CancelDispatch {
  DispatchId id;
};

/// From the routing thread to the upstream thread.
using ToUpstream = std::variant<Dispatch, CancelDispatch, ControlCall>;

/// The end of a dispatch. The ending is `kNotRun` only if nothing was written
/// to the connection or the upstream said that it did not run the request.
struct DispatchResult {
  DispatchId id;
  Result result;
};

/// From the upstream thread to the routing thread: the ends of dispatches and
/// of settle calls. The results of all other control calls go to the control
/// thread.
using UpstreamToRouting = std::variant<DispatchResult, ControlResult>;

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_MESSAGES_H_
