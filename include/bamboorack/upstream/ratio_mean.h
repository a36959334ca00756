#ifndef BAMBOORACK_UPSTREAM_RATIO_MEAN_H_
#define BAMBOORACK_UPSTREAM_RATIO_MEAN_H_

#include <cmath>
#include <cstdint>

namespace bamboorack::upstream {

/// The geometric mean of ratios since it was last taken. Of two ratios 1/3 and
/// 3 it is 1, as for any that scatter evenly in both directions.
class RatioMean {
 public:
  /// `ratio` must be positive.
  void Add(double ratio) {
    this->log_sum += std::log(ratio);
    ++this->count;
  }

  /// Returns the mean and starts anew; 0 if nothing was added.
  double Take() {
    if (this->count == 0) return 0;
    const double mean = std::exp(this->log_sum / this->count);
    *this = RatioMean();
    return mean;
  }

 private:
  double log_sum = 0;
  std::uint32_t count = 0;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_RATIO_MEAN_H_
