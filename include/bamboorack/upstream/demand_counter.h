#ifndef BAMBOORACK_UPSTREAM_DEMAND_COUNTER_H_
#define BAMBOORACK_UPSTREAM_DEMAND_COUNTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/key_range.h"

namespace bamboorack::upstream {

/// Lists the keys of requests for a load report. A key is listed more or less
/// often than it was requested if its requests cost more or less than the mean
/// of their service, so that the report says where the work is and grows no
/// longer. Single requests are rounded at random: on average each key is listed
/// in proportion to its work.
class DemandCounter {
 public:
  explicit DemandCounter(std::uint64_t seed) : random_state(seed | 1U) {}

  /// `cost` is the expected time that such a request takes, if it is known.
  void Add(const ServiceName& service, ShardKey key,
           std::optional<std::chrono::nanoseconds> cost);
  /// Returns the keys since the last call.
  std::map<ServiceName, std::vector<ShardKey>> Take();

 private:
  /// The mean cost of the requests of one service.
  struct MeanCost {
    int count = 0;
    std::chrono::nanoseconds mean{0};

    /// Returns the ratio of `cost` to the mean.
    double AddAndCompare(std::chrono::nanoseconds cost);
  };

  /// Returns a number from 0 to less than 1.
  double Draw();

  std::uint64_t random_state;
  std::map<ServiceName, MeanCost> mean_costs;
  std::map<ServiceName, std::vector<ShardKey>> keys;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_DEMAND_COUNTER_H_
