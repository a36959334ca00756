#include "bamboorack/upstream/service_time_estimator.h"

#include <algorithm>

namespace bamboorack::upstream {
namespace {

// Averages over about the last 20 answers, three to six times the slots of one
// upstream.
constexpr double kSmoothing = 0.1;

using Seconds = std::chrono::duration<double>;

void Smooth(Seconds& value, Seconds sample) {
  value =
      value == Seconds::zero() ? sample : value + kSmoothing * (sample - value);
}

std::chrono::nanoseconds ToNanoseconds(Seconds time) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

}  // namespace

void ServiceTimeEstimator::OnStart(DispatchId id, Rank rank,
                                   MonotonicTime now) {
  this->started.emplace(id, Start{now, rank, this->completed});
  ++this->active_of_rank.at(IndexOf(rank));
}

void ServiceTimeEstimator::OnEnd(DispatchId id, bool was_answered,
                                 MonotonicTime now) {
  const auto found = this->started.find(id);
  if (found == this->started.end()) return;
  const Start start = found->second;
  this->started.erase(found);
  --this->active_of_rank.at(IndexOf(start.rank));
  if (!was_answered) return;
  ++this->completed;
  const Seconds response = now - start.at;
  Smooth(this->smoothed_time, response);
  Smooth(this->smoothed_time_of_rank.at(IndexOf(start.rank)), response);
  this->RecordAnswer(
      response, static_cast<double>(this->completed - start.completed_before));
}

std::chrono::nanoseconds ServiceTimeEstimator::ServiceTime(Rank rank) const {
  return ToNanoseconds(this->ServiceSeconds(rank));
}

ServiceTimeEstimator::Seconds ServiceTimeEstimator::ServiceSeconds(
    Rank rank) const {
  const Seconds known = this->smoothed_time_of_rank.at(IndexOf(rank));
  return known == Seconds::zero() ? this->smoothed_time : known;
}

std::chrono::nanoseconds ServiceTimeEstimator::PredictStart(
    const RankCounts& ahead, std::uint32_t limit) const {
  return ToNanoseconds(std::max(Seconds::zero(), this->Predict(ahead, limit)));
}

ServiceTimeEstimator::Seconds SmoothedServiceTime::Predict(
    const RankCounts& ahead, std::uint32_t limit) const {
  if (this->Active() < limit) return Seconds::zero();
  Seconds queued{0.0};
  Seconds running{0.0};
  for (const Rank rank : kRanks) {
    queued += ahead.at(IndexOf(rank)) * this->ServiceSeconds(rank);
    running +=
        static_cast<double>(this->Active(rank)) * this->ServiceSeconds(rank);
  }
  // The first of the running requests ends after their mean service time
  // divided by `limit`.
  const Seconds first_end = running / static_cast<double>(this->Active());
  return (queued + first_end) / std::max(limit, 1U);
}

void SmoothedServiceTime::RecordAnswer(Seconds /*response*/,
                                       double /*answers*/) {}

ServiceTimeEstimator::Seconds LoadPerRequest::Predict(
    const RankCounts& ahead, std::uint32_t /*limit*/) const {
  double requests = static_cast<double>(this->Active()) + 1.0;
  for (const double count : ahead) requests += count;
  return this->load_per_request * requests - this->OverallServiceSeconds();
}

void LoadPerRequest::RecordAnswer(Seconds response, double answers) {
  Smooth(this->load_per_request, response / answers);
}

}  // namespace bamboorack::upstream
