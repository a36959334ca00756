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

/// Records what callers were told and what the fake upstreams truly ran, and
/// names every contradiction.
class RouterOracle {
 public:
  /// A caller sent `request`; `attempt` is unique.
  void OnSent(std::uint64_t attempt, const Request& request, MonotonicTime now);
  /// The caller, or the daemon that it was connected to, is gone: no ending is
  /// expected.
  void OnGone(std::uint64_t attempt, MonotonicTime now);
  /// The time until `until` does not count for the ending of open attempts.
  void OnPaused(const std::vector<std::uint64_t>& attempts,
                MonotonicTime until);
  void OnEnded(std::uint64_t attempt, const Result& result, MonotonicTime now);
  /// An upstream started to run a request.
  void OnRun(const Request& request, MonotonicTime now);
  /// A daemon with `table` dispatches.
  void OnDispatch(const upstream::Dispatch& dispatch, const RoutingTable& table,
                  std::size_t in_flight, MonotonicTime now);
  /// Checks that no attempt is open past its deadline and the bound.
  void CheckDeadlines(MonotonicTime now);
  /// Checks all "not run" endings against what ran. Call at the end.
  void CheckNotRun();

  void Fail(std::string text) { this->failures.push_back(std::move(text)); }
  const std::vector<std::string>& Failures() const { return this->failures; }
  std::uint64_t EndingsOf(Ending ending) const;

  /// The answer that an upstream gives to `request`.
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

  bool IsExplained(const Attempt& claim, const Attempt& other,
                   MonotonicTime ran) const;

  std::map<std::uint64_t, Attempt> attempts;
  std::map<std::uint64_t, MonotonicTime> open;
  std::map<RequestId, std::vector<MonotonicTime>> runs;
  std::map<Ending, std::uint64_t> endings;
  std::vector<std::string> failures;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_UNITTESTS_DAEMON_ROUTER_ORACLE_H_
