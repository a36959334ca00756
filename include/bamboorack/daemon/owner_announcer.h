#ifndef BAMBOORACK_DAEMON_OWNER_ANNOUNCER_H_
#define BAMBOORACK_DAEMON_OWNER_ANNOUNCER_H_

#include <cstdint>
#include <deque>

#include "bamboorack/core/owner_map.h"
#include "bamboorack/core/time.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/peer/owner_changes.h"

namespace bamboorack::daemon {

/// Selects which part of the owner map a leader sends in each beat: the changes
/// to most daemons, and the full map to a few of them in turn.
///
/// This bounds the leader's traffic when many ranges move in a row. Sending the
/// full map to all daemons at each change exceeded the 12 Mbit/s link of a
/// small VM, and the leader's own calls to the log timed out. Sending it to all
/// daemons at once overflowed the socket buffer, and the daemons at the end of
/// the list never received it.
class OwnerAnnouncer {
 public:
  /// Sets the current map. Versions must increase within a term.
  void Update(const OwnerMap& map);

  /// Returns the version of the current map.
  const OwnerMapVersion& Version() const { return this->version; }

  /// Returns the beat to send at `now`: recent changes for most daemons, and
  /// the full map for a few if it is due.
  peer::TakeTurns Next(const DaemonId& sender, MonotonicTime now);

 private:
  peer::HashedOwners owners;
  OwnerMapVersion version;
  peer::OwnerChanges changes;
  /// Change numbers of this term that were sent recently, oldest first.
  std::deque<std::uint64_t> announced_changes;
  MonotonicTime next_full_map;
  bool has_unsent_changes = false;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNER_ANNOUNCER_H_
