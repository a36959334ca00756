#ifndef BAMBOORACK_TOOLS_PLATFORM_SOAK_CHECKS_H_
#define BAMBOORACK_TOOLS_PLATFORM_SOAK_CHECKS_H_

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace bamboorack::soak {

using Time = std::chrono::steady_clock::time_point;

/// What an upstream did, in the order in which it wrote it.
struct UpstreamEvent {
  enum class Kind : std::uint8_t { kGrant, kRelease, kRun };

  Kind kind = Kind::kRun;
  Time at;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  Time until;
  std::string request;
  bool is_once = false;
};

/// One run of an upstream's process.
struct UpstreamRecord {
  std::string id;
  std::vector<UpstreamEvent> events;
  /// When the process was killed; the largest time if it was not.
  Time ended = Time::max();
  std::string zone{};
};

/// What a client was told of one request that must not be repeated.
struct ClientRecord {
  std::string request;
  /// The HTTP status, or 0 if the connection failed.
  int status = 0;
  bool has_right_body = false;
  /// Whether the names of all headers were valid.
  bool has_valid_head = true;
};

/// The time in which no request may reach a zone.
struct ClosedZone {
  std::string zone;
  Time from;
  Time until;
};

/// Reads the JSON lines of one upstream. Other lines are ignored.
std::vector<UpstreamEvent> ReadEvents(std::istream& in);

/// Returns one line for each broken promise:
/// - no two upstreams hold a key at the same time;
/// - a request that must not be repeated runs once at most;
/// - a request that was refused as not run has not run;
/// - an answer is the answer to its request, and the request has run;
/// - an answer is an HTTP message.
std::vector<std::string> FindBreaches(
    const std::vector<UpstreamRecord>& upstreams,
    const std::vector<ClientRecord>& clients);

/// Returns one line for each request that an upstream in the zone ran within
/// the time.
std::vector<std::string> FindEvacuationBreaches(
    const std::vector<UpstreamRecord>& upstreams, const ClosedZone& closed);

}  // namespace bamboorack::soak

#endif  // BAMBOORACK_TOOLS_PLATFORM_SOAK_CHECKS_H_
