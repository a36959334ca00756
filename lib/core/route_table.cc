#include "bamboorack/core/route_table.h"

#include <glog/logging.h>

#include <algorithm>
#include <cctype>

namespace bamboorack {
namespace {

std::string NormalHost(std::string_view host) {
  std::string name(host.substr(0, std::min(host.find(':'), host.size())));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

RouteTable::RouteTable(const DesiredState& state) {
  for (const Route& route : state.routes) {
    this->by_host[NormalHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : this->by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const auto found = this->by_host.find(NormalHost(host));
  if (found == this->by_host.end()) return nullptr;
  const std::string_view path =
      target.substr(0, std::min(target.find('?'), target.size()));
  for (const Route* route : found->second) {
    if (path.starts_with(route->path_prefix)) return route;
  }
  return nullptr;
}

std::size_t ShareDealer::Next(const std::vector<TrafficShare>& shares) {
  DCHECK(!shares.empty()) << "a route without services";
  if (this->dealt != shares) {
    this->dealt = shares;
    this->credit.assign(shares.size(), 0);
  }
  std::int64_t total = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    this->credit[i] += shares[i].weight;
    total += shares[i].weight;
  }
  const auto most = std::max_element(this->credit.begin(), this->credit.end());
  *most -= total;
  return static_cast<std::size_t>(most - this->credit.begin());
}

}  // namespace bamboorack
