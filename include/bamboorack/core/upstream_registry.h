#ifndef BAMBOORACK_CORE_UPSTREAM_REGISTRY_H_
#define BAMBOORACK_CORE_UPSTREAM_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/leaving_upstreams.h"
#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_run.h"

namespace bamboorack {

/// What an upstream says of itself in the platform's registry.
struct RegisteredUpstream {
  UpstreamRun run;
  ServiceName service;
  Endpoint endpoint;
  FailureDomain failure_domain;
  /// Requests that it runs at the same time.
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// How much longer it warms up, as its record says. 0 in the entries of
  /// `UpstreamRegistry`, which have `cold_until`.
  std::chrono::milliseconds warm_up_left{0};
  /// When its warm-up ends. Late by the age of the record, never early.
  MonotonicTime cold_until{};

  bool operator==(const RegisteredUpstream&) const = default;
};

/// The age of a record at the time it is read varies by 1.1 s, so two records
/// of one warm-up give ends that differ by less than this.
inline constexpr std::chrono::milliseconds kWarmUpEndTolerance{1'200};

/// Replaces `warm_up_left` of an entry whose record was read at `now` by
/// `cold_until`. `before` is what was known of the upstream, or null. An end
/// that moves by less than `kWarmUpEndTolerance` stays as it was.
void SetColdUntil(RegisteredUpstream& entry, const RegisteredUpstream* before,
                  MonotonicTime now);

/// The upstreams that may be used, from the records of the registry and from
/// how well this process reaches it.
///
/// Load pattern: entries of upstreams that live lapse during an outage of the
/// registry. An entry that is missing afterwards is kept until `kReturnTime`
/// after the registry's return. A read that fails on a slow link is no outage:
/// entries that go missing then are gone.
class UpstreamRegistry {
 public:
  /// Without an answer of the registry for this time there was an outage. An
  /// entry lapses after three heartbeats of 0.87 s or more. A daemon that waits
  /// for its leader's relay and then reads through a slow link may be without
  /// an answer for 1.7 s.
  static constexpr std::chrono::milliseconds kShortestOutage{2'500};
  /// Living upstreams are back in the registry within this time of its return.

  static constexpr std::chrono::milliseconds kReturnTime{2'300};

  /// Takes one record, read at `now`; nothing means that the entry was removed.
  void Set(const UpstreamId& id, const std::optional<RegisteredUpstream>& entry,
           MonotonicTime now);
  /// Takes the whole registry.
  void Replace(const std::vector<RegisteredUpstream>& entries,
               MonotonicTime now);
  /// Records that this run said that it leaves. From then on its entry is a
  /// draining one, whatever the registry says.
  void MarkLeaving(const UpstreamRun& run);
  /// Tells that the registry answered this daemon or another one. Called
  /// before what it answered is taken.
  void NoteContact(MonotonicTime now);

  /// Drops entries whose time has run out. Returns whether the usable entries
  /// have changed since the last call.
  bool Update(MonotonicTime now);

  /// The usable entries, ordered by id, draining ones included.
  std::vector<RegisteredUpstream> Entries() const;

 private:
  struct Row {
    RegisteredUpstream entry;
    /// Set while the registry does not list the entry: when it is dropped.
    std::optional<MonotonicTime> drop_at;
  };

  void MarkMissing(Row& row, MonotonicTime now);

  std::map<UpstreamId, Row> rows;
  LeavingUpstreams leaving;
  std::optional<MonotonicTime> last_contact;
  /// When the registry answered again after the last outage.
  std::optional<MonotonicTime> returned_at;
  bool has_changed = false;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_UPSTREAM_REGISTRY_H_
