#include "bamboorack/upstream/cost_model.h"

#include <algorithm>
#include <cmath>

namespace bamboorack::upstream {
namespace {

// Lower end of the second bucket; the first holds all shorter work.
constexpr Work kFirstBound{0.001};
// After this many answers all weights are halved.
constexpr std::uint64_t kAnswersPerHalving = 256;
// An answer counts as at most this many times the mean, so that a request that
// was held up elsewhere does not dominate the distribution.
constexpr double kMaxTimesMean = 20;
constexpr std::uint64_t kMinCountForMaximum = 20;
// Weight of the assumption that the remaining work does not depend on the age.
// It matters only where few requests lasted as long.
constexpr double kPriorWeight = 1;

constexpr double kMinRatio = 0.1;
// A few requests cost several times the mean at any upstream.
constexpr double kMaxRatio = 4;
// Weight of the assumption that an upstream has ordinary speed.
constexpr double kOrdinaryWeight = 8;
constexpr double kMaxAnswers = 30;
// A report has the geometric mean of one or a few answers of its sender.
constexpr double kMaxReports = 60;

}  // namespace

std::size_t WorkDistribution::IndexOf(Work work) {
  if (work < kFirstBound) return 0;
  const double doublings = std::log2(work / kFirstBound);
  const auto index =
      static_cast<std::size_t>(doublings * kBucketsPerDoubling) + 1;
  return std::min(index, kBuckets - 1);
}

void WorkDistribution::Add(Work work) {
  work = std::max(work, Work::zero());
  if (this->count >= kMinCountForMaximum) {
    work = std::min(work, this->mean * kMaxTimesMean);
  }
  ++this->count;
  Bucket& bucket = this->buckets.at(IndexOf(work));
  bucket.weight += 1;
  bucket.sum += work;
  if (this->count % kAnswersPerHalving == 0) this->Halve();
  this->UpdateSums();
}

void WorkDistribution::Halve() {
  for (Bucket& bucket : this->buckets) {
    bucket.weight /= 2;
    bucket.sum /= 2;
  }
}

void WorkDistribution::UpdateSums() {
  Bucket above;
  double squares = 0;
  for (std::size_t i = kBuckets; i-- > 0;) {
    const Bucket& bucket = this->buckets.at(i);
    above.weight += bucket.weight;
    above.sum += bucket.sum;
    this->at_least.at(i) = above;
    if (bucket.weight > 0) {
      squares += bucket.sum.count() * bucket.sum.count() / bucket.weight;
    }
  }
  this->mean = above.sum / above.weight;
  // A running request is found in proportion to its length, on average in its
  // middle.
  this->rest_of_running = above.sum > Work::zero()
                              ? Work(squares / above.sum.count() / 2)
                              : this->mean;
}

Work WorkDistribution::MeanRest(Work done) const {
  if (done <= Work::zero()) return this->mean;
  const Bucket& longer = this->at_least.at(IndexOf(done) + 1);
  const Work rest = longer.sum - longer.weight * done;
  return (rest + kPriorWeight * this->mean) / (longer.weight + kPriorWeight);
}

CostModel::Index CostModel::Find(const ServiceName& service,
                                 const RouteName& route) {
  const auto [found, is_new] =
      this->indices[service].try_emplace(route, this->distributions.size());
  if (is_new) this->distributions.emplace_back();
  return found->second;
}

void LearnedSlowness::Average::Add(double sample, double max_count) {
  this->count = std::min(this->count + 1, max_count);
  this->value +=
      (std::clamp(sample, kMinRatio, kMaxRatio) - this->value) / this->count;
}

void LearnedSlowness::AddAnswer(double ratio) {
  this->answers.Add(ratio, kMaxAnswers);
}

void LearnedSlowness::AddReport(double ratio) {
  this->reports.Add(ratio, kMaxReports);
}

double LearnedSlowness::Value() const {
  const double weight =
      kOrdinaryWeight + this->answers.count + this->reports.count;
  return (kOrdinaryWeight + this->answers.count * this->answers.value +
          this->reports.count * this->reports.value) /
         weight;
}

}  // namespace bamboorack::upstream
