#include "bamboorack/upstream/fencing_strategy.h"

namespace bamboorack::upstream {
namespace {

bool StopsOnLogLoss(const ServiceRules& rules) {
  return rules.on_log_loss == OnLogLoss::kStop;
}

bool Always(const ServiceRules& /*rules*/) { return true; }

std::chrono::milliseconds WholeLease(std::chrono::milliseconds lease) {
  return lease;
}

std::chrono::milliseconds Nothing(std::chrono::milliseconds /*lease*/) {
  return std::chrono::milliseconds(0);
}

}  // namespace

const FencingStrategy& FencingStrategy::Of(const ServiceEntry& service) {
  // Two implementations: upstreams that refuse stale tokens, and upstreams
  // that obey everyone, where only this daemon's permit keeps order.
  static constexpr FencingStrategy kTokenFencing = {
      &GroupAuthority::NextTokenCall,
      &GroupAuthority::UpdateTokenGrants,
      &GroupAuthority::IsTokenLapsed,
      true,
      &StopsOnLogLoss,
      &ServiceRules::mandate,
      &WholeLease};
  static constexpr FencingStrategy kPermitFencing = {
      &GroupAuthority::NextPermitCall,
      &GroupAuthority::UpdatePermitGrants,
      &GroupAuthority::IsPermitLapsed,
      false,
      &Always,
      &ServiceRules::permit,
      &Nothing};
  return service.checks_tokens ? kTokenFencing : kPermitFencing;
}

}  // namespace bamboorack::upstream
