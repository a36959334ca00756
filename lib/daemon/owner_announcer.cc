#include "bamboorack/daemon/owner_announcer.h"

#include <chrono>
#include <cstddef>

namespace bamboorack::daemon {
namespace {

// Four full maps per interval reach 27 daemons within about one second.
constexpr std::chrono::milliseconds kWholeEvery{100};
constexpr std::size_t kWholeMaps = 4;
// Each beat repeats the changes of the preceding beats, so that a daemon can
// miss two consecutive beats.
constexpr std::size_t kOverlap = 3;

}  // namespace

void OwnerAnnouncer::Update(const OwnerMap& map) {
  if (this->version.term != map.version.term) this->announced.clear();
  this->version = map.version;
  this->owners = peer::ToHashed(map);
  this->changes.Update(map.version, this->owners);
  this->has_news = true;
}

peer::TakeTurns OwnerAnnouncer::Next(const DaemonId& sender,
                                     MonotonicTime now) {
  peer::TakeTurns beat;
  beat.most.sender = sender;
  beat.most.version = this->version;
  if (this->version == OwnerMapVersion{}) return beat;
  if (now >= this->next_whole) {
    beat.few = beat.most;
    beat.few.owners = this->owners;
    beat.few_count = kWholeMaps;
    this->next_whole = now + kWholeEvery;
  }
  if (!this->has_news) return beat;
  this->has_news = false;
  if (!this->announced.empty()) {
    beat.most.since = this->announced.front();
    beat.most.owners = this->changes.Since(*beat.most.since);
  }
  this->announced.push_back(this->version.change);
  if (this->announced.size() > kOverlap) this->announced.pop_front();
  return beat;
}

}  // namespace bamboorack::daemon
