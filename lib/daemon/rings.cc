#include "bamboorack/daemon/rings.h"

namespace bamboorack::daemon {

Rings::Rings(std::size_t capacity)
    : caller_to_routing(capacity),
      routing_to_caller(capacity),
      peer_to_routing(capacity),
      peer_to_control(kControlCapacity),
      to_peer(capacity),
      upstream_to_routing(capacity),
      upstream_to_control(kControlCapacity),
      to_upstream(capacity),
      tables(kControlCapacity),
      log_to_control(kControlCapacity),
      appends(kControlCapacity),
      vm_list_to_control(kControlCapacity),
      operator_to_control(kControlCapacity) {}

}  // namespace bamboorack::daemon
