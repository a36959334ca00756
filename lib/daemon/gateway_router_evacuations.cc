#include <chrono>
#include <string>

#include "bamboorack/daemon/gateway_router.h"

// Requests whose upstreams are in evacuated failure domains.

namespace bamboorack::daemon {
namespace {

// An evacuation lasts longer than a move of keys.
constexpr std::chrono::milliseconds kEvacuatedRetryAfter{2'000};

}  // namespace

void GatewayRouter::ApplyEvacuations() {
  this->load_balancer.SetEvacuated(this->tables.evacuated_domains
                                       ? *this->tables.evacuated_domains
                                       : EvacuatedDomains());
}

bool GatewayRouter::RefuseIfEvacuated(PendingRequest& pending) {
  if (!this->load_balancer.IsEvacuated(pending.service)) return false;
  this->Refuse(pending, Reason::kEvacuated,
               "all upstreams of service " + pending.service.value +
                   " are in evacuated failure domains",
               kEvacuatedRetryAfter);
  return true;
}

}  // namespace bamboorack::daemon
