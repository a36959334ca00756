#include "bamboorack/daemon/owner_announcer.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bamboorack/peer/gossip_codec.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService{"reader"};
constexpr std::uint32_t kRanges = 400;
constexpr std::uint32_t kKeysInRange = 65'536 / kRanges;

KeyRange RangeAt(std::uint32_t index) {
  const bool is_last = index + 1 == kRanges;
  const auto first = static_cast<std::uint16_t>(index * kKeysInRange);
  const auto end = static_cast<std::uint16_t>(first + kKeysInRange - 1);
  return {ShardKey(first), is_last ? kLastKey : ShardKey(end)};
}

UpstreamRun RunAt(std::uint32_t index) {
  return {UpstreamId("u" + std::to_string(index % 40)), UpstreamLife(1)};
}

OwnerMap MakeMap(Term term) {
  OwnerMap map{{term, 1}, {}};
  for (std::uint32_t i = 0; i < kRanges; ++i) {
    map.services[kService].push_back({RangeAt(i), RunAt(i)});
  }
  return map;
}

/// Gives `count` ranges another owner, or none.
void Change(OwnerMap& map, std::uint32_t count, std::minstd_rand& random) {
  ++map.version.change;
  for (std::uint32_t i = 0; i < count; ++i) {
    OwnedRange& row = map.services[kService].at(random() % kRanges);
    const bool is_moving = random() % 2 == 0;
    row.owner =
        is_moving
            ? std::nullopt
            : std::optional(RunAt(static_cast<std::uint32_t>(random() % 40)));
  }
}

/// A daemon that hears beats, as the ownership duty does.
struct Listener {
  peer::HashedOwners owners;
  OwnerMapVersion version;

  void Hear(const peer::LeaderBeat& beat) {
    if (!beat.owners || beat.version <= this->version) return;
    const bool knows_base = beat.since &&
                            this->version.term == beat.version.term &&
                            this->version.change >= *beat.since;
    if (beat.since && !knows_base) return;
    if (!beat.since) {
      this->owners = *beat.owners;
    } else {
      peer::Overlay(this->owners, *beat.owners);
    }
    this->version = beat.version;
  }

  bool Agrees(const OwnerMap& map) const {
    if (this->version != map.version) return false;
    peer::HashedOwners expected = peer::ToHashed(map);
    peer::HashedOwners known = this->owners;
    // Neighbours with one owner may be one range or two.
    peer::Overlay(expected, {{kService, {}}});
    peer::Overlay(known, {{kService, {}}});
    return expected == known;
  }
};

SCENARIO("whole owner maps fill a slow link while keys move") {
  std::minstd_rand random(20'261'204);
  MonotonicTime now{seconds(1'000)};
  OwnerAnnouncer announcer;
  OwnerMap map = MakeMap(Term(1));
  announcer.Update(map);

  GIVEN("400 ranges, of which 20 change every 60 ms") {
    THEN("a leader of 27 daemons sends less than half of 11 Mbit/s") {
      constexpr std::size_t kPeers = 26;
      constexpr std::size_t kHalfLink = 11'000'000 / 8 / 2;
      const peer::GossipSource source{DaemonId("d0"), DaemonInstance("d0-1"),
                                      1};
      std::size_t bytes = 0;
      const MonotonicTime end = now + seconds(5);
      while (now < end) {
        peer::LeaderBeat beat;
        announcer.Fill(beat, now);
        bytes += kPeers * peer::EncodeGossip(source, beat).size();
        now += milliseconds(60);
        Change(map, 20, random);
        announcer.Update(map);
      }
      CHECK(bytes / 5 < kHalfLink);
    }
  }

  GIVEN("a daemon that loses two beats of three") {
    Listener listener;
    int agreements = 0;
    for (int i = 0; i < 300; ++i) {
      peer::LeaderBeat beat;
      announcer.Fill(beat, now);
      if (i % 3 == 0) {
        listener.Hear(beat);
        CHECK(listener.Agrees(map));
        if (listener.Agrees(map)) ++agreements;
      }
      now += milliseconds(60);
      Change(map, 20, random);
      announcer.Update(map);
    }
    THEN("it knows the map at each beat that it hears") {
      CHECK(agreements == 100);
    }
  }

  GIVEN("a daemon that starts in the middle of a storm") {
    for (int i = 0; i < 7; ++i) {
      peer::LeaderBeat beat;
      announcer.Fill(beat, now);
      now += milliseconds(60);
      Change(map, 20, random);
      announcer.Update(map);
    }
    Listener listener;
    const MonotonicTime start = now;
    while (!listener.Agrees(map) && now < start + seconds(2)) {
      peer::LeaderBeat beat;
      announcer.Fill(beat, now);
      listener.Hear(beat);
      now += milliseconds(60);
    }
    THEN("it knows the map within a second") {
      CHECK(now - start <= milliseconds(1'060));
    }
  }

  GIVEN("a leader of the next term") {
    Listener listener;
    peer::LeaderBeat first;
    announcer.Fill(first, now);
    listener.Hear(first);
    OwnerMap next = MakeMap(Term(2));
    Change(next, 50, random);
    next.version.change = 1;
    announcer.Update(next);
    peer::LeaderBeat beat;
    announcer.Fill(beat, now + milliseconds(60));
    THEN("its first beat has the whole map") {
      CHECK_FALSE(beat.since.has_value());
      listener.Hear(beat);
      CHECK(listener.Agrees(next));
    }
  }

  GIVEN("no change") {
    peer::LeaderBeat first;
    announcer.Fill(first, now);
    THEN("beats say nothing of owners until the next whole map is due") {
      peer::LeaderBeat beat;
      announcer.Fill(beat, now + milliseconds(150));
      CHECK_FALSE(beat.owners.has_value());
      CHECK(beat.version == map.version);
      peer::LeaderBeat whole;
      announcer.Fill(whole, now + seconds(1));
      CHECK(whole.owners == peer::ToHashed(map));
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
