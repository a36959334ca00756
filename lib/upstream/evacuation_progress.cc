#include "bamboorack/upstream/evacuation_progress.h"

#include <optional>

namespace bamboorack::upstream {

std::map<FailureDomain, std::size_t> CountRangesHeld(
    const EvacuatedDomains& evacuated,
    const std::map<ServiceName, std::vector<RecordedRange>>& services,
    const std::vector<RegisteredUpstream>& upstreams) {
  std::map<FailureDomain, std::size_t> held;
  for (const auto& [domain, until] : evacuated) held[domain] = 0;
  std::map<UpstreamRun, std::size_t*> counts;
  for (const RegisteredUpstream& entry : upstreams) {
    const auto found = held.find(entry.failure_domain);
    if (found != held.end()) counts.emplace(entry.run, &found->second);
  }
  for (const auto& [service, ranges] : services) {
    for (const RecordedRange& range : ranges) {
      const std::optional<UpstreamRun>& run =
          range.holder ? range.holder : range.successor;
      if (!run) continue;
      const auto found = counts.find(*run);
      if (found != counts.end()) ++*found->second;
    }
  }
  return held;
}

}  // namespace bamboorack::upstream
