#ifndef BAMBOORACK_DAEMON_OWNER_ANNOUNCER_H_
#define BAMBOORACK_DAEMON_OWNER_ANNOUNCER_H_

#include <cstdint>
#include <deque>

#include "bamboorack/core/owner_map.h"
#include "bamboorack/core/time.h"
#include "bamboorack/peer/gossip.h"
#include "bamboorack/peer/owner_changes.h"

namespace bamboorack::daemon {

/// Decides how much of the owner map a leader's beat carries, and to whom.
///
/// Answers the load pattern of many moves in a row on a VM with a slow link.
/// Whole maps to all daemons at each change took more than the 12 Mbit/s of a
/// small VM, so that the leader's own calls to the log timed out. Whole maps to
/// all daemons at once overflowed the socket's buffer, so that the daemons at
/// the end of the list never got one.
class OwnerAnnouncer {
 public:
  /// `map` is in force. Maps of one term have ascending versions.
  void Update(const OwnerMap& map);

  /// The version of the newest map.
  const OwnerMapVersion& Version() const { return this->version; }

  /// Returns the beat that is sent at `now`: what changed to most daemons, and
  /// the whole map to a few.
  peer::TakeTurns Next(const DaemonId& sender, MonotonicTime now);

 private:
  peer::HashedOwners owners;
  OwnerMapVersion version;
  peer::OwnerChanges changes;
  /// The changes of this term that beats have told, the oldest first.
  std::deque<std::uint64_t> announced;
  MonotonicTime next_whole;
  bool has_news = false;
};

}  // namespace bamboorack::daemon

#endif  // BAMBOORACK_DAEMON_OWNER_ANNOUNCER_H_
