#ifndef BAMBOORACK_BENCHMARKS_SHARED_UPSTREAMS_MODEL_H_
#define BAMBOORACK_BENCHMARKS_SHARED_UPSTREAMS_MODEL_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/upstream/load_balancer.h"
#include "bamboorack/upstream/request_placement.h"

namespace bamboorack::bench {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Similar requests.
struct Kind {
  RouteName route;
  Seconds mean_work{0};
  /// Standard deviation of the logarithm of the work.
  double spread = 0;
  /// This share costs `tail_factor` times as much.
  double tail_share = 0;
  double tail_factor = 1;
  milliseconds target{0};
  /// Requests of this kind for each of the first kind.
  double rate = 1;
};

/// Daemons that share the upstreams of one service without keys.
struct Deployment {
  std::string name;
  std::size_t daemons = 33;
  std::size_t upstreams = 67;
  std::uint32_t slots = 4;
  std::size_t queue = 16;
  std::vector<double> speeds;
  std::vector<Kind> kinds;
  bool states_load = true;
  /// Share of the hosts that are slowed at any time.
  double slow_share = 0.2;
  double slow_factor = 3;
  milliseconds noise_interval{400};
  milliseconds report_interval{200};
  /// Time that statements take to the other daemons, beside their wait for the
  /// next report.
  milliseconds statement_delay{0};
  bool tells_statements = false;
};

struct Outcome {
  std::uint64_t requests = 0;
  std::uint64_t in_time = 0;
  std::vector<double> latencies_ms;
  std::uint64_t statements = 0;
  std::uint64_t reports = 0;

  double Share() const {
    return static_cast<double>(this->in_time) /
           static_cast<double>(std::max<std::uint64_t>(this->requests, 1));
  }
  double Quantile(double part) {
    if (this->latencies_ms.empty()) return 0;
    std::sort(this->latencies_ms.begin(), this->latencies_ms.end());
    const auto last = static_cast<double>(this->latencies_ms.size() - 1);
    return this->latencies_ms.at(static_cast<std::size_t>(last * part));
  }
};

/// Chooses an upstream; one object for each daemon.
class Chooser {
 public:
  Chooser() = default;
  virtual ~Chooser() = default;
  Chooser(const Chooser&) = delete;
  Chooser& operator=(const Chooser&) = delete;
  virtual std::optional<UpstreamId> Choose(
      upstream::LoadBalancer& balancer, upstream::RequestPlacement& placement,
      const RouteName& route, const std::set<UpstreamId>& tried,
      MonotonicTime now) = 0;
};

using ChooserFactory =
    std::function<std::unique_ptr<Chooser>(std::uint64_t seed)>;

inline const ServiceName kService("service");

/// Runs all daemons and upstreams in steps of `kStep`. Arrivals, work and host
/// noise depend on the seed only, so that all choosers meet the same.
class SharedUpstreams {
 public:
  static constexpr milliseconds kStep{1};
  static constexpr std::chrono::seconds kEnd{26};
  static constexpr std::chrono::seconds kMeasureFrom{8};

  SharedUpstreams(const Deployment& shape, double load,
                  PlacementMode placement_mode, const ChooserFactory& factory,
                  std::uint64_t seed)
      : deployment(shape), random(seed) {
    this->MakeHosts();
    for (std::size_t i = 0; i < shape.daemons; ++i) {
      this->daemons.push_back(
          std::make_unique<Daemon>(i, placement_mode, factory(i + 1)));
      this->daemons.back()->balancer.SetUpstreams(this->entries, this->now);
      this->daemons.back()->next_report =
          this->now + shape.report_interval * static_cast<int>(i) /
                          static_cast<int>(shape.daemons);
    }
    this->MakeArrivals(load);
  }

  Outcome Run() {
    const MonotonicTime end = kStart + kEnd;
    std::size_t next = 0;
    for (; this->now < end; this->now += kStep) {
      this->StepHosts();
      while (next < this->arrivals.size() &&
             this->arrivals[next].at <= this->now) {
        const Arrival& arrival = this->arrivals[next];
        this->daemons[arrival.daemon]->waiting.push_back(next);
        ++next;
      }
      for (auto& daemon : this->daemons) this->StepDaemon(*daemon);
      this->Deliver();
    }
    return std::move(this->outcome);
  }

 private:
  /// Time limit of a request, in multiples of its target.
  static constexpr int kLimitInTargets = 3;
  static constexpr MonotonicTime kStart{std::chrono::seconds(100)};

  struct Arrival {
    MonotonicTime at;
    std::size_t daemon = 0;
    std::size_t kind = 0;
    Seconds work{0};
    std::set<UpstreamId> tried;
  };

  struct Daemon {
    Daemon(std::size_t index, PlacementMode mode,
           std::unique_ptr<Chooser> own_chooser)
        : id("d" + std::to_string(index)),
          balancer(FailureDomain("east"), index + 1),
          placement(mode, balancer),
          chooser(std::move(own_chooser)) {}

    DaemonId id;
    upstream::LoadBalancer balancer;
    upstream::RequestPlacement placement;
    std::unique_ptr<Chooser> chooser;
    std::deque<std::size_t> waiting;
    std::map<std::size_t, Seconds> mean_latency;
    MonotonicTime next_report;
    MonotonicTime next_try;
  };

  struct Work {
    std::size_t arrival = 0;
    Seconds left{0};
    MonotonicTime sent_at;
    bool is_contended = false;
  };

  struct Host {
    UpstreamId id;
    double speed = 1;
    double slowdown = 1;
    MonotonicTime next_draw;
    std::mt19937_64 random;
    std::vector<Work> running;
    std::deque<Work> waiting;
  };

  struct Told {
    MonotonicTime arrives_at;
    std::size_t sender = 0;
    std::vector<upstream::LoadToTell> loads;
  };

  void MakeHosts() {
    const std::vector<double>& speeds = this->deployment.speeds;
    for (std::size_t i = 0; i < this->deployment.upstreams; ++i) {
      Host host;
      host.id = UpstreamId("u" + std::to_string(i));
      host.speed = speeds[i % speeds.size()];
      host.random.seed(this->random());
      host.next_draw = kStart + this->deployment.noise_interval *
                                    static_cast<int>(i % 16) / 16;
      RegisteredUpstream entry;
      entry.run = {host.id, UpstreamLife(1)};
      entry.service = kService;
      entry.failure_domain = FailureDomain("east");
      entry.slots = this->deployment.slots;
      this->entries.push_back(entry);
      this->hosts.push_back(std::move(host));
    }
  }

  Seconds DrawWork(const Kind& kind) {
    std::normal_distribution<double> normal(0, kind.spread);
    const double unit =
        std::exp(normal(this->random) - kind.spread * kind.spread / 2);
    std::uniform_real_distribution<double> uniform(0, 1);
    const bool is_tail = uniform(this->random) < kind.tail_share;
    return kind.mean_work * unit * (is_tail ? kind.tail_factor : 1);
  }

  void MakeArrivals(double load) {
    double speed = 0;
    for (const Host& host : this->hosts) speed += host.speed;
    const double slow = this->deployment.slow_share;
    // Work per second that all slots do.
    const double capacity = speed * this->deployment.slots *
                            (1 - slow + slow / this->deployment.slow_factor);
    double rates = 0;
    Seconds mixed{0};
    std::vector<double> weights;
    for (const Kind& kind : this->deployment.kinds) {
      rates += kind.rate;
      mixed += kind.rate * kind.mean_work *
               (1 + kind.tail_share * (kind.tail_factor - 1));
      weights.push_back(kind.rate);
    }
    const double rate = load * capacity / (mixed / rates).count();
    std::exponential_distribution<double> gap(rate);
    std::discrete_distribution<std::size_t> kind_of(weights.begin(),
                                                    weights.end());
    MonotonicTime at = kStart;
    while (true) {
      at += std::chrono::duration_cast<std::chrono::nanoseconds>(
          Seconds(gap(this->random)));
      if (at >= kStart + kEnd) return;
      Arrival arrival;
      arrival.at = at;
      arrival.daemon = this->random() % this->deployment.daemons;
      arrival.kind = kind_of(this->random);
      arrival.work = this->DrawWork(this->deployment.kinds[arrival.kind]);
      this->arrivals.push_back(std::move(arrival));
    }
  }

  bool IsMeasured(const Arrival& arrival) const {
    // The last seconds are left out: their requests may not have ended.
    return arrival.at >= kStart + kMeasureFrom &&
           arrival.at < kStart + kEnd - std::chrono::seconds(4);
  }

  upstream::StatedLoad LoadOf(const Host& host) const {
    return {static_cast<std::uint32_t>(host.running.size()),
            static_cast<std::uint32_t>(host.waiting.size()),
            this->deployment.slots, host.slowdown};
  }

  void StepHosts() {
    for (Host& host : this->hosts) {
      if (this->now >= host.next_draw) {
        host.next_draw = this->now + this->deployment.noise_interval;
        std::uniform_real_distribution<double> uniform(0, 1);
        const bool is_slow = uniform(host.random) < this->deployment.slow_share;
        host.slowdown = is_slow ? this->deployment.slow_factor : 1;
      }
      const Seconds done = kStep * host.speed / host.slowdown;
      std::vector<Work> ended;
      for (Work& work : host.running) work.left -= done;
      std::erase_if(host.running, [&ended](const Work& work) {
        if (work.left > Seconds::zero()) return false;
        ended.push_back(work);
        return true;
      });
      while (!host.waiting.empty() &&
             host.running.size() < this->deployment.slots) {
        host.running.push_back(host.waiting.front());
        host.waiting.pop_front();
      }
      for (const Work& work : ended) this->OnAnswer(host, work);
    }
  }

  void OnAnswer(const Host& host, const Work& work) {
    const Arrival& arrival = this->arrivals[work.arrival];
    const Kind& kind = this->deployment.kinds[arrival.kind];
    const auto latency = this->now - work.sent_at;
    this->End(host, work, upstream::UpstreamOutcome::kAnswered, latency);
    if (!this->IsMeasured(arrival)) return;
    ++this->outcome.requests;
    const auto total = this->now - arrival.at;
    if (total <= kind.target) ++this->outcome.in_time;
    this->outcome.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(total).count());
  }

  /// Tells a daemon of the end as the router does.
  void End(const Host& host, const Work& work, upstream::UpstreamOutcome end,
           std::chrono::nanoseconds latency) {
    const Arrival& arrival = this->arrivals[work.arrival];
    Daemon& daemon = *this->daemons[arrival.daemon];
    const bool was_answered = end == upstream::UpstreamOutcome::kAnswered;
    std::optional<upstream::StatedLoad> load;
    if (this->deployment.states_load) load = this->LoadOf(host);
    daemon.placement.OnEnded(host.id, DispatchId(work.arrival), kService,
                             was_answered, load, this->now);
    Seconds& mean = daemon.mean_latency[arrival.kind];
    const auto known =
        std::chrono::duration_cast<std::chrono::nanoseconds>(mean);
    daemon.balancer.OnEnded(
        host.id, end, latency,
        work.is_contended ? std::chrono::nanoseconds(0) : known, this->now);
    daemon.next_try = this->now;
    if (!was_answered || work.is_contended) return;
    mean = mean.count() == 0 ? Seconds(latency)
                             : mean + 0.05 * (Seconds(latency) - mean);
  }

  void StepDaemon(Daemon& daemon) {
    if (this->now >= daemon.next_report) {
      daemon.next_report = this->now + this->deployment.report_interval;
      this->Report(daemon);
    }
    if (daemon.waiting.empty()) return;
    // New requests are tried at once, waiting ones when something ended.
    const bool has_new =
        this->arrivals[daemon.waiting.back()].at + kStep > this->now;
    if (!has_new && this->now < daemon.next_try) return;
    daemon.next_try = this->now + milliseconds(20);
    while (const auto place = this->NextWaiting(daemon)) {
      const std::size_t index = *place;
      Arrival& arrival = this->arrivals[index];
      const auto id = daemon.chooser->Choose(
          daemon.balancer, daemon.placement,
          this->deployment.kinds[arrival.kind].route, arrival.tried, this->now);
      if (!id) return;
      std::erase(daemon.waiting, index);
      this->Send(daemon, index, *id);
    }
  }

  /// Returns the oldest request that can still be answered in time, or the
  /// oldest of all. Drops those whose time limit has passed.
  std::optional<std::size_t> NextWaiting(Daemon& daemon) {
    std::erase_if(daemon.waiting, [this](std::size_t index) {
      const Arrival& arrival = this->arrivals[index];
      const Kind& kind = this->deployment.kinds[arrival.kind];
      if (this->now - arrival.at <= kind.target * kLimitInTargets) return false;
      if (this->IsMeasured(arrival)) ++this->outcome.requests;
      return true;
    });
    if (daemon.waiting.empty()) return std::nullopt;
    for (const std::size_t index : daemon.waiting) {
      const Arrival& arrival = this->arrivals[index];
      const Kind& kind = this->deployment.kinds[arrival.kind];
      if (this->now - arrival.at + 1.25 * daemon.mean_latency[arrival.kind] <=
          kind.target) {
        return index;
      }
    }
    return daemon.waiting.front();
  }

  void Send(Daemon& daemon, std::size_t index, const UpstreamId& id) {
    Arrival& arrival = this->arrivals[index];
    Host& host = this->hosts[std::stoul(id.value.substr(1))];
    const Work work{index, arrival.work, this->now,
                    daemon.balancer.IsContended(id, this->now)};
    daemon.balancer.OnSent(id, this->now);
    daemon.placement.OnSent(id, DispatchId(index), kService,
                            this->deployment.kinds[arrival.kind].route,
                            work.is_contended, this->now);
    if (host.running.size() < this->deployment.slots) {
      host.running.push_back(work);
      return;
    }
    if (host.waiting.size() < this->deployment.queue) {
      host.waiting.push_back(work);
      return;
    }
    arrival.tried.insert(id);
    this->End(host, work, upstream::UpstreamOutcome::kFull, {});
    daemon.waiting.push_front(index);
  }

  void Report(Daemon& daemon) {
    std::map<UpstreamId, std::uint32_t> in_flight;
    std::map<UpstreamId, double> ratios;
    for (const RegisteredUpstream& entry : this->entries) {
      const UpstreamId& id = entry.run.id;
      const std::uint32_t own = daemon.balancer.OwnInFlight(id);
      const double ratio = daemon.balancer.TakeUpdatedLatencyRatio(id);
      if (own > 0) in_flight[id] = own;
      if (ratio > 0) ratios[id] = ratio;
    }
    for (auto& other : this->daemons) {
      if (other.get() == &daemon) continue;
      other->balancer.SetPeerLoad(daemon.id, in_flight, this->now);
      for (const auto& [id, ratio] : ratios) {
        other->placement.OnLatencyRatioTold(id, ratio);
      }
      other->next_try = this->now;
    }
    ++this->outcome.reports;
    auto loads = daemon.placement.TakeLoadsToTell(this->now);
    this->outcome.statements += loads.size();
    if (!this->deployment.tells_statements || loads.empty()) return;
    const auto sender =
        static_cast<std::size_t>(std::stoul(daemon.id.value.substr(1)));
    this->told.push_back({this->now + this->deployment.statement_delay, sender,
                          std::move(loads)});
  }

  void Deliver() {
    while (!this->told.empty() && this->told.front().arrives_at <= this->now) {
      const Told& message = this->told.front();
      for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (i == message.sender) continue;
        for (const upstream::LoadToTell& load : message.loads) {
          this->daemons[i]->placement.OnLoadTold(
              load.upstream, load.load,
              load.age + this->deployment.statement_delay, this->now);
        }
      }
      this->told.pop_front();
    }
  }

  const Deployment& deployment;
  std::mt19937_64 random;
  MonotonicTime now = kStart;
  std::vector<RegisteredUpstream> entries;
  std::vector<Host> hosts;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Arrival> arrivals;
  std::deque<Told> told;
  Outcome outcome;
};

}  // namespace bamboorack::bench

#endif  // BAMBOORACK_BENCHMARKS_SHARED_UPSTREAMS_MODEL_H_
