#ifndef BAMBOORACK_OPERATOR_DESIRED_STATE_CHECK_H_
#define BAMBOORACK_OPERATOR_DESIRED_STATE_CHECK_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bamboorack/core/desired_state.h"
#include "bamboorack/operator/check_report.h"

namespace bamboorack::operators {

/// What a document says of a route beyond `Route`.
struct RouteDetails {
  /// Whether the services are a list of shares and not a single name.
  bool has_split = false;
};

/// What a document says of a service beyond `ServiceSpec`.
struct ServiceDetails {
  std::chrono::milliseconds warm_up_time{0};
  /// As it is written, 0 included.
  std::optional<double> warm_up_request_rate{};
};

/// Bounds of what a caller may send.
struct RequestLimits {
  std::optional<std::uint64_t> max_header_bytes{};
  std::optional<std::uint64_t> max_body_bytes{};
  std::optional<std::chrono::milliseconds> header_timeout{};
  std::optional<std::chrono::milliseconds> idle_timeout{};
};

/// A desired state with what its document says beyond what the daemon uses.
struct DesiredStateDocument {
  DesiredState state;
  /// The version as it is written.
  std::string version_text;
  /// One for each route and service, in the same order.
  std::vector<RouteDetails> routes;
  std::vector<ServiceDetails> services;
  RequestLimits limits;
};

/// The fields that findings name.
enum class DesiredStateField : std::uint8_t {
  kVersion,
  kRouteName,
  kRoutePrefix,
  kRouteTimeout,
  kRouteMaxAttempts,
  /// The name of the only service.
  kRouteService,
  kRouteShares,
  kShareService,
  kShareWeight,
  kServiceName,
  kServiceMaxConnections,
  kServiceWarmUpRate,
  kMaxHeaderBytes,
  kMaxBodyBytes,
  kHeaderTimeout,
  kCount,
};

/// The path of each field in the document, with `[]` for the number of a list
/// entry: `routes[].name`.
using DesiredStateFieldPaths =
    std::array<std::string_view,
               static_cast<std::size_t>(DesiredStateField::kCount)>;

/// Returns what cannot be meant and what has no effect in `document`, which
/// may replace `in_force`.
std::vector<Finding> CheckDesiredState(const DesiredStateDocument& document,
                                       const DesiredStateDocument* in_force,
                                       const DesiredStateFieldPaths& paths);

}  // namespace bamboorack::operators

#endif  // BAMBOORACK_OPERATOR_DESIRED_STATE_CHECK_H_
