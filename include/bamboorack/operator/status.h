#ifndef BAMBOORACK_OPERATOR_STATUS_H_
#define BAMBOORACK_OPERATOR_STATUS_H_

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack::operators {

/// A group whose authority the daemon holds.
struct HeldGroup {
  GroupId group;
  FencingToken token;
};

enum class GrantState : std::uint8_t {
  /// No grant of this daemon was confirmed yet, or the last one was revoked.
  kNone,
  kGranted,
  kDraining,
  /// Renewals fail; the lease runs out or has run out.
  kUnreachable,
};

inline constexpr std::array<std::string_view, 4> kGrantStateNames = {
    "none", "granted", "draining", "unreachable"};

constexpr std::string_view NameOf(GrantState state) {
  return kGrantStateNames.at(static_cast<std::size_t>(state));
}

/// An upstream of a group whose authority the daemon holds.
struct UpstreamStatus {
  UpstreamRef upstream;
  GroupId group;
  GrantState state = GrantState::kNone;
  std::uint32_t shards_granted = 0;
};

/// What the control thread tells the operator listener. Never changed after
/// it was handed over.
struct StatusSnapshot {
  DaemonId daemon;
  DaemonInstance instance;
  MonotonicTime taken_at;
  bool is_draining = false;
  /// When the last log read that reached the head was sent; empty if none
  /// did.
  std::optional<MonotonicTime> log_contact;
  /// The state in force, which gives log position, revisions and owners. Null
  /// until the daemon has one.
  std::shared_ptr<const ClusterState> state;
  std::vector<HeldGroup> groups;
  std::vector<UpstreamStatus> upstreams;
  std::map<DaemonId, MonotonicTime> peers_last_heard;
};

/// Writes `snapshot` as JSON. Times become ages in milliseconds before `now`.
std::string ToJson(const StatusSnapshot& snapshot, MonotonicTime now);

/// Writes the owner of each shard as JSON: of `service`, or of all services
/// if it is empty. The list can hold a million shards, so it goes to a stream.
void WriteOwners(const ClusterState& state, const ServiceName& service,
                 std::ostream& out);

/// The part of a status document that publishing waits for.
struct RevisionsInForce {
  Revision inventory;
  Revision rules;
};

/// Reads the revisions from a document that `ToJson` wrote; nothing if it is
/// not such a document or the daemon has no state.
std::optional<RevisionsInForce> ReadRevisions(std::string_view status_json);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_STATUS_H_
