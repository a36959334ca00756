#include "bamboorack/operator/desired_state_check.h"

#include <algorithm>
#include <cstddef>
#include <sstream>
#include <string>
#include <utility>

#include "bamboorack/core/route_table.h"

namespace bamboorack::operators {
namespace {

using std::chrono::milliseconds;
using Field = DesiredStateField;

/// The daemon waits so long before it sends a request again to the upstream
/// that holds its keys.
constexpr milliseconds kSameUpstreamDelay{40};
/// Less than any attempt over a network takes.
constexpr milliseconds kShortestAttempt{1};

/// What the checks look at.
struct Subject {
  Subject(const DesiredStateDocument& checked, const DesiredStateDocument* old)
      : document(checked),
        state(checked.state),
        in_force(old),
        table(checked.state) {}

  const DesiredStateDocument& document;
  const DesiredState& state;
  const DesiredStateDocument* in_force;
  RouteTable table;
};

/// A field of the document; `entry` and `share` number the list entries.
struct Place {
  Field field = Field::kVersion;
  std::size_t entry = 0;
  std::size_t share = 0;
};

/// What is wrong with one value.
struct Fault {
  Place place;
  std::string value;
  std::string message;
};

using Faults = std::vector<Fault>;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string Shown(milliseconds span) {
  return std::to_string(span.count()) + " ms";
}

std::string Shown(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

/// The field that names the service of a share.
Place PlaceOfService(const Subject& subject, std::size_t route,
                     std::size_t share) {
  const bool has_split = subject.document.routes.at(route).has_split;
  return {has_split ? Field::kShareService : Field::kRouteService, route,
          share};
}

/// Calls `judge` for each route and collects the faults.
template <auto Judge>
Faults ForEachRoute(const Subject& subject) {
  Faults faults;
  for (std::size_t i = 0; i < subject.state.routes.size(); ++i) {
    if (auto fault = Judge(subject, subject.state.routes[i], i)) {
      faults.push_back(std::move(*fault));
    }
  }
  return faults;
}

/// Calls `judge` for each share of each route.
template <auto Judge>
Faults ForEachShare(const Subject& subject) {
  Faults faults;
  for (std::size_t i = 0; i < subject.state.routes.size(); ++i) {
    for (std::size_t j = 0; j < subject.state.routes[i].shares.size(); ++j) {
      if (auto fault = Judge(subject, i, j))
        faults.push_back(std::move(*fault));
    }
  }
  return faults;
}

template <auto Judge>
Faults ForEachService(const Subject& subject) {
  Faults faults;
  for (std::size_t i = 0; i < subject.state.services.size(); ++i) {
    if (auto fault = Judge(subject, subject.state.services[i], i)) {
      faults.push_back(std::move(*fault));
    }
  }
  return faults;
}

template <auto Judge>
Faults Once(const Subject& subject) {
  auto fault = Judge(subject);
  return fault ? Faults{std::move(*fault)} : Faults{};
}

using MaybeFault = std::optional<Fault>;

MaybeFault JudgeVersion(const Subject& subject) {
  if (subject.in_force == nullptr) return std::nullopt;
  if (subject.state.version > subject.in_force->state.version) {
    return std::nullopt;
  }
  return Fault{{Field::kVersion},
               Quoted(subject.document.version_text),
               "is not above the version in force, " +
                   Quoted(subject.in_force->version_text)};
}

/// Returns the index of the first of `entries` before `index` with its name.
template <typename Entry>
std::optional<std::size_t> FindNamesake(const std::vector<Entry>& entries,
                                        std::size_t index) {
  for (std::size_t i = 0; i < index; ++i) {
    if (entries[i].name == entries[index].name) return i;
  }
  return std::nullopt;
}

MaybeFault JudgeRouteName(const Subject& subject, const Route& route,
                          std::size_t index) {
  const auto namesake = FindNamesake(subject.state.routes, index);
  if (!namesake) return std::nullopt;
  return Fault{
      {Field::kRouteName, index},
      Quoted(route.name.value),
      "the route at index " + std::to_string(*namesake) + " has the same name"};
}

MaybeFault JudgePrefixForm(const Subject& /*subject*/, const Route& route,
                           std::size_t index) {
  const std::string& prefix = route.path_prefix;
  if (prefix.starts_with('/') && prefix.ends_with('/')) return std::nullopt;
  return Fault{{Field::kRoutePrefix, index},
               Quoted(prefix),
               "a prefix begins and ends with a slash"};
}

/// Returns the route that gets the requests for the prefix of `route`.
const Route* RouteInPlaceOf(const Subject& subject, const Route& route) {
  return subject.table.Find(route.host, route.path_prefix);
}

MaybeFault JudgeDuplicateMatch(const Subject& subject, const Route& route,
                               std::size_t index) {
  const Route* first = RouteInPlaceOf(subject, route);
  if (first == nullptr || first == &route) return std::nullopt;
  if (first->path_prefix != route.path_prefix) return std::nullopt;
  return Fault{{Field::kRoutePrefix, index},
               Quoted(route.path_prefix),
               "no request gets here: route " + Quoted(first->name.value) +
                   " comes first and has the same host and prefix"};
}

MaybeFault JudgeUnmatchablePrefix(const Subject& subject, const Route& route,
                                  std::size_t index) {
  const Route* first = RouteInPlaceOf(subject, route);
  if (first != nullptr && first->path_prefix == route.path_prefix) {
    return std::nullopt;
  }
  return Fault{{Field::kRoutePrefix, index},
               Quoted(route.path_prefix),
               "no request gets here: the path of a request ends before "
               "its query"};
}

MaybeFault JudgeNoAttempts(const Subject& /*subject*/, const Route& route,
                           std::size_t index) {
  if (route.max_attempts > 0) return std::nullopt;
  return Fault{{Field::kRouteMaxAttempts, index},
               "0",
               "a request needs at least one attempt"};
}

MaybeFault JudgeNoTimeout(const Subject& /*subject*/, const Route& route,
                          std::size_t index) {
  if (route.timeout > milliseconds(0)) return std::nullopt;
  return Fault{{Field::kRouteTimeout, index},
               Quoted("0ms"),
               "every request would be too late on arrival"};
}

MaybeFault JudgeTimeout(const Subject& /*subject*/, const Route& route,
                        std::size_t index) {
  const bool is_set = route.timeout > milliseconds(0);
  if (!is_set || route.timeout >= route.latency_target) return std::nullopt;
  return Fault{{Field::kRouteTimeout, index},
               Quoted(std::to_string(route.timeout.count()) + "ms"),
               "requests end before the latency target of " +
                   Shown(route.latency_target)};
}

bool IsSharded(const Subject& subject, const TrafficShare& share) {
  const ServiceSpec* service = subject.state.FindService(share.service);
  return service != nullptr && service->is_sharded;
}

/// Further attempts are not tied to the kind of a request: any request that
/// was turned away without having run may be sent again.
MaybeFault JudgeAttempts(const Subject& subject, const Route& route,
                         std::size_t index) {
  if (route.timeout <= milliseconds(0)) return std::nullopt;
  const bool is_sharded =
      std::all_of(route.shares.begin(), route.shares.end(),
                  [&](const auto& share) { return IsSharded(subject, share); });
  const milliseconds gap = is_sharded ? kSameUpstreamDelay : kShortestAttempt;
  const std::int64_t fitting = (route.timeout - milliseconds(1)) / gap + 1;
  if (route.max_attempts <= fitting) return std::nullopt;
  return Fault{{Field::kRouteMaxAttempts, index},
               std::to_string(route.max_attempts),
               "only " + std::to_string(fitting) +
                   " can begin within the "
                   "timeout of " +
                   Shown(route.timeout)};
}

bool HasWeight(const TrafficShare& share) { return share.weight > 0; }

MaybeFault JudgeWeights(const Subject& /*subject*/, const Route& route,
                        std::size_t index) {
  if (std::any_of(route.shares.begin(), route.shares.end(), HasWeight)) {
    return std::nullopt;
  }
  return Fault{{Field::kRouteShares, index}, "", "no share has a weight"};
}

MaybeFault JudgeShareWeight(const Subject& subject, std::size_t route,
                            std::size_t share) {
  const auto& shares = subject.state.routes[route].shares;
  if (HasWeight(shares[share])) return std::nullopt;
  if (std::none_of(shares.begin(), shares.end(), HasWeight)) {
    return std::nullopt;
  }
  return Fault{{Field::kShareWeight, route, share},
               "0",
               "service " + Quoted(shares[share].service.value) +
                   " gets no requests of this route"};
}

MaybeFault JudgeShareService(const Subject& subject, std::size_t route,
                             std::size_t share) {
  const ServiceName& name = subject.state.routes[route].shares[share].service;
  if (subject.state.FindService(name) != nullptr) return std::nullopt;
  return Fault{PlaceOfService(subject, route, share), Quoted(name.value),
               "no service has this name"};
}

MaybeFault JudgeRepeatedShare(const Subject& subject, std::size_t route,
                              std::size_t share) {
  const auto& shares = subject.state.routes[route].shares;
  const auto end = shares.begin() + static_cast<std::ptrdiff_t>(share);
  const bool is_repeated =
      std::any_of(shares.begin(), end, [&](const TrafficShare& earlier) {
        return earlier.service == shares[share].service;
      });
  if (!is_repeated) return std::nullopt;
  return Fault{{Field::kShareService, route, share},
               Quoted(shares[share].service.value),
               "the split names this service twice; the weights add up"};
}

MaybeFault JudgeServiceName(const Subject& subject, const ServiceSpec& service,
                            std::size_t index) {
  const auto namesake = FindNamesake(subject.state.services, index);
  if (!namesake) return std::nullopt;
  return Fault{{Field::kServiceName, index},
               Quoted(service.name.value),
               "the service at index " + std::to_string(*namesake) +
                   " has the same name and is used in its place"};
}

MaybeFault JudgeServiceUse(const Subject& subject, const ServiceSpec& service,
                           std::size_t index) {
  for (const Route& route : subject.state.routes) {
    const bool is_used = std::any_of(
        route.shares.begin(), route.shares.end(),
        [&](const auto& share) { return share.service == service.name; });
    if (is_used) return std::nullopt;
  }
  return Fault{{Field::kServiceName, index},
               Quoted(service.name.value),
               "no route uses this service"};
}

MaybeFault JudgeConnections(const Subject& /*subject*/,
                            const ServiceSpec& service, std::size_t index) {
  if (service.max_connections > 0) return std::nullopt;
  return Fault{{Field::kServiceMaxConnections, index},
               "0",
               "its upstreams take no connections"};
}

MaybeFault JudgeWarmUpRate(const Subject& subject,
                           const ServiceSpec& /*service*/, std::size_t index) {
  const ServiceDetails& details = subject.document.services.at(index);
  if (details.warm_up_time <= milliseconds(0)) return std::nullopt;
  if (!details.warm_up_request_rate) return std::nullopt;
  if (*details.warm_up_request_rate > 0) return std::nullopt;
  return Fault{{Field::kServiceWarmUpRate, index},
               Shown(*details.warm_up_request_rate),
               "counts as no bound, although an upstream needs " +
                   Shown(details.warm_up_time) + " to warm up"};
}

template <auto Limit, Field kField>
MaybeFault JudgeZeroLimit(const Subject& subject) {
  const auto& limit = subject.document.limits.*Limit;
  if (!limit || *limit > 0) return std::nullopt;
  return Fault{{kField}, "0", "every request is above this limit"};
}

MaybeFault JudgeHeaderTimeout(const Subject& subject) {
  const RequestLimits& limits = subject.document.limits;
  if (!limits.header_timeout || !limits.idle_timeout) return std::nullopt;
  if (*limits.header_timeout <= *limits.idle_timeout) return std::nullopt;
  return Fault{{Field::kHeaderTimeout},
               Quoted(std::to_string(limits.header_timeout->count()) + "ms"),
               "a connection that sends nothing is closed after " +
                   Shown(*limits.idle_timeout) + " already"};
}

struct Check {
  const char* code;
  Severity severity;
  Faults (*find)(const Subject&);
};

constexpr std::array kChecks = {
    Check{"version_not_newer", Severity::kError, Once<JudgeVersion>},
    Check{"duplicate_route_name", Severity::kError,
          ForEachRoute<JudgeRouteName>},
    Check{"prefix_without_slash", Severity::kError,
          ForEachRoute<JudgePrefixForm>},
    Check{"duplicate_match", Severity::kError,
          ForEachRoute<JudgeDuplicateMatch>},
    Check{"unmatchable_prefix", Severity::kWarning,
          ForEachRoute<JudgeUnmatchablePrefix>},
    Check{"no_attempts", Severity::kError, ForEachRoute<JudgeNoAttempts>},
    Check{"no_timeout", Severity::kError, ForEachRoute<JudgeNoTimeout>},
    Check{"timeout_below_target", Severity::kWarning,
          ForEachRoute<JudgeTimeout>},
    Check{"attempts_beyond_timeout", Severity::kWarning,
          ForEachRoute<JudgeAttempts>},
    Check{"unknown_service", Severity::kError, ForEachShare<JudgeShareService>},
    Check{"repeated_share", Severity::kWarning,
          ForEachShare<JudgeRepeatedShare>},
    Check{"split_without_weight", Severity::kError, ForEachRoute<JudgeWeights>},
    Check{"share_without_weight", Severity::kWarning,
          ForEachShare<JudgeShareWeight>},
    Check{"duplicate_service", Severity::kError,
          ForEachService<JudgeServiceName>},
    Check{"unused_service", Severity::kWarning,
          ForEachService<JudgeServiceUse>},
    Check{"no_connections", Severity::kError, ForEachService<JudgeConnections>},
    Check{"warm_up_without_rate", Severity::kWarning,
          ForEachService<JudgeWarmUpRate>},
    Check{"zero_limit", Severity::kError,
          Once<JudgeZeroLimit<&RequestLimits::max_header_bytes,
                              Field::kMaxHeaderBytes>>},
    Check{"zero_limit", Severity::kError,
          Once<JudgeZeroLimit<&RequestLimits::max_body_bytes,
                              Field::kMaxBodyBytes>>},
    Check{"header_above_idle_timeout", Severity::kWarning,
          Once<JudgeHeaderTimeout>}};

/// Puts the numbers of the list entries into the brackets of `path`.
std::string NumberEntries(std::string_view path, const Place& place) {
  std::string text;
  std::size_t next = place.entry;
  for (const char c : path) {
    text += c;
    if (c != '[') continue;
    text += std::to_string(next);
    next = place.share;
  }
  return text;
}

}  // namespace

std::vector<Finding> CheckDesiredState(const DesiredStateDocument& document,
                                       const DesiredStateDocument* in_force,
                                       const DesiredStateFieldPaths& paths) {
  const Subject subject(document, in_force);
  std::vector<Finding> findings;
  for (const Check& check : kChecks) {
    for (Fault& fault : check.find(subject)) {
      const auto field = static_cast<std::size_t>(fault.place.field);
      findings.push_back({check.severity, check.code,
                          NumberEntries(paths.at(field), fault.place),
                          std::move(fault.value), std::move(fault.message)});
    }
  }
  return findings;
}

}  // namespace bamboorack::operators
