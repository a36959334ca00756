#ifndef BAMBOORACK_UPSTREAM_FENCING_STRATEGY_H_
#define BAMBOORACK_UPSTREAM_FENCING_STRATEGY_H_

#include <chrono>
#include <optional>

#include "bamboorack/core/config.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {

/// Prevents earlier authorities and lost owners from serving a shard. There is
/// one strategy for upstreams that check tokens and one for those that do not.
struct FencingStrategy {
  /// Returns the next call to an upstream, if one is due.
  std::optional<ControlRequest> (GroupAuthority::*select_call)(
      const GroupAuthority::View&, UpstreamLink&);
  /// Updates the set of shards for which an instance may be sent work.
  void (GroupAuthority::*update_grants)(const GroupAuthority::View&,
                                        const UpstreamRef&, Holder&);
  /// Whether the owner's lease or permit on a shard has expired.
  bool (GroupAuthority::*has_lapsed)(const GroupAuthority::View&, ShardId,
                                     const GroupAuthority::Move&) const;
  /// Whether a successor fences upstreams before it grants, and shards that
  /// move are revoked from their owner.
  bool fences_upstreams;
  /// Whether the authority expires when it has not reached the log head for the
  /// duration in the setting `mandate` points to.
  bool (*has_mandate)(const ServiceRules&);
  std::chrono::milliseconds ServiceRules::*mandate;
  /// How long an upstream may still act on calls of a predecessor after the
  /// predecessor's mandate expired.
  std::chrono::milliseconds (*post_mandate_lease)(
      std::chrono::milliseconds lease);

  /// Returns the strategy for the upstreams of `service`.
  static const FencingStrategy& Of(const ServiceEntry& service);
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_FENCING_STRATEGY_H_
