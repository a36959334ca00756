#ifndef BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_FAULT_PLAN_H_
#define BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_FAULT_PLAN_H_

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace bamboorack::fakes {

enum class FaultMode : std::uint8_t {
  kNone,
  /// Connections are closed without an answer and without effect.
  kDown,
  /// Calls wait before they take effect.
  kSlow,
  /// Appends take effect, then the connection is closed without an answer.
  kLoseAppendAnswer,
  /// Answers of reads end in the middle.
  kTruncate,
  /// Answers of reads are not JSON.
  kMalformed,
  /// Calls are answered with status 503, without effect.
  kUnavailable,
};

inline constexpr std::array<std::string_view, 7> kFaultModeNames = {
    "none",     "down",      "slow",       "lose_append_answer",
    "truncate", "malformed", "unavailable"};

std::optional<FaultMode> FaultModeFromName(std::string_view name);

struct Fault {
  FaultMode mode = FaultMode::kNone;
  /// For `kSlow`.
  std::chrono::milliseconds delay{0};
  /// Number of calls that it strikes; no limit if absent.
  std::optional<std::uint64_t> count;
};

enum class CallKind : std::uint8_t { kAppend, kRead };

/// Which fault strikes the next call. Any thread may call it.
class FaultPlan {
 public:
  void Set(const Fault& next);

  /// Returns the mode for a call of `kind`. Waits here if the log is slow.
  FaultMode Strike(CallKind kind);

  /// Ends all waits, now and later.
  void Stop();

 private:
  bool HitsLocked(CallKind kind) const;

  std::mutex mutex;
  std::condition_variable stopped;
  Fault fault;
  bool is_stopped = false;
};

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_FAULT_PLAN_H_
