#ifndef BAMBOORACK_UPSTREAM_EVACUATION_PROGRESS_H_
#define BAMBOORACK_UPSTREAM_EVACUATION_PROGRESS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "bamboorack/core/evacuations.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/upstream/ownership_record.h"

namespace bamboorack::upstream {

/// Returns for each evacuated failure domain the number of key ranges that
/// registered upstreams there hold, or are being granted.
std::map<FailureDomain, std::size_t> CountRangesHeld(
    const EvacuatedDomains& evacuated,
    const std::map<ServiceName, std::vector<RecordedRange>>& services,
    const std::vector<RegisteredUpstream>& upstreams);

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_EVACUATION_PROGRESS_H_
