#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_LOG_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_LOG_H_

#include <optional>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/record.h"
#include "bamboorack/log_service/fold.h"

namespace bamboorack::upstream {

using LogReader = log_service::Fold;

/// The platform's log, with a reader that always is at the head.
struct SimulatedLog {
  std::vector<LogRecord> records;
  LogReader head;
  /// The log's wall clock.
  WallTime wall_time;
  /// Owners of all shards of all services after each record, for comparison
  /// with readers that are behind the head.
  std::vector<std::vector<std::optional<UpstreamRef>>> history;

  Verdict Append(const Record& record);
  /// Applies records to `reader` until it has read `count` of them. Returns
  /// false if its owners differ from those of the head reader at that offset.
  bool CatchUp(LogReader& reader, std::size_t count) const;
};

/// Returns the owners of all shards of `state`.
std::vector<std::optional<UpstreamRef>> OwnersOf(const ClusterState& state);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_SIMULATED_LOG_H_
