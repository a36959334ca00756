#include "bamboorack/peer/probe_monitor.h"

#include <algorithm>

namespace bamboorack::peer {

ProbeMonitor::ProbeMonitor(MonotonicTime connected_at)
    : silent_deadline(connected_at + kProbeTimeout),
      next_probe_at(connected_at) {}

std::optional<std::uint64_t> ProbeMonitor::NextProbe(MonotonicTime now) {
  if (now < this->next_probe_at) return std::nullopt;
  this->next_probe_at = now + kProbeInterval;
  return ++this->last_probe;
}

void ProbeMonitor::OnAck(std::uint64_t id, MonotonicTime now) {
  if (id == 0 || id > this->last_probe) return;
  this->silent_deadline = now + kProbeTimeout;
}

bool ProbeMonitor::IsLost(MonotonicTime now) const {
  return now >= this->silent_deadline;
}

MonotonicTime ProbeMonitor::NextCheck() const {
  return std::min(this->silent_deadline, this->next_probe_at);
}

}  // namespace bamboorack::peer
