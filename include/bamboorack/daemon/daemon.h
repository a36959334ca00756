#ifndef BAMBOORACK_DAEMON_DAEMON_H_
#define BAMBOORACK_DAEMON_DAEMON_H_

#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/time.h"
#include "bamboorack/operator/settings.h"

namespace bamboorack::daemon {

/// Owns all threads of one daemon and the rings that connect them.
class Daemon {
 public:
  explicit Daemon(const operators::Settings& settings);
  /// Stops the threads immediately if `Stop` was not called.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the listeners and starts the threads. On failure, the error names
  /// the listener that could not be opened.
  tl::expected<void, std::string> Start();

  /// Begins a planned stop: hands over all groups and stops accepting callers.
  void BeginStop();
  /// Returns whether a planned stop is complete: all groups are handed over, or
  /// the handover timed out, and no request is in flight.
  bool IsStopped() const;
  /// Returns whether a planned stop was requested, for example by an operator.
  bool IsStopRequested() const;
  /// Stops all threads. Aborts requests that are still running at `deadline`.
  void Stop(MonotonicTime deadline);

 private:
  class Threads;
  std::unique_ptr<Threads> threads;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_DAEMON_H_
