#ifndef BAMBOORACK_PEER_OWNER_CHANGES_H_
#define BAMBOORACK_PEER_OWNER_CHANGES_H_

#include <cstdint>
#include <map>
#include <vector>

#include "bamboorack/peer/gossip.h"

namespace bamboorack::peer {

/// Remembers with which version of a leader's map the owner of each key
/// changed last, so that the leader sends what changed and not the whole map.
class OwnerChanges {
 public:
  void Update(const OwnerMapVersion& version, const HashedOwners& owners);

  /// The ranges whose owner changed after `change` of the present term.
  HashedOwners Since(std::uint64_t change) const;

 private:
  struct Row {
    KeyRange range;
    UpstreamHash owner;
    std::uint64_t changed_at = 0;

    bool operator==(const Row&) const = default;
  };

  /// Returns `ranges`, with the former change where the owner is the same.
  static std::vector<Row> Updated(const std::vector<Row>& rows,
                                  const std::vector<HashedRange>& ranges,
                                  std::uint64_t change);

  Term term;
  std::map<ServiceName, std::vector<Row>> services;
};

/// Replaces the owners of the keys in `changes`.
void Overlay(HashedOwners& owners, const HashedOwners& changes);

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_OWNER_CHANGES_H_
