#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_LOG_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_LOG_H_

#include <map>
#include <set>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/record.h"

namespace bamboorack::upstream {

/// A reader of the log: the state and the ids that were judged already. Only
/// what ownership needs is folded.
struct LogReader {
  ClusterState state;
  std::set<RecordId> seen;

  LogReader() { this->state.next_offset = LogOffset(1); }
  /// Applies the record at `next_offset`.
  Verdict Apply(const LogRecord& record);
};

/// The platform's log, with a reader that is always at the head.
struct SimulatedLog {
  std::vector<LogRecord> records;
  LogReader head;
  /// The log's wall clock.
  WallTime wall_time;
  /// Owners of all shards of all services after each record, to compare
  /// slower readers with.
  std::vector<std::vector<std::optional<UpstreamRef>>> history;

  Verdict Append(const Record& record);
  /// Brings `reader` up to `count` records. Returns false if it then differs
  /// from what the head reader had there.
  bool CatchUp(LogReader& reader, std::size_t count) const;
};

/// Returns the owners of all shards of `state`.
std::vector<std::optional<UpstreamRef>> OwnersOf(const ClusterState& state);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_LOG_H_
