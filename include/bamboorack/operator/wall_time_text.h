#ifndef BAMBOORACK_OPERATOR_WALL_TIME_TEXT_H_
#define BAMBOORACK_OPERATOR_WALL_TIME_TEXT_H_

#include <optional>
#include <string>

#include "bamboorack/core/time.h"

namespace bamboorack::operators {

/// Returns `time` as RFC 3339 in UTC with milliseconds, such as
/// `2026-12-04T10:00:00.250Z`.
std::string ToRfc3339(WallTime time);

/// Reads an RFC 3339 time with any offset and up to microseconds.
std::optional<WallTime> FromRfc3339(const std::string& text);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_WALL_TIME_TEXT_H_
