#ifndef BAMBOORACK_OPERATOR_SETTINGS_H_
#define BAMBOORACK_OPERATOR_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/core/ids.h"

namespace bamboorack::operators {

/// Bounds of one daemon's resources.
struct Limits {
  /// Open connections of callers; more are closed when they are accepted.
  std::uint32_t caller_connections = 4096;
  /// Open connections to one upstream.
  std::uint32_t connections_per_upstream = 130;
  /// Items in each ring between two threads.
  std::uint32_t ring_capacity = 4096;
  /// Memory that the process may use, in megabytes; 0 if not known.
  std::uint32_t memory_mb = 0;

  bool operator==(const Limits&) const = default;
};

/// What a daemon is told when it starts. All else comes from the log.
struct Settings {
  DaemonId daemon_id;
  VmId vm;
  FailureDomain failure_domain;
  /// Where the daemon listens for callers, daemons and operators.
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  Endpoint operator_endpoint;
  Endpoint log_service_endpoint;
  Endpoint vm_list_endpoint;
  /// How long the log keeps a record. Snapshots are written at half of it.
  std::chrono::milliseconds retention{3'600'000};
  Limits limits;

  bool operator==(const Settings&) const = default;
};

/// Reads the daemon's settings file and returns all problems at once.
tl::expected<Settings, ConfigProblems> ParseSettings(std::string_view json);

/// Writes a document that `ParseSettings` reads back to an equal value.
std::string ToJson(const Settings& settings);

/// Returns one line `path: message` for each problem.
std::string ToText(const ConfigProblems& problems);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_SETTINGS_H_
