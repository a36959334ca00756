#ifndef BAMBOORACK_TOOLS_BAMBOORACK_LOG_SESSION_H_
#define BAMBOORACK_TOOLS_BAMBOORACK_LOG_SESSION_H_

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"
#include "bamboorack/log_service/fold.h"
#include "bamboorack/log_service/log_client.h"

namespace bamboorack::tools {

/// What became of an append.
struct AppendOutcome {
  RecordId id;
  /// Empty if it is unknown whether the record is in the log.
  std::optional<Verdict> verdict;
  /// The record's place in the log, if it is there.
  LogOffset offset;
  /// True if the record is not in the log and will not be.
  bool is_absent = false;
  /// What went wrong.
  std::string detail;
};

/// Reads the log with the same fold as the daemons, and appends to it.
class LogSession {
 public:
  /// Called for each record, after the fold judged it.
  using Observer =
      std::function<void(const LogRecord&, Verdict, const ClusterState&)>;

  explicit LogSession(const Endpoint& log, Observer on_record = {});

  /// Reads up to the head of the log. Starts from the newest complete snapshot
  /// if the log is trimmed. Returns an error text if the log does not answer
  /// before `deadline` or holds no complete state.
  tl::expected<void, std::string> ReadToHead(MonotonicTime deadline);

  /// Returns what the fold would say of `body` if it were the next record.
  Verdict Judge(const RecordBody& body) const;

  /// Appends `body`, which takes until `deadline` at most, and reads it back,
  /// which takes 3 s at most.
  AppendOutcome Append(RecordBody body, MonotonicTime deadline);

  const ClusterState& State() const { return this->fold.State(); }

 private:
  using Visit = std::function<void(const LogRecord&)>;

  /// Visits the records from `from` to the head and returns the first offset
  /// that the log still has.
  tl::expected<LogOffset, std::string> ReadRecords(LogOffset from,
                                                   MonotonicTime deadline,
                                                   const Visit& visit);
  /// Continues from the newest complete snapshot of a trimmed log.
  tl::expected<void, std::string> StartFromSnapshot(
      LogOffset first_kept, const std::vector<LogRecord>& records);
  void Apply(const LogRecord& record);

  /// The client counts unreadable records here.
  Metrics metrics;
  log_service::LogClient client;
  Observer observer;
  log_service::Fold fold;
  /// The record that `Append` waits for.
  std::optional<AppendOutcome> awaited;
};

}  // namespace bamboorack::tools

#endif  // BAMBOORACK_TOOLS_BAMBOORACK_LOG_SESSION_H_
