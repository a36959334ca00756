#ifndef BAMBOORACK_DAEMON_ROUTER_ACTION_H_
#define BAMBOORACK_DAEMON_ROUTER_ACTION_H_

#include <variant>
#include <vector>

#include "bamboorack/caller/messages.h"
#include "bamboorack/peer/messages.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::daemon {

/// A message that the routing thread must pass to another thread. A
/// `ControlCall` always holds a `SettleCall`.
using RouterAction =
    std::variant<caller::ToCaller, peer::SendForward, peer::SendCancel,
                 peer::SendAnswer, upstream::Dispatch, upstream::CancelDispatch,
                 upstream::ControlCall>;

/// Actions in the order in which they must be executed.
using RouterActions = std::vector<RouterAction>;

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_ROUTER_ACTION_H_
