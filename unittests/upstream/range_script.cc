#include "upstream/range_script.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace bamboorack::upstream::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kUpstreams = 3;
// A call without a response fails after this time.
constexpr milliseconds kAnswerLimit{400};
constexpr milliseconds kLongestWork{3'000};
// The longest lease with clock drift, and the time of a move.
constexpr seconds kLongestWait{14};
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
  explicit ScriptRunner(const RangeOptions& options)
      : world({"a", "b", "c"}, options.rules) {
    for (auto& [id, upstream] : this->world.upstreams) {
      upstream.refuses_stale_tokens = options.refuses_stale_tokens;
    }
    this->world.Move(0, kLastKey.value, "a");
    this->Wait(milliseconds(500));
  }

  RangeOutcome Run(const RangeScript& script) {
    for (const RangeStep& step : script) {
      if (!this->outcome.violation.empty()) return this->outcome;
      this->Apply(step);
      this->Wait(step.wait);
    }
    this->Heal();
    return this->outcome;
  }

 private:
  using Action = void (ScriptRunner::*)(const RangeStep&);
  static const std::array<Action, 24> kActions;

  void Apply(const RangeStep& step) {
    (this->*kActions.at(step.kind % kActions.size()))(step);
  }

  UpstreamId IdOf(std::uint32_t number) const {
    const auto at = static_cast<std::ptrdiff_t>(number % kUpstreams);
    return std::next(this->world.upstreams.begin(), at)->first;
  }

  void Move(const RangeStep& step) {
    const KeyRange& keys = kMovedRanges.at(step.first % kMovedRanges.size());
    const UpstreamId to = this->IdOf(step.second);
    for (const RegisteredUpstream& entry : this->world.entries) {
      if (entry.run.id != to) continue;
      this->world.keeper->Move(kService, {keys, entry.run});
    }
  }
  /// The upstream receives calls and neither answers nor executes them. Their
  /// transit time is up to a second.
  void Silence(const RangeStep& step) {
    this->world.travel = milliseconds(step.second % kMaxCallTransit.count());

    this->world.silent[this->IdOf(step.first)] = true;
  }
  void EndSilence(const RangeStep& step) {
    this->world.silent.erase(this->IdOf(step.first));
  }
  /// Silences an upstream for the time of one or several renewals. In half of
  /// the steps a move and a change of leader follow, otherwise only a move.
  void LeaveGrantUnanswered(const RangeStep& step) {
    this->Silence(step);
    this->Wait(milliseconds(300 + step.second % 2'000));
    this->EndSilence(step);
    this->Move({0, step.second / 4, step.first + 1, milliseconds(0)});
    if (step.second % 2 == 0) return;
    this->Wait(milliseconds(50));
    this->Elect(step);
  }
  void Cut(const RangeStep& step) {
    this->world.unreachable[this->IdOf(step.first)] = true;
  }
  void EndCut(const RangeStep& step) {
    this->world.unreachable.erase(this->IdOf(step.first));
  }
  /// Executes a call that was not answered.
  void CarryOutLate(const RangeStep& step) {
    auto& late = this->world.late;
    if (late.empty()) return;
    const auto at =
        late.begin() + static_cast<std::ptrdiff_t>(step.first % late.size());
    const LateCall call = *at;
    late.erase(at);
    this->world.CarryOut(call.call, std::min(call.arrived, this->world.now));
  }
  /// Calls that the former process has not executed are lost with it.
  void Restart(const RangeStep& step) {
    const UpstreamId id = this->IdOf(step.first);
    this->world.upstreams[id].Restart();
    std::erase_if(this->world.late, [&id](const LateCall& late) {
      return late.call.upstream == id;
    });
  }
  void RestartAndRegister(const RangeStep& step) {
    this->Restart(step);
    this->Wait(milliseconds(step.second % 1'000));
    this->Register(step);
  }
  void Register(const RangeStep& step) {
    const UpstreamId id = this->IdOf(step.first);
    ++this->lives[id];
    this->Unlist(id);
    this->world.entries.push_back(MakeEntry(id.value, 1 + this->lives[id]));
    this->Publish();
  }
  /// Removes the registry entry of a running upstream.
  void Lapse(const RangeStep& step) {
    this->Unlist(this->IdOf(step.first));
    this->Publish();
  }
  void Return(const RangeStep& step) {
    const UpstreamId id = this->IdOf(step.first);
    this->Unlist(id);
    this->world.entries.push_back(MakeEntry(id.value, 1 + this->lives[id]));
    this->Publish();
  }
  /// In half of the steps the former leader states when its leases end.
  void Elect(const RangeStep& step) {
    std::optional<MonotonicTime> leases_end;
    if (step.first % 2 == 0)
      leases_end = this->world.keeper->LatestGrantedLeaseEnd();
    this->world.Elect(this->world.saved_record, leases_end);
  }
  /// Changes the leader while the first grant to the successor of a move is
  /// unanswered. The new leader cannot reach the successor.
  void ElectDuringMove(const RangeStep& step) {
    const RangeStep successor{0, step.second, 0, milliseconds(0)};
    this->Silence(successor);
    this->Move(step);
    this->Wait(milliseconds(100 + step.first % 500));
    this->Elect(step);
    this->EndSilence(successor);
    this->Cut(successor);
  }
  /// Starts a request of up to 3 s at the holder of a key.
  void Work(const RangeStep& step) {
    const ShardKey key(kWatchedKeys.at(step.first % kWatchedKeys.size()));
    const MonotonicTime end =
        this->world.now + milliseconds(step.second % kLongestWork.count());
    for (auto& [id, upstream] : this->world.upstreams) {
      upstream.BeginWork(key, this->world.now, end);
    }
  }
  /// Moves keys while requests for them run at their holder. In half of the
  /// steps the release call is cut off, in the others the leader changes.
  void MoveDuringWork(const RangeStep& step) {
    for (std::uint32_t i = 0; i < kWatchedKeys.size(); ++i) {
      this->Work({0, i, step.second, milliseconds(0)});
    }
    this->Move(step);
    this->Wait(milliseconds(200 + step.first % 1'000));
    if (step.first % 2 == 0) {
      this->ResetReleases(step);
    } else {
      this->Elect(step);
    }
  }
  void ResetReleases(const RangeStep& /*step*/) { this->world.ResetPending(); }
  void StoreFault(const RangeStep& step) {
    this->world.in_trouble = step.second % 2 == 0;
    this->saves_record = step.first % 2 == 0;
  }

  void Unlist(const UpstreamId& id) {
    std::erase_if(this->world.entries, [&id](const RegisteredUpstream& entry) {
      return entry.run.id == id;
    });
  }
  void Publish() {
    this->world.keeper->SetUpstreams(this->world.entries, this->world.now);
  }

  void Wait(milliseconds span) {
    const MonotonicTime end = this->world.now + span;
    while (this->world.now < end && this->outcome.violation.empty()) {
      this->world.Run(milliseconds(50), this->saves_record);
      this->world.ExpireCalls(kAnswerLimit);
      this->Check();
    }
  }

  void Check() {
    if (this->world.has_low_token) {
      this->outcome.violation =
          "keys were granted with a token that is too low";
    }
    if (this->world.has_early_grant) {
      this->outcome.violation =
          "keys were granted while a request ran at their holder";
    }
    for (const std::uint16_t key : kWatchedKeys) {
      const auto holders = this->world.HoldersOf(key);
      if (holders.size() <= 1) continue;
      this->outcome.violation = "key " + std::to_string(key) + " is held by " +
                                holders[0] + " and " + holders[1];
    }
  }

  void Heal() {
    this->world.silent.clear();
    this->world.unreachable.clear();
    this->world.in_trouble = false;
    this->saves_record = true;
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
      this->Return({0, i, 0, milliseconds(0)});
    }
    this->Wait(kLongestWait);
    // Assigns free keys to an upstream, as the planner does.
    for (const RangeView& range : this->world.keeper->Ranges(kService)) {
      if (!range.is_free) continue;
      this->world.keeper->Move(kService,
                               {range.range, this->world.entries[0].run});
    }
    this->Wait(seconds(1));
    this->outcome.is_serving = std::all_of(
        kWatchedKeys.begin(), kWatchedKeys.end(), [this](std::uint16_t key) {
          return this->world.HoldersOf(key).size() == 1;
        });
  }

  RangeWorld world;
  std::map<UpstreamId, std::uint64_t> lives;
  bool saves_record = true;
  RangeOutcome outcome;
};

// Moves, changes of leader and late calls are listed several times to make them
// more frequent, since a key gets two holders only after a sequence of them.
const std::array<ScriptRunner::Action, 24> ScriptRunner::kActions = {
    &ScriptRunner::Move,
    &ScriptRunner::Move,
    &ScriptRunner::Elect,
    &ScriptRunner::Elect,
    &ScriptRunner::ElectDuringMove,
    &ScriptRunner::ElectDuringMove,
    &ScriptRunner::Silence,
    &ScriptRunner::EndSilence,
    &ScriptRunner::EndSilence,
    &ScriptRunner::LeaveGrantUnanswered,
    &ScriptRunner::LeaveGrantUnanswered,
    &ScriptRunner::CarryOutLate,
    &ScriptRunner::CarryOutLate,
    &ScriptRunner::CarryOutLate,
    &ScriptRunner::Cut,
    &ScriptRunner::EndCut,
    &ScriptRunner::RestartAndRegister,
    &ScriptRunner::Lapse,
    &ScriptRunner::Return,
    &ScriptRunner::StoreFault,
    &ScriptRunner::Work,
    &ScriptRunner::Work,
    &ScriptRunner::MoveDuringWork,
    &ScriptRunner::ResetReleases};

}  // namespace

std::ostream& operator<<(std::ostream& out, const RangeStep& step) {
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
  return rc::gen::container<RangeScript>(rc::gen::build<RangeStep>(
      rc::gen::set(&RangeStep::kind, kind),
      rc::gen::set(&RangeStep::first,
                   rc::gen::inRange<std::uint32_t>(0, 10'000)),
      rc::gen::set(&RangeStep::second,
                   rc::gen::inRange<std::uint32_t>(0, 10'000)),
      rc::gen::set(&RangeStep::wait, wait)));
}

RangeOutcome RunRangeScript(const RangeOptions& options,
                            const RangeScript& script) {
  return ScriptRunner(options).Run(script);
}

}  // namespace bamboorack::upstream::testing
