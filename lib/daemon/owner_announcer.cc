#include "bamboorack/daemon/owner_announcer.h"

#include <chrono>
#include <cstddef>

namespace bamboorack::daemon {
namespace {

// Four full maps per interval reach 27 daemons within about one second.
constexpr std::chrono::milliseconds kFullMapInterval{100};
constexpr std::size_t kFullMapsPerInterval = 4;
// Each beat repeats the changes of the preceding beats, so that a daemon can
// miss two consecutive beats.
constexpr std::size_t kMaxAnnouncedChanges = 3;

}  // namespace

void OwnerAnnouncer::Update(const OwnerMap& map) {
  if (this->version.term != map.version.term) this->announced_changes.clear();
  this->version = map.version;
  this->owners = peer::ToHashed(map);
  this->changes.Update(map.version, this->owners);
  this->has_unsent_changes = true;
}

peer::TakeTurns OwnerAnnouncer::Next(const DaemonId& sender,
                                     MonotonicTime now) {
  peer::TakeTurns beat;
  beat.most.sender = sender;
  beat.most.version = this->version;
  if (this->version == OwnerMapVersion{}) return beat;
  if (now >= this->next_full_map) {
    beat.few = beat.most;
    beat.few.owners = this->owners;
    beat.few_count = kFullMapsPerInterval;
    this->next_full_map = now + kFullMapInterval;
  }
  if (!this->has_unsent_changes) return beat;
  this->has_unsent_changes = false;
  if (!this->announced_changes.empty()) {
    beat.most.since = this->announced_changes.front();
    beat.most.owners = this->changes.Since(*beat.most.since);
  }
  this->announced_changes.push_back(this->version.change);
  if (this->announced_changes.size() > kMaxAnnouncedChanges)
    this->announced_changes.pop_front();
  return beat;
}

}  // namespace bamboorack::daemon
