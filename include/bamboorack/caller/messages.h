#ifndef BAMBOORACK_CALLER_MESSAGES_H_
#define BAMBOORACK_CALLER_MESSAGES_H_

#include <cstdint>
#include <variant>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/request.h"

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
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_MESSAGES_H_
