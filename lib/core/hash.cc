#include "bamboorack/core/hash.h"

#include <xxhash.h>

#include <array>
#include <cmath>

namespace bamboorack {

std::uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 2> both = {first, second};
  return XXH3_64bits(both.data(), sizeof(both));
}

double RendezvousScore(std::uint64_t item, std::uint64_t candidate,
                       double weight) {
  // The top 53 bits fill a double's mantissa; one half keeps it above 0.
  constexpr int kUnusedBits = 11;
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  const std::uint64_t mixed = CombineHashes(item, candidate) >> kUnusedBits;
  const double uniform = (static_cast<double>(mixed) + 0.5) * kScale;
  return -weight / std::log(uniform);
}

}  // namespace bamboorack
