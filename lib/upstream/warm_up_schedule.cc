#include "bamboorack/upstream/warm_up_schedule.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "bamboorack/core/hash.h"

namespace bamboorack::upstream {
namespace {

using std::chrono::nanoseconds;
using Seconds = std::chrono::duration<double>;

// An upstream that warms up survives up to this factor of its rate plus
// `kBurstAllowance` requests in any second.
constexpr double kRateFactor = 1.5;
constexpr double kBurstAllowance = 8;
// Part of `kBurstAllowance` that is kept for daemons whose directories differ.
constexpr double kDirectoryReserve = 2;

/// Returns the rate at which turns of all daemons follow each other. In a
/// second fall at most `rate * (1 s + spread + length) + 1` of them; that must
/// stay within the allowance.
double TurnRate(double tolerated) {
  const double window =
      Seconds(std::chrono::seconds(1) + WarmUpSchedule::kMaxAnchorSpread +
              WarmUpSchedule::kTurnLength)
          .count();
  const double allowance =
      tolerated * kRateFactor + kBurstAllowance - kDirectoryReserve;
  return std::min(tolerated, (allowance - 1) / window);
}

/// Returns a number from 0 to 1 that differs between runs, so that the last
/// turns of warm-ups do not always fall to the same daemons.
double RotationOf(const UpstreamRun& run) {
  const std::uint64_t hash =
      CombineHashes(HashText(run.id.value), run.life.value);
  return std::ldexp(static_cast<double>(hash), -64);
}

// Far longer than any warm-up, so that a very low rate gives a valid time.
constexpr Seconds kLongestInterval{3'600};

}  // namespace

WarmUpSchedule::WarmUpSchedule(const DesiredState& desired,
                               const std::vector<DaemonId>& daemons,
                               const DaemonId& own) {
  for (const ServiceSpec& service : desired.services) {
    if (!service.warm_up_request_rate) continue;
    this->rates.emplace(service.name, TurnRate(*service.warm_up_request_rate));
  }
  const auto found = std::lower_bound(daemons.begin(), daemons.end(), own);
  if (found == daemons.end() || *found != own) return;
  this->place =
      Place{static_cast<std::size_t>(found - daemons.begin()), daemons.size()};
}

bool WarmUpSchedule::IsCold(const RegisteredUpstream& entry,
                            MonotonicTime now) const {
  return now < entry.cold_until && this->rates.contains(entry.service);
}

std::optional<WarmUpSchedule::Turns> WarmUpSchedule::TurnsAt(
    const RegisteredUpstream& entry) const {
  const auto rate = this->rates.find(entry.service);
  if (rate == this->rates.end() || !this->place) return std::nullopt;
  const auto count = static_cast<double>(this->place->daemon_count);
  const Seconds interval =
      std::min(Seconds(count / rate->second), kLongestInterval);
  const double cycles =
      static_cast<double>(this->place->rank) / count + RotationOf(entry.run);
  const Seconds last_offset = interval * (cycles - std::floor(cycles));
  const auto spacing = std::chrono::ceil<nanoseconds>(interval);
  return Turns{spacing, std::min<nanoseconds>(kTurnLength, spacing / 2),
               std::chrono::duration_cast<nanoseconds>(last_offset)};
}

bool WarmUpSchedule::MaySend(const RegisteredUpstream& entry,
                             std::optional<MonotonicTime> turn_used,
                             MonotonicTime now) const {
  return this->NextStart(entry, turn_used, 0, now) <= now;
}

MonotonicTime WarmUpSchedule::NextStart(const RegisteredUpstream& entry,
                                        std::optional<MonotonicTime> turn_used,
                                        std::size_t ahead,
                                        MonotonicTime now) const {
  if (!this->IsCold(entry, now)) return now;
  const auto turns = this->TurnsAt(entry);
  if (!turns) return entry.cold_until;
  // The spacing holds also if the end of the warm-up, and so all turns, move.
  MonotonicTime earliest = now;
  if (turn_used) {
    earliest = std::max(earliest, *turn_used + turns->interval - turns->length);
  }
  // The first turn that has not ended by then.
  const MonotonicTime last_turn = entry.cold_until - turns->last_offset;
  const nanoseconds until_last = last_turn + turns->length - earliest;
  if (until_last.count() <= 0) return entry.cold_until;
  const auto turns_after = (until_last.count() - 1) / turns->interval.count();
  MonotonicTime start = last_turn - turns_after * turns->interval;
  if (static_cast<std::int64_t>(ahead) > turns_after) return entry.cold_until;
  start += static_cast<std::int64_t>(ahead) * turns->interval;
  return std::min(std::max(start, earliest), entry.cold_until);
}

}  // namespace bamboorack::upstream
