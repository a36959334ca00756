#ifndef BAMBOORACK_DAEMON_OWNERSHIP_CONTROLLER_H_
#define BAMBOORACK_DAEMON_OWNERSHIP_CONTROLLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/core/desired_state.h"
#include "bamboorack/core/evacuations.h"
#include "bamboorack/core/event_log.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/owner_map.h"
#include "bamboorack/core/placement_mode.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/daemon/gateway_messages.h"
#include "bamboorack/daemon/owner_announcer.h"
#include "bamboorack/log_service/keyed_log.h"
#include "bamboorack/log_service/state_documents.h"
#include "bamboorack/log_service/store_call_thread.h"
#include "bamboorack/log_service/topic_follower_thread.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/offered_load.h"
#include "bamboorack/upstream/range_leadership.h"
#include "bamboorack/upstream/range_lease_manager.h"
#include "bamboorack/upstream/range_planner.h"
#include "bamboorack/upstream/share_policy.h"
#include "bamboorack/upstream/speed_estimator.h"

namespace bamboorack::daemon {

/// Log record of an event on the control thread.
struct ControlEvent {
  EventKind kind = EventKind::kBelief;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// A side effect requested by `OwnershipController`; `OwnershipThread` executes
/// it.
using OwnershipAction =
    std::variant<GatewayTables, log_service::StoreCall, upstream::ControlCall,
                 peer::ToGossip, ControlEvent, log_service::TopicRelay>;
using OwnershipActions = std::vector<OwnershipAction>;

/// Tracks the desired state, the upstream registry and the key owners. Takes
/// part in the leader election and, as the leader, grants key ranges to
/// upstreams.
class OwnershipController {
 public:
  struct Identity {
    DaemonId daemon;
    DaemonInstance instance;
    /// Address on which this daemon receives gossip datagrams.
    Endpoint gossip_endpoint;
    /// How much later than others this daemon claims leadership.
    std::chrono::milliseconds claim_delay{0};
    /// From the log's acknowledgement of an order to evacuate a failure domain
    /// until no request may reach an upstream there.
    std::chrono::milliseconds evacuation_time{5'000};
    /// How keys are divided among the upstreams of a service.
    PlacementMode placement = PlacementMode::kAutomatic;
  };

  OwnershipController(
      Identity own_identity, const upstream::RangeLeases& range_leases,
      std::shared_ptr<const log_service::StateDocuments> documents,
      Metrics& metrics_registry, MonotonicTime start);

  OwnershipActions OnTopicUpdate(const log_service::TopicUpdate& update,
                                 MonotonicTime now);
  OwnershipActions OnStoreResult(log_service::StoreResult result,
                                 MonotonicTime now);
  OwnershipActions OnControlResult(const upstream::ControlResult& result,
                                   MonotonicTime now);
  OwnershipActions OnGossip(const peer::Gossip& message, MonotonicTime now);
  OwnershipActions OnSuspended(std::chrono::nanoseconds length,
                               MonotonicTime now);
  OwnershipActions Tick(MonotonicTime now);

  /// Starts releasing the leadership. `IsHandedOver` returns true when that is
  /// done.
  void BeginStop() { this->is_stopping = true; }
  bool IsHandedOver() const;
  /// Returns whether the state needed to serve callers has been received.
  bool IsReady() const;

 private:
  void ApplyDesiredState(const log_service::TopicUpdate& update);
  void ApplyEvacuations(const log_service::TopicUpdate& update);
  void ApplyUpstreams(const log_service::TopicUpdate& update);
  void UpdateStoreContact(const log_service::TopicUpdate& update);
  void OnOwnershipRead(const tl::expected<log_service::KeyedRecords,
                                          log_service::ReadFailure>& read);
  void OnOwnershipAppended(
      const tl::expected<LogOffset, log_service::KeyedAppendFailure>& appended,
      MonotonicTime sent);
  void OnDaemonsRead(const tl::expected<log_service::KeyedRecords,
                                        log_service::ReadFailure>& read);
  /// Takes the daemons in the directory and publishes them, ordered by id, if
  /// the read before this one found the same.
  void SetDirectory(std::vector<DaemonId> daemons);
  /// Whether the directory must be read early, because it changed at the last
  /// read and a service needs it.
  bool IsDirectoryUnsettled() const;
  void OnLoadReport(const peer::LoadReport& report);
  /// Applies that runs of upstreams said that they leave.
  void MarkDepartures(const std::vector<peer::UpstreamDeparture>& departures);
  void OnLeaderBeat(const peer::LeaderBeat& beat);
  void OnRecordRelay(const peer::RecordRelay& relay);
  /// Relays an update read from the log to the other daemons. Does nothing
  /// unless this daemon is the leader.
  void RelayUpdate(const log_service::TopicUpdate& update);
  /// Returns whether a registry record differs from the last relayed record of
  /// that upstream by more than a heartbeat.
  bool HasNewContent(const log_service::KeyedRecord& record);
  /// Whether the update consists of orders to evacuate failure domains.
  bool HasOnlyEvacuations(const log_service::TopicUpdate& update) const;
  void RequestLogRead();

  void CallStore();
  void UpdateDirectory();
  void AppendOwnership(upstream::RangeLeadership::LogAction next_call);
  void UpdateLeadership();
  /// Returns the time by which all leases granted by the predecessor have
  /// expired.
  MonotonicTime PredecessorLeasesEnd(
      const upstream::OwnershipRecord& record) const;
  /// Returns whether fewer than half of the other daemons seem to reach the
  /// log, or none sent a report recently, so that a successor is unlikely to be
  /// elected.
  bool IsCommonOutage() const;
  void AnnounceLapse();
  void CheckReachability();
  void PlanMoves();
  std::vector<upstream::RangeCandidate> Candidates(const ServiceName& service);
  /// Reports how many ranges upstreams in evacuated failure domains hold. Only
  /// the leader knows it.
  void ReportEvacuations();
  void ForgetEvacuationProgress();
  /// Passes the evacuated failure domains to the router.
  void PublishEvacuations();
  /// Whether the upstream warms up for so long that its keys should be served
  /// by others meanwhile.
  bool IsTooColdForKeys(const RegisteredUpstream& entry) const;
  /// Adds the cold upstreams of a service to the warm ones unless these have
  /// enough capacity to take over the keys of the cold ones.
  static void KeepColdIfMost(std::vector<upstream::RangeCandidate>& warm,
                             const std::vector<upstream::RangeCandidate>& cold);
  /// Whether the service of an upstream limits requests during the warm-up.
  bool HasWarmUpRate(const RegisteredUpstream& entry) const;
  /// Logs upstreams that have become cold.
  void LogColdUpstreams();
  /// Logs upstreams that have become warm.
  void LogWarmUpstreams();
  double SpeedOf(const UpstreamRun& run) const;
  /// Finds upstreams in `tables.upstreams` by their hash, and forgets what was
  /// learned of runs that are gone.
  void IndexUpstreams();
  /// Learns speeds and the work in progress from a report.
  void LearnWork(const peer::LoadReport& report);
  const upstream::SharePolicy& SharePolicyOf(const ServiceName& service) const;
  void SetPlanGauges(const ServiceName& service, double offered,
                     double capacity);
  /// Only the leader knows the values.
  void ForgetPlanGauges();
  void PublishOwners();
  /// Merges the owners in a leader beat. Returns whether they were newer than
  /// the known ones.
  bool MergeAnnouncedOwners(const peer::LeaderBeat& beat);
  void ApplyAnnouncedOwners();
  /// Uses the owners in a record of the log if they are newer than those
  /// announced by gossip, for a daemon that receives no leader beats.
  void ApplyRecordedOwners(const upstream::OwnershipRecord& record);
  void SendBeat();
  void PublishUpstreams();
  void LogRangeEvents();
  void LogControlCallEvents();
  void LogEvent(EventKind kind, std::string name,
                std::vector<std::pair<std::string, std::string>> fields = {});
  OwnershipActions TakeActions();

  const Identity identity;
  std::shared_ptr<const log_service::StateDocuments> documents;
  Metrics& metrics;
  GatewayTables tables;
  UpstreamRegistry registry;
  upstream::RangeLeadership leadership;
  upstream::RangeLeaseManager lease_manager;
  upstream::RangeLeadership::Role previous_role =
      upstream::RangeLeadership::Role::kFollower;
  std::map<ServiceName, upstream::ServiceKeyLoad> key_loads;
  /// Indices in `tables.upstreams`.
  std::map<peer::UpstreamHash, std::size_t> upstream_index;
  upstream::SpeedEstimator speeds;
  upstream::OfferedLoad offered_load;
  /// Services whose upstreams state their load, by the reports of any daemon.
  /// `PlacementMode::kAutomatic` divides their keys by expected latency.
  std::set<ServiceName> stating_services;
  std::set<peer::UpstreamDeparture> known_departures;
  Evacuations evacuations;
  /// As last reported by this daemon as the leader.
  std::map<FailureDomain, std::size_t> evacuated_ranges;
  /// When the warm-up of each cold upstream ends.
  std::map<UpstreamRun, MonotonicTime> cold_upstreams;
  bool has_new_tables = false;

  bool is_store_busy = false;
  bool is_release_sent = false;
  std::uint64_t saved_change = 0;
  std::uint64_t sent_change = 0;
  std::optional<upstream::OwnershipRecord> newest_record;
  MonotonicTime next_plan;
  MonotonicTime next_beat;
  OwnerAnnouncer announcer;
  MonotonicTime next_publication;
  /// The newest owners announced by the leader, as received. Kept in hashed
  /// form because a hash may belong to an upstream that registers later.
  peer::HashedOwners announced_owners;
  OwnerMapVersion announced_version;
  /// When `newest_record` was read; its remaining lease time counts from here.
  MonotonicTime newest_record_read_at;
  /// The last lease statement of a former leader, and when its leases expire.
  std::optional<peer::LeaseStatement> lease_statement;
  MonotonicTime statement_leases_end;
  /// The log end for which this daemon last announced that its own mandate had
  /// lapsed.
  std::optional<LogOffset> announced_lapse_end;
  /// When a daemon last had an answer from the log, and when its last load
  /// report arrived.
  struct PeerContact {
    MonotonicTime log_contact;
    MonotonicTime last_report;
  };
  std::map<DaemonId, PeerContact> peer_contacts;
  std::optional<MonotonicTime> unreachable_since;
  bool must_step_down = false;

  bool is_registered = false;
  MonotonicTime next_directory_call;
  std::size_t known_daemons = 0;
  /// The daemons that the last read of the directory found.
  std::vector<DaemonId> directory;
  MonotonicTime directory_read_at;
  std::optional<log_service::Topic> store_call;

  std::map<log_service::Topic, bool> store_contact;
  /// The registry entries as last relayed.
  std::map<std::string, RegisteredUpstream> relayed_entries;
  /// The last relay of the desired state, and when its content was read.
  peer::RecordRelay desired_state_relay;
  MonotonicTime desired_state_read_at;
  bool has_requested_log_read = false;
  bool is_stopping = false;

  // Valid during a call of a public member function only.
  MonotonicTime now;
  OwnershipActions actions;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNERSHIP_CONTROLLER_H_
