#include "bamboorack/upstream/burst_limit.h"

#include <algorithm>
#include <cmath>

namespace bamboorack::upstream {
namespace {

// Requests arrive unevenly at the daemons, so one of them may take this
// multiple of its even part of the free places.
constexpr double kUnevenness = 2;

}  // namespace

bool BurstLimit::Allows(double free_places, std::size_t daemons,
                        MonotonicTime now) const {
  if (now >= this->interval_end) return true;
  // The own unreported requests already take places.
  const double places = free_places + this->unreported;
  const double part = kUnevenness * places / static_cast<double>(daemons);
  return this->unreported < std::max(1.0, std::ceil(part));
}

void BurstLimit::OnSent(MonotonicTime now, MonotonicTime reported_by) {
  if (now >= this->interval_end) {
    this->unreported = 0;
    this->interval_end = reported_by;
  }
  ++this->unreported;
}

}  // namespace bamboorack::upstream
