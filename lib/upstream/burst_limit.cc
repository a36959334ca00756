#include "bamboorack/upstream/burst_limit.h"

#include <algorithm>
#include <cmath>

namespace bamboorack::upstream {
namespace {

// Requests arrive unevenly at the daemons, so one of them may take this
// multiple of its even part of the free places.
constexpr double kUnevenness = 2;

}  // namespace

bool BurstLimit::Allows(double free_places, std::uint32_t in_flight,
                        std::size_t daemon_count, MonotonicTime now) const {
  if (now >= this->interval_end) return true;
  // Requests that have ended take no place, so a fast upstream is not held
  // back.
  const std::uint32_t unknown = std::min(this->unreported, in_flight);
  const double part =
      kUnevenness * (free_places + unknown) / static_cast<double>(daemon_count);
  return unknown < std::max(1.0, std::ceil(part));
}

void BurstLimit::OnSent(MonotonicTime now, MonotonicTime report_due) {
  if (now >= this->interval_end) {
    this->unreported = 0;
    this->interval_end = report_due;
  }
  ++this->unreported;
}

}  // namespace bamboorack::upstream
