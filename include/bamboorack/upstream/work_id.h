#ifndef BAMBOORACK_UPSTREAM_WORK_ID_H_
#define BAMBOORACK_UPSTREAM_WORK_ID_H_

#include "bamboorack/core/ids.h"

namespace bamboorack::upstream {

/// Identifies one request that this daemon holds. Never reused.
using WorkId = Number<struct WorkIdTag>;

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_WORK_ID_H_
