#ifndef BAMBOORACK_CALLER_MESSAGES_H_
#define BAMBOORACK_CALLER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack::caller {

/// One request on one caller connection. Never reused within a process, so an
/// answer for a connection that is gone cannot reach another caller.
struct CallerSlot {
  std::uint64_t value = 0;

  auto operator<=>(const CallerSlot&) const = default;
};

/// A caller sent a valid request.
struct RequestArrived {
  CallerSlot slot;
  Request request;
  /// When its head arrived. Never later than when the message is handled.
  MonotonicTime arrived_at = MonotonicTime::max();
  /// Requests in front of it on its connection are not answered yet. If one of
  /// these answers closes the connection, the caller sends this request again.
  bool is_sent_ahead = false;
};

/// A caller closed its connection before its answer was sent.
struct CallerGone {
  CallerSlot slot;
};

/// From the caller thread to the routing thread.
using FromCaller = std::variant<RequestArrived, CallerGone>;

/// From the routing thread to the caller thread.
struct ToCaller {
  CallerSlot slot;
  Result result;
  /// Set instead of a result: the request was sent ahead, must not run twice,
  /// and has not started. The caller thread passes it on again under another
  /// slot once it is the first on its connection.
  std::optional<Request> returned{};
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_MESSAGES_H_
