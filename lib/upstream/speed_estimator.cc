#include "bamboorack/upstream/speed_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>

namespace bamboorack::upstream {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds kSettledHalfLife{8};
constexpr Seconds kRecentHalfLife{0.7};
// Between two samples the settled mean loses no more weight than in this time,
// so that an upstream without samples keeps its speed.
constexpr Seconds kMaxSettledGap{2};
// A new run counts as having this many samples of the ratio 1.
constexpr double kPriorSamples = 4;
constexpr double kPriorVariance = 1;
// A sample counts as at most e^2 times the mean so far, or a part of that.
constexpr double kMaxDeviation = 2;
constexpr double kMinVariance = 0.04;
// The speed has changed if the means differ by this many standard deviations.
constexpr double kSignificance = 4;
constexpr double kMinSamplesBefore = 2;
// What the samples up to a change still weigh after it.
constexpr double kWeightAfterChange = 0.25;

double DecayFactor(Seconds elapsed, Seconds half_life) {
  return std::exp2(-elapsed / half_life);
}

}  // namespace

void SpeedEstimator::LogMean::Decay(double factor) {
  this->weight *= factor;
  this->sum *= factor;
  this->squares *= factor;
  this->weight_squares *= factor * factor;
}

void SpeedEstimator::LogMean::Add(double value) {
  this->weight += 1;
  this->sum += value;
  this->squares += value * value;
  this->weight_squares += 1;
}

SpeedEstimator::LogMean SpeedEstimator::LogMean::Without(
    const LogMean& part) const {
  LogMean rest = *this;
  rest.weight -= part.weight;
  rest.sum -= part.sum;
  rest.squares -= part.squares;
  return rest;
}

double SpeedEstimator::LogMean::Mean() const {
  return this->weight > 0 ? this->sum / this->weight : 0;
}

double SpeedEstimator::LogMean::Variance() const {
  if (this->weight <= 0) return kPriorVariance;
  const double mean = this->Mean();
  return std::max(kMinVariance, this->squares / this->weight - mean * mean);
}

SpeedEstimator::Samples SpeedEstimator::NewSamples(MonotonicTime now) {
  Samples row;
  row.settled.weight = kPriorSamples;
  row.settled.squares = kPriorSamples * kPriorVariance;
  row.settled.weight_squares = kPriorSamples;
  row.updated_at = now;
  return row;
}

void SpeedEstimator::Add(const UpstreamRun& run, double latency_ratio,
                         MonotonicTime now) {
  if (!(latency_ratio > 0)) return;
  Samples& row = this->samples.try_emplace(run, NewSamples(now)).first->second;
  const Seconds elapsed = std::max(Seconds(0), Seconds(now - row.updated_at));
  row.updated_at = now;
  row.settled.Decay(
      DecayFactor(std::min(elapsed, kMaxSettledGap), kSettledHalfLife));
  row.recent.Decay(DecayFactor(elapsed, kRecentHalfLife));
  const double mean = row.settled.Mean();
  const double value = std::clamp(std::log(latency_ratio), mean - kMaxDeviation,
                                  mean + kMaxDeviation);
  row.settled.Add(value);
  row.recent.Add(value);
  // Recent samples would hide their own difference.
  const LogMean before = row.settled.Without(row.recent);
  if (before.weight < kMinSamplesBefore) return;
  const double deviation =
      std::sqrt(before.Variance() * row.recent.weight_squares) /
      row.recent.weight;
  const double change = std::abs(row.recent.Mean() - before.Mean());
  if (change < kSignificance * deviation) return;
  // Part of the recent samples are from before the change.
  row.recent.Decay(kWeightAfterChange);
  row.settled = row.recent;
}

void SpeedEstimator::Retain(const std::vector<RegisteredUpstream>& listed) {
  std::set<UpstreamRun> runs;
  for (const RegisteredUpstream& entry : listed) runs.insert(entry.run);
  std::erase_if(this->samples, [&runs](const auto& item) {
    return !runs.contains(item.first);
  });
}

double SpeedEstimator::SpeedOf(const UpstreamRun& run) const {
  const auto found = this->samples.find(run);
  if (found == this->samples.end()) return 1;
  return std::exp(-found->second.settled.Mean());
}

}  // namespace bamboorack::upstream
