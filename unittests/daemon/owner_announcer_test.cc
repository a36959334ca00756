#include "bamboorack/daemon/owner_announcer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
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
void ChangeOwners(OwnerMap& map, std::uint32_t count,
                  std::minstd_rand& random) {
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

/// A daemon that applies received beats in the same way as
/// `OwnershipController`.
struct Receiver {
  peer::HashedOwners owners;
  OwnerMapVersion version;

  void Apply(const peer::LeaderBeat& beat) {
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

  bool HasMap(const OwnerMap& map) const {
    if (this->version != map.version) return false;
    peer::HashedOwners expected = peer::ToHashed(map);
    peer::HashedOwners known = this->owners;
    // Adjacent ranges with the same owner may be merged or separate.
    peer::Overlay(expected, {{kService, {}}});
    peer::Overlay(known, {{kService, {}}});
    return expected == known;
  }
};

SCENARIO("full owner maps saturate a slow link while ranges move") {
  std::minstd_rand random(20'261'204);
  const DaemonId sender("d0");
  MonotonicTime now{seconds(1'000)};
  OwnerAnnouncer announcer;
  OwnerMap map = MakeMap(Term(1));
  announcer.Update(map);
  const auto next = [&] {
    now += milliseconds(60);
    ChangeOwners(map, 20, random);
    announcer.Update(map);
  };

  GIVEN("400 ranges, of which 20 change every 60 ms, and 26 daemons") {
    constexpr std::size_t kPeers = 26;
    const peer::GossipSource source{sender, DaemonInstance("d0-1"), 1};
    std::size_t sum = 0;
    std::size_t largest = 0;
    const MonotonicTime end = now + seconds(5);
    while (now < end) {
      const peer::TakeTurns beat = announcer.Next(sender, now);
      const std::size_t bytes =
          beat.few_count * peer::EncodeGossip(source, beat.few).size() +
          (kPeers - beat.few_count) *
              peer::EncodeGossip(source, beat.most).size();
      sum += bytes;
      largest = std::max(largest, bytes);
      next();
    }
    THEN("the leader sends less than half of 11 Mbit/s") {
      constexpr std::size_t kHalfLink = 11'000'000 / 8 / 2;
      CHECK(sum / 5 < kHalfLink);
    }
    THEN("no beat exceeds the socket buffer") {
      // In the replay of inc-20b7, 156 KB were sent at once, and the daemons at
      // the end of the list had no map of the term for 20 s.
      CHECK(largest < std::size_t{64} * 1024);
    }
  }

  GIVEN("a daemon that has the map and misses two of every three beats") {
    Receiver receiver;
    receiver.owners = peer::ToHashed(map);
    receiver.version = map.version;
    announcer.Next(sender, now);
    int current_count = 0;
    for (int i = 0; i < 300; ++i) {
      next();
      const peer::TakeTurns beat = announcer.Next(sender, now);
      if (i % 3 != 0) continue;
      receiver.Apply(beat.most);
      if (receiver.HasMap(map)) ++current_count;
    }
    THEN("its map is current after each beat that it receives") {
      CHECK(current_count == 100);
    }
  }

  GIVEN("daemons that start while ranges keep moving") {
    for (int i = 0; i < 7; ++i) {
      announcer.Next(sender, now);
      next();
    }
    std::vector<Receiver> receivers(26);
    std::size_t turn = 0;
    const MonotonicTime start = now;
    const auto all_have_map = [&] {
      return std::all_of(
          receivers.begin(), receivers.end(),
          [&map](const Receiver& receiver) { return receiver.HasMap(map); });
    };
    while (!all_have_map() && now < start + seconds(3)) {
      next();
      const peer::TakeTurns beat = announcer.Next(sender, now);
      for (std::size_t i = 0; i < receivers.size(); ++i) {
        const std::size_t place = (i + 26 - turn % 26) % 26;
        receivers[i].Apply(place < beat.few_count ? beat.few : beat.most);
      }
      turn += beat.few_count;
    }
    THEN("all have the current map within about a second") {
      CHECK(now - start <= milliseconds(1'100));
    }
  }

  GIVEN("a leader of the next term") {
    Receiver receiver;
    receiver.Apply(announcer.Next(sender, now).few);
    REQUIRE(receiver.HasMap(map));
    OwnerMap other = MakeMap(Term(2));
    ChangeOwners(other, 50, random);
    other.version.change = 1;
    announcer.Update(other);
    const peer::TakeTurns beat =
        announcer.Next(sender, now + milliseconds(100));
    THEN("its first beat carries no changes to the previous leader's map") {
      CHECK_FALSE(beat.most.owners.has_value());
      CHECK_FALSE(beat.few.since.has_value());
      receiver.Apply(beat.few);
      CHECK(receiver.HasMap(other));
    }
  }

  GIVEN("no change since the last beat") {
    announcer.Next(sender, now);
    THEN("beats to most daemons carry no owners") {
      const peer::TakeTurns beat =
          announcer.Next(sender, now + milliseconds(150));
      CHECK_FALSE(beat.most.owners.has_value());
      CHECK(beat.most.version == map.version);
      CHECK(beat.few_count > 0);
      CHECK(beat.few.owners == peer::ToHashed(map));
    }
  }
}

}  // namespace
}  // namespace bamboorack::daemon
