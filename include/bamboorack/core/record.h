#ifndef BAMBOORACK_CORE_RECORD_H_
#define BAMBOORACK_CORE_RECORD_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bamboorack/core/config.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

/// Why a shard may leave its owner.
enum class Proof : std::uint8_t {
  /// The shard had no owner.
  kUnowned,
  /// The owner confirmed the revocation under the newer token.
  kAcknowledged,
  /// The lease has expired and the authority is the only one that could have
  /// renewed it.
  kLapsed,
  /// The VM list no longer has the owner's instance.
  kVmGone,
  /// An operator declared the owner lost.
  kDeclared,
  /// The new owner reported the shard when it was fenced: its predecessor
  /// authority had moved it without the log.
  kReported,
};

inline constexpr std::array<std::string_view, 6> kProofNames = {
    "unowned", "acknowledged", "lapsed", "vm_gone", "declared", "reported"};

constexpr std::string_view NameOf(Proof proof) {
  return kProofNames.at(static_cast<std::size_t>(proof));
}

/// Why an owner or an authority changed.
enum class Cause : std::uint8_t {
  kFirstAssignment,
  kOwnerLost,
  kOwnerLeaving,
  kRebalance,
  kHotKey,
  kAuthorityVacant,
  kAuthoritySilent,
  kPlannedStop,
  kDeclaredLost,
};

inline constexpr std::array<std::string_view, 9> kCauseNames = {
    "first_assignment", "owner_lost",   "owner_leaving",
    "rebalance",        "hot_key",      "authority_vacant",
    "authority_silent", "planned_stop", "declared_lost"};

constexpr std::string_view NameOf(Cause cause) {
  return kCauseNames.at(static_cast<std::size_t>(cause));
}

/// An upstream process: which entry of the inventory, and which start of it.
struct UpstreamRef {
  UpstreamId id;
  UpstreamInstance instance;

  auto operator<=>(const UpstreamRef&) const = default;
};

struct InventoryPublished {
  Revision base_revision;
  Inventory inventory;
};

struct RulesPublished {
  Revision base_revision;
  Rules rules;
};

struct AuthorityTaken {
  GroupId group;
  DaemonId daemon;
  DaemonInstance daemon_instance;
  /// The group's token that the writer knew. The fold refuses any other.
  FencingToken base_token;
  Cause cause = Cause::kAuthorityVacant;
};

struct AuthorityReleased {
  GroupId group;
  FencingToken token;
  DaemonId to_daemon;
};

/// One shard that changes its owner.
struct ShardChange {
  ShardId shard;
  /// Empty if the shard had no owner.
  std::optional<UpstreamRef> from;
  /// Empty if the shard is released without a new owner.
  std::optional<UpstreamRef> to;
  /// The offset of the shard's last accepted change; 0 for none.
  LogOffset base;
};

struct ShardsAssigned {
  GroupId group;
  FencingToken token;
  std::vector<ShardChange> changes;
  Cause cause = Cause::kFirstAssignment;
  Proof proof = Proof::kUnowned;
  /// The daemon that decided.
  DaemonId daemon;
};

struct UpstreamDeclaredLost {
  UpstreamRef upstream;
  /// Who declared it, as given on the command line.
  std::string operator_name;
};

struct SnapshotPiece {
  /// Identifies the snapshot; all its pieces share it.
  RecordId snapshot;
  /// The state holds every record before this offset.
  LogOffset covers_before;
  std::uint32_t index = 0;
  std::uint32_t count = 1;
  std::string body;
};

using RecordBody =
    std::variant<InventoryPublished, RulesPublished, AuthorityTaken,
                 AuthorityReleased, ShardsAssigned, UpstreamDeclaredLost,
                 SnapshotPiece>;

/// A record as a writer makes it. The log gives it its offset and time.
struct Record {
  RecordId id;
  RecordBody body;
};

/// A record as a reader gets it.
struct LogRecord {
  LogOffset offset;
  WallTime time;
  Record record;
};

/// What the fold says of a record.
enum class Verdict : std::uint8_t {
  kAccepted,
  /// A copy of a record that was already judged.
  kDuplicate,
  /// The revision that the change was prepared against is not in force.
  kStaleBase,
  /// The token is not the group's current token.
  kStaleToken,
  /// Another change of the shard came first.
  kStaleShard,
  /// The record names a group, shard or upstream that does not exist.
  kUnknownTarget,
  /// The record breaks a rule of the configuration, such as a changed
  /// `shard_count`.
  kInvalid,
};

inline constexpr std::array<std::string_view, 7> kVerdictNames = {
    "accepted",    "duplicate",      "stale_base", "stale_token",
    "stale_shard", "unknown_target", "invalid"};

constexpr std::string_view NameOf(Verdict verdict) {
  return kVerdictNames.at(static_cast<std::size_t>(verdict));
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_RECORD_H_
