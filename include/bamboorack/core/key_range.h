#ifndef BAMBOORACK_CORE_KEY_RANGE_H_
#define BAMBOORACK_CORE_KEY_RANGE_H_

#include <compare>
#include <cstdint>
#include <ostream>

#include "bamboorack/core/ids.h"

namespace bamboorack {

/// A key of a service that is divided by key.
using ShardKey = Number<struct ShardKeyTag, std::uint16_t>;

inline constexpr ShardKey kFirstKey{0};
inline constexpr ShardKey kLastKey{65'535};

/// What a former holder of keys returns and the next one is given, so that it
/// starts warm.
using Handover = Name<struct HandoverTag>;

/// Keys from `first` to `last`, both included.
struct KeyRange {
  ShardKey first{0};
  ShardKey last{0};

  auto operator<=>(const KeyRange&) const = default;

  bool Contains(ShardKey key) const {
    return this->first <= key && key <= this->last;
  }
  std::uint32_t Size() const {
    return std::uint32_t{this->last.value} - this->first.value + 1U;
  }
};

inline std::ostream& operator<<(std::ostream& out, const KeyRange& range) {
  return out << range.first.value << '-' << range.last.value;
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_KEY_RANGE_H_
