#include "bamboorack/core/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>
#include <utility>
#include <vector>

namespace bamboorack {
namespace {

// Ten bins for each decade from 10 us to 1,000 s keep the error of a quantile
// below 26 %.
constexpr unsigned kBins = 80;
constexpr double kLowestMicroseconds = 10.0;
constexpr double kHighestMicroseconds = 1e9;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto MakeHistogram() {
  // Boost 1.74 with GCC 12 loops forever when its default adaptive storage is
  // read at -O2, so counts are kept in a plain vector.
  return boost::histogram::make_histogram_with(
      std::vector<std::uint64_t>(),
      LogAxis(kBins, kLowestMicroseconds, kHighestMicroseconds));
}

using Histogram = decltype(MakeHistogram());

std::chrono::duration<double, std::micro> UpperEdge(const Histogram& series,
                                                    int bin) {
  return std::chrono::duration<double, std::micro>(
      series.axis().bin(bin).upper());
}

std::size_t SeriesIndex(Rank rank, Ending ending) {
  return IndexOf(rank) * kEndingNames.size() + static_cast<std::size_t>(ending);
}

/// Writes one gauge. Series of one name with different labels follow each other
/// and have one line for their type; `last_name` is the name before.
void WriteGauge(const std::string& series, double value, std::string& last_name,
                std::ostream& out) {
  const std::string name = series.substr(0, series.find('{'));
  if (name != last_name) {
    out << "# TYPE bamboorack_" << name << " gauge\n";
    last_name = name;
  }
  out << "bamboorack_" << series << ' ' << value << '\n';
}

}  // namespace

struct Metrics::Histograms {
  std::vector<Histogram> series;
  std::vector<double> sum_seconds;
  std::vector<std::uint64_t> count;

  Histograms() {
    const std::size_t total = kRankCount * kEndingNames.size();
    this->series.assign(total, MakeHistogram());
    this->sum_seconds.assign(total, 0.0);
    this->count.assign(total, 0);
  }
};

Metrics::Metrics() : histograms(std::make_unique<Histograms>()) {}
Metrics::~Metrics() = default;

void Metrics::CountRefusal(Reason reason) {
  this->refusals.at(static_cast<std::size_t>(reason))
      .fetch_add(1, std::memory_order_relaxed);
}

void Metrics::CountRetry(Reason reason) {
  this->retries.at(static_cast<std::size_t>(reason))
      .fetch_add(1, std::memory_order_relaxed);
}

void Metrics::Count(std::string_view name, std::uint64_t amount) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->counters.find(name);
  if (found != this->counters.end()) {
    found->second += amount;
    return;
  }
  this->counters.emplace(std::string(name), amount);
}

void Metrics::SetGauge(std::string_view name, double value) {
  const std::lock_guard lock(this->mutex);
  this->gauges.insert_or_assign(std::string(name), value);
}

void Metrics::AddGauge(std::string name, std::function<double()> source) {
  const std::lock_guard lock(this->mutex);
  this->gauge_sources.insert_or_assign(std::move(name), std::move(source));
}

void Metrics::ObserveLatency(Rank rank, Ending ending,
                             std::chrono::nanoseconds latency) {
  const std::chrono::duration<double, std::micro> microseconds = latency;
  const std::size_t index = SeriesIndex(rank, ending);
  const std::lock_guard lock(this->mutex);
  this->histograms->series[index](
      std::max(microseconds.count(), kLowestMicroseconds));
  this->histograms->sum_seconds[index] +=
      std::chrono::duration<double>(latency).count();
  ++this->histograms->count[index];
}

std::uint64_t Metrics::Refusals(Reason reason) const {
  return this->refusals.at(static_cast<std::size_t>(reason))
      .load(std::memory_order_relaxed);
}

std::uint64_t Metrics::Retries(Reason reason) const {
  return this->retries.at(static_cast<std::size_t>(reason))
      .load(std::memory_order_relaxed);
}

std::uint64_t Metrics::CountOf(std::string_view name) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->counters.find(name);
  return found == this->counters.end() ? 0 : found->second;
}

std::chrono::nanoseconds Metrics::LatencyQuantile(Rank rank, Ending ending,
                                                  double quantile) const {
  const std::size_t index = SeriesIndex(rank, ending);
  const std::lock_guard lock(this->mutex);
  const auto wanted = static_cast<double>(this->histograms->count[index]);
  if (wanted == 0.0) return std::chrono::nanoseconds(0);
  const Histogram& series = this->histograms->series[index];
  double seen = 0.0;
  for (int bin = 0; bin < series.axis().size(); ++bin) {
    seen += series.at(bin);
    if (seen < wanted * quantile) continue;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        UpperEdge(series, bin));
  }
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::micro>(kHighestMicroseconds));
}

std::string Metrics::ToPrometheusText() const {
  std::ostringstream out;
  out << "# TYPE bamboorack_refusals_total counter\n";
  for (const ReasonInfo& info : kReasons) {
    out << "bamboorack_refusals_total{reason=\"" << info.name << "\"} "
        << this->Refusals(info.reason) << '\n';
  }
  out << "# TYPE bamboorack_retries_total counter\n";
  for (const ReasonInfo& info : kReasons) {
    out << "bamboorack_retries_total{reason=\"" << info.name << "\"} "
        << this->Retries(info.reason) << '\n';
  }
  const std::lock_guard lock(this->mutex);
  for (const auto& [name, value] : this->counters) {
    out << "# TYPE bamboorack_" << name << "_total counter\n"
        << "bamboorack_" << name << "_total " << value << '\n';
  }
  std::string last_gauge;
  for (const auto& [name, value] : this->gauges) {
    WriteGauge(name, value, last_gauge, out);
  }
  for (const auto& [name, source] : this->gauge_sources) {
    WriteGauge(name, source(), last_gauge, out);
  }
  out << "# TYPE bamboorack_latency_seconds histogram\n";
  for (const Rank rank : kRanks) {
    for (const Ending ending : kEndings) {
      this->WriteSeriesLocked(rank, ending, out);
    }
  }
  return out.str();
}

void Metrics::WriteSeriesLocked(Rank rank, Ending ending,
                                std::ostream& out) const {
  constexpr std::string_view kName = "bamboorack_latency_seconds";
  const std::size_t index = SeriesIndex(rank, ending);
  const std::uint64_t total = this->histograms->count[index];
  if (total == 0) return;
  const std::string labels = "rank=\"" + std::string(NameOf(rank)) +
                             "\",outcome=\"" + std::string(NameOf(ending)) +
                             "\"";
  const Histogram& series = this->histograms->series[index];
  double seen = 0.0;
  for (int bin = 0; bin < series.axis().size(); ++bin) {
    if (series.at(bin) == 0.0) continue;
    seen += series.at(bin);
    const std::chrono::duration<double> upper = UpperEdge(series, bin);
    out << kName << "_bucket{" << labels << ",le=\"" << upper.count() << "\"} "
        << seen << '\n';
  }
  out << kName << "_bucket{" << labels << ",le=\"+Inf\"} " << total << '\n'
      << kName << "_sum{" << labels << "} "
      << this->histograms->sum_seconds[index] << '\n'
      << kName << "_count{" << labels << "} " << total << '\n';
}

}  // namespace bamboorack
