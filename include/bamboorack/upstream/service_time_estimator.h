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

/// Predicts, from what this daemon itself observes, when one upstream would
/// answer a further request. The subclasses differ in the prediction.
class ServiceTimeEstimator {
 public:
  ServiceTimeEstimator() = default;
  virtual ~ServiceTimeEstimator() = default;
  ServiceTimeEstimator(const ServiceTimeEstimator&) = delete;
  ServiceTimeEstimator& operator=(const ServiceTimeEstimator&) = delete;

  void OnStart(DispatchId id, MonotonicTime now);
  /// `was_answered` is false for a request that was shed, lost or cancelled:
  /// its time says nothing about the next one.
  void OnEnd(DispatchId id, Rank rank, bool was_answered, MonotonicTime now);

  /// Returns the number of requests in flight.
  std::size_t Active() const { return this->started.size(); }
  /// Returns the smoothed response time of `rank`; 0 before the first answer.
  std::chrono::nanoseconds ServiceTime(Rank rank) const;
  /// Returns the predicted time until a request starts that `ahead` queued
  /// requests precede, if `limit` requests may be in flight.
  std::chrono::nanoseconds PredictStart(double ahead,
                                        std::uint32_t limit) const;

 protected:
  /// Returns seconds until an answer, over all ranks.
  virtual double PredictResponse(double ahead, std::uint32_t limit) const = 0;
  /// Takes one answer: its seconds, and the answers that came meanwhile, its
  /// own included.
  virtual void Learn(double seconds, double answers) = 0;

 private:
  struct Start {
    MonotonicTime at;
    std::uint64_t completed_before = 0;
  };

  std::unordered_map<DispatchId, Start> started;
  std::uint64_t completed = 0;
  double smoothed_seconds = 0.0;
  std::array<double, kRankCount> rank_seconds{};
};

/// Smoothed service time, times the requests before this one, shared by the
/// requests that may be in flight.
class SmoothedServiceTime final : public ServiceTimeEstimator {
 protected:
  double PredictResponse(double ahead, std::uint32_t limit) const override;
  void Learn(double seconds, double answers) override;

 private:
  double service_seconds = 0.0;
};

/// Smoothed load for each request, times the active requests and this one. The
/// load of an answered request is its response time divided by the answers
/// that came meanwhile. It needs no knowledge of the upstream's slots.
class LoadPerRequest final : public ServiceTimeEstimator {
 protected:
  double PredictResponse(double ahead, std::uint32_t limit) const override;
  void Learn(double seconds, double answers) override;

 private:
  double load_seconds = 0.0;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_SERVICE_TIME_ESTIMATOR_H_
