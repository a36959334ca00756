#include "bamboorack/operator/gateway_settings.h"

#include <algorithm>
#include <array>

#include "bamboorack/core/json_fields.h"

namespace bamboorack {

template <>
struct JsonCodec<PlacementMode> {
  static void Read(const JsonValue& value, Range /*range*/,
                   PlacementMode& out) {
    const auto text = value.GetText();
    if (!text) return;
    const auto* const found = std::find(kPlacementModeNames.begin(),
                                        kPlacementModeNames.end(), *text);
    if (found == kPlacementModeNames.end()) {
      value.Fail(value.Shown() +
                 " is not \"automatic\", \"expected_work\" or "
                 "\"latency_score\"");
      return;
    }
    out = static_cast<PlacementMode>(found - kPlacementModeNames.begin());
  }
  static Poco::Dynamic::Var Write(PlacementMode in) {
    return std::string(NameOf(in));
  }
};

namespace {

using operators::GatewaySettings;

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;
constexpr Range kLeaseRange{1'000, 600'000};
constexpr Range kStopRange{1'000, 600'000};
constexpr Range kEvacuationRange{0, 600'000};

constexpr std::array kGatewayFields = {
    Field<&GatewaySettings::daemon_id>("daemon_id", kRequired),
    Field<&GatewaySettings::failure_domain>("failure_domain", kRequired),
    Field<&GatewaySettings::caller_endpoint>("caller_endpoint", kRequired,
                                             kListenPort),
    Field<&GatewaySettings::readiness_endpoint>("readiness_endpoint", kRequired,
                                                kListenPort),
    Field<&GatewaySettings::gossip_endpoint>("gossip_endpoint", kRequired,
                                             kListenPort),
    Field<&GatewaySettings::log_endpoint>("log_endpoint", kRequired, kPort),
    Field<&GatewaySettings::longest_lease>("longest_lease_ms", kOptional,
                                           kLeaseRange),
    Field<&GatewaySettings::stop_time>("stop_ms", kOptional, kStopRange),
    Field<&GatewaySettings::evacuation_time>("evacuation_ms", kOptional,
                                             kEvacuationRange),
    Field<&GatewaySettings::link_mbps>("link_mbps", kOptional, {0, 10'000'000}),
    Field<&GatewaySettings::memory_mb>("memory_mb", kOptional, {0, 10'000'000}),
    Field<&GatewaySettings::caller_connections>("caller_connections", kOptional,
                                                {1, 60'000}),
    Field<&GatewaySettings::connections_per_upstream>(
        "connections_per_upstream", kOptional, {1, 10'000}),
    Field<&GatewaySettings::placement>("placement", kOptional),
    Field<&GatewaySettings::tell_stated_loads>("tell_stated_loads", kOptional)};

}  // namespace

template <>
struct JsonCodec<GatewaySettings>
    : ObjectCodec<GatewaySettings, kGatewayFields> {};

namespace operators {

tl::expected<GatewaySettings, ConfigProblems> ParseGatewaySettings(
    std::string_view json) {
  return ReadDocument<GatewaySettings>(
      json, [](const GatewaySettings& settings, ConfigProblems& problems) {
        if (settings.caller_endpoint.port != 0 &&
            settings.caller_endpoint == settings.readiness_endpoint) {
          problems.push_back(
              {"readiness_endpoint", "is already used by caller_endpoint"});
        }
      });
}

}  // namespace operators
}  // namespace bamboorack
