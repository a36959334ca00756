#ifndef BAMBOORACK_UNITTESTS_UPSTREAM_PLANNER_REPLAY_H_
#define BAMBOORACK_UNITTESTS_UPSTREAM_PLANNER_REPLAY_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/upstream/range_planner.h"

namespace bamboorack::upstream {

/// Replays requests for the keys of one service against the planner: Poisson
/// arrivals, reports every 200 ms, plans every 250 ms, moves that take 600 ms.
/// The work of a request is 1/`kRequestsPerSlot` s at speed 1.
class PlannerReplay {
 public:
  static constexpr double kRequestsPerSlot = 1 / 0.23;
  static constexpr std::uint32_t kSlots = 4;

  struct Upstream {
    double speed = 1;
    bool is_listed = true;
  };
  using Planner = std::function<std::vector<RangeMove>(
      PlannerReplay&, const std::vector<RangeView>&,
      const std::vector<RangeCandidate>&, double offered)>;

  PlannerReplay(std::size_t count, double requests_per_second, unsigned seed)
      : rate(requests_per_second), random(seed), owners(kKeys), settled(kKeys) {
    constexpr std::array kSpeeds = {0.6, 1.0, 1.4};
    for (std::size_t i = 0; i < count; ++i) {
      this->upstreams.push_back({kSpeeds.at(i % kSpeeds.size())});
    }
    this->weights.assign(kKeys, 1.0);
  }

  /// Gives keys from `first` on together `share` of all requests.
  void Heat(std::uint32_t first, std::uint32_t count, double share) {
    this->weights.assign(kKeys, (1 - share) / kKeys);
    for (std::uint32_t key = first; key < first + count; ++key) {
      this->weights[key] += share / count;
    }
  }

  void Run(std::chrono::milliseconds span) {
    const MonotonicTime end = this->now + span;
    std::discrete_distribution<std::uint32_t> keys(this->weights.begin(),
                                                   this->weights.end());
    while (this->now < end) {
      this->now += kStep;
      std::poisson_distribution<int> arrivals(
          this->rate * std::chrono::duration<double>(kStep).count());
      for (int left = arrivals(this->random); left > 0; --left) {
        this->unreported.push_back(keys(this->random));
      }
      if (this->now.time_since_epoch() % std::chrono::milliseconds(200) ==
          std::chrono::milliseconds(0)) {
        for (const std::uint32_t key : this->unreported) {
          this->load.Add(ShardKey(static_cast<std::uint16_t>(key)), 1);
        }
        this->unreported.clear();
      }
      if (this->now.time_since_epoch() % std::chrono::milliseconds(250) ==
          std::chrono::milliseconds(0)) {
        this->Plan();
      }
    }
  }

  /// Returns the utilization of each upstream, above 1 if it is overloaded.
  std::vector<double> Utilizations() const {
    const double total = this->TotalWeight();
    std::vector<double> rates(this->upstreams.size());
    for (std::size_t key = 0; key < kKeys; ++key) {
      if (!this->owners[key]) continue;
      rates[*this->owners[key]] += this->rate * this->weights[key] / total;
    }
    for (std::size_t i = 0; i < rates.size(); ++i) {
      rates[i] /= kSlots * this->upstreams[i].speed * kRequestsPerSlot;
    }
    return rates;
  }

  /// Returns the share of the requests that exceeds what their upstreams can
  /// run.
  double ExcessShare() const {
    const std::vector<double> utilizations = this->Utilizations();
    double excess = 0;
    for (std::size_t i = 0; i < utilizations.size(); ++i) {
      excess += std::max(0.0, utilizations[i] - 1) * kSlots *
                this->upstreams[i].speed * kRequestsPerSlot;
    }
    return excess / this->rate;
  }

  /// Returns the share of the requests for other keys of the holder of `key`.
  double ShareBeside(ShardKey key) const {
    double share = 0;
    for (std::size_t other = 0; other < kKeys; ++other) {
      if (other == key.value) continue;
      if (this->owners[other] != this->owners[key.value]) continue;
      share += this->weights[other];
    }
    return share / this->TotalWeight();
  }

  double SpeedOfHolder(ShardKey key) const {
    return this->upstreams.at(this->owners[key.value].value()).speed;
  }

  /// Sets how the leader sees speeds. By default it knows them.
  void SetSpeedNoise(double deviation) { this->speed_noise = deviation; }

  double rate;
  std::vector<Upstream> upstreams;
  ServiceKeyLoad load;
  Planner planner;
  std::size_t moves = 0;
  /// The sum of the shares of the requests for the keys that moved.
  double moved_share = 0;

 private:
  static constexpr std::size_t kKeys = 65'536;
  static constexpr std::chrono::milliseconds kStep{50};
  static constexpr std::chrono::milliseconds kMoveTime{600};

  static UpstreamRun RunOf(std::size_t i) {
    return {UpstreamId("u" + std::to_string(i)), UpstreamLife(1)};
  }

  double TotalWeight() const {
    return std::accumulate(this->weights.begin(), this->weights.end(), 0.0);
  }

  std::vector<RangeView> Views() const {
    std::vector<RangeView> views;
    for (std::size_t key = 0; key < kKeys; ++key) {
      const ShardKey shard_key(static_cast<std::uint16_t>(key));
      const bool is_like_last = key > 0 &&
                                this->owners[key] == this->owners[key - 1] &&
                                this->settled[key] == this->settled[key - 1];
      if (is_like_last) {
        views.back().range.last = shard_key;
        continue;
      }
      std::optional<UpstreamRun> holder;
      if (this->owners[key]) holder = RunOf(*this->owners[key]);
      views.push_back({{shard_key, shard_key},
                       holder,
                       holder && this->settled[key] <= this->now,
                       !holder});
    }
    return views;
  }

  void Plan() {
    this->load.Update(this->now);
    std::vector<RangeCandidate> candidates;
    std::lognormal_distribution<double> noise(0, this->speed_noise);
    for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
      if (!this->upstreams[i].is_listed) continue;
      candidates.push_back(
          {RunOf(i), kSlots * this->upstreams[i].speed * noise(this->random),
           kSlots});
    }
    NormalizeSpeeds(candidates);
    const double total = this->TotalWeight();
    for (const RangeMove& move : this->planner(*this, this->Views(), candidates,
                                               this->rate / kRequestsPerSlot)) {
      ++this->moves;
      const auto to =
          static_cast<std::size_t>(std::stoul(move.to.id.value.substr(1)));
      for (std::size_t key = move.range.first.value;
           key <= move.range.last.value; ++key) {
        if (this->settled[key] > this->now || this->owners[key] == to) continue;
        if (this->owners[key]) {
          this->moved_share += this->weights[key] / total;
        }
        this->owners[key] = to;
        this->settled[key] = this->now + kMoveTime;
      }
    }
  }

  std::mt19937 random;
  std::vector<double> weights;
  std::vector<std::optional<std::size_t>> owners;
  /// When the last move of each key ends.
  std::vector<MonotonicTime> settled;
  std::vector<std::uint32_t> unreported;
  double speed_noise = 0;
  MonotonicTime now{std::chrono::seconds(100)};
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UNITTESTS_UPSTREAM_PLANNER_REPLAY_H_
