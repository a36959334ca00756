#ifndef BAMBOORACK_DAEMON_CLUSTER_CONTROLLER_H_
#define BAMBOORACK_DAEMON_CLUSTER_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/core/time.h"
#include "bamboorack/daemon/log_follower.h"
#include "bamboorack/daemon/rings.h"
#include "bamboorack/operator/operator_server.h"
#include "bamboorack/upstream/authority_election.h"
#include "bamboorack/upstream/group_authority.h"
#include "bamboorack/vm_list/membership.h"

namespace bamboorack::daemon {

/// Identifies this daemon and its current process.
struct DaemonIdentity {
  DaemonId id;
  DaemonInstance instance;
};

/// Decides on configuration, authority and ownership. Processes messages from
/// the log, the VM list, other daemons and upstreams, and queues control calls,
/// appends, heartbeats and routing tables for the other threads. Callers pass
/// the current time; this class reads no clock.
class ClusterController {
 public:
  ClusterController(DaemonIdentity daemon_identity,
                    std::chrono::milliseconds retention, Rings& all_rings,
                    operators::StatusHolder& status_holder, Metrics& registry,
                    std::function<RecordId()> record_ids);

  /// Processes all messages in the control rings, then updates the authorities
  /// and publishes the result. Call at least once per `kTickInterval`.
  void Step(MonotonicTime now);

  /// Begins a planned stop by releasing every group to another daemon.
  void BeginStop(MonotonicTime now);
  /// Returns whether a planned stop has begun.
  bool IsStopping() const {
    return this->handover_deadline != MonotonicTime::max();
  }
  /// Returns whether all groups were handed over, or the handover timed out.
  bool IsHandedOver(MonotonicTime now) const;

  static constexpr std::chrono::milliseconds kTickInterval{50};

 private:
  struct HeldGroup {
    std::uint64_t call_id_prefix = 0;
    upstream::GroupAuthority authority;
  };

  using PeerMessageHandler = void (ClusterController::*)(peer::PeerToControl&,
                                                         MonotonicTime);

  void ProcessLogMessages(MonotonicTime now);
  void ProcessVmLists();
  void ProcessPeerMessages(MonotonicTime now);
  void ProcessControlResults(MonotonicTime now);
  void ProcessOperatorCommands(MonotonicTime now);
  void OnPeerHeard(peer::PeerToControl& message, MonotonicTime now);
  void OnStateRequested(peer::PeerToControl& message, MonotonicTime now);
  void OnStateReceived(peer::PeerToControl& message, MonotonicTime now);

  void HandleVerdict(const LogRecord& record, Verdict verdict,
                     MonotonicTime now);
  void RecordNewOwners(const ShardsAssigned& assigned, MonotonicTime now);
  void SyncAuthorities(MonotonicTime now);
  void SyncPeers();
  void RunElection(MonotonicTime now);
  /// Ticks the authorities if the tick interval has passed or their input has
  /// changed. Ticking them for every message used 1.6 % of a core with four
  /// upstreams.
  void TickAuthorities(MonotonicTime now);
  void SendHeartbeats(MonotonicTime now);
  void RequestMissingState(MonotonicTime now);
  upstream::AuthorityInput MakeInput(MonotonicTime now) const;
  void QueueOutput(upstream::AuthorityOutput output, MonotonicTime now);
  void Append(Record record, MonotonicTime now);
  void PublishTable(MonotonicTime now);
  void PublishStatus(MonotonicTime now);
  bool HoldsAnyGroup() const;
  bool IsSnapshotWriter() const;
  LogFollower::VerdictHandler MakeVerdictHandler(MonotonicTime now);

  DaemonIdentity identity;
  Rings& rings;
  operators::StatusHolder& status;
  Metrics& metrics;
  std::function<RecordId()> next_record_id;
  LogFollower log;
  vm_list::Membership membership;
  upstream::AuthorityElection election;
  std::map<GroupId, HeldGroup> held_groups;
  std::map<DaemonId, MonotonicTime> last_heard;
  std::map<UpstreamRef, MonotonicTime> known_since;
  std::map<DaemonId, Endpoint> peers;
  std::shared_ptr<const ClusterState> shared_state;
  std::shared_ptr<const RoutingTable> last_table;
  Revision peers_revision;
  std::uint64_t last_call_id_prefix = 0;
  MonotonicTime next_authority_tick;
  LogOffset last_tick_offset;
  bool has_new_vm_list = false;
  /// Set if an authority was updated since the last table was published.
  bool must_publish_table = false;
  MonotonicTime next_heartbeat;
  MonotonicTime next_status;
  MonotonicTime next_state_request;
  MonotonicTime handover_deadline = MonotonicTime::max();
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_CLUSTER_CONTROLLER_H_
