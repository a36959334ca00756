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

/// A count of requests, possibly fractional, for each rank.
using RankCounts = std::array<double, kRankCount>;

/// Predicts the queueing time of a further request to one upstream from the
/// requests that this daemon has sent. The subclasses implement the prediction
/// model.
class ServiceTimeEstimator {
 public:
  ServiceTimeEstimator() = default;
  virtual ~ServiceTimeEstimator() = default;
  ServiceTimeEstimator(const ServiceTimeEstimator&) = delete;
  ServiceTimeEstimator& operator=(const ServiceTimeEstimator&) = delete;

  void OnStart(DispatchId id, Rank rank, MonotonicTime now);
  /// `was_answered` is false for a request that was shed, lost or cancelled,
  /// whose duration is not a service time.
  void OnEnd(DispatchId id, bool was_answered, MonotonicTime now);

  /// Returns the number of requests in flight.
  std::size_t Active() const { return this->started.size(); }
  std::size_t Active(Rank rank) const {
    return this->active_of_rank.at(IndexOf(rank));
  }
  /// Returns the smoothed response time of `rank`, or that of all ranks before
  /// its first answer; 0 before any answer.
  std::chrono::nanoseconds ServiceTime(Rank rank) const;
  /// Returns the predicted time until a request starts if `ahead` requests of
  /// each rank are queued before it and `limit` requests may be in flight.
  std::chrono::nanoseconds PredictStart(const RankCounts& ahead,
                                        std::uint32_t limit) const;

 protected:
  using Seconds = std::chrono::duration<double>;

  /// Returns the time until the request starts.
  virtual Seconds Predict(const RankCounts& ahead,
                          std::uint32_t limit) const = 0;
  /// Records one answer: its response time and the number of answers that
  /// arrived during that time, including this one.
  virtual void RecordAnswer(Seconds response, double answers) = 0;
  /// Returns the smoothed response time of one request of `rank`.
  Seconds ServiceSeconds(Rank rank) const;
  Seconds OverallServiceSeconds() const { return this->smoothed_time; }

 private:
  struct Start {
    MonotonicTime at;
    Rank rank = Rank::kLookup;
    std::uint64_t completed_before = 0;
  };

  std::unordered_map<DispatchId, Start> started;
  std::uint64_t completed = 0;
  Seconds smoothed_time{0.0};
  std::array<Seconds, kRankCount> smoothed_time_of_rank{};
  std::array<std::size_t, kRankCount> active_of_rank{};
};

/// Predicts the start as the sum over all ranks of smoothed service time times
/// the requests ahead, divided by the concurrency limit.
class SmoothedServiceTime final : public ServiceTimeEstimator {
 protected:
  Seconds Predict(const RankCounts& ahead, std::uint32_t limit) const override;
  void RecordAnswer(Seconds response, double answers) override;
};

/// Predicts the response time as smoothed load per request times the requests
/// ahead, including this one. The load of an answered request is its response
/// time divided by the number of answers during that time. Independent of the
/// upstream's slots; does not distinguish ranks.
class LoadPerRequest final : public ServiceTimeEstimator {
 protected:
  Seconds Predict(const RankCounts& ahead, std::uint32_t limit) const override;
  void RecordAnswer(Seconds response, double answers) override;

 private:
  Seconds load_per_request{0.0};
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_SERVICE_TIME_ESTIMATOR_H_
