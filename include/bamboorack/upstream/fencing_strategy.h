#ifndef BAMBOORACK_UPSTREAM_FENCING_STRATEGY_H_
#define BAMBOORACK_UPSTREAM_FENCING_STRATEGY_H_

#include <chrono>
#include <optional>

#include "bamboorack/core/config.h"
#include "bamboorack/upstream/group_authority.h"

namespace bamboorack::upstream {

/// How an authority keeps its predecessors and lost owners out. There is one
/// strategy for upstreams that check tokens and one for those that do not.
struct FencingStrategy {
  /// Chooses the next call for an upstream that is due.
  std::optional<ControlRequest> (GroupAuthority::*next_call)(
      const GroupAuthority::View&, UpstreamLink&);
  /// Brings the shards that an instance may be sent work for up to date.
  void (GroupAuthority::*update_grants)(const GroupAuthority::View&,
                                        const UpstreamRef&, Holder&);
  /// Whether the owner's hold on a shard has ended by the passage of time.
  bool (GroupAuthority::*has_lapsed)(const GroupAuthority::View&, ShardId,
                                     const GroupAuthority::Move&) const;
  /// Whether upstreams are fenced before and revoked after a grant.
  bool fences;
  /// Whether the authority ends a time after its last contact with the log
  /// head, and which setting is that time.
  bool (*has_mandate)(const ServiceRules&);
  std::chrono::milliseconds ServiceRules::*mandate;
  /// How long an upstream may still obey a predecessor after its mandate.
  std::chrono::milliseconds (*tail)(std::chrono::milliseconds lease);

  /// Returns the strategy for the upstreams of `service`.
  static const FencingStrategy& Of(const ServiceEntry& service);
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_FENCING_STRATEGY_H_
