#include "fakes/log_service/fault_plan.h"

#include <algorithm>

namespace bamboorack::fakes {
namespace {

struct Targets {
  bool hits_appends;
  bool hits_reads;
};

/// What each mode strikes, in the order of `FaultMode`.
constexpr std::array<Targets, kFaultModeNames.size()> kTargets = {
    Targets{false, false}, Targets{true, true},  Targets{true, true},
    Targets{true, false},  Targets{false, true}, Targets{false, true},
    Targets{true, true}};

}  // namespace

std::optional<FaultMode> FaultModeFromName(std::string_view name) {
  const auto* const found =
      std::find(kFaultModeNames.begin(), kFaultModeNames.end(), name);
  if (found == kFaultModeNames.end()) return std::nullopt;
  return static_cast<FaultMode>(found - kFaultModeNames.begin());
}

void FaultPlan::Set(const Fault& next) {
  const std::lock_guard lock(this->mutex);
  this->fault = next;
}

FaultMode FaultPlan::Strike(CallKind kind) {
  std::unique_lock lock(this->mutex);
  if (!this->HitsLocked(kind)) return FaultMode::kNone;
  if (this->fault.count) --*this->fault.count;
  const Fault struck = this->fault;
  if (struck.mode == FaultMode::kSlow) {
    this->stopped.wait_until(lock,
                             std::chrono::steady_clock::now() + struck.delay,
                             [this] { return this->is_stopped; });
  }
  return struck.mode;
}

bool FaultPlan::HitsLocked(CallKind kind) const {
  if (this->fault.count == 0U) return false;
  const Targets& targets =
      kTargets.at(static_cast<std::size_t>(this->fault.mode));
  return kind == CallKind::kAppend ? targets.hits_appends : targets.hits_reads;
}

void FaultPlan::Stop() {
  const std::lock_guard lock(this->mutex);
  this->is_stopped = true;
  this->stopped.notify_all();
}

}  // namespace bamboorack::fakes
