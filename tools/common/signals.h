#ifndef BAMBOORACK_TOOLS_COMMON_SIGNALS_H_
#define BAMBOORACK_TOOLS_COMMON_SIGNALS_H_

#include <signal.h>
#include <time.h>

#include <chrono>
#include <initializer_list>

namespace bamboorack::tools {

/// Leaves `numbers` to `WaitForSignal`. Call before the first thread starts, so
/// that only the caller receives them.
inline sigset_t BlockSignals(std::initializer_list<int> numbers) {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int number : numbers) ::sigaddset(&signals, number);
  ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Blocks until one of `signals` arrives.
inline int WaitForSignal(const sigset_t& signals) {
  int number = 0;
  ::sigwait(&signals, &number);
  return number;
}

/// Returns the signal that arrived within `limit`, or 0.
inline int WaitForSignal(const sigset_t& signals,
                         std::chrono::milliseconds limit) {
  const auto whole = std::chrono::duration_cast<std::chrono::seconds>(limit);
  const std::chrono::nanoseconds rest = limit - whole;
  const timespec span{whole.count(), rest.count()};
  const int number = ::sigtimedwait(&signals, nullptr, &span);
  return number > 0 ? number : 0;
}

}  // namespace bamboorack::tools

#endif  // BAMBOORACK_TOOLS_COMMON_SIGNALS_H_
