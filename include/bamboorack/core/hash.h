#ifndef BAMBOORACK_CORE_HASH_H_
#define BAMBOORACK_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace bamboorack {

/// Returns the XXH3 64 bit hash of `text`. It decides the shard of a key, so
/// it must never change.
std::uint64_t HashText(std::string_view text);

/// Mixes two hashes into one; the order matters.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

/// Returns the rendezvous score of a candidate for an item: the candidate
/// with the highest score wins, in proportion to `weight` (greater than 0).
double RendezvousScore(std::uint64_t item, std::uint64_t candidate,
                       double weight);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HASH_H_
