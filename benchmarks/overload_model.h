#ifndef BAMBOORACK_BENCHMARKS_OVERLOAD_MODEL_H_
#define BAMBOORACK_BENCHMARKS_OVERLOAD_MODEL_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboorack/core/rank.h"
#include "bamboorack/core/time.h"

namespace bamboorack::bench {

/// One user's service that is sharded by key, at the sizes of the design page.
struct Cluster {
  std::string_view name;
  std::uint32_t upstreams = 20;
  std::uint32_t slots = 6;
  std::uint32_t daemons = 5;
  std::chrono::microseconds one_way{500};
};

inline constexpr std::array kClusters = {
    Cluster{"New England", 20, 6, 5, std::chrono::microseconds(500)},
    Cluster{"Gulf South", 20, 3, 5, std::chrono::microseconds(1500)},
};

/// Assumed work of one rank: exponential service times, a fixed deadline, and
/// the share of the slot time in the ordinary mix.
struct Work {
  std::chrono::microseconds mean_service;
  std::chrono::milliseconds deadline;
  double share_of_load;
};

inline constexpr std::array<Work, kRankCount> kWork = {{
    {std::chrono::microseconds(4'000), std::chrono::milliseconds(100), 0.5},
    {std::chrono::microseconds(15'000), std::chrono::milliseconds(1'000), 0.3},
    {std::chrono::microseconds(150'000), std::chrono::milliseconds(5'000), 0.2},
}};

/// Offered slot time of the ordinary mix, as a share of capacity.
inline constexpr double kOrdinaryLoad = 0.5;

struct Scenario {
  Cluster cluster;
  /// Offered slot time as a multiple of capacity.
  double load = kOrdinaryLoad;
  /// The rank that makes up for everything above the ordinary mix.
  Rank flood = Rank::kBulk;
  /// One of the daemons is lost in the middle of the run.
  bool loses_daemon = false;
  /// From the middle of the run every request takes so many times as long.
  double slowdown = 1.0;
};

/// One request in the simulation.
struct Item {
  std::uint64_t id = 0;
  Rank rank = Rank::kLookup;
  std::uint32_t daemon = 0;
  MonotonicTime sent;
  MonotonicTime deadline;
  std::chrono::nanoseconds service{0};
};

/// What decides when each request to one upstream is dispatched.
class Policy {
 public:
  Policy() = default;
  virtual ~Policy() = default;
  Policy(const Policy&) = delete;
  Policy& operator=(const Policy&) = delete;

  /// Returns false if the request is refused.
  virtual bool Offer(const Item& item, MonotonicTime now) = 0;
  /// Returns the next request to send, or nothing.
  virtual std::optional<std::uint64_t> Next(MonotonicTime now) = 0;
  /// A request that was sent has ended.
  virtual void OnEnd(const Item& item, bool was_shed, MonotonicTime now) = 0;
  /// The daemon `index` is lost; it held the authority if `was_authority`.
  /// Work that it held is lost.
  virtual void OnDaemonLost(std::uint32_t index, bool was_authority) = 0;
  /// Whether each daemon dispatches what it receives, without a second hop.
  virtual bool IsDirect() const { return false; }
};

using PolicyFactory =
    std::function<std::unique_ptr<Policy>(const Cluster& cluster)>;

struct RankFigures {
  std::uint64_t offered = 0;
  std::uint64_t served = 0;
  std::uint64_t dispatched = 0;
  /// Dispatched, but answered too late.
  std::uint64_t wasted = 0;
  std::uint64_t refused = 0;
  std::vector<float> latency_ms;
};

struct Figures {
  std::array<RankFigures, kRankCount> ranks;
  /// Slot time of requests served in time, as a share of capacity.
  double goodput = 0.0;

  double ServedShare(Rank rank) const;
  double DispatchShare(Rank rank) const;
  /// Sorts the latencies of `rank` and returns a quantile in milliseconds.
  double Quantile(Rank rank, double quantile);
};

inline double Figures::ServedShare(Rank rank) const {
  const RankFigures& figures = this->ranks.at(IndexOf(rank));
  if (figures.offered == 0) return 1.0;
  return static_cast<double>(figures.served) /
         static_cast<double>(figures.offered);
}

inline double Figures::DispatchShare(Rank rank) const {
  std::uint64_t total = 0;
  for (const RankFigures& figures : this->ranks) total += figures.dispatched;
  if (total == 0) return 0.0;
  return static_cast<double>(this->ranks.at(IndexOf(rank)).dispatched) /
         static_cast<double>(total);
}

inline double Figures::Quantile(Rank rank, double quantile) {
  std::vector<float>& values = this->ranks.at(IndexOf(rank)).latency_ms;
  if (values.empty()) return 0.0;
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

inline constexpr MonotonicTime kStart{std::chrono::hours(1)};
inline constexpr MonotonicTime kMeasureFrom = kStart + std::chrono::seconds(1);
inline constexpr MonotonicTime kMiddle = kStart + std::chrono::seconds(3);
inline constexpr MonotonicTime kEnd = kStart + std::chrono::seconds(5);
/// Until the load balancer sends a lost daemon no more requests.
inline constexpr std::chrono::milliseconds kBalancerNotices{500};
/// From the loss of an authority until its successor dispatches: 450 ms of
/// silence, an append and a fence.
inline constexpr std::chrono::milliseconds kTakeover{600};

/// Simulates one upstream. Upstreams do not affect each other.
class Lane {
 public:
  Lane(const Scenario& lane_scenario, std::uint32_t lane_index,
       const PolicyFactory& make_policy, Figures& lane_figures)
      : scenario(lane_scenario),
        index(lane_index),
        figures(lane_figures),
        policy(make_policy(lane_scenario.cluster)),
        random(20261204 + lane_index),
        authority(lane_index % lane_scenario.cluster.daemons) {}

  void Run() {
    for (const Rank rank : kRanks) this->ScheduleArrival(rank, kStart);
    if (this->scenario.loses_daemon) this->Push(kMiddle, Kind::kLoss, 0);
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      (this->*kHandlers.at(static_cast<std::size_t>(event.kind)))(event.id);
      this->Dispatch();
    }
  }

 private:
  enum class Kind : std::uint8_t { kArrival, kOffer, kItemEnd, kLoss };
  struct Event {
    MonotonicTime at;
    Kind kind;
    std::uint64_t id;
    bool operator>(const Event& other) const { return this->at > other.at; }
  };
  using Handler = void (Lane::*)(std::uint64_t);

  void Push(MonotonicTime at, Kind kind, std::uint64_t id) {
    this->events.push({at, kind, id});
  }

  double RateOf(Rank rank) const {
    const Work& work = kWork.at(IndexOf(rank));
    double load =
        std::min(kOrdinaryLoad, this->scenario.load) * work.share_of_load;
    if (rank == this->scenario.flood) {
      load += std::max(0.0, this->scenario.load - kOrdinaryLoad);
    }
    return load * this->scenario.cluster.slots /
           std::chrono::duration<double>(work.mean_service).count();
  }

  std::chrono::nanoseconds Exponential(std::chrono::duration<double> mean) {
    std::exponential_distribution<double> distribution(1.0);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        distribution(this->random) * mean);
  }

  void ScheduleArrival(Rank rank, MonotonicTime after) {
    const MonotonicTime at =
        after + this->Exponential(
                    std::chrono::duration<double>(1.0 / this->RateOf(rank)));
    if (at >= kEnd) return;
    const Work& work = kWork.at(IndexOf(rank));
    Item item;
    item.id = this->items.size();
    item.rank = rank;
    item.daemon = static_cast<std::uint32_t>(this->random() %
                                             this->scenario.cluster.daemons);
    item.sent = at;
    item.deadline = at + work.deadline;
    const double slower = at >= kMiddle ? this->scenario.slowdown : 1.0;
    item.service = this->Exponential(slower * work.mean_service);
    this->items.push_back(item);
    this->Push(at, Kind::kArrival, item.id);
  }

  bool IsMeasured(const Item& item) const { return item.sent >= kMeasureFrom; }
  RankFigures& FiguresOf(const Item& item) {
    return this->figures.ranks.at(IndexOf(item.rank));
  }

  void OnArrival(std::uint64_t id) {
    const Item item = this->items[id];
    this->ScheduleArrival(item.rank, item.sent);
    if (this->IsMeasured(item)) ++this->FiguresOf(item).offered;
    if (this->scenario.loses_daemon && item.daemon == 0 &&
        this->now >= kMiddle) {
      if (this->now < kMiddle + kBalancerNotices) return;
      this->items[id].daemon = 1;
    }
    const bool is_here =
        this->policy->IsDirect() || this->items[id].daemon == this->authority;
    const auto hop =
        is_here ? std::chrono::microseconds(0) : this->scenario.cluster.one_way;
    this->Push(std::max(this->now + hop, this->closed_until), Kind::kOffer, id);
  }

  void OnOffer(std::uint64_t id) {
    const Item& item = this->items[id];
    if (this->now < this->closed_until) {
      this->Push(this->closed_until, Kind::kOffer, id);
      return;
    }
    if (item.deadline <= this->now || !this->policy->Offer(item, this->now)) {
      if (this->IsMeasured(item)) ++this->FiguresOf(item).refused;
    }
  }

  void Dispatch() {
    if (this->now < this->closed_until) return;
    while (const auto id = this->policy->Next(this->now)) {
      const Item& item = this->items[*id];
      if (this->running >= this->scenario.cluster.slots) {
        this->policy->OnEnd(item, true, this->now);
        if (this->IsMeasured(item)) ++this->FiguresOf(item).refused;
        continue;
      }
      ++this->running;
      if (this->IsMeasured(item)) ++this->FiguresOf(item).dispatched;
      // The upstream honours deadlines: it stops at the deadline.
      this->Push(std::min(this->now + item.service, item.deadline),
                 Kind::kItemEnd, *id);
    }
  }

  void OnItemEnd(std::uint64_t id) {
    const Item& item = this->items[id];
    --this->running;
    if (item.id < this->lost_below && this->IsLost(item)) return;
    this->policy->OnEnd(item, false, this->now);
    const bool is_here =
        this->policy->IsDirect() || item.daemon == this->authority;
    const MonotonicTime answered =
        this->now + (is_here ? std::chrono::microseconds(0)
                             : this->scenario.cluster.one_way);
    const bool is_in_time = answered < item.deadline;
    if (is_in_time && this->now >= kMeasureFrom && this->now < kEnd) {
      const std::chrono::duration<double> window = kEnd - kMeasureFrom;
      this->figures.goodput +=
          std::chrono::duration<double>(item.service).count() /
          (window.count() * this->scenario.cluster.slots *
           this->scenario.cluster.upstreams);
    }
    if (!this->IsMeasured(item)) return;
    RankFigures& rank = this->FiguresOf(item);
    if (!is_in_time) {
      ++rank.wasted;
      return;
    }
    ++rank.served;
    const std::chrono::duration<float, std::milli> latency =
        answered - item.sent;
    rank.latency_ms.push_back(latency.count());
  }

  bool IsLost(const Item& item) const {
    return this->lost_authority ||
           (this->policy->IsDirect() && item.daemon == 0);
  }

  void OnLoss(std::uint64_t /*id*/) {
    this->lost_below = this->items.size();
    this->lost_authority = !this->policy->IsDirect() && this->authority == 0;
    this->policy->OnDaemonLost(0, this->lost_authority);
    if (!this->lost_authority) return;
    this->closed_until = this->now + kTakeover;
    this->authority = 1;
  }

  static constexpr std::array<Handler, 4> kHandlers = {
      &Lane::OnArrival, &Lane::OnOffer, &Lane::OnItemEnd, &Lane::OnLoss};

  const Scenario& scenario;
  std::uint32_t index;
  Figures& figures;
  std::unique_ptr<Policy> policy;
  std::mt19937_64 random;
  std::uint32_t authority;
  MonotonicTime now = kStart;
  MonotonicTime closed_until = kStart;
  std::uint32_t running = 0;
  std::uint64_t lost_below = 0;
  bool lost_authority = false;
  std::vector<Item> items;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
};

/// Runs `scenario` with a fixed seed.
inline Figures Simulate(const Scenario& scenario,
                        const PolicyFactory& make_policy) {
  Figures figures;
  for (std::uint32_t i = 0; i < scenario.cluster.upstreams; ++i) {
    Lane(scenario, i, make_policy, figures).Run();
  }
  return figures;
}

}  // namespace bamboorack::bench

#endif  // BAMBOORACK_BENCHMARKS_OVERLOAD_MODEL_H_
