#ifndef BAMBOORACK_UPSTREAM_SHARE_POLICY_H_
#define BAMBOORACK_UPSTREAM_SHARE_POLICY_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "bamboorack/core/upstream_run.h"

namespace bamboorack::upstream {

/// An upstream to which keys may be assigned.
struct RangeCandidate {
  UpstreamRun run;
  /// Number of slots times the measured speed.
  double capacity = 1;
  std::uint32_t slots = 1;
};

/// Scales the capacities so that the mean speed of all slots is 1. Returns the
/// mean before.
double NormalizeSpeeds(std::vector<RangeCandidate>& candidates);

/// Divides the work of one service among its upstreams.
class SharePolicy {
 public:
  SharePolicy() = default;
  virtual ~SharePolicy() = default;
  SharePolicy(const SharePolicy&) = delete;
  SharePolicy& operator=(const SharePolicy&) = delete;

  /// Named in the log.
  virtual std::string_view Name() const = 0;
  /// Returns the share of each candidate; they add up to 1. `offered` is the
  /// work offered to the service, in slots of speed 1.
  virtual std::vector<double> Shares(
      const std::vector<RangeCandidate>& candidates, double offered) const = 0;
};

/// In proportion to the capacity, whatever the load.
class ShareByCapacity final : public SharePolicy {
 public:
  std::string_view Name() const override { return "capacity"; }
  std::vector<double> Shares(const std::vector<RangeCandidate>& candidates,
                             double offered) const override;
};

/// Such that the mean latency over all requests is lowest: while there is room,
/// fast upstreams get more than in proportion to their capacity. Each upstream
/// is taken for a queue with as many servers as slots. None is planned above
/// `kPlannedUtilization`; from there on the shares are those by capacity.
class ShareByLatency final : public SharePolicy {
 public:
  /// A service's load may nearly double before its keys can move.
  static constexpr double kPlannedUtilization = 0.7;
  /// Of its share by capacity each upstream keeps at least this part, so that
  /// its speed stays known.
  static constexpr double kMinCapacityPart = 0.2;

  std::string_view Name() const override { return "latency"; }
  std::vector<double> Shares(const std::vector<RangeCandidate>& candidates,
                             double offered) const override;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_SHARE_POLICY_H_
