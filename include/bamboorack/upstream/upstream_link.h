#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_LINK_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_LINK_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::upstream {

/// A grant that was sent and that the upstream may still apply.
struct OpenGrant {
  ControlCallId id;
  /// The grant has no effect after this time, even if it arrives later.
  MonotonicTime ends_at;
  std::vector<ShardId> shards;
};

/// The state that an authority keeps for one upstream instance that may hold
/// shards.
struct Holder {
  /// The VM in the inventory at the time the instance was first seen.
  VmId vm;
  /// When this daemon first saw the instance.
  MonotonicTime known_since;
  std::optional<MonotonicTime> last_answer;
  /// The instance acknowledged this authority's token.
  bool is_fenced = false;
  /// True if the predecessor's lease was unexpired at the fence and no grant of
  /// this authority has since renewed it without the shards that are subject to
  /// the successor rule. Only then is an accepted `only_if_unexpired` grant
  /// proof that the instance held these shards without interruption.
  bool can_claim = false;
  /// Time after which all leases have expired that this authority may have
  /// granted or that the instance reported when it was fenced.
  MonotonicTime lease_end = MonotonicTime::min();
  /// Shards of the last confirmed grant.
  std::set<ShardId> granted;
  /// Shards whose revocation the instance confirmed and that no later grant
  /// contains.
  std::set<ShardId> revoked;
  /// Shards that the instance reported with an unexpired lease when fenced.
  std::set<ShardId> reported;
  std::vector<OpenGrant> open_grants;
};

/// A control call whose result has not arrived.
struct PendingCall {
  ControlCall call;
  MonotonicTime sent_at;
};

/// The control state of one upstream of the inventory.
struct UpstreamLink {
  UpstreamId id;
  VmId vm;
  Endpoint endpoint;
  std::uint32_t slots = 1;
  double weight = 1.0;
  /// False once the upstream left the inventory or moved to another group.
  bool is_listed = true;
  /// The instance that answered last.
  std::optional<UpstreamInstance> instance;
  UpstreamReading reading;
  MonotonicTime reading_received;
  bool is_draining = false;
  /// Whether an operator drains the upstream, its VM is about to leave, or the
  /// inventory no longer lists it.
  bool is_leaving = false;
  /// Consecutive calls without a valid answer.
  int failures = 0;
  MonotonicTime next_call_at;
  /// The shards of the last grant sent to `instance`; unset if there was none.
  std::optional<std::vector<ShardId>> sent_shards;
  std::optional<PendingCall> pending;
  /// Separate from `pending`, because a revocation may wait for running
  /// requests and must not delay renewals.
  std::optional<PendingCall> pending_revoke;

  UpstreamRef Ref() const {
    return {this->id, this->instance.value_or(UpstreamInstance())};
  }
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_LINK_H_
