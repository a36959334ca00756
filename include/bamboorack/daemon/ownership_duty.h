#ifndef BAMBOORACK_DAEMON_OWNERSHIP_DUTY_H_
#define BAMBOORACK_DAEMON_OWNERSHIP_DUTY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bamboorack/core/desired_state.h"
#include "bamboorack/core/event_log.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/owner_map.h"
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
#include "bamboorack/upstream/range_leadership.h"
#include "bamboorack/upstream/range_lease_manager.h"
#include "bamboorack/upstream/range_planner.h"

namespace bamboorack::daemon {

/// A change of what the process believes, for the log.
struct BeliefEvent {
  EventKind kind = EventKind::kBelief;
  std::string what;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// What the duty wants done.
using DutyAction =
    std::variant<GatewayTables, log_service::StoreCall, upstream::ControlCall,
                 peer::ToGossip, BeliefEvent, log_service::TopicRelay>;
using DutyActions = std::vector<DutyAction>;

/// Keeps what a daemon believes of the desired state, the upstreams and the
/// owners, and leads ownership when it is this daemon's turn.
class OwnershipDuty {
 public:
  struct Identity {
    DaemonId daemon;
    DaemonInstance instance;
    /// Where this daemon receives datagrams.
    Endpoint gossip_endpoint;
  };

  OwnershipDuty(Identity own_identity,
                const upstream::RangeLeases& range_leases,
                std::shared_ptr<const log_service::StateDocuments> documents,
                Metrics& registry, MonotonicTime start);

  DutyActions OnTopic(const log_service::TopicUpdate& update,
                      MonotonicTime now);
  DutyActions OnStore(log_service::StoreResult result, MonotonicTime now);
  DutyActions OnControl(const upstream::ControlResult& result,
                        MonotonicTime now);
  DutyActions OnGossip(const peer::Gossip& message, MonotonicTime now);
  DutyActions OnSuspended(std::chrono::nanoseconds length, MonotonicTime now);
  DutyActions Tick(MonotonicTime now);

  /// Hands the leadership over. `IsHandedOver` tells when that is done.
  void BeginStop() { this->is_stopping = true; }
  bool IsHandedOver() const;
  /// Whether enough is known to serve callers.
  bool IsReady() const;

 private:
  void ApplyDesiredState(const log_service::TopicUpdate& update);
  void ApplyUpstreams(const log_service::TopicUpdate& update);
  void NoteStoreContact(const log_service::TopicUpdate& update);
  void OnOwnershipRead(const tl::expected<log_service::KeyedRecords,
                                          log_service::ReadFailure>& read);
  void OnOwnershipAppended(
      const tl::expected<LogOffset, log_service::KeyedAppendFailure>& appended,
      MonotonicTime sent);
  void OnDaemonsRead(const tl::expected<log_service::KeyedRecords,
                                        log_service::ReadFailure>& read);
  void OnReport(const peer::LoadReport& report);
  void OnBeat(const peer::LeaderBeat& beat);
  void OnRelay(const peer::RecordRelay& relay);
  /// Passes on what this daemon read while it leads.
  void Relay(const log_service::TopicUpdate& update);
  /// Whether a record of an upstream says something new, beside that it lives.
  bool IsNews(const log_service::KeyedRecord& record);
  void AskForContact();

  void CallStore();
  void CallForDirectory();
  void AppendOwnership(upstream::RangeLeadership::LogAction wish);
  void Lead();
  /// When the leases of the predecessor have ended for certain.
  MonotonicTime PredecessorLeasesEnd(
      const upstream::OwnershipRecord& record) const;
  /// Whether the log seems to be out of reach of the other daemons too, so that
  /// no successor will come.
  bool IsCommonOutage() const;
  void StateLapse();
  void CheckReach();
  void PlanMoves();
  std::vector<upstream::RangeCandidate> Candidates(const ServiceName& service);
  double SpeedOf(const UpstreamId& id) const;
  void PublishOwners();
  /// Takes the owners that a beat tells. Returns whether they were news.
  bool HearOwners(const peer::LeaderBeat& beat);
  void ApplyHeardOwners();
  /// Takes the owners of a record that is newer than what was heard, for a
  /// daemon that does not hear its leader.
  void ApplyRecordedOwners(const upstream::OwnershipRecord& record);
  void SendBeat();
  void PublishTables();
  void LogRangeEvents();
  void LogOrderEvents();
  void Say(EventKind kind, std::string what,
           std::vector<std::pair<std::string, std::string>> fields = {});
  DutyActions Take();

  const Identity identity;
  std::shared_ptr<const log_service::StateDocuments> documents;
  Metrics& metrics;
  GatewayTables tables;
  UpstreamRegistry registry;
  upstream::RangeLeadership leadership;
  upstream::RangeLeaseManager keeper;
  upstream::RangeLeadership::Role known_role =
      upstream::RangeLeadership::Role::kFollower;
  std::map<ServiceName, upstream::KeyLoad> key_loads;
  std::map<peer::UpstreamHash, std::map<DaemonId, double>> latency_ratios;
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
  /// The newest owners that were heard of, as they came. Upstreams that
  /// register later give hashes their meaning.
  peer::HashedOwners heard_owners;
  OwnerMapVersion heard_version;
  /// When the newest record was read, for the leases that it tells of.
  MonotonicTime newest_read;
  /// The last statement of a former leader, and when its leases end.
  std::optional<peer::LeaseStatement> statement;
  MonotonicTime statement_end;
  /// The end of the log for which this daemon last stated its own lapse.
  std::optional<LogOffset> lapse_stated_at;
  /// When each daemon last had an answer of the log, and last reported.
  struct PeerContact {
    MonotonicTime log_contact;
    MonotonicTime heard;
  };
  std::map<DaemonId, PeerContact> peer_contacts;
  std::optional<MonotonicTime> unreachable_since;
  bool wants_to_step_down = false;

  bool is_registered = false;
  MonotonicTime next_directory_call;
  std::size_t known_daemons = 0;
  std::optional<log_service::Topic> store_call;

  std::map<log_service::Topic, bool> store_contact;
  /// The entries as they were last passed on.
  std::map<std::string, RegisteredUpstream> relayed;
  /// The last relay of the desired state, and when it was read.
  peer::RecordRelay desired_state_relay;
  MonotonicTime desired_state_read;
  bool has_asked_for_contact = false;
  bool is_stopping = false;

  // Valid during one call.
  MonotonicTime now;
  DutyActions actions;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNERSHIP_DUTY_H_
