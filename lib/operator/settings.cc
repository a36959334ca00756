#include "bamboorack/operator/settings.h"

#include "bamboorack/core/json_fields.h"

namespace bamboorack {
namespace {

using operators::Limits;
using operators::Settings;

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;
/// One minute to 30 days.
constexpr Range kRetention{60'000, 2'592'000'000};

constexpr std::array kLimitsFields = {
    Field<&Limits::caller_connections>("caller_connections", kOptional,
                                       {1, 60'000}),
    Field<&Limits::connections_per_upstream>("connections_per_upstream",
                                             kOptional, {1, 10'000}),
    Field<&Limits::ring_capacity>("ring_capacity", kOptional, {16, 1'000'000}),
    Field<&Limits::memory_mb>("memory_mb", kOptional, {0, 10'000'000})};

}  // namespace

template <>
struct JsonCodec<Limits> : ObjectCodec<Limits, kLimitsFields> {};

namespace {

constexpr std::array kSettingsFields = {
    Field<&Settings::daemon_id>("daemon_id", kRequired),
    Field<&Settings::vm>("vm", kRequired),
    Field<&Settings::failure_domain>("failure_domain", kRequired),
    Field<&Settings::caller_endpoint>("caller_endpoint", kRequired,
                                      kListenPort),
    Field<&Settings::peer_endpoint>("peer_endpoint", kRequired, kListenPort),
    Field<&Settings::operator_endpoint>("operator_endpoint", kRequired,
                                        kListenPort),
    Field<&Settings::log_service_endpoint>("log_service_endpoint", kRequired,
                                           kPort),
    Field<&Settings::vm_list_endpoint>("vm_list_endpoint", kRequired, kPort),
    Field<&Settings::retention>("retention_ms", kOptional, kRetention),
    Field<&Settings::limits>("limits", kOptional)};

struct NamedEndpoint {
  std::string_view name;
  Endpoint Settings::*endpoint;
};

constexpr std::array kEndpoints = {
    NamedEndpoint{"caller_endpoint", &Settings::caller_endpoint},
    NamedEndpoint{"peer_endpoint", &Settings::peer_endpoint},
    NamedEndpoint{"operator_endpoint", &Settings::operator_endpoint},
    NamedEndpoint{"log_service_endpoint", &Settings::log_service_endpoint},
    NamedEndpoint{"vm_list_endpoint", &Settings::vm_list_endpoint}};

/// Reports endpoints that are used for two purposes.
void CheckSettings(const Settings& settings, ConfigProblems& problems) {
  for (std::size_t i = 0; i < kEndpoints.size(); ++i) {
    const Endpoint& endpoint = settings.*kEndpoints.at(i).endpoint;
    if (endpoint.port == 0) continue;
    for (std::size_t j = 0; j < i; ++j) {
      if (settings.*kEndpoints.at(j).endpoint != endpoint) continue;
      problems.push_back({std::string(kEndpoints.at(i).name),
                          "endpoint \"" + bamboorack::ToText(endpoint) +
                              "\" is already used by " +
                              std::string(kEndpoints.at(j).name)});
    }
  }
}

}  // namespace

template <>
struct JsonCodec<Settings> : ObjectCodec<Settings, kSettingsFields> {};

namespace operators {

tl::expected<Settings, ConfigProblems> ParseSettings(std::string_view json) {
  return ReadDocument<Settings>(json, CheckSettings);
}

std::string ToJson(const Settings& settings) {
  return WriteDocument(JsonCodec<Settings>::Write(settings));
}

std::string ToText(const ConfigProblems& problems) {
  std::string text;
  for (const ConfigProblem& problem : problems) {
    if (!problem.path.empty()) text += problem.path + ": ";
    text += problem.message + "\n";
  }
  return text;
}

}  // namespace operators
}  // namespace bamboorack
