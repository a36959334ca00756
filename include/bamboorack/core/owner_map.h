#ifndef BAMBOORACK_CORE_OWNER_MAP_H_
#define BAMBOORACK_CORE_OWNER_MAP_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/key_range.h"
#include "bamboorack/core/upstream_registry.h"

namespace bamboorack {

/// Counts the leaders of ownership; each has a higher term than those before.
using Term = Number<struct TermTag>;

/// Orders owner maps: by leader, then by the changes of one leader.
struct OwnerMapVersion {
  Term term;
  std::uint64_t change = 0;

  auto operator<=>(const OwnerMapVersion&) const = default;
};

/// Keys and the upstream that serves them. Keys that are between two owners
/// have none.
struct OwnedRange {
  KeyRange range;
  std::optional<UpstreamRun> owner;

  bool operator==(const OwnedRange&) const = default;
};

/// Who serves the keys of each service, as told by the leader of ownership.
struct OwnerMap {
  OwnerMapVersion version;
  /// Ranges in ascending order, without gaps.
  std::map<ServiceName, std::vector<OwnedRange>> services;

  /// Returns the owner of `key`, or null if there is none.
  const UpstreamRun* FindOwner(const ServiceName& service, ShardKey key) const;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_OWNER_MAP_H_
