#ifndef BAMBOORACK_UPSTREAM_SPEED_ESTIMATOR_H_
#define BAMBOORACK_UPSTREAM_SPEED_ESTIMATOR_H_

#include <cstddef>
#include <map>
#include <vector>

#include "bamboorack/core/time.h"
#include "bamboorack/core/upstream_registry.h"
#include "bamboorack/core/upstream_run.h"

namespace bamboorack::upstream {

/// Learns how fast each run of an upstream is, from the ratios of its latencies
/// to those of similar requests elsewhere that all daemons report.
///
/// Load pattern: single ratios scatter by a factor of three, since the work of
/// requests differs; an upstream turns several times slower within a second;
/// an upstream that is always full has no more ratios to report, and is not
/// taken for an average one then.
///
/// Works on logarithms. A mean over a longer window is replaced by that of a
/// short one as soon as the two differ by more than chance explains.
class SpeedEstimator {
 public:
  /// Adds the mean ratio of one or a few answers. Ratios that are not positive
  /// are ignored.
  void Add(const UpstreamRun& run, double latency_ratio, MonotonicTime now);
  /// Forgets all runs that are not listed.
  void Retain(const std::vector<RegisteredUpstream>& listed);
  /// Returns the speed of a run: 1 before its first sample, twice that if
  /// requests take half as long. Comparable within one service only.
  double SpeedOf(const UpstreamRun& run) const;
  std::size_t RunCount() const { return this->samples.size(); }

 private:
  /// Decayed sums over the logarithms of ratios.
  struct LogMean {
    double weight = 0;
    double sum = 0;
    double squares = 0;
    /// Sum of the squared weights.
    double weight_squares = 0;

    void Decay(double factor);
    void Add(double value);
    /// Returns the sums less those of a part. The part's samples must weigh no
    /// more than here; `weight_squares` is not valid then.
    LogMean Without(const LogMean& part) const;
    double Mean() const;
    double Variance() const;
  };

  struct Samples {
    LogMean settled;
    LogMean recent;
    MonotonicTime updated_at;
  };

  static Samples NewSamples(MonotonicTime now);

  std::map<UpstreamRun, Samples> samples;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_SPEED_ESTIMATOR_H_
