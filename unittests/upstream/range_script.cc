#include "upstream/range_script.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace bamboorack::upstream::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kUpstreamCount = 3;
// A call without an answer fails after this time.
constexpr milliseconds kCallTimeout{400};
constexpr milliseconds kMaxRequestDuration{3'000};
// The longest lease with clock drift, and the time of a move.
constexpr seconds kRecoveryTime{14};
// The first and the last key, and keys within the ranges that scripts move.
constexpr std::array<std::uint16_t, 4> kWatchedKeys = {0, 20'000, 40'000,
                                                       65'535};
constexpr std::array<KeyRange, 4> kMovedRanges = {
    KeyRange{kFirstKey, kLastKey}, KeyRange{kFirstKey, ShardKey(29'999)},
    KeyRange{ShardKey(15'000), ShardKey(44'999)},
    KeyRange{ShardKey(30'000), kLastKey}};

/// Runs the steps of a script on a simulation and checks who holds the keys.
class ScriptRunner {
 public:
  explicit ScriptRunner(const RangeScriptOptions& options)
      : world({"a", "b", "c"}, options.rules) {
    for (auto& [id, upstream] : this->world.upstreams) {
      upstream.refuses_stale_tokens = options.refuses_stale_tokens;
    }
    this->world.Move(0, kLastKey.value, "a");
    this->Wait(milliseconds(500));
  }

  RangeScriptResult Run(const RangeScript& script) {
    for (const RangeScriptStep& step : script) {
      if (!this->result.violation.empty()) return this->result;
      this->Apply(step);
      this->Wait(step.wait);
    }
    this->Recover();
    return this->result;
  }

 private:
  using Action = void (ScriptRunner::*)(const RangeScriptStep&);
  static const std::array<Action, 24> kActions;

  void Apply(const RangeScriptStep& step) {
    (this->*kActions.at(step.kind % kActions.size()))(step);
  }

  UpstreamId IdOf(std::uint32_t number) const {
    const auto at = static_cast<std::ptrdiff_t>(number % kUpstreamCount);
    return std::next(this->world.upstreams.begin(), at)->first;
  }

  void Move(const RangeScriptStep& step) {
    const KeyRange& keys = kMovedRanges.at(step.first % kMovedRanges.size());
    const UpstreamId to = this->IdOf(step.second);
    for (const RegisteredUpstream& entry : this->world.entries) {
      if (entry.run.id != to) continue;
      this->world.manager->Move(kService, {keys, entry.run});
    }
  }
  /// The upstream receives calls and neither answers nor executes them. Their
  /// transit time is up to a second.
  void Silence(const RangeScriptStep& step) {
    this->world.transit_time =
        milliseconds(step.second % kMaxCallTransit.count());

    this->world.silent_upstreams[this->IdOf(step.first)] = true;
  }
  void EndSilence(const RangeScriptStep& step) {
    this->world.silent_upstreams.erase(this->IdOf(step.first));
  }
  /// Silences an upstream for the time of one or several renewals. In half of
  /// the steps a move and a change of leader follow, otherwise only a move.
  void LeaveGrantUnanswered(const RangeScriptStep& step) {
    this->Silence(step);
    this->Wait(milliseconds(300 + step.second % 2'000));
    this->EndSilence(step);
    this->Move({0, step.second / 4, step.first + 1, milliseconds(0)});
    if (step.second % 2 == 0) return;
    this->Wait(milliseconds(50));
    this->ElectLeader(step);
  }
  void Disconnect(const RangeScriptStep& step) {
    this->world.unreachable_upstreams[this->IdOf(step.first)] = true;
  }
  void Reconnect(const RangeScriptStep& step) {
    this->world.unreachable_upstreams.erase(this->IdOf(step.first));
  }
  /// Executes a call that was not answered.
  void ExecuteDelayedCall(const RangeScriptStep& step) {
    auto& late = this->world.delayed_calls;
    if (late.empty()) return;
    const auto at =
        late.begin() + static_cast<std::ptrdiff_t>(step.first % late.size());
    const DelayedCall call = *at;
    late.erase(at);
    this->world.Execute(call.call, std::min(call.arrived, this->world.now));
  }
  /// Calls that the former process has not executed are lost with it.
  void Restart(const RangeScriptStep& step) {
    const UpstreamId id = this->IdOf(step.first);
    this->world.upstreams[id].Restart();
    std::erase_if(this->world.delayed_calls, [&id](const DelayedCall& late) {
      return late.call.upstream == id;
    });
  }
  void RestartAndRegister(const RangeScriptStep& step) {
    this->Restart(step);
    this->Wait(milliseconds(step.second % 1'000));
    this->Register(step);
  }
  void Register(const RangeScriptStep& step) {
    const UpstreamId id = this->IdOf(step.first);
    ++this->restarts[id];
    this->RemoveEntry(id);
    this->world.entries.push_back(MakeEntry(id.value, 1 + this->restarts[id]));
    this->PublishRegistry();
  }
  /// Removes the registry entry of a running upstream.
  void LoseEntry(const RangeScriptStep& step) {
    this->RemoveEntry(this->IdOf(step.first));
    this->PublishRegistry();
  }
  void RestoreEntry(const RangeScriptStep& step) {
    const UpstreamId id = this->IdOf(step.first);
    this->RemoveEntry(id);
    this->world.entries.push_back(MakeEntry(id.value, 1 + this->restarts[id]));
    this->PublishRegistry();
  }
  /// In half of the steps the former leader states when its leases end.
  void ElectLeader(const RangeScriptStep& step) {
    std::optional<MonotonicTime> leases_end;
    if (step.first % 2 == 0)
      leases_end = this->world.manager->LatestGrantedLeaseEnd();
    this->world.ElectLeader(this->world.saved_record, leases_end);
  }
  /// Changes the leader while the first grant to the successor of a move is
  /// unanswered. The new leader cannot reach the successor.
  void ElectDuringMove(const RangeScriptStep& step) {
    const RangeScriptStep successor{0, step.second, 0, milliseconds(0)};
    this->Silence(successor);
    this->Move(step);
    this->Wait(milliseconds(100 + step.first % 500));
    this->ElectLeader(step);
    this->EndSilence(successor);
    this->Disconnect(successor);
  }
  /// Starts a request of up to 3 s at the holder of a key.
  void StartRequest(const RangeScriptStep& step) {
    const ShardKey key(kWatchedKeys.at(step.first % kWatchedKeys.size()));
    const MonotonicTime end =
        this->world.now +
        milliseconds(step.second % kMaxRequestDuration.count());
    for (auto& [id, upstream] : this->world.upstreams) {
      upstream.BeginRequest(key, this->world.now, end);
    }
  }
  /// Moves keys while requests for them run at their holder. In half of the
  /// steps the release call is cut off, in the others the leader changes.
  void MoveDuringRequests(const RangeScriptStep& step) {
    for (std::uint32_t i = 0; i < kWatchedKeys.size(); ++i) {
      this->StartRequest({0, i, step.second, milliseconds(0)});
    }
    this->Move(step);
    this->Wait(milliseconds(200 + step.first % 1'000));
    if (step.first % 2 == 0) {
      this->ResetReleases(step);
    } else {
      this->ElectLeader(step);
    }
  }
  void ResetReleases(const RangeScriptStep& /*step*/) {
    this->world.ResetPending();
  }
  void LogFault(const RangeScriptStep& step) {
    this->world.outage_expected = step.second % 2 == 0;
    this->saves_record = step.first % 2 == 0;
  }

  void RemoveEntry(const UpstreamId& id) {
    std::erase_if(this->world.entries, [&id](const RegisteredUpstream& entry) {
      return entry.run.id == id;
    });
  }
  void PublishRegistry() {
    this->world.manager->SetUpstreams(this->world.entries, this->world.now);
  }

  void Wait(milliseconds span) {
    const MonotonicTime end = this->world.now + span;
    while (this->world.now < end && this->result.violation.empty()) {
      this->world.Run(milliseconds(50), this->saves_record);
      this->world.ExpireCalls(kCallTimeout);
      this->Check();
    }
  }

  void Check() {
    if (this->world.has_low_token) {
      this->result.violation = "keys were granted with a token that is too low";
    }
    if (this->world.has_early_grant) {
      this->result.violation =
          "keys were granted while a request ran at their holder";
    }
    for (const std::uint16_t key : kWatchedKeys) {
      const auto holders = this->world.HoldersOf(key);
      if (holders.size() <= 1) continue;
      this->result.violation = "key " + std::to_string(key) + " is held by " +
                               holders[0] + " and " + holders[1];
    }
  }

  void Recover() {
    this->world.silent_upstreams.clear();
    this->world.unreachable_upstreams.clear();
    this->world.outage_expected = false;
    this->saves_record = true;
    for (std::uint32_t i = 0; i < kUpstreamCount; ++i) {
      this->RestoreEntry({0, i, 0, milliseconds(0)});
    }
    this->Wait(kRecoveryTime);
    // Assigns free keys to an upstream, as the planner does.
    for (const RangeView& range : this->world.manager->Ranges(kService)) {
      if (!range.is_free) continue;
      this->world.manager->Move(kService,
                                {range.range, this->world.entries[0].run});
    }
    this->Wait(seconds(1));
    this->result.is_serving = std::all_of(
        kWatchedKeys.begin(), kWatchedKeys.end(), [this](std::uint16_t key) {
          return this->world.HoldersOf(key).size() == 1;
        });
  }

  RangeSimulation world;
  std::map<UpstreamId, std::uint64_t> restarts;
  bool saves_record = true;
  RangeScriptResult result;
};

// Moves, changes of leader and late calls are listed several times to make them
// more frequent, since a key gets two holders only after a sequence of them.
const std::array<ScriptRunner::Action, 24> ScriptRunner::kActions = {
    &ScriptRunner::Move,
    &ScriptRunner::Move,
    &ScriptRunner::ElectLeader,
    &ScriptRunner::ElectLeader,
    &ScriptRunner::ElectDuringMove,
    &ScriptRunner::ElectDuringMove,
    &ScriptRunner::Silence,
    &ScriptRunner::EndSilence,
    &ScriptRunner::EndSilence,
    &ScriptRunner::LeaveGrantUnanswered,
    &ScriptRunner::LeaveGrantUnanswered,
    &ScriptRunner::ExecuteDelayedCall,
    &ScriptRunner::ExecuteDelayedCall,
    &ScriptRunner::ExecuteDelayedCall,
    &ScriptRunner::Disconnect,
    &ScriptRunner::Reconnect,
    &ScriptRunner::RestartAndRegister,
    &ScriptRunner::LoseEntry,
    &ScriptRunner::RestoreEntry,
    &ScriptRunner::LogFault,
    &ScriptRunner::StartRequest,
    &ScriptRunner::StartRequest,
    &ScriptRunner::MoveDuringRequests,
    &ScriptRunner::ResetReleases};

}  // namespace

std::ostream& operator<<(std::ostream& out, const RangeScriptStep& step) {
  return out << '{' << step.kind << ", " << step.first << ", " << step.second
             << ", " << step.wait.count() << " ms}";
}

rc::Gen<RangeScript> GenRangeScript() {
  // A wide range, since RapidCheck narrows ranges at small sizes.
  const auto kind = rc::gen::inRange<std::size_t>(0, 13'000);
  // Short waits are frequent, so that the leader often changes during a move.
  const auto wait = rc::gen::map(
      rc::gen::weightedOneOf<int>({{3, rc::gen::inRange(0, 6)},
                                   {2, rc::gen::inRange(6, 30)},
                                   {1, rc::gen::inRange(30, 100)}}),
      [](int steps) { return milliseconds(50 * steps); });
  return rc::gen::container<RangeScript>(rc::gen::build<RangeScriptStep>(
      rc::gen::set(&RangeScriptStep::kind, kind),
      rc::gen::set(&RangeScriptStep::first,
                   rc::gen::inRange<std::uint32_t>(0, 10'000)),
      rc::gen::set(&RangeScriptStep::second,
                   rc::gen::inRange<std::uint32_t>(0, 10'000)),
      rc::gen::set(&RangeScriptStep::wait, wait)));
}

RangeScriptResult RunRangeScript(const RangeScriptOptions& options,
                                 const RangeScript& script) {
  return ScriptRunner(options).Run(script);
}

}  // namespace bamboorack::upstream::testing
