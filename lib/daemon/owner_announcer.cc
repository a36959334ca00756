#include "bamboorack/daemon/owner_announcer.h"

#include <chrono>
#include <cstddef>

namespace bamboorack::daemon {
namespace {

// A daemon that missed changes, or has just started, waits for a whole map no
// longer than this.
constexpr std::chrono::milliseconds kWholeEvery{1'000};
// A beat repeats the changes of the beats before it, so that a daemon may miss
// two in a row.
constexpr std::size_t kOverlap = 3;

}  // namespace

void OwnerAnnouncer::Update(const OwnerMap& map) {
  if (this->version.term != map.version.term) this->announced.clear();
  this->version = map.version;
  this->owners = peer::ToHashed(map);
  this->changes.Update(map.version, this->owners);
  this->has_news = true;
}

void OwnerAnnouncer::Fill(peer::LeaderBeat& beat, MonotonicTime now) {
  beat.version = this->version;
  if (this->version == OwnerMapVersion{}) return;
  const bool is_whole_due = now >= this->next_whole;
  if (!this->has_news && !is_whole_due) return;
  const bool is_whole = is_whole_due || this->announced.size() < kOverlap;
  if (is_whole) {
    beat.owners = this->owners;
    this->next_whole = now + kWholeEvery;
  } else {
    beat.since = this->announced.front();
    beat.owners = this->changes.Since(*beat.since);
  }
  if (!this->has_news) return;
  this->has_news = false;
  this->announced.push_back(this->version.change);
  if (this->announced.size() > kOverlap) this->announced.pop_front();
}

}  // namespace bamboorack::daemon
