#include "upstream/simulated_upstream.h"

#include <algorithm>

namespace bamboorack::upstream {

template <typename Call>
tl::expected<void, ControlError> SimulatedUpstream::Check(const Call& call) {
  if (!this->checks_tokens) {
    return tl::make_unexpected(ControlError::kBadAnswer);
  }
  if (call.instance != this->instance) {
    return tl::make_unexpected(ControlError::kOtherInstance);
  }
  if (call.token < this->token && this->rules.refuses_stale_tokens) {
    return tl::make_unexpected(ControlError::kStaleToken);
  }
  this->token = std::max(this->token, call.token);
  return {};
}

tl::expected<ControlAnswer, ControlError> SimulatedUpstream::Handle(
    const ControlRequest& request, TrueTime now) {
  if (std::holds_alternative<ClockCall>(request)) {
    return ClockAnswer{this->instance, this->Reading(now), this->token,
                       this->is_draining};
  }
  if (const auto* fence = std::get_if<FenceCall>(&request)) {
    const auto check = this->Check(*fence);
    if (!check) return tl::make_unexpected(check.error());
    return FenceAnswer{this->Reading(now),
                       this->IsExpired(now),
                       this->is_draining,
                       {this->shards.begin(), this->shards.end()}};
  }
  if (const auto* grant = std::get_if<GrantCall>(&request)) {
    const auto check = this->Check(*grant);
    if (!check) return tl::make_unexpected(check.error());
    if (grant->only_if_unexpired && this->IsExpired(now)) {
      return tl::make_unexpected(ControlError::kLeaseExpired);
    }
    const UpstreamReading start = this->rules.counts_from_echo
                                      ? grant->echoed_reading
                                      : this->Reading(now);
    this->lease_end = start + grant->lease;
    this->shards = {grant->shards.begin(), grant->shards.end()};
    return GrantAnswer{this->Reading(now), this->is_draining};
  }
  if (const auto* revoke = std::get_if<RevokeCall>(&request)) {
    const auto check = this->Check(*revoke);
    if (!check) return tl::make_unexpected(check.error());
    for (const ShardId shard : revoke->shards) this->shards.erase(shard);
    return RevokeAnswer{};
  }
  return SettleAnswer{SettleState::kNotRun};
}

}  // namespace bamboorack::upstream
