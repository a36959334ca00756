#ifndef BAMBOORACK_CORE_DESIRED_STATE_H_
#define BAMBOORACK_CORE_DESIRED_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboorack/core/ids.h"

namespace bamboorack {

using RouteName = Name<struct RouteNameTag>;
/// The operator's number of a desired state. 0 means none.
using ConfigVersion = Number<struct ConfigVersionTag>;

/// What may be repeated. Independent of the priority of a route.
enum class Repeatability : std::uint8_t {
  /// Idempotent: may run more than once.
  kIdempotent,
  /// Runs at most once for each attempt of a caller.
  kOnce,
  /// As `kOnce`, with a large body.
  kOnceLarge,
};

constexpr bool IsIdempotent(Repeatability repeatability) {
  return repeatability == Repeatability::kIdempotent;
}

/// A part of a route's traffic.
struct TrafficShare {
  ServiceName service;
  std::uint32_t weight = 1;

  bool operator==(const TrafficShare&) const = default;
};

/// Sends the requests for one host below one path to services.
struct Route {
  RouteName name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  Repeatability repeatability = Repeatability::kOnce;
  /// The longest time that a request is kept waiting for its answer.
  std::chrono::milliseconds timeout{0};
  /// An answer within this time has its full value.
  std::chrono::milliseconds latency_target{0};
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  /// At least one.
  std::vector<TrafficShare> shares;

  bool operator==(const Route&) const = default;
};

struct ServiceSpec {
  ServiceName name;
  /// Connections that each upstream takes from all callers together.
  std::size_t max_connections = 0;
  /// Whether upstreams own keys and run only requests for keys they hold.
  bool is_sharded = false;
  /// Requests per second, from all daemons together, that an upstream tolerates
  /// while it warms up. Nothing if it needs no protection then.
  std::optional<double> warm_up_request_rate{};

  bool operator==(const ServiceSpec&) const = default;
};

/// What the operator wants, whole, as published under one version.
struct DesiredState {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<ServiceSpec> services;

  const ServiceSpec* FindService(const ServiceName& name) const {
    for (const ServiceSpec& service : this->services) {
      if (service.name == name) return &service;
    }
    return nullptr;
  }
  bool operator==(const DesiredState&) const = default;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_DESIRED_STATE_H_
