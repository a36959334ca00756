#ifndef BAMBOORACK_UPSTREAM_GROUP_AUTHORITY_H_
#define BAMBOORACK_UPSTREAM_GROUP_AUTHORITY_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/membership.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::upstream {

/// What the control thread knows when it asks for a decision.
struct AuthorityInput {
  const ClusterState& state;
  /// When the last log read that reached the head was sent.
  MonotonicTime head_contact;
  /// Whether the log answered lately. Without it nothing can be appended.
  bool has_log_contact = false;
  const MembershipView& membership;
};

/// What the control thread has to do.
struct AuthorityOutput {
  std::vector<ControlCall> calls;
  std::vector<Record> appends;
};

/// Decides for one group whose authority this daemon holds: fences, grants,
/// renewals, revocations and moves. It reads no clock and does no I/O.
class GroupAuthority {
 public:
  /// `token` is the offset of the accepted `authority_taken` record, read back
  /// at `taken_at`; `predecessor` tells whether the group had an authority
  /// before. Ids of control calls start at `first_call_id`.
  GroupAuthority(GroupId group, DaemonId self, FencingToken token,
                 bool has_predecessor, MonotonicTime taken_at,
                 ControlCallId first_call_id,
                 std::function<RecordId()> next_record_id);

  /// Call every 50 ms or sooner, and after each change of the input.
  AuthorityOutput Tick(const AuthorityInput& input, MonotonicTime now);

  /// Takes the result of one of this authority's calls.
  AuthorityOutput OnControlResult(const AuthorityInput& input,
                                  const ControlResult& result,
                                  MonotonicTime now);

  /// Adds the group, its upstreams and its granted shards to `table`.
  void FillTable(const AuthorityInput& input, RoutingTable& table) const;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_GROUP_AUTHORITY_H_
