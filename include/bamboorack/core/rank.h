#ifndef BAMBOORACK_CORE_RANK_H_
#define BAMBOORACK_CORE_RANK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bamboorack {

/// The kind of work, most urgent first.
enum class Rank : std::uint8_t {
  /// An idempotent lookup.
  kLookup,
  /// A submission, order or payment that runs at most once.
  kOnce,
  /// A large upload that may be slow and must not be lost.
  kBulk,
};

inline constexpr std::size_t kRankCount = 3;
inline constexpr std::array<std::string_view, kRankCount> kRankNames = {
    "lookup", "once", "bulk"};
inline constexpr std::array<Rank, kRankCount> kRanks = {
    Rank::kLookup, Rank::kOnce, Rank::kBulk};

/// Returns the position of `rank` in tables that have one row for each rank.
constexpr std::size_t IndexOf(Rank rank) {
  return static_cast<std::size_t>(rank);
}

constexpr std::string_view NameOf(Rank rank) {
  return kRankNames.at(IndexOf(rank));
}

/// Returns the rank called `name`, or nothing if there is none.
constexpr std::optional<Rank> RankFromName(std::string_view name) {
  for (Rank rank : kRanks) {
    if (NameOf(rank) == name) return rank;
  }
  return std::nullopt;
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_RANK_H_
