#include "upstream/fuzz_script.h"

#include <array>
#include <string_view>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

/// Applies one step to a simulated world.
struct StepRunner {
  SimulatedWorld& world;
  const FuzzStep& step;

  int Daemon() const {
    return static_cast<int>(this->step.first % this->world.DaemonCount());
  }
  /// Returns the daemon with the authority in three of four steps, because
  /// faults of other daemons rarely affect ownership.
  int LikelyAuthority() const {
    const int authority = this->world.Authority();
    const bool is_any = this->step.second % 4 == 0 || authority < 0;
    return is_any ? this->Daemon() : authority;
  }
  int Upstream() const {
    return static_cast<int>(this->step.second % this->world.UpstreamCount());
  }
  bool Flag() const { return this->step.first % 4 != 0; }

  void Pause() { this->world.PauseDaemon(this->LikelyAuthority()); }
  void PauseWithCallsSent() {
    const int daemon = this->LikelyAuthority();
    this->world.HoldCalls(daemon, true);
    this->world.Run(milliseconds(this->step.first % 300));
    this->world.PauseDaemon(daemon);
  }
  void Resume() {
    const int daemon = this->Daemon();
    if (this->step.second % 2 == 0) this->world.HoldCalls(daemon, false);
    this->world.ResumeDaemon(daemon);
    this->world.HoldCalls(daemon, false);
  }
  void RestartDaemon() { this->world.RestartDaemon(this->LikelyAuthority()); }
  void StopDaemon() {
    const int daemon = this->LikelyAuthority();
    this->world.StopDaemon(daemon);
    this->world.Run(milliseconds(this->step.first % 700));
    this->world.RestartDaemon(daemon);
  }
  void Freeze() { this->world.FreezeUpstream(this->Upstream()); }
  void Thaw() { this->world.ThawUpstream(this->Upstream()); }
  void Kill() { this->world.KillUpstream(this->Upstream()); }
  void Replace() { this->world.ReplaceUpstream(this->Upstream()); }
  void Restart() { this->world.RestartUpstream(this->Upstream()); }
  void SetDraining() {
    this->world.SetDraining(this->Upstream(), this->Flag());
  }
  void CutUpstream() {
    this->world.CutDaemonFromUpstream(this->Daemon(), this->Upstream(),
                                      this->Flag());
  }
  void CutAuthority() {
    const int authority = this->world.Authority();
    if (authority < 0) return;
    this->world.CutDaemonFromUpstream(authority, this->Upstream(), true);
  }
  void CutDaemons() {
    const int first = this->Daemon();
    const int count = this->world.DaemonCount();
    const int second =
        (first + 1 + static_cast<int>(this->step.second) % (count - 1)) % count;
    this->world.CutDaemons(first, second, this->Flag());
  }
  void IsolateAuthority() {
    const int authority = this->world.Authority();
    for (int i = 0; i < this->world.DaemonCount() && authority >= 0; ++i) {
      if (i != authority) this->world.CutDaemons(i, authority, true);
    }
    if (authority >= 0 && this->Flag()) {
      this->world.CutDaemonFromLog(authority, true);
    }
  }
  void ReconnectDaemons() {
    const int daemon = this->Daemon();
    this->world.CutDaemonFromLog(daemon, false);
    for (int i = 0; i < this->world.DaemonCount(); ++i) {
      if (i != daemon) this->world.CutDaemons(i, daemon, false);
    }
    for (int i = 0; i < this->world.UpstreamCount(); ++i) {
      this->world.CutDaemonFromUpstream(daemon, i, false);
    }
  }
  void CutLog() { this->world.CutDaemonFromLog(this->Daemon(), this->Flag()); }
  void CutAllFromLog() {
    for (int i = 0; i < this->world.DaemonCount(); ++i) {
      this->world.CutDaemonFromLog(i, this->Flag());
    }
  }
  void SetNetwork() {
    constexpr std::array<milliseconds, 4> kDelays = {
        milliseconds(2), milliseconds(20), milliseconds(150),
        milliseconds(600)};
    const int loss_percent = static_cast<int>(this->step.second % 4) * 8;
    this->world.SetNetwork({kDelays.at(this->step.first % kDelays.size()),
                            loss_percent, loss_percent});
  }
  void SetVmListLag() {
    this->world.SetVmListLag(milliseconds(this->step.first % 5 * 1000));
  }
  void PublishDrain() {
    this->world.PublishDrain(this->Upstream(), this->Flag());
  }
  void PublishWeight() {
    this->world.PublishWeight(this->Upstream(), 1.0 + this->step.first % 4);
  }
  void PublishHotKey() {
    this->world.PublishHotKey(this->step.second, this->Flag());
  }
  void DeclareEndedInstancesLost() { this->world.DeclareEndedInstancesLost(); }
  void HoldCalls() { this->world.HoldCalls(this->Daemon(), this->Flag()); }
  void Wait() {}
};

struct StepKind {
  std::string_view name;
  void (StepRunner::*run)();
};

constexpr std::array kStepKinds = {
    StepKind{"pause the authority", &StepRunner::Pause},
    StepKind{"pause the authority with calls in the send buffer",
             &StepRunner::PauseWithCallsSent},
    StepKind{"resume", &StepRunner::Resume},
    StepKind{"resume", &StepRunner::Resume},
    StepKind{"restart daemon", &StepRunner::RestartDaemon},
    StepKind{"hand over the authority and restart daemon",
             &StepRunner::StopDaemon},
    StepKind{"freeze upstream", &StepRunner::Freeze},
    StepKind{"thaw upstream", &StepRunner::Thaw},
    StepKind{"thaw upstream", &StepRunner::Thaw},
    StepKind{"kill upstream", &StepRunner::Kill},
    StepKind{"replace upstream", &StepRunner::Replace},
    StepKind{"restart upstream", &StepRunner::Restart},
    StepKind{"set or clear draining of upstream", &StepRunner::SetDraining},
    StepKind{"disconnect or reconnect daemon and upstream",
             &StepRunner::CutUpstream},
    StepKind{"disconnect the authority from upstream",
             &StepRunner::CutAuthority},
    StepKind{"disconnect or reconnect two daemons", &StepRunner::CutDaemons},
    StepKind{"isolate the authority", &StepRunner::IsolateAuthority},
    StepKind{"reconnect daemon", &StepRunner::ReconnectDaemons},
    StepKind{"reconnect daemon", &StepRunner::ReconnectDaemons},
    StepKind{"disconnect or reconnect daemon and log", &StepRunner::CutLog},
    StepKind{"disconnect or reconnect all daemons and log",
             &StepRunner::CutAllFromLog},
    StepKind{"set network", &StepRunner::SetNetwork},
    StepKind{"set VM list lag", &StepRunner::SetVmListLag},
    StepKind{"publish drain", &StepRunner::PublishDrain},
    StepKind{"publish weight", &StepRunner::PublishWeight},
    StepKind{"publish hot key", &StepRunner::PublishHotKey},
    StepKind{"declare ended instances lost",
             &StepRunner::DeclareEndedInstancesLost},
    StepKind{"hold or send calls of daemon", &StepRunner::HoldCalls},
    StepKind{"wait", &StepRunner::Wait},
};

rc::Gen<FuzzStep> GenStep() {
  // Short waits end in the middle of a procedure, long ones outlast a lease.
  const auto wait =
      rc::gen::oneOf(rc::gen::inRange(0, 300), rc::gen::inRange(300, 2500));
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange<std::size_t>(0, kStepKinds.size()),
                     rc::gen::inRange<std::uint32_t>(0, 1000),
                     rc::gen::inRange<std::uint32_t>(0, 1000), wait),
      [](const auto& parts) {
        const auto& [kind, first, second, milliseconds_to_wait] = parts;
        return FuzzStep{kind, first, second,
                        milliseconds(milliseconds_to_wait)};
      });
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const FuzzStep& step) {
  return out << '{' << kStepKinds.at(step.kind).name << ", " << step.first
             << ", " << step.second << ", " << step.wait.count() << " ms}";
}

rc::Gen<Script> GenScript() { return rc::gen::container<Script>(GenStep()); }

void RunScript(SimulatedWorld& world, const Script& script) {
  world.RunUntil([&world] { return world.IsServingAll(); },
                 std::chrono::seconds(3));
  for (const FuzzStep& step : script) {
    if (!world.Violation().empty()) return;
    StepRunner target{world, step};
    (target.*kStepKinds.at(step.kind).run)();
    world.Run(step.wait);
  }
}

}  // namespace bamboorack::upstream
