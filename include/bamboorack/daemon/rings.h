#ifndef BAMBOORACK_DAEMON_RINGS_H_
#define BAMBOORACK_DAEMON_RINGS_H_

#include <cstddef>
#include <memory>

#include "bamboorack/caller/messages.h"
#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/log_service/messages.h"
#include "bamboorack/operator/messages.h"
#include "bamboorack/peer/messages.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/vm_list/messages.h"

namespace bamboorack::daemon {

/// The bounded rings that carry messages between the threads of one daemon.
struct Rings {
  BoundedRing<caller::FromCaller> caller_to_routing;
  BoundedRing<caller::ToCaller> routing_to_caller;
  BoundedRing<peer::PeerToRouting> peer_to_routing;
  BoundedRing<peer::PeerToControl> peer_to_control;
  BoundedRing<peer::ToPeer> to_peer;
  BoundedRing<upstream::UpstreamToRouting> upstream_to_routing;
  BoundedRing<upstream::ControlResult> upstream_to_control;
  BoundedRing<upstream::ToUpstream> to_upstream;
  BoundedRing<std::shared_ptr<const RoutingTable>> tables;
  BoundedRing<log_service::FromLog> log_to_control;
  BoundedRing<log_service::AppendRequest> appends;
  BoundedRing<vm_list::FromVmList> vm_list_to_control;
  BoundedRing<operators::OperatorCommand> operator_to_control;

  /// `capacity` is the capacity, in items, of each ring that carries requests.
  /// Rings that carry control messages hold `kControlCapacity` items.
  explicit Rings(std::size_t capacity);

  static constexpr std::size_t kControlCapacity = 1024;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_RINGS_H_
