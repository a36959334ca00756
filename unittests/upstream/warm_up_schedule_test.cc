#include "bamboorack/upstream/warm_up_schedule.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

const ServiceName kService("desk");
constexpr MonotonicTime kStart{seconds(1'000)};
/// The youngest and the oldest that a record is when it is read.
constexpr milliseconds kMinLag{600};
constexpr milliseconds kMaxLag{1'700};
/// How long a request may wait for a connection to a cold upstream.
constexpr milliseconds kMaxWaitForConnection{250};

DesiredState StateWithRate(std::optional<double> rate) {
  DesiredState state;
  state.services = {{kService, 100, false, rate}};
  return state;
}

std::vector<DaemonId> Directory(std::size_t count) {
  std::vector<DaemonId> daemons;
  for (std::size_t i = 0; i < count; ++i) {
    daemons.emplace_back("d" + std::to_string(10'000 + i));
  }
  return daemons;
}

RegisteredUpstream ColdEntry(MonotonicTime cold_until, std::uint64_t life = 1) {
  RegisteredUpstream entry;
  entry.run = {UpstreamId("u"), UpstreamLife(life)};
  entry.service = kService;
  entry.cold_until = cold_until;
  return entry;
}

/// All daemons send to one cold upstream whenever they may.
struct ColdSimulation {
  double rate = 3.9;
  std::size_t daemon_count = 33;
  /// Daemons that only some of the directories contain.
  std::size_t latest_daemons = 0;
  milliseconds warm_up{5'000};
  /// The upstream says later that its warm-up lasts longer, by this much.
  milliseconds extension{0};
  bool has_restarts = false;
  std::uint64_t seed = 1;

  std::vector<MonotonicTime> Run() {
    this->random.seed(this->seed);
    const auto daemons = Directory(this->daemon_count);
    for (const DaemonId& daemon : daemons) {
      auto known = daemons;
      // A daemon may lack others, but not itself.
      for (std::size_t i = 0; i < this->latest_daemons; ++i) {
        const auto other = this->random() % known.size();
        if (known[other] == daemon || this->Draw(0, 1) == 0) continue;
        known.erase(known.begin() + static_cast<std::ptrdiff_t>(other));
      }
      this->RunDaemon(WarmUpSchedule(StateWithRate(this->rate), known, daemon));
    }
    std::sort(this->sends.begin(), this->sends.end());
    return this->sends;
  }

  static std::size_t MostInOneSecond(const std::vector<MonotonicTime>& sends) {
    std::size_t most = 0;
    for (auto first = sends.begin(); first != sends.end(); ++first) {
      const auto last =
          std::lower_bound(first, sends.end(), *first + seconds(1));
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

 private:
  std::int64_t Draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
  }
  milliseconds DrawLag() {
    return milliseconds(this->Draw(kMinLag.count(), kMaxLag.count()));
  }

  void RunDaemon(const WarmUpSchedule& schedule) {
    const MonotonicTime end = kStart + this->warm_up;
    std::optional<MonotonicTime> turn_used;
    // The end counts from the time of the read, so it is late by the lag.
    milliseconds lag = this->DrawLag();
    MonotonicTime from = kStart + lag;
    if (this->has_restarts && this->Draw(0, 2) == 0) {
      const MonotonicTime restart =
          kStart + milliseconds(this->Draw(0, this->warm_up.count()));
      this->Send(schedule, from, restart, end + lag, turn_used);
      turn_used.reset();
      lag = this->DrawLag();
      // It has read the directory twice by then.
      from = std::max(from, restart + seconds(2));
    }
    if (this->extension.count() == 0) {
      this->Send(schedule, from, MonotonicTime::max(), end + lag, turn_used);
      return;
    }
    const milliseconds next_lag = this->DrawLag();
    const MonotonicTime told = kStart + this->warm_up / 2 + next_lag;
    this->Send(schedule, from, told, end + lag, turn_used);
    this->Send(schedule, std::max(from, told), MonotonicTime::max(),
               end + this->extension + next_lag, turn_used);
  }

  /// Sends all that may be sent from `from` to `to`.
  void Send(const WarmUpSchedule& schedule, MonotonicTime from,
            MonotonicTime to, MonotonicTime cold_until,
            std::optional<MonotonicTime>& turn_used) {
    const RegisteredUpstream entry = ColdEntry(cold_until, this->seed);
    MonotonicTime now = from;
    while (true) {
      const MonotonicTime start = schedule.NextStart(entry, turn_used, 0, now);
      if (start >= std::min(to, cold_until)) return;
      // The thread may notice its turn late.
      now = start + milliseconds(this->Draw(0, 149));
      if (!schedule.MaySend(entry, turn_used, now) || now >= cold_until) {
        now = start;
      }
      turn_used = now;
      this->sends.push_back(now);
      now += milliseconds(1);
    }
  }

  std::mt19937_64 random;
  std::vector<MonotonicTime> sends;
};

/// When a daemon may send to a cold upstream, by its own view of the directory.
std::vector<MonotonicTime> TurnsOf(const WarmUpSchedule& schedule,
                                   MonotonicTime cold_until) {
  const RegisteredUpstream entry = ColdEntry(cold_until);
  std::vector<MonotonicTime> turns;
  MonotonicTime now = cold_until - seconds(12);
  while (true) {
    now = schedule.NextStart(entry, std::nullopt, 0, now);
    if (now >= cold_until) return turns;
    turns.push_back(now);
    now += WarmUpSchedule::kTurnLength;
  }
}

/// The most requests in any second if each daemon reads the record at the worst
/// moment and its request is sent as late as allowed. The lists of some daemons
/// may lack `lacking`.
std::size_t WorstSecond(double rate, const std::vector<DaemonId>& daemons,
                        const std::optional<DaemonId>& lacking) {
  constexpr milliseconds kStep{10};
  const MonotonicTime cold_until = kStart + seconds(20);
  auto shorter = daemons;
  if (lacking) std::erase(shorter, *lacking);
  std::vector<std::vector<MonotonicTime>> turns;
  for (const DaemonId& daemon : daemons) {
    const DesiredState state = StateWithRate(rate);
    turns.push_back(
        TurnsOf(WarmUpSchedule(state, daemons, daemon), cold_until));
    const auto others =
        TurnsOf(WarmUpSchedule(state, shorter, daemon), cold_until);
    turns.back().insert(turns.back().end(), others.begin(), others.end());
  }
  std::size_t worst = 0;
  for (auto at = cold_until - seconds(6); at < cold_until; at += kStep) {
    const auto hits = [at](MonotonicTime turn) {
      return turn + kMinLag < at + seconds(1) &&
             turn + kMaxLag + WarmUpSchedule::kTurnLength +
                     kMaxWaitForConnection >=
                 at;
    };
    const auto senders = std::count_if(
        turns.begin(), turns.end(), [&hits](const auto& own_turns) {
          return std::any_of(own_turns.begin(), own_turns.end(), hits);
        });
    worst = std::max(worst, static_cast<std::size_t>(senders));
  }
  return worst;
}

SCENARIO("the records and directories of daemons differ as they can at worst") {
  for (const std::size_t count : {33, 34, 60, 120, 300}) {
    const auto daemons = Directory(count);
    DYNAMIC_SECTION(count << " daemons at 3.9 requests per second") {
      CHECK(WorstSecond(3.9, daemons, std::nullopt) <= 11);
      CHECK(WorstSecond(3.9, daemons, daemons.front()) <= 13);
      CHECK(WorstSecond(3.9, daemons, daemons[count / 2]) <= 13);
    }
    DYNAMIC_SECTION(count << " daemons at 30 requests per second") {
      CHECK(WorstSecond(30, daemons, daemons.front()) <= 53);
    }
  }
}

SCENARIO("all daemons together overload an upstream that warms up") {
  GIVEN(
      "daemons that read its record at different times, hear nothing of "
      "each other and always have a request for it") {
    rc::prop("in each second it gets what it survives, and it gets some", [] {
      ColdSimulation simulation;
      simulation.rate = *rc::gen::element(0.5, 2.0, 3.9, 7.5, 20.0, 80.0);
      simulation.daemon_count = *rc::gen::inRange<std::size_t>(5, 301);
      simulation.latest_daemons = *rc::gen::inRange<std::size_t>(0, 3);
      simulation.warm_up = milliseconds(*rc::gen::inRange(2'000, 15'000));
      simulation.extension =
          milliseconds(*rc::gen::element(0, 0, 3'000, 9'000));
      simulation.has_restarts = *rc::gen::arbitrary<bool>();
      simulation.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
      const auto sends = simulation.Run();
      const auto most =
          static_cast<double>(ColdSimulation::MostInOneSecond(sends));
      RC_LOG() << most << " requests in one second, " << sends.size()
               << " in all";
      RC_ASSERT(most <= simulation.rate * 1.5 + 8);
      RC_ASSERT(simulation.rate < 3 || !sends.empty());
    });
  }
  GIVEN("daemons with the same record and the same directory") {
    ColdSimulation simulation;
    simulation.warm_up = seconds(40);
    THEN("the rate that it tolerates is used") {
      const auto sends = simulation.Run();
      CHECK(sends.size() >= 140);
      CHECK(sends.size() <= 165);
    }
  }
}

SCENARIO("a daemon sends to a cold upstream out of its turn") {
  const auto daemons = Directory(33);
  const MonotonicTime cold_until = kStart + seconds(30);
  const RegisteredUpstream entry = ColdEntry(cold_until);
  const WarmUpSchedule schedule(StateWithRate(3.9), daemons, daemons[7]);

  GIVEN("a turn that it uses") {
    const MonotonicTime turn =
        schedule.NextStart(entry, std::nullopt, 0, kStart);
    REQUIRE(turn < cold_until);
    CHECK(schedule.MaySend(entry, std::nullopt, turn));
    THEN("the next one comes when all others had theirs") {
      CHECK_FALSE(schedule.MaySend(entry, turn, turn + milliseconds(1)));
      const MonotonicTime next =
          schedule.NextStart(entry, turn, 0, turn + milliseconds(1));
      CHECK(next - turn > seconds(8));
      CHECK(next - turn < seconds(9));
      CHECK(schedule.NextStart(entry, std::nullopt, 1, kStart) == next);
    }
    THEN("it does not come back if the end of the warm-up moves") {
      const RegisteredUpstream later = ColdEntry(cold_until + seconds(2));
      CHECK(schedule.NextStart(later, turn, 0, turn) - turn > seconds(8));
    }
  }
  GIVEN("a turn that it does not use") {
    const MonotonicTime turn =
        schedule.NextStart(entry, std::nullopt, 0, kStart);
    THEN("it is lost") {
      CHECK_FALSE(schedule.MaySend(entry, std::nullopt,
                                   turn + WarmUpSchedule::kTurnLength));
    }
  }
  GIVEN("more requests ahead than turns") {
    CHECK(schedule.NextStart(entry, std::nullopt, 9, kStart) == cold_until);
  }
  GIVEN("the end of the warm-up") {
    CHECK(schedule.MaySend(entry, cold_until - milliseconds(1), cold_until));
  }
  GIVEN("a daemon that does not know its place") {
    const WarmUpSchedule unknown(StateWithRate(3.9), {}, daemons[7]);
    const WarmUpSchedule unlisted(StateWithRate(3.9), daemons, DaemonId("x"));
    CHECK(unknown.NextStart(entry, std::nullopt, 0, kStart) == cold_until);
    CHECK(unlisted.NextStart(entry, std::nullopt, 0, kStart) == cold_until);
  }
  GIVEN("a service without a rate") {
    const WarmUpSchedule unlimited(StateWithRate(std::nullopt), daemons,
                                   daemons[7]);
    CHECK_FALSE(unlimited.IsCold(entry, kStart));
    CHECK(unlimited.MaySend(entry, kStart, kStart));
  }
}

}  // namespace
}  // namespace bamboorack::upstream
