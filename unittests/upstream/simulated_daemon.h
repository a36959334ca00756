#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_DAEMON_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_DAEMON_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bamboorack/upstream/authority_election.h"
#include "bamboorack/upstream/group_authority.h"
#include "upstream/simulated_log.h"
#include "upstream/simulated_upstream.h"

namespace bamboorack::upstream {

/// Messages that a daemon sends after an event.
struct DaemonOutput {
  std::vector<ControlCall> calls;
  std::vector<Record> appends;
  std::vector<DaemonId> heartbeats;
};

/// The decisions of the control thread of one daemon, without input and output.
/// All times are readings of the daemon's own clock.
class SimulatedDaemon {
 public:
  SimulatedDaemon(DaemonId id, int start, GroupId group,
                  const OwnershipRules& rules);

  DaemonOutput Tick(MonotonicTime now);
  DaemonOutput OnControlResult(const ControlResult& result, MonotonicTime now);
  /// Handles the answer to a log read sent at `sent_at`: the first `count`
  /// records. Returns false if the resulting state differs from other readers.
  bool OnRead(const SimulatedLog& log, std::size_t count, MonotonicTime sent_at,
              MonotonicTime now);
  void OnHeartbeat(const DaemonId& from, MonotonicTime now);
  /// Handles the VM list requested at `sent_at`, which maps VMs to instances.
  void OnVmList(const std::map<VmId, std::string>& vms, MonotonicTime sent_at);
  /// Begins a planned stop.
  DaemonOutput Stop(MonotonicTime now);

  /// Returns the upstream to which this daemon may send work on `shard` at
  /// `now`.
  std::optional<UpstreamRef> SendTarget(ShardId shard, MonotonicTime now) const;
  /// Whether this daemon holds the authority according to its own state.
  bool HasAuthority() const { return this->authority.has_value(); }
  const DaemonId& Id() const { return this->id; }
  const ClusterState& State() const { return this->reader.State(); }

 private:
  AuthorityInput Input(MonotonicTime now) const;
  void UpdateAuthority(MonotonicTime now);
  DaemonOutput Adapt(AuthorityOutput output);
  void PublishTable(MonotonicTime now);
  RecordId NextRecordId();

  DaemonId id;
  DaemonInstance instance;
  GroupId group;
  const OwnershipRules& rules;
  int next_record = 0;
  ControlCallId next_call;
  LogReader reader;
  MonotonicTime head_contact;
  bool has_read = false;
  MembershipView membership;
  std::map<VmId, std::string> listed_vms;
  std::map<UpstreamRef, MonotonicTime> known_since;
  std::map<DaemonId, MonotonicTime> last_heard;
  bool is_stopping = false;
  FencingToken last_token;
  std::unique_ptr<AuthorityElection> election;
  std::optional<GroupAuthority> authority;
  RoutingTable table;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_DAEMON_H_
