#ifndef BAMBOORACK_UPSTREAM_WORK_ID_H_
#define BAMBOORACK_UPSTREAM_WORK_ID_H_

#include "bamboorack/core/ids.h"

namespace bamboorack::upstream {

/// Identifies a request held by this daemon. Ids are never reused.
using WorkId = Number<struct WorkIdTag>;

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_WORK_ID_H_
