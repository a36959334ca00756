#include "bamboorack/upstream/service_time_estimator.h"

#include <algorithm>

namespace bamboorack::upstream {
namespace {

// About the last 20 answers: three to six times the slots of one upstream.
constexpr double kSmoothing = 0.1;

void Smooth(double& value, double sample) {
  value = value == 0.0 ? sample : value + kSmoothing * (sample - value);
}

std::chrono::nanoseconds FromSeconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void ServiceTimeEstimator::OnStart(DispatchId id, MonotonicTime now) {
  this->started.emplace(id, Start{now, this->completed});
}

void ServiceTimeEstimator::OnEnd(DispatchId id, Rank rank, bool was_answered,
                                 MonotonicTime now) {
  const auto found = this->started.find(id);
  if (found == this->started.end()) return;
  const Start start = found->second;
  this->started.erase(found);
  if (!was_answered) return;
  ++this->completed;
  const double seconds = std::chrono::duration<double>(now - start.at).count();
  Smooth(this->smoothed_seconds, seconds);
  Smooth(this->rank_seconds.at(IndexOf(rank)), seconds);
  this->Learn(seconds,
              static_cast<double>(this->completed - start.completed_before));
}

std::chrono::nanoseconds ServiceTimeEstimator::ServiceTime(Rank rank) const {
  return FromSeconds(this->rank_seconds.at(IndexOf(rank)));
}

std::chrono::nanoseconds ServiceTimeEstimator::PredictStart(
    double ahead, std::uint32_t limit) const {
  const double response = this->PredictResponse(ahead, limit);
  return FromSeconds(std::max(0.0, response - this->smoothed_seconds));
}

double SmoothedServiceTime::PredictResponse(double ahead,
                                            std::uint32_t limit) const {
  const double requests = ahead + static_cast<double>(this->Active()) + 1.0;
  return this->service_seconds * std::max(1.0, requests / std::max(limit, 1U));
}

void SmoothedServiceTime::Learn(double seconds, double /*answers*/) {
  Smooth(this->service_seconds, seconds);
}

double LoadPerRequest::PredictResponse(double ahead,
                                       std::uint32_t /*limit*/) const {
  return this->load_seconds *
         (ahead + static_cast<double>(this->Active()) + 1.0);
}

void LoadPerRequest::Learn(double seconds, double answers) {
  Smooth(this->load_seconds, seconds / answers);
}

}  // namespace bamboorack::upstream
