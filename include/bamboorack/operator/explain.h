#ifndef BAMBOORACK_OPERATOR_EXPLAIN_H_
#define BAMBOORACK_OPERATOR_EXPLAIN_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/core/cluster_state.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"

namespace bamboorack::operators {

/// Asks who owned a key.
struct KeyQuestion {
  ServiceName service;
  std::string key;
  /// Empty asks for the newest state. Compared with the times that the log
  /// gave its records.
  std::optional<WallTime> at;
};

enum class EntryKind : std::uint8_t {
  /// The key got another owner, or its shard changed.
  kOwner,
  kAuthorityTaken,
  kAuthorityReleased,
  kInventory,
  kRules,
  kDeclaredLost,
};

inline constexpr std::array<std::string_view, 6> kEntryKindNames = {
    "owner",     "authority_taken", "authority_released",
    "inventory", "rules",           "declared_lost"};

constexpr std::string_view NameOf(EntryKind kind) {
  return kEntryKindNames.at(static_cast<std::size_t>(kind));
}

/// One record that concerns the key, its group or the configuration.
struct HistoryEntry {
  EntryKind kind = EntryKind::kOwner;
  LogOffset offset;
  WallTime time;
  /// Only accepted entries had an effect.
  Verdict verdict = Verdict::kAccepted;
  /// The rules in force when the record was judged.
  Revision rules_revision;
  /// Set for owners and authorities.
  std::optional<GroupId> group;
  /// Set for owners.
  std::optional<ShardId> shard;
  std::optional<UpstreamRef> from;
  std::optional<UpstreamRef> to;
  std::optional<Proof> proof;
  /// Empty if the state came from a snapshot: its records are trimmed.
  std::optional<Cause> cause;
  /// The token that the record was written under, or the one that it created.
  FencingToken token;
  /// The daemon that decided, or that took or released the authority.
  DaemonId daemon;
  /// The daemon that had the authority before, or that is to take it.
  DaemonId other_daemon;
  /// The operator's name if one declared a loss.
  std::string operator_name;
};

/// The answer to a `KeyQuestion`.
struct Explanation {
  KeyQuestion question;
  /// False if the service was not in the inventory at that time.
  bool is_known = false;
  ShardId shard;
  GroupId group;
  std::optional<UpstreamRef> owner;
  /// The entry that made `owner` the owner.
  std::optional<HistoryEntry> decision;
  /// The entry that gave the group its authority.
  std::optional<HistoryEntry> authority;
  /// Accepted and refused entries in log order, up to the newest record.
  std::vector<HistoryEntry> history;
};

/// Collects the history of one key while a fold reads the log.
class Explainer {
 public:
  explicit Explainer(KeyQuestion asked);

  /// Call for each record in log order, after the fold judged it. `after` is
  /// the fold's state including the record. A fold that starts from a snapshot
  /// is observed with a piece of it as the record.
  void Observe(const LogRecord& record, Verdict verdict,
               const ClusterState& after);

  Explanation Answer() const;

 private:
  /// Where the key was after an entry.
  struct Place {
    bool is_known = false;
    ShardId shard;
    GroupId group;
    std::optional<UpstreamRef> owner;

    bool operator==(const Place&) const = default;
  };
  struct PlaceAt {
    WallTime time;
    Place place;
    std::optional<HistoryEntry> decision;
  };

  Place FindPlace(const ClusterState& state) const;
  void Note(const InventoryPublished& body, HistoryEntry& entry);
  void Note(const RulesPublished& body, HistoryEntry& entry);
  void Note(const AuthorityTaken& body, HistoryEntry& entry);
  void Note(const AuthorityReleased& body, HistoryEntry& entry);
  void Note(const ShardsAssigned& body, HistoryEntry& entry);
  void Note(const UpstreamDeclaredLost& body, HistoryEntry& entry);
  void Note(const SnapshotPiece& body, HistoryEntry& entry);
  void TrackPlace(const ClusterState& after, HistoryEntry entry);

  KeyQuestion question;
  std::uint64_t key_hash;
  Place current;
  std::vector<PlaceAt> places;
  std::map<GroupId, DaemonId> authorities;
  std::vector<HistoryEntry> entries;
};

std::string ToText(const Explanation& explanation);
std::string ToJson(const Explanation& explanation);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_EXPLAIN_H_
