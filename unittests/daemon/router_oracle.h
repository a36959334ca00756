#ifndef BAMBOORACK_UNITTESTS_DAEMON_ROUTER_ORACLE_H_
#define BAMBOORACK_UNITTESTS_DAEMON_ROUTER_ORACLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bamboorack/core/request.h"
#include "bamboorack/core/routing_table.h"
#include "bamboorack/upstream/messages.h"

namespace bamboorack::daemon {

/// Compares the endings that callers got with the runs of the fake upstreams,
/// and records each contradiction as a failure.
class RouterOracle {
 public:
  /// Records that a caller sent `request`. `attempt` is a unique number.
  void OnSent(std::uint64_t attempt, const Request& request, MonotonicTime now);
  /// Records that the caller, or the daemon it was connected to, is gone, so
  /// that no ending is expected.
  void OnCallerGone(std::uint64_t attempt, MonotonicTime now);
  /// Extends the time limit of open attempts to at least `until`.
  void OnPaused(const std::vector<std::uint64_t>& attempts,
                MonotonicTime until);
  void OnEnded(std::uint64_t attempt, const Result& result, MonotonicTime now);
  /// Records that an upstream started to run a request.
  void OnRun(const Request& request, MonotonicTime now);
  /// Checks a dispatch of a daemon against its routing table.
  void OnDispatch(const upstream::Dispatch& dispatch, const RoutingTable& table,
                  std::size_t in_flight, MonotonicTime now);
  /// Checks that no attempt is still open after its deadline and a grace time.
  void CheckDeadlines(MonotonicTime now);
  /// Checks that no request that ended as "not run" has run. Call at the end.
  void CheckNotRun();

  void Fail(std::string text) { this->failures.push_back(std::move(text)); }
  const std::vector<std::string>& Failures() const { return this->failures; }
  std::uint64_t EndingsOf(Ending ending) const;

  /// Returns the expected answer to `request`.
  static std::string AnswerTo(const Request& request);

 private:
  struct Attempt {
    Request request;
    MonotonicTime arrived;
    MonotonicTime due;
    std::optional<MonotonicTime> ended;
    std::optional<Ending> ending;
    bool is_gone = false;
  };

  bool CanBelongTo(const Attempt& claim, const Attempt& other,
                   MonotonicTime ran) const;

  std::map<std::uint64_t, Attempt> attempts;
  std::map<std::uint64_t, MonotonicTime> open;
  std::map<RequestId, std::vector<MonotonicTime>> runs;
  std::map<Ending, std::uint64_t> endings;
  std::vector<std::string> failures;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_UNITTESTS_DAEMON_ROUTER_ORACLE_H_
