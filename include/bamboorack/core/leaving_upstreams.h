#ifndef BAMBOORACK_CORE_LEAVING_UPSTREAMS_H_
#define BAMBOORACK_CORE_LEAVING_UPSTREAMS_H_

#include <cstddef>
#include <deque>
#include <set>

#include "bamboorack/core/upstream_run.h"

namespace bamboorack {

/// The runs of upstreams that said that they leave.
///
/// Fault pattern: an upstream says in an answer that it leaves, and its
/// registry entry is older, says something else, or is back after an outage of
/// the registry. Leaving is final for a run, so its entry counts as draining;
/// only another run under the same id is usable.
class LeavingUpstreams {
 public:
  /// Returns whether the run was not known to leave.
  bool Add(const UpstreamRun& run);
  bool Contains(const UpstreamRun& run) const {
    return this->runs.contains(run);
  }

 private:
  /// The oldest run is forgotten when there are more. By then the registry has
  /// dropped it.
  static constexpr std::size_t kCapacity = 8'192;

  std::set<UpstreamRun> runs;
  /// Oldest first.
  std::deque<UpstreamRun> order;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_LEAVING_UPSTREAMS_H_
