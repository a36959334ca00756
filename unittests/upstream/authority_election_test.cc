#include "bamboorack/upstream/authority_election.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{50};

MonotonicTime At(milliseconds time) { return MonotonicTime(time); }

/// Returns a state with five daemons in the group's failure domain and two in
/// another one.
ClusterState MakeState() {
  ClusterState state;
  state.inventory_revision = Revision(1);
  for (int i = 0; i < 7; ++i) {
    state.inventory.daemons.push_back(
        {DaemonId("d" + std::to_string(i)), VmId("vm" + std::to_string(i)),
         FailureDomain(i < 5 ? "east" : "west"), Endpoint{"127.0.0.1", 1}});
  }
  ServiceEntry service;
  service.name = ServiceName("reader");
  service.upstreams.push_back({UpstreamId("u0"), VmId("vm9"),
                               Endpoint{"127.0.0.1", 2}, FailureDomain("east"),
                               6, 1.0});
  state.inventory.services.push_back(service);
  return state;
}

struct Elector {
  int records = 0;
  AuthorityElection election;

  explicit Elector(const DaemonId& id)
      : election(id, DaemonInstance(id.value + ".1"), [this, id] {
          return RecordId(id.value + "/" + std::to_string(++this->records));
        }) {}
  Elector(const Elector&) = delete;
  Elector& operator=(const Elector&) = delete;

  /// Ticks from `from` until the election returns a record, and returns that
  /// time, or `limit` if there is none.
  milliseconds TimeOfFirstRecord(
      const ClusterState& state, milliseconds from, milliseconds limit,
      const std::map<DaemonId, MonotonicTime>& heard = {}) {
    for (milliseconds now = from; now < limit; now += kTick) {
      this->last = this->election.Tick(state, heard, true, At(now));
      if (!this->last.empty()) return now;
    }
    return limit;
  }

  std::vector<Record> last;
};

SCENARIO("no daemon or too many daemons request an authority") {
  ClusterState state = MakeState();
  const GroupId group = state.Groups().front();
  const auto candidates = AuthorityCandidates(state.inventory, group);
  constexpr milliseconds kNever{10'000};

  GIVEN("a group without an authority") {
    Elector first(candidates[0]);
    Elector third(candidates[2]);
    THEN("the first candidate requests it at once, others delayed by rank") {
      CHECK(first.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
            milliseconds(0));
      CHECK(third.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
            milliseconds(300));
    }
    THEN("without contact to the log no daemon requests it") {
      CHECK(first.election.Tick(state, {}, false, At(milliseconds(0))).empty());
    }
    WHEN("the append has no visible effect") {
      REQUIRE(first.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
              milliseconds(0));
      const RecordId sent = first.last.front().id;
      THEN("it is repeated after two seconds with a new id") {
        CHECK(first.TimeOfFirstRecord(state, kTick, kNever) ==
              milliseconds(2000));
        CHECK(first.last.front().id != sent);
      }
    }
  }

  GIVEN("a group with an authority") {
    const DaemonId holder = candidates[0];
    AuthorityState& authority = state.authorities[group];
    authority = {FencingToken(9), holder, DaemonInstance(holder.value + ".1"),
                 std::nullopt};
    Elector holder_elector(holder);
    const auto standbys = holder_elector.election.HeartbeatTargets(state);

    THEN("its heartbeats go to three candidates and one in another domain") {
      CHECK(standbys.size() == 4);
      CHECK(std::count_if(standbys.begin(), standbys.end(),
                          [&state](const DaemonId& id) {
                            return state.FindDaemon(id)->failure_domain ==
                                   FailureDomain("west");
                          }) == 1);
    }
    THEN("the holder does not request it again") {
      CHECK(holder_elector.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
            kNever);
    }
    WHEN("the authority is silent") {
      THEN("candidates request it in the order of their rank") {
        Elector first(candidates[1]);
        Elector second(candidates[2]);
        CHECK(first.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
              milliseconds(450));
        CHECK(second.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
              milliseconds(600));
      }
      THEN("daemons that it sends no heartbeats to do not request it") {
        for (const DaemonId& id : candidates) {
          const bool is_standby =
              std::find(standbys.begin(), standbys.end(), id) != standbys.end();
          if (is_standby || id == holder) continue;
          Elector other(id);
          CHECK(other.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
                kNever);
        }
      }
    }
    WHEN("a candidate was paused") {
      Elector first(candidates[1]);
      first.election.Tick(state, {}, true, At(milliseconds(0)));
      THEN("it waits for the full heartbeat timeout again") {
        CHECK(first.TimeOfFirstRecord(state, milliseconds(5000), kNever) ==
              milliseconds(5450));
      }
    }
    WHEN("the authority is released to a daemon") {
      authority.released_to = candidates[2];
      THEN("that daemon requests it at once") {
        Elector assignee(candidates[2]);
        CHECK(assignee.TimeOfFirstRecord(state, milliseconds(0), kNever) ==
              milliseconds(0));
        CHECK(std::get<AuthorityTaken>(assignee.last.front().body).cause ==
              Cause::kPlannedStop);
      }
    }
    WHEN("the daemon that holds it restarts") {
      authority.daemon_instance = DaemonInstance(holder.value + ".0");
      THEN("the new instance requests it with the old token as its base") {
        CHECK(holder_elector.TimeOfFirstRecord(state, milliseconds(0),
                                               kNever) == milliseconds(0));
        CHECK(std::get<AuthorityTaken>(holder_elector.last.front().body)
                  .base_token == FencingToken(9));
      }
    }
    WHEN("the daemon that holds it begins a planned stop") {
      std::map<DaemonId, MonotonicTime> heard;
      heard[candidates[3]] = At(milliseconds(900));
      const auto releases = holder_elector.election.ReleaseAuthorities(
          state, heard, At(milliseconds(1000)));
      THEN("it is released to the highest-ranked candidate not silent") {
        REQUIRE(releases.size() == 1);
        CHECK(std::get<AuthorityReleased>(releases.front().body).to_daemon ==
              candidates[3]);
      }
    }
  }
}

}  // namespace
}  // namespace bamboorack::upstream
