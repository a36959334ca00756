#include "bamboorack/upstream/share_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <map>

namespace bamboorack::upstream {
namespace {

// Below this part of the planned capacity the shares no longer depend on the
// load, so that the keys of an idle service do not all go to a few upstreams.
constexpr double kMinOffered = 0.3;
constexpr double kMaxOffered = 0.99;
constexpr int kBisections = 30;

/// Returns the marginal cost of a queue with service time 1 at utilization
/// `utilization`, less the service time: by how much the wait of all requests
/// grows with each further one. The wait is Sakasegawa's approximation for
/// several servers, `u^(sqrt(2 (slots + 1)) - 1) / (slots (1 - u))`.
double MarginalWait(double slots, double utilization) {
  const double exponent = std::sqrt(2 * (slots + 1));
  const double room = 1 - utilization;
  const double power = std::pow(utilization, exponent - 1);
  return power * (exponent * room + utilization) / (slots * room * room);
}

/// The inverse of `MarginalWait` for one number of slots, tabulated: it is
/// needed some thousand times for each division.
class UtilizationTable {
 public:
  explicit UtilizationTable(double slots) {
    for (std::size_t i = 0; i < kSteps; ++i) {
      this->waits[i] = MarginalWait(slots, UtilizationAt(i));
    }
  }

  double UtilizationFor(double wait) const {
    const auto above =
        std::upper_bound(this->waits.begin(), this->waits.end(), wait);
    if (above == this->waits.begin()) return 0;
    if (above == this->waits.end()) return UtilizationAt(kSteps - 1);
    const auto i = static_cast<std::size_t>(above - this->waits.begin());
    const double part =
        (wait - this->waits[i - 1]) / (this->waits[i] - this->waits[i - 1]);
    return std::lerp(UtilizationAt(i - 1), UtilizationAt(i), part);
  }

  double MaxWait() const { return this->waits.back(); }

 private:
  static constexpr std::size_t kSteps = 128;

  static double UtilizationAt(std::size_t i) {
    return static_cast<double>(i) / kSteps;
  }

  std::array<double, kSteps> waits{};
};

/// One upstream as a queue whose capacity is the planned part of the real one.
struct Queue {
  double capacity = 0;
  double speed = 1;
  const UtilizationTable* table = nullptr;

  /// Returns the work that the queue gets if a further request may cost
  /// `marginal_cost`.
  double WorkAt(double marginal_cost) const {
    return this->capacity *
           this->table->UtilizationFor(marginal_cost * this->speed - 1);
  }
};

double TotalCapacity(const std::vector<RangeCandidate>& candidates) {
  double total = 0;
  for (const RangeCandidate& candidate : candidates) {
    total += candidate.capacity;
  }
  return total;
}

double TotalWorkAt(const std::vector<Queue>& queues, double marginal_cost) {
  double total = 0;
  for (const Queue& queue : queues) total += queue.WorkAt(marginal_cost);
  return total;
}

/// Returns the marginal cost, equal for all queues that get work, at which they
/// get `work` together.
double MarginalCostFor(const std::vector<Queue>& queues, double work) {
  double low = 0;
  double high = 0;
  for (const Queue& queue : queues) {
    high = std::max(high, (1 + queue.table->MaxWait()) / queue.speed);
  }
  for (int i = 0; i < kBisections; ++i) {
    // Costs span several orders of magnitude.
    const double middle = low == 0 ? high / 1'024 : std::sqrt(low * high);
    (TotalWorkAt(queues, middle) < work ? low : high) = middle;
  }
  return high;
}

}  // namespace

double NormalizeSpeeds(std::vector<RangeCandidate>& candidates) {
  double slots = 0;
  for (const RangeCandidate& candidate : candidates) slots += candidate.slots;
  const double mean_speed = TotalCapacity(candidates) / slots;
  if (!(mean_speed > 0)) return 1;
  for (RangeCandidate& candidate : candidates) {
    candidate.capacity /= mean_speed;
  }
  return mean_speed;
}

std::vector<double> ShareByCapacity::Shares(
    const std::vector<RangeCandidate>& candidates, double /*offered*/) const {
  const double total = TotalCapacity(candidates);
  std::vector<double> shares;
  shares.reserve(candidates.size());
  for (const RangeCandidate& candidate : candidates) {
    shares.push_back(candidate.capacity / total);
  }
  return shares;
}

std::vector<double> ShareByLatency::Shares(
    const std::vector<RangeCandidate>& candidates, double offered) const {
  std::vector<double> shares = ShareByCapacity().Shares(candidates, offered);
  const double planned = TotalCapacity(candidates) * kPlannedUtilization;
  if (!(planned > 0) || offered >= planned * kMaxOffered) return shares;
  std::map<std::uint32_t, UtilizationTable> tables;
  std::vector<Queue> queues;
  for (const RangeCandidate& candidate : candidates) {
    const std::uint32_t slots = std::max(candidate.slots, 1U);
    const auto table = tables.try_emplace(slots, slots).first;
    queues.push_back({candidate.capacity * kPlannedUtilization,
                      candidate.capacity / slots, &table->second});
  }
  const double cost =
      MarginalCostFor(queues, std::max(offered, planned * kMinOffered));
  const double work = TotalWorkAt(queues, cost);
  if (!(work > 0)) return shares;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    shares[i] =
        std::lerp(queues[i].WorkAt(cost) / work, shares[i], kMinCapacityPart);
  }
  return shares;
}

}  // namespace bamboorack::upstream
