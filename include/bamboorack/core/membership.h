#ifndef BAMBOORACK_CORE_MEMBERSHIP_H_
#define BAMBOORACK_CORE_MEMBERSHIP_H_

#include <map>
#include <optional>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

/// What the platform's VM list says of one VM. The list lags behind reality.
struct VmFacts {
  bool is_leaving = false;
  /// Set if an instance of this VM that was listed before is no longer listed:
  /// when the first list without it was requested. A VM that was never listed
  /// is not gone, because a new VM appears late.
  std::optional<MonotonicTime> gone_seen_at;
};

using MembershipView = std::map<VmId, VmFacts>;

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_MEMBERSHIP_H_
