#include "bamboorack/upstream/demand_counter.h"

#include <algorithm>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::nanoseconds;

// Averages over about 200 requests of one service.
constexpr int kMeanRequests = 200;
constexpr double kMaxWeight = 8;

}  // namespace

double DemandCounter::MeanCost::AddAndCompare(nanoseconds cost) {
  this->count = std::min(this->count + 1, kMeanRequests);
  this->mean += (cost - this->mean) / this->count;
  if (this->mean.count() <= 0) return 1;
  return static_cast<double>(cost.count()) /
         static_cast<double>(this->mean.count());
}

void DemandCounter::Add(const ServiceName& service, ShardKey key,
                        std::optional<nanoseconds> cost) {
  const double weight =
      cost ? this->mean_costs[service].AddAndCompare(*cost) : 1;
  const auto times = static_cast<std::size_t>(
      std::clamp(weight, 0.0, kMaxWeight) + this->Draw());
  std::vector<ShardKey>& listed = this->keys[service];
  listed.insert(listed.end(), times, key);
}

std::map<ServiceName, std::vector<ShardKey>> DemandCounter::Take() {
  return std::exchange(this->keys, {});
}

double DemandCounter::Draw() {
  // xorshift64 is random enough to spread the rounding.
  this->random_state ^= this->random_state << 13U;
  this->random_state ^= this->random_state >> 7U;
  this->random_state ^= this->random_state << 17U;
  constexpr std::uint64_t kSteps = 1'024;
  return static_cast<double>(this->random_state % kSteps) /
         static_cast<double>(kSteps);
}

}  // namespace bamboorack::upstream
