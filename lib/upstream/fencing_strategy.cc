#include "bamboorack/upstream/fencing_strategy.h"

namespace bamboorack::upstream {
namespace {

bool StopsOnLogLoss(const ServiceRules& rules) {
  return rules.on_log_loss == OnLogLoss::kStop;
}

bool AlwaysExpires(const ServiceRules& /*rules*/) { return true; }

std::chrono::milliseconds FullLease(std::chrono::milliseconds lease) {
  return lease;
}

std::chrono::milliseconds NoLease(std::chrono::milliseconds /*lease*/) {
  return std::chrono::milliseconds(0);
}

}  // namespace

const FencingStrategy& FencingStrategy::Of(const ServiceEntry& service) {
  // Upstreams that check tokens refuse calls of an earlier authority. Others
  // accept work from any daemon, so exclusive ownership rests on the permit of
  // the sending daemon alone.
  static constexpr FencingStrategy kTokenFencing = {
      &GroupAuthority::NextTokenCall,
      &GroupAuthority::UpdateTokenGrants,
      &GroupAuthority::IsTokenLapsed,
      true,
      &StopsOnLogLoss,
      &ServiceRules::mandate,
      &FullLease};
  static constexpr FencingStrategy kPermitFencing = {
      &GroupAuthority::NextPermitCall,
      &GroupAuthority::UpdatePermitGrants,
      &GroupAuthority::IsPermitLapsed,
      false,
      &AlwaysExpires,
      &ServiceRules::permit,
      &NoLease};
  return service.checks_tokens ? kTokenFencing : kPermitFencing;
}

}  // namespace bamboorack::upstream
