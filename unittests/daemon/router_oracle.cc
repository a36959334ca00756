#include "daemon/router_oracle.h"

#include <algorithm>

namespace bamboorack::daemon {
namespace {

// Answer grace of the authority, plus one hop, plus grace of the entry daemon.
constexpr std::chrono::milliseconds kEndingBound{100};

}  // namespace

std::string RouterOracle::AnswerTo(const Request& request) {
  return "answer to " + request.id.value + " with " + *request.body;
}

void RouterOracle::OnSent(std::uint64_t attempt, const Request& request,
                          MonotonicTime now) {
  this->attempts[attempt] = Attempt{request, now, request.deadline, {}, {}};
  this->open[attempt] = request.deadline;
}

void RouterOracle::OnCallerGone(std::uint64_t attempt, MonotonicTime now) {
  const auto found = this->open.find(attempt);
  if (found == this->open.end()) return;
  this->open.erase(found);
  Attempt& entry = this->attempts.at(attempt);
  entry.is_gone = true;
  entry.ended = now;
}

void RouterOracle::OnPaused(const std::vector<std::uint64_t>& paused,
                            MonotonicTime until) {
  for (const std::uint64_t attempt : paused) {
    const auto found = this->open.find(attempt);
    if (found == this->open.end()) continue;
    found->second = std::max(found->second, until);
  }
}

void RouterOracle::OnEnded(std::uint64_t attempt, const Result& result,
                           MonotonicTime now) {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    this->Fail("an ending for a caller that never sent a request");
    return;
  }
  Attempt& entry = found->second;
  if (entry.is_gone) return;
  if (entry.ended) {
    this->Fail("a second ending for " + entry.request.id.value);
    return;
  }
  this->open.erase(attempt);
  entry.ended = now;
  entry.ending = result ? Ending::kDone : result.error().ending;
  ++this->endings[*entry.ending];
  if (result && *result->body != AnswerTo(entry.request)) {
    this->Fail("the caller of " + entry.request.id.value + " got '" +
               *result->body + "'");
  }
}

void RouterOracle::OnRun(const Request& request, MonotonicTime now) {
  std::vector<MonotonicTime>& times = this->runs[request.id];
  times.push_back(now);
  if (request.rank == Rank::kOnce && times.size() > 1) {
    this->Fail("once-only request " + request.id.value + " ran " +
               std::to_string(times.size()) + " times");
  }
}

void RouterOracle::OnDispatch(const upstream::Dispatch& dispatch,
                              const RoutingTable& table, std::size_t in_flight,
                              MonotonicTime now) {
  const std::string name = dispatch.upstream.id.value;
  const auto found = table.local_upstreams.find(dispatch.upstream);
  if (found == table.local_upstreams.end()) {
    this->Fail("dispatch to " + name + ", which is not in the table");
    return;
  }
  const LocalUpstream& info = found->second;
  if (!info.accepts_work)
    this->Fail("dispatch while accepts_work is false at " + name);
  if (in_flight > info.slots)
    this->Fail("more in flight than slots at " + name);
  if (dispatch.token != info.token) this->Fail("dispatch with another token");
  const auto group = table.local_groups.find(info.group);
  if (group == table.local_groups.end()) {
    this->Fail("dispatch for a group that is not local");
    return;
  }
  if (group->second.mandate_until <= now) {
    this->Fail("dispatch after the end of the mandate");
  }
  if (dispatch.send_before > group->second.mandate_until ||
      dispatch.send_before > dispatch.request.deadline) {
    this->Fail("send_before is later than mandate or deadline");
  }
}

void RouterOracle::CheckDeadlines(MonotonicTime now) {
  for (const auto& [attempt, due] : this->open) {
    if (due + kEndingBound >= now) continue;
    this->Fail("no ending for " + this->attempts.at(attempt).request.id.value +
               " of rank " +
               std::string(NameOf(this->attempts.at(attempt).request.rank)));
  }
}

// Returns whether the run at `ran` can belong to `other`: an attempt with the
// same id that arrived before the run and did not end as "not run".
bool RouterOracle::CanBelongTo(const Attempt& claim, const Attempt& other,
                               MonotonicTime ran) const {
  if (&claim == &other || other.request.id != claim.request.id) return false;
  if (other.arrived > ran) return false;
  return other.ending != Ending::kNotRun;
}

void RouterOracle::CheckNotRun() {
  for (const auto& [number, claim] : this->attempts) {
    if (claim.ending != Ending::kNotRun) continue;
    const auto ran = this->runs.find(claim.request.id);
    if (ran == this->runs.end()) continue;
    for (const MonotonicTime at : ran->second) {
      const bool belongs_to_other = std::any_of(
          this->attempts.begin(), this->attempts.end(), [&](const auto& item) {
            return this->CanBelongTo(claim, item.second, at);
          });
      if (belongs_to_other) continue;
      this->Fail("'not run' was reported for " + claim.request.id.value +
                 ", which ran");
    }
  }
}

std::uint64_t RouterOracle::EndingsOf(Ending ending) const {
  const auto found = this->endings.find(ending);
  return found == this->endings.end() ? 0 : found->second;
}

}  // namespace bamboorack::daemon
