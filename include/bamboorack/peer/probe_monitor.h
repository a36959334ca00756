#ifndef BAMBOORACK_PEER_PROBE_MONITOR_H_
#define BAMBOORACK_PEER_PROBE_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "bamboorack/core/time.h"

namespace bamboorack::peer {

inline constexpr std::chrono::milliseconds kProbeInterval{150};
inline constexpr std::chrono::milliseconds kProbeTimeout{450};

/// Finds out whether one connection still carries data. New connections may
/// work while an old one is silent, so the probe uses the connection itself.
class ProbeMonitor {
 public:
  explicit ProbeMonitor(MonotonicTime connected_at);

  /// Returns the id of a probe to send now, if one is due.
  std::optional<std::uint64_t> NextProbe(MonotonicTime now);
  /// Takes the answer to a probe. Answers to ids never sent are ignored.
  void OnAck(std::uint64_t id, MonotonicTime now);
  /// Returns whether the connection has been silent for `kProbeTimeout`.
  bool IsLost(MonotonicTime now) const;
  /// Returns when `NextProbe` or `IsLost` has to be asked again.
  MonotonicTime NextCheck() const;

 private:
  MonotonicTime silent_deadline;
  MonotonicTime next_probe_at;
  std::uint64_t last_probe = 0;
};

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_PROBE_MONITOR_H_
