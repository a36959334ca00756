#ifndef BAMBOORACK_BENCHMARKS_OVERLOAD_POLICIES_H_
#define BAMBOORACK_BENCHMARKS_OVERLOAD_POLICIES_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboorack/core/config.h"
#include "bamboorack/upstream/concurrency_limit.h"
#include "bamboorack/upstream/dispatch_queue.h"
#include "bamboorack/upstream/service_time_estimator.h"
#include "overload_model.h"

namespace bamboorack::bench {

/// The decision code of the daemon.
template <typename Estimator>
class AuthorityPolicy : public Policy {
 public:
  explicit AuthorityPolicy(std::uint32_t slot_count)
      : slots(slot_count),
        queue(ServiceRules().floors, ServiceRules().queue_limit),
        limit(slot_count),
        estimator(std::make_unique<Estimator>()) {}

  bool Offer(const Item& item, MonotonicTime now) override {
    return this->queue
        .Push({upstream::WorkId(item.id), item.rank, item.deadline},
              *this->estimator, this->limit.Current(), now)
        .has_value();
  }

  std::optional<std::uint64_t> Next(MonotonicTime now) override {
    std::vector<upstream::DroppedWork> dropped = this->queue.RemoveExpired(now);
    const auto work =
        this->queue.Pop(*this->estimator, this->limit.Current(), now, dropped);
    if (!work) return std::nullopt;
    this->estimator->OnStart(DispatchId(work->id.value), work->rank, now);
    this->sent[work->id.value] = now;
    return work->id.value;
  }

  void OnEnd(const Item& item, bool was_shed, MonotonicTime now) override {
    const auto found = this->sent.find(item.id);
    if (found == this->sent.end()) return;
    const MonotonicTime at = found->second;
    this->sent.erase(found);
    const bool is_late = now >= item.deadline;
    this->estimator->OnEnd(DispatchId(item.id), !was_shed && !is_late, now);
    if (was_shed) this->limit.OnShed(at, now);
    if (is_late && !was_shed) this->limit.OnTimeout(item.rank, at, now);
    if (!was_shed && !is_late) this->limit.OnAnswer(item.rank, at, now);
  }

  void OnDaemonLost(std::uint32_t /*index*/, bool was_authority) override {
    if (!was_authority) return;
    this->queue.RemoveIf([](const upstream::QueuedWork&) { return true; });
    this->limit = upstream::ConcurrencyLimit(this->slots);
    this->estimator = std::make_unique<Estimator>();
    this->sent.clear();
  }

 private:
  std::uint32_t slots;
  upstream::DispatchQueue queue;
  upstream::ConcurrencyLimit limit;
  std::unique_ptr<upstream::ServiceTimeEstimator> estimator;
  std::unordered_map<std::uint64_t, MonotonicTime> sent;
};

/// Lines without floors and early refusal; expired work is not sent.
class PlainLines : public Policy {
 public:
  /// `is_ranked` gives each rank its own line, the most urgent first.
  PlainLines(std::uint32_t slot_count, bool ranked)
      : slots(slot_count), is_ranked(ranked) {}

  bool Offer(const Item& item, MonotonicTime /*now*/) override {
    std::deque<Item>& line = this->LineOf(item);
    const std::size_t limit =
        ServiceRules().queue_limit * (this->is_ranked ? 1 : kRankCount);
    if (line.size() >= limit) return false;
    line.push_back(item);
    return true;
  }

  std::optional<std::uint64_t> Next(MonotonicTime now) override {
    if (this->in_flight >= this->slots) return std::nullopt;
    for (std::deque<Item>& line : this->lines) {
      while (!line.empty() && line.front().deadline <= now) line.pop_front();
      if (line.empty()) continue;
      const std::uint64_t id = line.front().id;
      line.pop_front();
      ++this->in_flight;
      return id;
    }
    return std::nullopt;
  }

  void OnEnd(const Item& /*item*/, bool /*was_shed*/,
             MonotonicTime /*now*/) override {
    if (this->in_flight > 0) --this->in_flight;
  }

  void OnDaemonLost(std::uint32_t /*index*/, bool was_authority) override {
    if (!was_authority) return;
    for (std::deque<Item>& line : this->lines) line.clear();
    this->in_flight = 0;
  }

 private:
  std::deque<Item>& LineOf(const Item& item) {
    return this->lines.at(this->is_ranked ? IndexOf(item.rank) : 0);
  }

  std::uint32_t slots;
  bool is_ranked;
  std::array<std::deque<Item>, kRankCount> lines;
  std::uint32_t in_flight = 0;
};

/// Each daemon dispatches what it receives, with its own share of the slots:
/// at least one, because a daemon without a slot could not serve at all.
class DirectShares : public Policy {
 public:
  explicit DirectShares(const Cluster& cluster) {
    for (std::uint32_t i = 0; i < cluster.daemons; ++i) {
      const std::uint32_t share = cluster.slots / cluster.daemons +
                                  (i < cluster.slots % cluster.daemons ? 1 : 0);
      this->shares.push_back(
          std::make_unique<AuthorityPolicy<upstream::SmoothedServiceTime>>(
              std::max(share, 1U)));
    }
  }

  bool Offer(const Item& item, MonotonicTime now) override {
    return this->shares[item.daemon]->Offer(item, now);
  }

  std::optional<std::uint64_t> Next(MonotonicTime now) override {
    // A different daemon begins each time, so that none is preferred.
    ++this->first;
    for (std::size_t i = 0; i < this->shares.size(); ++i) {
      const std::size_t index = (this->first + i) % this->shares.size();
      if (const auto id = this->shares[index]->Next(now)) return id;
    }
    return std::nullopt;
  }

  void OnEnd(const Item& item, bool was_shed, MonotonicTime now) override {
    this->shares[item.daemon]->OnEnd(item, was_shed, now);
  }

  void OnDaemonLost(std::uint32_t index, bool /*was_authority*/) override {
    this->shares[index]->OnDaemonLost(index, true);
  }

  bool IsDirect() const override { return true; }

 private:
  std::vector<std::unique_ptr<Policy>> shares;
  std::size_t first = 0;
};

struct NamedPolicy {
  std::string_view name;
  PolicyFactory make;
};

inline std::vector<NamedPolicy> AllPolicies() {
  using Smoothed = AuthorityPolicy<upstream::SmoothedServiceTime>;
  using Load = AuthorityPolicy<upstream::LoadPerRequest>;
  return {
      {"authority",
       [](const Cluster& c) { return std::make_unique<Smoothed>(c.slots); }},
      {"  load/req",
       [](const Cluster& c) { return std::make_unique<Load>(c.slots); }},
      {"fcfs",
       [](const Cluster& c) {
         return std::make_unique<PlainLines>(c.slots, false);
       }},
      {"strict",
       [](const Cluster& c) {
         return std::make_unique<PlainLines>(c.slots, true);
       }},
      {"direct",
       [](const Cluster& c) { return std::make_unique<DirectShares>(c); }},
  };
}

}  // namespace bamboorack::bench

#endif  // BAMBOORACK_BENCHMARKS_OVERLOAD_POLICIES_H_
