#include "bamboorack/upstream/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace bamboorack::upstream {
namespace {

constexpr double kShedBackoff = 0.7;
constexpr double kTimeoutBackoff = 0.5;
constexpr double kSlowBackoff = 0.9;
// The mean of exponentially distributed response times, smoothed with 0.05,
// varies by 16 %, so chance alone does not double it. With 0.1, random
// variation took away a third of the slots under an ordinary load.
constexpr double kSlowdownSmoothing = 0.05;
constexpr double kSlowdownThreshold = 2.0;
// The mean response time adapts slowly, so that requests that have become
// permanently slower do not keep the limit low.
constexpr double kMeanSmoothing = 0.01;
// Answers of a rank that are needed before response times are compared with
// its mean.
constexpr double kMinAnswersForMean = 20.0;
// A timeout counts only if the request had at least this multiple of the mean
// response time; otherwise it was sent too late and says nothing about the
// upstream.
constexpr double kMinTimeoutToMeanRatio = 4.0;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t initial_slots)
    : slots(std::max(initial_slots, 1U)), slow_start_threshold(this->slots) {}

void ConcurrencyLimit::SetSlots(std::uint32_t new_slots) {
  new_slots = std::max(new_slots, 1U);
  if (new_slots == this->slots) return;
  this->slots = new_slots;
  this->slow_start_threshold =
      std::min<double>(this->slow_start_threshold, new_slots);
  this->limit = std::min<double>(this->limit, new_slots);
}

std::uint32_t ConcurrencyLimit::Current() const {
  return static_cast<std::uint32_t>(this->limit);
}

void ConcurrencyLimit::OnAnswer(Rank rank, MonotonicTime sent,
                                MonotonicTime now) {
  if (this->IsSlow(rank, now - sent)) {
    this->Shrink(kSlowBackoff, sent, now);
    return;
  }
  this->Grow();
}

void ConcurrencyLimit::OnShed(MonotonicTime sent, MonotonicTime now) {
  this->Shrink(kShedBackoff, sent, now);
}

void ConcurrencyLimit::OnTimeout(Rank rank, MonotonicTime sent,
                                 MonotonicTime now) {
  const std::chrono::duration<double> waited = now - sent;
  const ResponseMean& mean = this->mean_of_rank.at(IndexOf(rank));
  if (waited.count() < kMinTimeoutToMeanRatio * mean.seconds) return;
  this->Shrink(kTimeoutBackoff, sent, now);
}

void ConcurrencyLimit::OnLost(MonotonicTime sent, MonotonicTime now) {
  this->Shrink(kTimeoutBackoff, sent, now);
}

void ConcurrencyLimit::Shrink(double factor, MonotonicTime sent,
                              MonotonicTime now) {
  // Requests that were in flight at the last decrease say nothing about the
  // new limit.
  if (sent < this->last_shrink) return;
  this->last_shrink = now;
  this->limit = std::max(1.0, this->limit * factor);
  this->slow_start_threshold = this->limit;
}

void ConcurrencyLimit::Grow() {
  const double step =
      this->limit < this->slow_start_threshold ? 1.0 : 1.0 / this->limit;
  this->limit = std::min<double>(this->slots, this->limit + step);
}

bool ConcurrencyLimit::IsSlow(Rank rank, std::chrono::nanoseconds response) {
  const double seconds =
      std::max(1e-6, std::chrono::duration<double>(response).count());
  ResponseMean& mean = this->mean_of_rank.at(IndexOf(rank));
  mean.answers += 1.0;
  if (mean.answers > kMinAnswersForMean) {
    this->smoothed_slowdown +=
        kSlowdownSmoothing * (seconds / mean.seconds - this->smoothed_slowdown);
  }
  const double weight = std::max(kMeanSmoothing, 1.0 / mean.answers);
  mean.seconds += weight * (seconds - mean.seconds);
  return this->smoothed_slowdown > kSlowdownThreshold;
}

}  // namespace bamboorack::upstream
