#ifndef BAMBOORACK_CORE_UPSTREAM_RUN_H_
#define BAMBOORACK_CORE_UPSTREAM_RUN_H_

#include <compare>

#include "bamboorack/core/ids.h"

namespace bamboorack {

/// Tells two runs of an upstream under the same id apart.
using UpstreamLife = Number<struct UpstreamLifeTag>;

/// One run of an upstream. Only this run holds what was granted to it.
struct UpstreamRun {
  UpstreamId id;
  UpstreamLife life;

  auto operator<=>(const UpstreamRun&) const = default;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_UPSTREAM_RUN_H_
