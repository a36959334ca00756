#ifndef BAMBOORACK_DAEMON_GATEWAY_RINGS_H_
#define BAMBOORACK_DAEMON_GATEWAY_RINGS_H_

#include <cstddef>

#include "bamboorack/caller/messages.h"
#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/daemon/gateway_messages.h"
#include "bamboorack/log_service/store_call_thread.h"
#include "bamboorack/log_service/topic_follower_thread.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::daemon {

/// The bounded rings between the threads of a gateway.
struct GatewayRings {
  static constexpr std::size_t kRequestCapacity = 4'096;
  static constexpr std::size_t kControlCapacity = 1'024;

  BoundedRing<caller::FromCaller> caller_to_routing{kRequestCapacity};
  BoundedRing<caller::ToCaller> routing_to_caller{kRequestCapacity};
  BoundedRing<upstream::ToUpstream> to_upstream{kRequestCapacity};
  BoundedRing<upstream::UpstreamToRouting> upstream_to_routing{
      kRequestCapacity};
  BoundedRing<upstream::ControlResult> upstream_to_control{kControlCapacity};
  BoundedRing<GatewayTables> tables{kControlCapacity};
  BoundedRing<log_service::TopicUpdate> topics{kControlCapacity};
  BoundedRing<log_service::TopicRelay> desired_state_relays{kControlCapacity};
  BoundedRing<log_service::TopicRelay> upstream_relays{kControlCapacity};
  BoundedRing<log_service::StoreCall> store_calls{kControlCapacity};
  BoundedRing<log_service::StoreResult> store_results{kControlCapacity};
  BoundedRing<peer::ToGossip> to_gossip{kControlCapacity};
  BoundedRing<peer::LoadReport> gossip_to_routing{kControlCapacity};
  BoundedRing<peer::Gossip> gossip_to_control{kControlCapacity};
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_GATEWAY_RINGS_H_
