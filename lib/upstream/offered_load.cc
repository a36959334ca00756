#include "bamboorack/upstream/offered_load.h"

#include <chrono>
#include <cmath>
#include <utility>

namespace bamboorack::upstream {
namespace {

using Seconds = std::chrono::duration<double>;

// 300 daemons report every 2.3 s.
constexpr std::chrono::seconds kMaxReportAge{3};
constexpr Seconds kRiseHalfLife{0.5};
constexpr Seconds kFallHalfLife{20};

double ValueOf(const WorkByService& work, const ServiceName& service) {
  const auto found = work.find(service);
  return found == work.end() ? 0 : found->second;
}

}  // namespace

void OfferedLoad::SetReport(const DaemonId& daemon, WorkByService work,
                            MonotonicTime now) {
  this->DropOldReports(now);
  this->reports[daemon] = {std::move(work), now};
}

void OfferedLoad::DropOldReports(MonotonicTime now) {
  std::erase_if(this->reports, [now](const auto& item) {
    return now - item.second.at > kMaxReportAge;
  });
}

void OfferedLoad::Update(MonotonicTime now) {
  this->DropOldReports(now);
  this->current.clear();
  for (const auto& [daemon, report] : this->reports) {
    for (const auto& [service, work] : report.work) {
      this->current[service] += work;
    }
  }
  const Seconds elapsed = now - std::exchange(this->updated_at, now);
  for (const auto& [service, work] : this->current) {
    this->smoothed.try_emplace(service, work);
  }
  for (auto& [service, value] : this->smoothed) {
    const double change = ValueOf(this->current, service) - value;
    const Seconds half_life = change > 0 ? kRiseHalfLife : kFallHalfLife;
    value += change * (1 - std::exp2(-elapsed / half_life));
  }
  std::erase_if(this->smoothed, [this](const auto& item) {
    constexpr double kNothing = 0.001;
    return item.second < kNothing && !this->current.contains(item.first);
  });
}

double OfferedLoad::Current(const ServiceName& service) const {
  return ValueOf(this->current, service);
}

double OfferedLoad::Smoothed(const ServiceName& service) const {
  return ValueOf(this->smoothed, service);
}

}  // namespace bamboorack::upstream
