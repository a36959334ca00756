#include "bamboorack/core/owner_map.h"

#include <algorithm>

namespace bamboorack {

const UpstreamRun* OwnerMap::FindOwner(const ServiceName& service,
                                       ShardKey key) const {
  const auto found = this->services.find(service);
  if (found == this->services.end()) return nullptr;
  const auto& ranges = found->second;
  const auto range = std::lower_bound(
      ranges.begin(), ranges.end(), key,
      [](const OwnedRange& row, ShardKey k) { return row.range.last < k; });
  if (range == ranges.end() || !range->range.Contains(key)) return nullptr;
  return range->owner ? &*range->owner : nullptr;
}

}  // namespace bamboorack
