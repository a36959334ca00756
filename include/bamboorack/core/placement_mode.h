#ifndef BAMBOORACK_CORE_PLACEMENT_MODE_H_
#define BAMBOORACK_CORE_PLACEMENT_MODE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bamboorack {

/// How an upstream is chosen for a request that any upstream of its service may
/// run.
enum class PlacementMode : std::uint8_t {
  /// By expected work for services whose upstreams state their load, by latency
  /// score for all others.
  kAutomatic,
  kExpectedWork,
  kLatencyScore,
};

/// The names of the modes in settings, in the order of the enum.
inline constexpr std::array<std::string_view, 3> kPlacementModeNames = {
    "automatic", "expected_work", "latency_score"};

constexpr std::string_view NameOf(PlacementMode mode) {
  return kPlacementModeNames.at(static_cast<std::size_t>(mode));
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_PLACEMENT_MODE_H_
