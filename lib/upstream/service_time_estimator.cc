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

void ServiceTimeEstimator::OnStart(DispatchId id, Rank rank,
                                   MonotonicTime now) {
  this->started.emplace(id, Start{now, rank, this->completed});
  ++this->active.at(IndexOf(rank));
}

void ServiceTimeEstimator::OnEnd(DispatchId id, bool was_answered,
                                 MonotonicTime now) {
  const auto found = this->started.find(id);
  if (found == this->started.end()) return;
  const Start start = found->second;
  this->started.erase(found);
  --this->active.at(IndexOf(start.rank));
  if (!was_answered) return;
  ++this->completed;
  const double seconds = std::chrono::duration<double>(now - start.at).count();
  Smooth(this->smoothed_seconds, seconds);
  Smooth(this->rank_seconds.at(IndexOf(start.rank)), seconds);
  this->Learn(seconds,
              static_cast<double>(this->completed - start.completed_before));
}

std::chrono::nanoseconds ServiceTimeEstimator::ServiceTime(Rank rank) const {
  return FromSeconds(this->SecondsOf(rank));
}

double ServiceTimeEstimator::SecondsOf(Rank rank) const {
  const double known = this->rank_seconds.at(IndexOf(rank));
  return known == 0.0 ? this->smoothed_seconds : known;
}

std::chrono::nanoseconds ServiceTimeEstimator::PredictStart(
    const RankCounts& ahead, std::uint32_t limit) const {
  return FromSeconds(std::max(0.0, this->PredictSeconds(ahead, limit)));
}

double SmoothedServiceTime::PredictSeconds(const RankCounts& ahead,
                                           std::uint32_t limit) const {
  if (this->Active() < limit) return 0.0;
  double queued = 0.0;
  double running = 0.0;
  for (const Rank rank : kRanks) {
    queued += ahead.at(IndexOf(rank)) * this->SecondsOf(rank);
    running += static_cast<double>(this->Active(rank)) * this->SecondsOf(rank);
  }
  // One of the running requests ends after a `limit`-th of their usual time.
  const double first_end = running / static_cast<double>(this->Active());
  return (queued + first_end) / std::max(limit, 1U);
}

void SmoothedServiceTime::Learn(double /*seconds*/, double /*answers*/) {}

double LoadPerRequest::PredictSeconds(const RankCounts& ahead,
                                      std::uint32_t /*limit*/) const {
  double requests = static_cast<double>(this->Active()) + 1.0;
  for (const double count : ahead) requests += count;
  const double response = this->load_seconds * requests;
  return response - this->SecondsOfAny();
}

void LoadPerRequest::Learn(double seconds, double answers) {
  Smooth(this->load_seconds, seconds / answers);
}

}  // namespace bamboorack::upstream
