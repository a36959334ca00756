#ifndef BAMBOORACK_DAEMON_DAEMON_H_
#define BAMBOORACK_DAEMON_DAEMON_H_

#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/time.h"
#include "bamboorack/operator/settings.h"

namespace bamboorack::daemon {

/// All threads of one daemon and the rings between them.
class Daemon {
 public:
  explicit Daemon(const operators::Settings& settings);
  /// Stops at once if `Stop` was not called.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the listeners and starts the threads. The error names the listener
  /// that could not be opened.
  tl::expected<void, std::string> Start();

  /// Begins a planned stop: hands over the groups, takes no new callers.
  void BeginStop();
  /// Returns whether a planned stop has ended: nothing is held or in flight.
  bool IsStopped() const;
  /// Returns whether an operator asked for a planned stop.
  bool IsStopRequested() const;
  /// Ends all threads. Requests that still run at `deadline` are cut off.
  void Stop(MonotonicTime deadline);

 private:
  class Threads;
  std::unique_ptr<Threads> threads;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_DAEMON_H_
