#ifndef BAMBOORACK_CORE_METRICS_H_
#define BAMBOORACK_CORE_METRICS_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "bamboorack/core/rank.h"
#include "bamboorack/core/reason.h"
#include "bamboorack/core/request.h"

namespace bamboorack {

/// The counters and latency histograms of one daemon. Any thread may add.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a request refused for `reason`.
  void CountRefusal(Reason reason);
  /// Counts a retry for `reason`.
  void CountRetry(Reason reason);
  /// Counts an event that is neither a refusal nor a retry. `name` is in
  /// `snake_case` and becomes `bamboorack_<name>_total`.
  void Count(std::string_view name, std::uint64_t amount = 1);
  /// Sets a value that may go down; becomes `bamboorack_<name>`. The name may
  /// end with labels: `name{label="value"}`.
  void SetGauge(std::string_view name, double value);
  /// Adds a gauge whose value is read for each `ToPrometheusText`, by any
  /// thread. `source` must stay valid as long as this object.
  void AddGauge(std::string name, std::function<double()> source);
  /// Adds one answered request to the histogram of its rank and ending.
  void ObserveLatency(Rank rank, Ending ending,
                      std::chrono::nanoseconds latency);

  std::uint64_t Refusals(Reason reason) const;
  std::uint64_t Retries(Reason reason) const;
  std::uint64_t CountOf(std::string_view name) const;
  /// Returns the latency below which the share `quantile` (0 to 1) of the
  /// answers with `rank` and `ending` lie; 0 if there are none.
  std::chrono::nanoseconds LatencyQuantile(Rank rank, Ending ending,
                                           double quantile) const;
  /// Returns everything in the text format that Prometheus reads.
  std::string ToPrometheusText() const;

 private:
  struct Histograms;

  void WriteSeriesLocked(Rank rank, Ending ending, std::ostream& out) const;

  std::array<std::atomic<std::uint64_t>, kReasonCount> refusals{};
  std::array<std::atomic<std::uint64_t>, kReasonCount> retries{};
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, std::function<double()>> gauge_sources;
  std::unique_ptr<Histograms> histograms;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_METRICS_H_
