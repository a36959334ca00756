#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SIMULATION_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/range_lease_manager.h"

namespace bamboorack::upstream::testing {

/// An upstream that checks fencing tokens according to the rules of the
/// platform: it refuses a grant with a token below the highest that it has seen
/// for any of the keys, and a lease starts when the call arrives, even if the
/// call is executed later. Where the rules leave a choice, it holds keys as
/// long as possible and reports as little as possible.
class FencingUpstream {
 public:
  struct Hold {
    KeyRange keys;
    FencingToken token;
    MonotonicTime until;
  };

  /// Executes a grant that arrived at `arrived`. Returns whether it was
  /// accepted.
  bool Grant(const RangeGrantCall& call, MonotonicTime arrived) {
    for (const auto& [keys, token] : this->seen_tokens) {
      if (!this->refuses_stale_tokens) break;
      if (Overlap(keys, call.range) && call.token < token) return false;
    }
    this->seen_tokens.emplace_back(call.range, call.token);
    // A longer hold of the same keys remains in force.
    std::erase_if(this->holds, [arrived](const Hold& earlier) {
      return earlier.until <= arrived;
    });
    this->holds.push_back(
        {call.range, call.token, arrived + OnSlowClock(call.lease)});
    return true;
  }

  /// Releases the keys. Returns when the call is answered, which is when all
  /// requests in progress for the keys have ended.
  MonotonicTime Release(const RangeReleaseCall& call, MonotonicTime now) {
    MonotonicTime answered = now;
    for (RunningRequest& running_request : this->running_requests) {
      if (!call.range.Contains(running_request.key) ||
          running_request.end <= now)
        continue;
      const MonotonicTime hold_end = this->HoldEnd(running_request.key);
      if (!running_request.lease_end) running_request.lease_end = hold_end;
      answered = std::max(answered, running_request.end);
    }
    this->RemoveFromHolds(call.range);
    return answered;
  }

  /// Starts a request for `key` that ends at `end`, if the key is held.
  void BeginRequest(ShardKey key, MonotonicTime now, MonotonicTime end) {
    std::erase_if(this->running_requests,
                  [now](const RunningRequest& running_request) {
                    return running_request.end <= now;
                  });
    if (this->Holds(key, now)) this->running_requests.push_back({key, end, {}});
  }

  /// Whether a request for one of the keys is in progress and the lease under
  /// which it was started has not expired.
  bool HasRunningRequest(const KeyRange& keys, MonotonicTime now) const {
    return std::any_of(
        this->running_requests.begin(), this->running_requests.end(),
        [&](const RunningRequest& running_request) {
          const MonotonicTime lease_end = running_request.lease_end.value_or(
              this->HoldEnd(running_request.key));
          return keys.Contains(running_request.key) &&
                 now < running_request.end && now < lease_end;
        });
  }

  bool Holds(ShardKey key, MonotonicTime now) const {
    for (const Hold& hold : this->holds) {
      if (hold.keys.Contains(key) && now < hold.until) return true;
    }
    return false;
  }

  /// Restarts the process, which loses all its state.
  void Restart() {
    this->holds.clear();
    this->seen_tokens.clear();
    this->running_requests.clear();
  }

  bool refuses_stale_tokens = true;

  /// Returns the real duration of `lease` on a clock that runs 2 % slow.
  static std::chrono::nanoseconds OnSlowClock(std::chrono::nanoseconds lease) {
    constexpr double kRate = 0.98;
    return std::chrono::nanoseconds(
        std::llround(static_cast<double>(lease.count()) / kRate));
  }

 private:
  static bool Overlap(const KeyRange& a, const KeyRange& b) {
    return a.first <= b.last && b.first <= a.last;
  }

  /// Removes `keys` from all holds.
  void RemoveFromHolds(const KeyRange& keys) {
    std::vector<Hold> kept;
    for (const Hold& hold : this->holds) {
      if (!Overlap(hold.keys, keys)) {
        kept.push_back(hold);
        continue;
      }
      if (hold.keys.first < keys.first) {
        Hold lower = hold;
        lower.keys.last =
            ShardKey(static_cast<std::uint16_t>(keys.first.value - 1));
        kept.push_back(lower);
      }
      if (keys.last < hold.keys.last) {
        Hold upper = hold;
        upper.keys.first =
            ShardKey(static_cast<std::uint16_t>(keys.last.value + 1));
        kept.push_back(upper);
      }
    }
    this->holds = std::move(kept);
  }

  struct RunningRequest {
    ShardKey key;
    MonotonicTime end;
    /// When the lease of the key would have expired. Set by a release.
    std::optional<MonotonicTime> lease_end;
  };

  MonotonicTime HoldEnd(ShardKey key) const {
    MonotonicTime end;
    for (const Hold& hold : this->holds) {
      if (hold.keys.Contains(key)) end = std::max(end, hold.until);
    }
    return end;
  }

  std::vector<Hold> holds;
  std::vector<RunningRequest> running_requests;
  std::vector<std::pair<KeyRange, FencingToken>> seen_tokens;
};

/// An answer that is sent when the requests in progress have ended.
struct PendingAnswer {
  ControlCall call;
  MonotonicTime due;
  ControlAnswer answer;
};

/// A call that was not answered and that its upstream may still execute.
struct DelayedCall {
  ControlCall call;
  MonotonicTime arrived;
};

inline const ServiceName kService{"reader"};

inline RegisteredUpstream MakeEntry(const std::string& id,
                                    std::uint64_t life = 1) {
  RegisteredUpstream entry;
  entry.run = {UpstreamId(id), UpstreamLife(life)};
  entry.service = kService;
  entry.endpoint = {"10.0.0.1", 80};
  entry.failure_domain = FailureDomain("east");
  entry.slots = 4;
  return entry;
}

/// The range leases of one leader and a set of upstreams, connected by a
/// simulated network that the test controls.
class RangeSimulation {
 public:
  explicit RangeSimulation(std::vector<std::string> ids,
                           const RangeRules& range_rules = kRangeRules)
      : rules(range_rules) {
    for (const std::string& id : ids) {
      this->entries.push_back(MakeEntry(id));
      this->upstreams[UpstreamId(id)];
    }
    this->ElectLeader({});
  }

  /// Starts a new leader with the state in `record`. It assumes the longest
  /// leases if the former leader has not stated when its leases end.
  void ElectLeader(const OwnershipRecord& record,
                   std::optional<MonotonicTime> leases_end = std::nullopt) {
    this->term = Term(this->term.value + 1);
    this->manager.emplace(RangeLeases{}, this->rules);
    this->unanswered_calls.clear();
    this->pending_answers.clear();
    this->saved_change = 0;
    this->manager->TakeOver(
        record, this->term,
        leases_end.value_or(this->manager->LeaseEndBound(this->now)),
        this->now);
    this->manager->SetUpstreams(this->entries, this->now);
    this->manager->SetServices({kService});
  }

  OwnershipRecord Record() const {
    OwnershipRecord record;
    record.term = this->term;
    record.services = this->manager->ToRecord();
    return record;
  }

  /// Advances the time in steps of 50 ms. Calls to reachable upstreams are
  /// executed and answered at once.
  void Run(std::chrono::milliseconds span, bool saves_record = true) {
    const MonotonicTime end = this->now + span;
    while (this->now < end) {
      this->now += std::chrono::milliseconds(50);
      this->AnswerPending();
      if (saves_record) this->SaveRecord();
      this->DeliverCalls(this->manager->Step(this->saved_change,
                                             this->outage_expected, this->now));
    }
  }

  /// Saves the record as a daemon does: when there is an unsaved change, and
  /// with each renewal of the mandate.
  void SaveRecord() {
    const bool has_change = this->manager->LatestChange() > this->saved_change;
    if (!has_change && this->now < this->next_renewal) return;
    this->next_renewal = this->now + std::chrono::milliseconds(300);
    this->saved_change = this->manager->LatestChange();
    this->saved_record = this->Record();
  }

  void DeliverCalls(const std::vector<ControlCall>& calls) {
    for (const ControlCall& call : calls) {
      this->sent_calls.push_back(call);
      if (this->silent_upstreams.contains(call.upstream)) {
        this->unanswered_calls.push_back({call, this->now});
        this->delayed_calls.push_back({call, this->now + this->transit_time});
        continue;
      }
      if (this->unreachable_upstreams.contains(call.upstream)) {
        this->DeliverAnswer(call, tl::make_unexpected(ControlError::kNotSent));
        continue;
      }
      if (const auto* release = std::get_if<RangeReleaseCall>(&call.request)) {
        const MonotonicTime due =
            this->upstreams[call.upstream].Release(*release, this->now);
        this->pending_answers.push_back({call, due, this->HandoverOf(call)});
        continue;
      }
      this->DeliverAnswer(call, this->Execute(call, this->now));
    }
    this->AnswerPending();
  }

  /// Delivers the answers that are due and fails calls past their deadline.
  void AnswerPending() {
    for (const PendingAnswer& row : std::exchange(this->pending_answers, {})) {
      if (row.due <= this->now) {
        this->DeliverAnswer(row.call, row.answer);
      } else if (row.call.deadline <= this->now) {
        this->DeliverAnswer(row.call,
                            tl::make_unexpected(ControlError::kUnreachable));
      } else {
        this->pending_answers.push_back(row);
      }
    }
  }

  /// Resets the connections of all release calls that wait for an answer.
  void ResetPending() {
    for (const PendingAnswer& row : std::exchange(this->pending_answers, {})) {
      this->DeliverAnswer(row.call,
                          tl::make_unexpected(ControlError::kUnreachable));
    }
  }

  tl::expected<ControlAnswer, ControlError> Execute(const ControlCall& call,
                                                    MonotonicTime arrived) {
    FencingUpstream& upstream = this->upstreams[call.upstream];
    if (const auto* grant = std::get_if<RangeGrantCall>(&call.request)) {
      if (!upstream.Grant(*grant, arrived)) {
        return tl::make_unexpected(ControlError::kStaleToken);
      }
      if (arrived == this->now) {
        this->CheckRunningRequests(call.upstream, *grant);
        this->CheckToken(call.upstream, *grant);
      }
      return RangeGrantAnswer{};
    }
    upstream.Release(std::get<RangeReleaseCall>(call.request), this->now);
    return this->HandoverOf(call);
  }

  static ControlAnswer HandoverOf(const ControlCall& call) {
    return RangeReleaseAnswer{Handover("h-" + call.upstream.value)};
  }

  void DeliverAnswer(const ControlCall& call,
                     const tl::expected<ControlAnswer, ControlError>& answer) {
    this->manager->OnResult({call.id, call.upstream, answer}, this->now);
  }

  /// Fails all unanswered calls at the leader. Returns them, since they may
  /// still arrive at their upstreams.
  std::vector<ControlCall> FailUnanswered() {
    std::vector<ControlCall> calls;
    for (const DelayedCall& row : std::exchange(this->unanswered_calls, {})) {
      this->DeliverAnswer(row.call,
                          tl::make_unexpected(ControlError::kUnreachable));
      calls.push_back(row.call);
    }
    return calls;
  }

  /// Fails the calls at the leader that have had no answer for `limit`.
  void ExpireCalls(std::chrono::milliseconds limit) {
    for (const DelayedCall& row : std::exchange(this->unanswered_calls, {})) {
      if (this->now < row.arrived + limit) {
        this->unanswered_calls.push_back(row);
        continue;
      }
      this->DeliverAnswer(row.call,
                          tl::make_unexpected(ControlError::kUnreachable));
    }
  }

  /// Records whether a request for the granted keys is still in progress at an
  /// upstream other than `id`.
  void CheckRunningRequests(const UpstreamId& id, const RangeGrantCall& grant) {
    for (const auto& [other, upstream] : this->upstreams) {
      if (other == id) continue;
      this->has_early_grant |=
          upstream.HasRunningRequest(grant.range, this->now);
    }
  }

  /// Records the token of a grant, and whether another upstream was granted any
  /// of the keys with the same or a higher token before.
  void CheckToken(const UpstreamId& id, const RangeGrantCall& grant) {
    for (const auto& [other, rows] : this->granted_tokens) {
      if (other == id) continue;
      for (const auto& [keys, token] : rows) {
        const bool overlaps =
            keys.first <= grant.range.last && grant.range.first <= keys.last;
        this->has_low_token |= overlaps && grant.token <= token;
      }
    }
    this->granted_tokens[id].emplace_back(grant.range, grant.token);
  }

  std::vector<std::string> HoldersOf(std::uint16_t key) const {
    std::vector<std::string> holders;
    for (const auto& [id, upstream] : this->upstreams) {
      if (upstream.Holds(ShardKey(key), this->now)) holders.push_back(id.value);
    }
    return holders;
  }

  std::optional<std::string> OwnerOf(std::uint16_t key) {
    const OwnerMap map = this->manager->ToOwnerMap(this->now);
    const UpstreamRun* owner = map.FindOwner(kService, ShardKey(key));
    if (owner == nullptr) return std::nullopt;
    return owner->id.value;
  }

  void Move(std::uint16_t first, std::uint16_t last, const std::string& to) {
    this->manager->Move(kService, {{ShardKey(first), ShardKey(last)},
                                   {UpstreamId(to), UpstreamLife(1)}});
  }

  std::size_t CountSent(std::size_t request_index) const {
    std::size_t count = 0;
    for (const ControlCall& call : this->sent_calls) {
      if (call.request.index() == request_index) ++count;
    }
    return count;
  }

  MonotonicTime now{std::chrono::seconds(1'000)};
  std::vector<RegisteredUpstream> entries;
  std::map<UpstreamId, FencingUpstream> upstreams;
  std::map<UpstreamId, bool> silent_upstreams;
  std::map<UpstreamId, bool> unreachable_upstreams;
  /// Calls for whose answer the current leader waits.
  std::vector<DelayedCall> unanswered_calls;
  std::vector<PendingAnswer> pending_answers;
  /// Transit time of calls that are not answered.
  std::chrono::milliseconds transit_time{0};
  /// Calls of all leaders that an upstream may still execute.
  std::vector<DelayedCall> delayed_calls;
  std::vector<ControlCall> sent_calls;
  /// Keys granted to each upstream, with the tokens of the grants.
  std::map<UpstreamId, std::vector<std::pair<KeyRange, FencingToken>>>
      granted_tokens;
  bool has_low_token = false;
  /// Whether keys were granted while a request for them was in progress at
  /// their former holder.
  bool has_early_grant = false;
  bool outage_expected = false;
  std::uint64_t saved_change = 0;
  MonotonicTime next_renewal;
  OwnershipRecord saved_record;
  RangeRules rules;
  Term term;
  std::optional<RangeLeaseManager> manager;
};

}  // namespace bamboorack::upstream::testing

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_SIMULATION_H_
