#ifndef BAMBOORACK_CORE_ROUTE_TABLE_H_
#define BAMBOORACK_CORE_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bamboorack/core/desired_state.h"

namespace bamboorack {

/// Finds the route of a request. Holds pointers into the desired state, which
/// must outlive it.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const DesiredState& state);

  /// Returns the route of `host` with the longest prefix of `target`, a path
  /// with or without a query; null if there is none. A port in `host` and the
  /// case of its letters do not matter.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  /// The routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host;
};

/// Deals the requests of one route to its shares so that any run of requests
/// follows the weights as closely as possible (smooth weighted round robin).
class ShareDealer {
 public:
  /// Returns the index into `shares` for the next request. `shares` must not
  /// be empty. Starts anew when the weights change.
  std::size_t Next(const std::vector<TrafficShare>& shares);

 private:
  std::vector<TrafficShare> dealt;
  std::vector<std::int64_t> credit;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_ROUTE_TABLE_H_
