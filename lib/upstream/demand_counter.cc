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

void DemandCounter::Add(const ServiceName& service, ShardKey key,
                        nanoseconds cost) {
  nanoseconds& mean = this->mean_costs.try_emplace(service, cost).first->second;
  mean += (cost - mean) / kMeanRequests;
  const double weight = mean.count() <= 0
                            ? 1
                            : static_cast<double>(cost.count()) /
                                  static_cast<double>(mean.count());
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
