#ifndef BAMBOORACK_UPSTREAM_SERVICE_TIME_ESTIMATOR_H_
#define BAMBOORACK_UPSTREAM_SERVICE_TIME_ESTIMATOR_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/rank.h"
#include "bamboorack/core/time.h"

namespace bamboorack::upstream {

/// A number of requests, or a share of them, for each rank.
using RankCounts = std::array<double, kRankCount>;

/// Predicts, from what this daemon itself observes, when one upstream would
/// answer a further request. The subclasses differ in the prediction.
class ServiceTimeEstimator {
 public:
  ServiceTimeEstimator() = default;
  virtual ~ServiceTimeEstimator() = default;
  ServiceTimeEstimator(const ServiceTimeEstimator&) = delete;
  ServiceTimeEstimator& operator=(const ServiceTimeEstimator&) = delete;

  void OnStart(DispatchId id, Rank rank, MonotonicTime now);
  /// `was_answered` is false for a request that was shed, lost or cancelled:
  /// its time says nothing about the next one.
  void OnEnd(DispatchId id, bool was_answered, MonotonicTime now);

  /// Returns the number of requests in flight.
  std::size_t Active() const { return this->started.size(); }
  std::size_t Active(Rank rank) const { return this->active.at(IndexOf(rank)); }
  /// Returns the smoothed response time of `rank`, or that of all ranks before
  /// its first answer; 0 before any answer.
  std::chrono::nanoseconds ServiceTime(Rank rank) const;
  /// Returns the predicted time until a request starts that `ahead` queued
  /// requests of each rank precede, if `limit` requests may be in flight.
  std::chrono::nanoseconds PredictStart(const RankCounts& ahead,
                                        std::uint32_t limit) const;

 protected:
  using Seconds = std::chrono::duration<double>;

  /// Returns the time until the start.
  virtual Seconds Predict(const RankCounts& ahead,
                          std::uint32_t limit) const = 0;
  /// Takes one answer: its response time, and the answers that came meanwhile,
  /// its own included.
  virtual void Learn(Seconds response, double answers) = 0;
  /// Returns the smoothed response time of one request of `rank`.
  Seconds TimeOf(Rank rank) const;
  Seconds TimeOfAny() const { return this->smoothed; }

 private:
  struct Start {
    MonotonicTime at;
    Rank rank = Rank::kLookup;
    std::uint64_t completed_before = 0;
  };

  std::unordered_map<DispatchId, Start> started;
  std::uint64_t completed = 0;
  Seconds smoothed{0.0};
  std::array<Seconds, kRankCount> rank_smoothed{};
  std::array<std::size_t, kRankCount> active{};
};

/// Smoothed service time of each rank, times the requests of that rank before
/// this one, shared by the requests that may be in flight.
class SmoothedServiceTime final : public ServiceTimeEstimator {
 protected:
  Seconds Predict(const RankCounts& ahead, std::uint32_t limit) const override;
  void Learn(Seconds response, double answers) override;
};

/// Predicts the response as smoothed load for each request, times the requests
/// before this one and itself. The load of an answered request is its response
/// time divided by the answers that came meanwhile. It needs no knowledge of
/// the upstream's slots, and knows no ranks.
class LoadPerRequest final : public ServiceTimeEstimator {
 protected:
  Seconds Predict(const RankCounts& ahead, std::uint32_t limit) const override;
  void Learn(Seconds response, double answers) override;

 private:
  Seconds load{0.0};
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_SERVICE_TIME_ESTIMATOR_H_
