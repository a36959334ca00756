#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_WORLD_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_WORLD_H_

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
/// platform: it rejects a grant with a token below the highest that it has seen
/// for any of the keys, and a lease starts when the call arrives, even if the
/// call is executed later. Where the rules leave a choice, it holds keys as
/// long as possible and reports as little as possible.
class TokenUpstream {
 public:
  struct Hold {
    KeyRange keys;
    FencingToken token;
    MonotonicTime until;
  };

  /// Executes a grant that arrived at `arrived`. Returns whether it was
  /// accepted.
  bool Grant(const RangeGrantCall& call, MonotonicTime arrived) {
    for (const auto& [keys, token] : this->seen) {
      if (!this->refuses_stale_tokens) break;
      if (Overlap(keys, call.range) && call.token < token) return false;
    }
    this->seen.emplace_back(call.range, call.token);
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
    for (Work& work : this->works) {
      if (!call.range.Contains(work.key) || work.end <= now) continue;
      const MonotonicTime hold_end = this->HoldEnd(work.key);
      if (!work.lease_end) work.lease_end = hold_end;
      answered = std::max(answered, work.end);
    }
    this->Cut(call.range);
    return answered;
  }

  /// Starts a request for `key` that ends at `end`, if the key is held.
  void BeginWork(ShardKey key, MonotonicTime now, MonotonicTime end) {
    std::erase_if(this->works,
                  [now](const Work& work) { return work.end <= now; });
    if (this->Holds(key, now)) this->works.push_back({key, end, {}});
  }

  /// Whether a request for one of the keys is in progress and the lease under
  /// which it was started has not expired.
  bool IsAtWork(const KeyRange& keys, MonotonicTime now) const {
    return std::any_of(
        this->works.begin(), this->works.end(), [&](const Work& work) {
          const MonotonicTime lease_end =
              work.lease_end.value_or(this->HoldEnd(work.key));
          return keys.Contains(work.key) && now < work.end && now < lease_end;
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
    this->seen.clear();
    this->works.clear();
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
  void Cut(const KeyRange& keys) {
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

  struct Work {
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
  std::vector<Work> works;
  std::vector<std::pair<KeyRange, FencingToken>> seen;
};

/// A response that is sent when the requests in progress have ended.
struct PendingAnswer {
  ControlCall call;
  MonotonicTime due;
  ControlAnswer answer;
};

/// A call that was not answered and that its upstream may still execute.
struct LateCall {
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
class RangeWorld {
 public:
  explicit RangeWorld(std::vector<std::string> ids,
                      const RangeRules& range_rules = kRangeRules)
      : rules(range_rules) {
    for (const std::string& id : ids) {
      this->entries.push_back(MakeEntry(id));
      this->upstreams[UpstreamId(id)];
    }
    this->Elect({});
  }

  /// Starts a new leader with the state in `record`. It assumes the longest
  /// leases if the former leader has not stated when its leases end.
  void Elect(const OwnershipRecord& record,
             std::optional<MonotonicTime> leases_end = std::nullopt) {
    this->term = Term(this->term.value + 1);
    this->keeper.emplace(RangeLeases{}, this->rules);
    this->unanswered.clear();
    this->pending.clear();
    this->saved = 0;
    this->keeper->TakeOver(
        record, this->term,
        leases_end.value_or(this->keeper->LeaseEndBound(this->now)), this->now);
    this->keeper->SetUpstreams(this->entries, this->now);
    this->keeper->SetServices({kService});
  }

  OwnershipRecord Record() const {
    OwnershipRecord record;
    record.term = this->term;
    record.services = this->keeper->ToRecord();
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
      this->Deliver(
          this->keeper->Step(this->saved, this->in_trouble, this->now));
    }
  }

  /// Saves the record as a daemon does: when there is an unsaved change, and
  /// with each renewal of the mandate.
  void SaveRecord() {
    const bool has_change = this->keeper->LatestChange() > this->saved;
    if (!has_change && this->now < this->next_renewal) return;
    this->next_renewal = this->now + std::chrono::milliseconds(300);
    this->saved = this->keeper->LatestChange();
    this->saved_record = this->Record();
  }

  void Deliver(const std::vector<ControlCall>& calls) {
    for (const ControlCall& call : calls) {
      this->sent.push_back(call);
      if (this->silent.contains(call.upstream)) {
        this->unanswered.push_back({call, this->now});
        this->late.push_back({call, this->now + this->travel});
        continue;
      }
      if (this->unreachable.contains(call.upstream)) {
        this->Answer(call, tl::make_unexpected(ControlError::kNotSent));
        continue;
      }
      if (const auto* release = std::get_if<RangeReleaseCall>(&call.request)) {
        const MonotonicTime due =
            this->upstreams[call.upstream].Release(*release, this->now);
        this->pending.push_back({call, due, this->HandoverOf(call)});
        continue;
      }
      this->Answer(call, this->CarryOut(call, this->now));
    }
    this->AnswerPending();
  }

  /// Delivers the responses that are due and fails calls past their deadline.
  void AnswerPending() {
    for (const PendingAnswer& row : std::exchange(this->pending, {})) {
      if (row.due <= this->now) {
        this->Answer(row.call, row.answer);
      } else if (row.call.deadline <= this->now) {
        this->Answer(row.call, tl::make_unexpected(ControlError::kUnreachable));
      } else {
        this->pending.push_back(row);
      }
    }
  }

  /// Resets the connections of all release calls that wait for a response.
  void ResetPending() {
    for (const PendingAnswer& row : std::exchange(this->pending, {})) {
      this->Answer(row.call, tl::make_unexpected(ControlError::kUnreachable));
    }
  }

  tl::expected<ControlAnswer, ControlError> CarryOut(const ControlCall& call,
                                                     MonotonicTime arrived) {
    TokenUpstream& upstream = this->upstreams[call.upstream];
    if (const auto* grant = std::get_if<RangeGrantCall>(&call.request)) {
      if (!upstream.Grant(*grant, arrived)) {
        return tl::make_unexpected(ControlError::kStaleToken);
      }
      if (arrived == this->now) {
        this->NoteWork(call.upstream, *grant);
        this->NoteToken(call.upstream, *grant);
      }
      return RangeGrantAnswer{};
    }
    upstream.Release(std::get<RangeReleaseCall>(call.request), this->now);
    return this->HandoverOf(call);
  }

  static ControlAnswer HandoverOf(const ControlCall& call) {
    return RangeReleaseAnswer{Handover("h-" + call.upstream.value)};
  }

  void Answer(const ControlCall& call,
              const tl::expected<ControlAnswer, ControlError>& answer) {
    this->keeper->OnResult({call.id, call.upstream, answer}, this->now);
  }

  /// Fails all unanswered calls at the leader. Returns them, since they may
  /// still arrive at their upstreams.
  std::vector<ControlCall> FailUnanswered() {
    std::vector<ControlCall> calls;
    for (const LateCall& row : std::exchange(this->unanswered, {})) {
      this->Answer(row.call, tl::make_unexpected(ControlError::kUnreachable));
      calls.push_back(row.call);
    }
    return calls;
  }

  /// Fails the calls at the leader that have had no response for `limit`.
  void ExpireCalls(std::chrono::milliseconds limit) {
    for (const LateCall& row : std::exchange(this->unanswered, {})) {
      if (this->now < row.arrived + limit) {
        this->unanswered.push_back(row);
        continue;
      }
      this->Answer(row.call, tl::make_unexpected(ControlError::kUnreachable));
    }
  }

  /// Records whether a request for the granted keys is still in progress at an
  /// upstream other than `id`.
  void NoteWork(const UpstreamId& id, const RangeGrantCall& grant) {
    for (const auto& [other, upstream] : this->upstreams) {
      if (other == id) continue;
      this->has_early_grant |= upstream.IsAtWork(grant.range, this->now);
    }
  }

  /// Records the token of a grant, and whether another upstream was granted any
  /// of the keys with the same or a higher token before.
  void NoteToken(const UpstreamId& id, const RangeGrantCall& grant) {
    for (const auto& [other, rows] : this->grants) {
      if (other == id) continue;
      for (const auto& [keys, token] : rows) {
        const bool overlaps =
            keys.first <= grant.range.last && grant.range.first <= keys.last;
        this->has_low_token |= overlaps && grant.token <= token;
      }
    }
    this->grants[id].emplace_back(grant.range, grant.token);
  }

  std::vector<std::string> HoldersOf(std::uint16_t key) const {
    std::vector<std::string> holders;
    for (const auto& [id, upstream] : this->upstreams) {
      if (upstream.Holds(ShardKey(key), this->now)) holders.push_back(id.value);
    }
    return holders;
  }

  std::optional<std::string> OwnerOf(std::uint16_t key) {
    const OwnerMap map = this->keeper->ToOwnerMap(this->now);
    const UpstreamRun* owner = map.FindOwner(kService, ShardKey(key));
    if (owner == nullptr) return std::nullopt;
    return owner->id.value;
  }

  void Move(std::uint16_t first, std::uint16_t last, const std::string& to) {
    this->keeper->Move(kService, {{ShardKey(first), ShardKey(last)},
                                  {UpstreamId(to), UpstreamLife(1)}});
  }

  std::size_t CountSent(std::size_t request_index) const {
    std::size_t count = 0;
    for (const ControlCall& call : this->sent) {
      if (call.request.index() == request_index) ++count;
    }
    return count;
  }

  MonotonicTime now{std::chrono::seconds(1'000)};
  std::vector<RegisteredUpstream> entries;
  std::map<UpstreamId, TokenUpstream> upstreams;
  std::map<UpstreamId, bool> silent;
  std::map<UpstreamId, bool> unreachable;
  /// Calls for whose response the current leader waits.
  std::vector<LateCall> unanswered;
  std::vector<PendingAnswer> pending;
  /// Transit time of calls that are not answered.
  std::chrono::milliseconds travel{0};
  /// Calls of all leaders that an upstream may still execute.
  std::vector<LateCall> late;
  std::vector<ControlCall> sent;
  /// Keys granted to each upstream, with the tokens of the grants.
  std::map<UpstreamId, std::vector<std::pair<KeyRange, FencingToken>>> grants;
  bool has_low_token = false;
  /// Whether keys were granted while a request for them was in progress at
  /// their former holder.
  bool has_early_grant = false;
  bool in_trouble = false;
  std::uint64_t saved = 0;
  MonotonicTime next_renewal;
  OwnershipRecord saved_record;
  RangeRules rules;
  Term term;
  std::optional<RangeLeaseManager> keeper;
};

}  // namespace bamboorack::upstream::testing

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_RANGE_WORLD_H_
