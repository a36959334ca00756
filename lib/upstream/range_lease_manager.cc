#include "bamboorack/upstream/range_lease_manager.h"

#include <algorithm>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

// Time for a change of the owner map to reach all daemons.
constexpr milliseconds kOwnerMapPropagation{150};
// An upstream answers a release call when the requests in progress on the keys
// have ended, so the call takes as long as the longest request.
constexpr milliseconds kReleaseTimeout{2'500};
// After this many consecutive unanswered grants no further one is sent, so that
// the lease can expire.
constexpr int kMaxUnansweredGrants = 3;
constexpr int kMaxGrantAttempts = 3;
// How long release calls are sent to an upstream that left the registry. Longer
// than the longest lease.
constexpr milliseconds kDepartedRetention{12'000};
// Ranges of a service with this many ranges are not split any further.
constexpr std::size_t kMaxRangesPerService = 2'000;

}  // namespace

// Indexed by `Phase`.
const std::array<RangeLeaseManager::StepHandler, 6>
    RangeLeaseManager::kStepHandlers = {&RangeLeaseManager::StepFree,
                                        &RangeLeaseManager::StepHeld,
                                        &RangeLeaseManager::StepAwaitingRecord,
                                        &RangeLeaseManager::StepReleasing,
                                        &RangeLeaseManager::StepGranting,
                                        &RangeLeaseManager::StepExpiring};

MonotonicTime RangeLeaseManager::LeaseEndBound(MonotonicTime now) const {
  return this->rules.lease_end(now + kMaxCallTransit, this->leases.longest);
}

MonotonicTime RangeLeaseManager::LatestGrantedLeaseEnd() const {
  MonotonicTime last;
  for (const auto& [service, ranges] : this->services) {
    for (const Range& range : ranges) {
      last = std::max(last, range.may_hold_until);
    }
  }
  return last;
}

void RangeLeaseManager::TakeOver(const OwnershipRecord& record, Term new_term,
                                 MonotonicTime leases_end, MonotonicTime now) {
  this->term = new_term;
  this->last_token = this->rules.first_token(new_term);
  this->services.clear();
  this->reachability.clear();
  this->map_change = 0;
  this->change = 1;
  this->has_new_map = true;
  for (const auto& [service, recorded] : record.services) {
    std::vector<Range>& ranges = this->services[service];
    for (const RecordedRange& row : recorded) {
      Range& range = ranges.emplace_back();
      range.keys = row.range;
      range.holder = row.holder;
      range.token = this->IssueToken();
      range.next_call = now;
      range.may_hold_until = leases_end;
      range.has_unanswered_grant = row.holder.has_value();
      range.successor = row.successor;
      const bool may_be_granted =
          row.successor && (!row.holder || !row.has_unanswered_grant);
      if (may_be_granted) {
        range.successor_may_hold_until =
            this->rules.successor_hold_end(leases_end);
        range.has_unanswered_grant = false;
        range.phase = Phase::kReleasing;
      } else if (row.successor) {
        range.phase = Phase::kAwaitingRecord;
      } else {
        range.phase = row.holder ? Phase::kHeld : Phase::kFree;
      }
    }
  }
}

void RangeLeaseManager::SetServices(const std::vector<ServiceName>& sharded) {
  for (const ServiceName& service : sharded) {
    if (this->services.contains(service)) continue;
    Range all;
    all.keys = {kFirstKey, kLastKey};
    this->services[service].push_back(all);
    this->has_new_map = true;
  }
}

void RangeLeaseManager::SetUpstreams(
    const std::vector<RegisteredUpstream>& entries, MonotonicTime now) {
  const auto before = std::exchange(this->upstreams, {});
  for (const RegisteredUpstream& entry : entries) {
    this->upstreams.emplace(entry.run.id, entry);
  }
  for (const auto& [id, entry] : before) {
    if (this->Find(entry.run) != nullptr) continue;
    this->departed.emplace(entry.run,
                           Departed{entry.endpoint, now + kDepartedRetention});
  }
  std::erase_if(this->departed,
                [now](const auto& item) { return item.second.until <= now; });
}

const Endpoint* RangeLeaseManager::FindEndpoint(const UpstreamRun& run) const {
  if (const RegisteredUpstream* entry = this->Find(run))
    return &entry->endpoint;
  const auto found = this->departed.find(run);
  if (found == this->departed.end()) return nullptr;
  return this->step_time < found->second.until ? &found->second.endpoint
                                               : nullptr;
}

const RegisteredUpstream* RangeLeaseManager::Find(
    const UpstreamRun& run) const {
  const auto found = this->upstreams.find(run.id);
  if (found == this->upstreams.end()) return nullptr;
  return found->second.run == run ? &found->second : nullptr;
}

bool RangeLeaseManager::ReplaceEndedRun(std::optional<UpstreamRun>& run) const {
  if (!run) return false;
  const auto found = this->upstreams.find(run->id);
  if (found == this->upstreams.end()) return false;
  if (found->second.run.life <= run->life) return false;
  run = found->second.run;
  return true;
}

void RangeLeaseManager::ReplaceEndedRuns(Range& range) {
  const bool has_new_holder = this->ReplaceEndedRun(range.holder);
  const bool has_new_successor = this->ReplaceEndedRun(range.successor);
  if (!has_new_holder && !has_new_successor) return;
  range.required_change = ++this->change;
  this->has_new_map = true;
  // No grant is sent to the holder in the releasing phase.
  if (range.phase != Phase::kReleasing) range.has_unanswered_grant = true;
  range.unanswered_grants = 0;
  range.next_call = this->step_time;
}

std::vector<RangeView> RangeLeaseManager::Ranges(
    const ServiceName& service) const {
  std::vector<RangeView> views;
  const auto found = this->services.find(service);
  if (found == this->services.end()) return views;
  for (const Range& range : found->second) {
    views.push_back({range.keys,
                     range.successor ? range.successor : range.holder,
                     range.phase == Phase::kHeld && !range.call,
                     range.phase == Phase::kFree});
  }
  return views;
}

bool RangeLeaseManager::HasMoveInProgress(const ServiceName& service) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [](const Range& range) {
                       return range.phase == Phase::kAwaitingRecord ||
                              range.phase == Phase::kReleasing ||
                              range.phase == Phase::kGranting;
                     });
}

void RangeLeaseManager::SplitAt(std::vector<Range>& ranges,
                                std::uint32_t first) {
  if (first > kLastKey.value || ranges.size() >= kMaxRangesPerService) return;
  const ShardKey key(static_cast<std::uint16_t>(first));
  const auto found =
      std::find_if(ranges.begin(), ranges.end(),
                   [key](const Range& r) { return r.keys.Contains(key); });
  if (found == ranges.end() || found->keys.first == key) return;
  if (found->call) return;
  if (found->phase != Phase::kHeld && found->phase != Phase::kFree) return;
  Range upper = *found;
  upper.keys.first = key;
  found->keys.last = ShardKey(static_cast<std::uint16_t>(first - 1));
  ranges.insert(found + 1, std::move(upper));
}

void RangeLeaseManager::Move(const ServiceName& service,
                             const RangeMove& move) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return;
  std::vector<Range>& ranges = found->second;
  this->SplitAt(ranges, move.range.first.value);
  this->SplitAt(ranges, std::uint32_t{move.range.last.value} + 1);
  for (Range& range : ranges) {
    const bool is_inside = move.range.first <= range.keys.first &&
                           range.keys.last <= move.range.last;
    if (!is_inside || range.call) continue;
    if (range.phase != Phase::kHeld && range.phase != Phase::kFree) continue;
    if (range.holder == move.to) continue;
    range.successor = move.to;
    range.required_change = ++this->change;
    this->SetPhase(service, range, Phase::kAwaitingRecord, "move_planned");
  }
}

void RangeLeaseManager::MergeNeighbours(std::vector<Range>& ranges) {
  std::vector<Range> merged;
  merged.reserve(ranges.size());
  for (Range& range : ranges) {
    Range* before = merged.empty() ? nullptr : &merged.back();
    const bool fits =
        before != nullptr && before->phase == range.phase &&
        (range.phase == Phase::kHeld || range.phase == Phase::kFree) &&
        before->holder == range.holder && !before->call && !range.call &&
        // Calls that wait for the record must keep waiting.
        this->rules.may_send_call(this->confirmed_change,
                                  before->required_change) &&
        this->rules.may_send_call(this->confirmed_change,
                                  range.required_change);
    if (!fits) {
      merged.push_back(std::move(range));
      continue;
    }
    before->keys.last = range.keys.last;
    before->may_hold_until =
        std::max(before->may_hold_until, range.may_hold_until);
    before->has_unanswered_grant |= range.has_unanswered_grant;
    before->has_longest_lease |= range.has_longest_lease;
    before->next_call = std::min(before->next_call, range.next_call);
    // A token above both, so that a single call renews the merged range.
    if (before->phase == Phase::kHeld) before->token = this->IssueToken();
  }
  ranges = std::move(merged);
}

std::vector<ControlCall> RangeLeaseManager::Step(std::uint64_t saved_change,
                                                 bool is_outage_expected,
                                                 MonotonicTime now) {
  this->calls.clear();
  this->confirmed_change = saved_change;
  this->outage_expected = is_outage_expected;
  this->step_time = now;
  for (auto& [service, ranges] : this->services) {
    this->MergeNeighbours(ranges);
    for (Range& range : ranges) {
      this->ReplaceEndedRuns(range);
      (this->*kStepHandlers.at(static_cast<std::size_t>(range.phase)))(service,
                                                                       range);
    }
  }
  return std::move(this->calls);
}

void RangeLeaseManager::StepFree(const ServiceName& /*service*/,
                                 Range& /*range*/) {
  // The planner assigns free ranges to upstreams.
}

void RangeLeaseManager::StepHeld(const ServiceName& service, Range& range) {
  if (range.call) return;
  const bool is_listed = this->Find(*range.holder) != nullptr;
  if (this->step_time >= range.may_hold_until &&
      (!is_listed || range.unanswered_grants > 0 || range.failed_grants > 0)) {
    this->RemoveHolder(service, range, "lease_ran_out");
    return;
  }
  if (!is_listed || range.unanswered_grants >= kMaxUnansweredGrants) return;
  if (!this->rules.may_send_call(this->confirmed_change, range.required_change))
    return;
  const bool needs_longest_lease =
      this->outage_expected && !range.has_longest_lease;
  if (this->step_time < range.next_call && !needs_longest_lease) return;
  this->SendGrant(service, range, *range.holder);
}

void RangeLeaseManager::StepAwaitingRecord(const ServiceName& service,
                                           Range& range) {
  if (range.call) return;
  if (!this->rules.may_send_call(this->confirmed_change, range.required_change))
    return;
  if (this->Find(*range.successor) == nullptr) {
    range.successor.reset();
    range.required_change = ++this->change;
    this->SetPhase(service, range, range.holder ? Phase::kHeld : Phase::kFree,
                   "successor_gone");
    return;
  }
  if (!range.holder) {
    this->SetPhase(service, range, Phase::kGranting, "grant_begins");
    return;
  }
  // An unanswered grant could take effect after the release, so a later grant
  // with a higher token has to be answered first, which fences it.
  if (range.has_unanswered_grant &&
      this->FindEndpoint(*range.holder) != nullptr &&
      range.unanswered_grants < kMaxUnansweredGrants) {
    if (this->step_time >= range.next_call) {
      this->SendGrant(service, range, *range.holder);
    }
    return;
  }
  range.holder_released = false;
  // The other daemons must learn first that the keys have no owner, so that no
  // new requests arrive during the release.
  range.next_call = this->step_time + kOwnerMapPropagation;
  this->SetPhase(service, range, Phase::kReleasing, "release_begins");
}

void RangeLeaseManager::StepReleasing(const ServiceName& service,
                                      Range& range) {
  const bool has_answered = !range.holder || range.holder_released;
  // An unanswered grant that was not fenced may take effect after the release.
  if (has_answered &&
      this->rules.is_release_proof(range.has_unanswered_grant)) {
    this->RemoveHolder(service, range, "released");
    return;
  }
  if (this->step_time >= range.may_hold_until) {
    range.call.reset();
    this->RemoveHolder(service, range, "lease_ran_out");
    return;
  }
  if (has_answered || range.call || this->step_time < range.next_call) return;
  if (this->FindEndpoint(*range.holder) == nullptr) return;
  const MonotonicTime deadline = std::min(
      range.may_hold_until, this->step_time + milliseconds(kReleaseTimeout));
  range.token = this->IssueToken();
  this->Send(service, range, *range.holder,
             RangeReleaseCall{range.holder->id, range.keys, range.token},
             deadline);
}

void RangeLeaseManager::StepGranting(const ServiceName& service, Range& range) {
  if (range.call || this->step_time < range.next_call) return;
  const bool is_usable = this->Find(*range.successor) != nullptr &&
                         range.failed_grants < kMaxGrantAttempts;
  if (is_usable) {
    this->SendGrant(service, range, *range.successor);
    return;
  }
  if (!range.has_unanswered_grant) {
    range.successor.reset();
    this->RemoveHolder(service, range, "successor_unreachable");
    return;
  }
  this->AwaitSuccessorExpiry(service, range, "grant_unanswered");
}

void RangeLeaseManager::AwaitSuccessorExpiry(const ServiceName& service,
                                             Range& range,
                                             std::string_view event_name) {
  range.holder = std::exchange(range.successor, std::nullopt);
  ++this->change;
  this->SetPhase(service, range, Phase::kExpiring, event_name);
}

void RangeLeaseManager::StepExpiring(const ServiceName& service, Range& range) {
  if (this->step_time >= range.may_hold_until) {
    this->RemoveHolder(service, range, "lease_ran_out");
  }
}

void RangeLeaseManager::RemoveHolder(const ServiceName& service, Range& range,
                                     std::string_view event_name) {
  const bool had_unanswered_grant = range.has_unanswered_grant;
  range.holder.reset();
  range.holder_released = false;
  range.may_hold_until =
      std::max(this->step_time, range.successor_may_hold_until);
  // The former leader may have granted the keys to the successor.
  range.has_unanswered_grant = this->step_time < range.may_hold_until;
  range.call.reset();
  range.unanswered_grants = 0;
  range.failed_grants = 0;
  range.has_longest_lease = false;
  range.next_call = this->step_time;
  if (range.successor && this->Find(*range.successor) != nullptr) {
    // The record must no longer state that the keys have not been granted to
    // the successor.
    if (had_unanswered_grant) range.required_change = ++this->change;
    this->SetPhase(
        service, range,
        had_unanswered_grant ? Phase::kAwaitingRecord : Phase::kGranting,
        event_name);
    return;
  }
  if (range.successor && range.has_unanswered_grant) {
    this->AwaitSuccessorExpiry(service, range, event_name);
    return;
  }

  range.successor.reset();
  ++this->change;
  this->SetPhase(service, range, Phase::kFree, event_name);
}

void RangeLeaseManager::SetPhase(const ServiceName& service, Range& range,
                                 Phase phase, std::string_view event_name) {
  range.phase = phase;
  this->has_new_map = true;
  this->events.push_back({event_name, service, range.keys, range.holder,
                          range.successor, range.token});
}

std::map<ServiceName, std::vector<RecordedRange>> RangeLeaseManager::ToRecord()
    const {
  std::map<ServiceName, std::vector<RecordedRange>> recorded;
  for (const auto& [service, ranges] : this->services) {
    for (const Range& range : ranges) {
      const bool is_moving = range.phase == Phase::kAwaitingRecord ||
                             range.phase == Phase::kReleasing;
      recorded[service].push_back(
          {range.keys, range.holder, range.successor,
           is_moving && range.holder && range.has_unanswered_grant});
    }
  }
  return recorded;
}

OwnerMap RangeLeaseManager::ToOwnerMap(MonotonicTime now) {
  OwnerMap map;
  if (std::exchange(this->has_new_map, false)) ++this->map_change;
  map.version = {this->term, this->map_change};
  for (const auto& [service, ranges] : this->services) {
    for (const Range& range : ranges) {
      OwnedRange row{range.keys, std::nullopt};
      // A holder that this daemon cannot reach may still be reachable by
      // others, so it keeps serving until its lease expires.
      const bool is_serving =
          range.phase == Phase::kHeld ||
          range.phase == Phase::kAwaitingRecord ||
          range.phase == Phase::kExpiring ||
          (range.phase == Phase::kReleasing &&
           range.successor_may_hold_until <= now && range.holder &&
           this->IsUnreachable(*range.holder, now));
      if (is_serving && now < range.may_hold_until) row.owner = range.holder;
      map.services[service].push_back(row);
    }
  }
  return map;
}

std::vector<RangeEvent> RangeLeaseManager::TakeRangeEvents() {
  return std::exchange(this->events, {});
}

std::vector<ControlCallEvent> RangeLeaseManager::TakeCallEvents() {
  return std::exchange(this->call_events, {});
}

}  // namespace bamboorack::upstream
