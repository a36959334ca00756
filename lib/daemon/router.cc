#include "bamboorack/daemon/router.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "bamboorack/daemon/router_core.h"

namespace bamboorack::daemon {

Router::Router(DaemonId self, Metrics& metrics, RouterOptions options)
    : core(std::make_unique<Core>(std::move(self), metrics, options)) {}

Router::~Router() = default;

RouterActions Router::OnCaller(caller::FromCaller message, MonotonicTime now) {
  std::visit(
      [this, now](auto&& event) {
        this->core->On(std::forward<decltype(event)>(event), now);
      },
      std::move(message));
  return this->core->TakeActions(now);
}

RouterActions Router::OnPeer(peer::PeerToRouting message, MonotonicTime now) {
  std::visit(
      [this, now](auto&& event) {
        this->core->On(std::forward<decltype(event)>(event), now);
      },
      std::move(message));
  return this->core->TakeActions(now);
}

RouterActions Router::OnUpstream(upstream::UpstreamToRouting message,
                                 MonotonicTime now) {
  std::visit(
      [this, now](auto&& event) {
        this->core->On(std::forward<decltype(event)>(event), now);
      },
      std::move(message));
  return this->core->TakeActions(now);
}

RouterActions Router::OnTable(std::shared_ptr<const RoutingTable> table,
                              MonotonicTime now) {
  CHECK(table != nullptr) << "the routing table must not be null";
  this->core->OnTable(std::move(table), now);
  return this->core->TakeActions(now);
}

RouterActions Router::Tick(MonotonicTime now) {
  this->core->Tick(now);
  return this->core->TakeActions(now);
}

MonotonicTime Router::NextWakeup() const { return this->core->NextWakeup(); }

void Router::BeginStop() { this->core->BeginStop(); }

bool Router::IsIdle() const { return this->core->IsIdle(); }

}  // namespace bamboorack::daemon
