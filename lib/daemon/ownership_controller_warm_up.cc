#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bamboorack/core/text_of.h"
#include "bamboorack/daemon/ownership_controller.h"

// Upstreams that warm up, and the directory of daemons from which each daemon
// derives its turns at them.

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

// A move and its return take longer than this, so keys stay where they are for
// the rest of a warm-up.
constexpr milliseconds kMinWarmUpForMove{700};
// Warm upstreams with a smaller share of a service's capacity do not get the
// keys of the cold ones. Upstreams that start together become warm one after
// the other, and the first one would get all keys.
constexpr double kMinWarmShare = 0.25;
// Daemons that start together register within this time. Turns that were
// derived from a directory without some of them would follow too fast.
constexpr std::chrono::seconds kDirectorySettleTime{2};

double CapacityOf(const std::vector<upstream::RangeCandidate>& candidates) {
  double sum = 0;
  for (const upstream::RangeCandidate& candidate : candidates) {
    sum += candidate.capacity;
  }
  return sum;
}

}  // namespace

bool OwnershipController::HasWarmUpRate(const RegisteredUpstream& entry) const {
  if (!this->tables.desired) return false;
  const ServiceSpec* service = this->tables.desired->FindService(entry.service);
  return service != nullptr && service->warm_up_request_rate.has_value();
}

bool OwnershipController::IsTooColdForKeys(
    const RegisteredUpstream& entry) const {
  return entry.cold_until > this->now + kMinWarmUpForMove &&
         this->HasWarmUpRate(entry);
}

void OwnershipController::KeepColdIfMost(
    std::vector<upstream::RangeCandidate>& warm,
    const std::vector<upstream::RangeCandidate>& cold) {
  const double warm_capacity = CapacityOf(warm);
  const double all_capacity = warm_capacity + CapacityOf(cold);
  if (warm_capacity >= all_capacity * kMinWarmShare) return;
  warm.insert(warm.end(), cold.begin(), cold.end());
}

void OwnershipController::LogColdUpstreams() {
  for (const RegisteredUpstream& entry : *this->tables.upstreams) {
    if (entry.cold_until <= this->now || !this->HasWarmUpRate(entry)) continue;
    MonotonicTime& known = this->cold_upstreams[entry.run];
    if (std::exchange(known, entry.cold_until) == entry.cold_until) continue;
    this->LogEvent(
        EventKind::kBelief, "upstream_cold",
        {{"upstream", entry.run.id.value},
         {"life", TextOf(entry.run.life)},
         {"left_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        entry.cold_until - this->now)
                                        .count())}});
  }
}

void OwnershipController::LogWarmUpstreams() {
  std::erase_if(this->cold_upstreams, [this](const auto& item) {
    if (this->now < item.second) return false;
    this->LogEvent(
        EventKind::kBelief, "upstream_warm",
        {{"upstream", item.first.id.value}, {"life", TextOf(item.first.life)}});
    return true;
  });
}

void OwnershipController::SetDirectory(std::vector<DaemonId> daemons) {
  std::sort(daemons.begin(), daemons.end());
  this->directory_read_at = this->now;
  const bool is_settled = daemons == this->directory;
  this->directory = std::move(daemons);
  const bool is_published =
      this->tables.daemons && *this->tables.daemons == this->directory;
  if (!is_settled || is_published) return;
  this->tables.daemons =
      std::make_shared<const std::vector<DaemonId>>(this->directory);
  this->has_new_tables = true;
}

bool OwnershipController::IsDirectoryUnsettled() const {
  if (!this->tables.desired || this->directory.empty()) return false;
  const auto& services = this->tables.desired->services;
  const bool is_needed = std::any_of(
      services.begin(), services.end(), [](const ServiceSpec& service) {
        return service.warm_up_request_rate.has_value();
      });
  const bool is_published =
      this->tables.daemons && *this->tables.daemons == this->directory;
  return is_needed && !is_published &&
         this->now >= this->directory_read_at + kDirectorySettleTime;
}

}  // namespace bamboorack::daemon
