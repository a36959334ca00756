#ifndef BAMBOORACK_OPERATOR_GATEWAY_SETTINGS_H_
#define BAMBOORACK_OPERATOR_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/placement_mode.h"

namespace bamboorack::operators {

/// What a daemon is told that routes by host and path and serves keys by
/// range. All else comes from the log.
struct GatewaySettings {
  DaemonId daemon_id;
  FailureDomain failure_domain;
  Endpoint caller_endpoint;
  /// Answers whether the daemon is ready, and the metrics.
  Endpoint readiness_endpoint;
  /// Receives datagrams of other daemons.
  Endpoint gossip_endpoint;
  Endpoint log_endpoint;
  /// The longest lease that upstreams accept.
  std::chrono::milliseconds longest_lease{10'000};
  /// From a request to stop until the process is killed.
  std::chrono::milliseconds stop_time{6'000};
  /// From the log's acknowledgement of an order to evacuate a failure domain
  /// until no request may reach an upstream there.
  std::chrono::milliseconds evacuation_time{5'000};
  /// Rate of the VM's network link in megabits a second; 0 if not known.
  std::uint32_t link_mbps = 0;
  /// Memory that the process may use before it is killed, in megabytes; 0 if
  /// not known.
  std::uint32_t memory_mb = 0;
  /// Open connections of callers.
  std::uint32_t caller_connections = 4'096;
  /// Open connections for requests to one upstream.
  std::uint32_t connections_per_upstream = 24;
  /// How an upstream is chosen for a request without a key.
  PlacementMode placement = PlacementMode::kAutomatic;
  /// Whether the other daemons are told what upstreams state of their load.
  bool tell_stated_loads = false;

  bool operator==(const GatewaySettings&) const = default;
};

/// Reads the settings file and returns all problems at once.
tl::expected<GatewaySettings, ConfigProblems> ParseGatewaySettings(
    std::string_view json);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_GATEWAY_SETTINGS_H_
