#ifndef BAMBOORACK_UPSTREAM_COST_MODEL_H_
#define BAMBOORACK_UPSTREAM_COST_MODEL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "bamboorack/core/desired_state.h"
#include "bamboorack/core/ids.h"

namespace bamboorack::upstream {

/// An amount of work: the time that it takes on an upstream of ordinary speed
/// whose host is not slowed.
using Work = std::chrono::duration<double>;

/// The distribution of the work of similar requests, learned from answers.
///
/// A histogram with logarithmic buckets whose weights decay, so that it follows
/// a change within a few hundred answers. Single requests that cost many times
/// the mean move it only by their share.
class WorkDistribution {
 public:
  void Add(Work work);
  /// The expected work of a new request.
  Work Mean() const { return this->mean; }
  /// The expected remaining work of a request that has had `done` so far and
  /// has not ended. Grows with `done` if a few requests cost several times the
  /// mean.
  Work MeanRest(Work done) const;
  /// The expected remaining work of a request of unknown age that runs.
  Work MeanRestOfRunning() const { return this->rest_of_running; }
  /// The number of answers since the start.
  std::uint64_t Count() const { return this->count; }

 private:
  static constexpr int kBucketsPerDoubling = 4;
  static constexpr std::size_t kBuckets = 72;

  struct Bucket {
    double weight = 0;
    Work sum{0};
  };

  static std::size_t IndexOf(Work work);
  void Halve();
  void UpdateSums();

  std::array<Bucket, kBuckets> buckets{};
  /// Sums over each bucket and all above it.
  std::array<Bucket, kBuckets + 1> at_least{};
  Work mean = kInitialWork;
  Work rest_of_running = kInitialWork;
  std::uint64_t count = 0;

  /// Estimate before the first answer.
  static constexpr std::chrono::milliseconds kInitialWork{120};
};

/// What requests cost, for each route and over all routes of a service.
class CostModel {
 public:
  /// Identifies a distribution; valid for the life of the model.
  using Index = std::size_t;

  /// Returns the distribution of a route at a service, which may be new.
  Index Find(const ServiceName& service, const RouteName& route);
  /// Returns the distribution over all routes of a service.
  Index FindService(const ServiceName& service) {
    return this->Find(service, RouteName());
  }
  const WorkDistribution& At(Index index) const {
    return this->distributions.at(index);
  }
  void Add(Index index, Work work) { this->distributions.at(index).Add(work); }

 private:
  std::map<ServiceName, std::map<RouteName, Index>> indices;
  std::vector<WorkDistribution> distributions;
};

/// How much slower than others an upstream does the same work, learned from
/// the answers that this daemon got and from what the other daemons report. 1
/// is ordinary.
///
/// Kept apart from what requests cost: an answer counts as its ratio to the
/// mean cost of its route, so that costly requests do not make an upstream look
/// slow, and the cost of a route is learned from latencies divided by this
/// slowness, so that a slow upstream does not make its requests look costly.
/// Both would still drift together, since only their product is measured;
/// therefore the estimate always leans towards 1.
class LearnedSlowness {
 public:
  /// `ratio` is the work of an answered request, measured as if the upstream
  /// had ordinary speed, divided by the mean work of such requests.
  void AddAnswer(double ratio);
  /// `ratio` is the mean latency ratio that another daemon reported.
  void AddReport(double ratio);
  double Value() const;

 private:
  struct Average {
    double value = 1;
    double count = 0;

    void Add(double sample, double max_count);
  };

  Average answers;
  Average reports;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_COST_MODEL_H_
