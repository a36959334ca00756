#include "bamboorack/upstream/work_left.h"

#include <algorithm>
#include <cmath>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using Seconds = std::chrono::duration<double>;

// A statement loses its weight with this time constant: other programs come and
// go on a host several times per second, and requests end.
constexpr Seconds kStatementMemory{0.3};
constexpr milliseconds kMaxStatementAge{1'500};
constexpr double kUnusualSlowdown = 1.3;
// A load that was just told need not be told again.
constexpr milliseconds kRepeatInterval{150};
constexpr double kSimilarSlowdown = 0.25;
constexpr double kSlowdownSmoothing = 0.02;
// Standard deviation of the number of requests at an upstream, as a share of
// the square root of this number: the counts of other daemons are old.
constexpr double kCountUncertainty = 0.5;

/// Returns the expected excess of a number around `mean` over zero. Close to
/// `mean` where that is well above zero, and still positive below.
double ExpectedExcess(double mean, double deviation) {
  return (mean + std::sqrt(mean * mean + 4 * deviation * deviation)) / 2;
}

/// Whether two loads say the same for a choice.
bool AreSimilar(const StatedLoad& first, const StatedLoad& second) {
  return std::abs(first.slowdown - second.slowdown) < kSimilarSlowdown &&
         (first.waiting > 0) == (second.waiting > 0);
}

}  // namespace

bool IsUnusual(const StatedLoad& load) {
  return load.waiting > 0 || load.slowdown >= kUnusualSlowdown;
}

double Freshness(nanoseconds age) {
  if (age >= kMaxStatementAge) return 0;
  return std::exp(-std::max(Seconds(age), Seconds::zero()) / kStatementMemory);
}

std::optional<UpstreamWork::Request> UpstreamWork::OnEnded(
    DispatchId dispatch) {
  const auto found = std::find_if(this->requests.begin(), this->requests.end(),
                                  [dispatch](const Request& request) {
                                    return request.dispatch == dispatch;
                                  });
  if (found == this->requests.end()) return std::nullopt;
  const Request request = *found;
  this->requests.erase(found);
  return request;
}

bool UpstreamWork::OnLoad(const StatedLoad& load, MonotonicTime stated_at) {
  if (this->heard && stated_at <= this->heard->stated_at) return false;
  this->heard = HeardLoad{load, stated_at,
                          static_cast<std::uint32_t>(this->requests.size())};
  return true;
}

bool UpstreamWork::ShouldTell(const StatedLoad& load, MonotonicTime now) const {
  if (!this->told || Freshness(now - this->told->stated_at) == 0) {
    return IsUnusual(load);
  }
  if (now - this->told->stated_at < kRepeatInterval &&
      AreSimilar(this->told->load, load)) {
    return false;
  }
  return IsUnusual(load) || IsUnusual(this->told->load);
}

void UpstreamWork::OnNewRun() {
  this->heard.reset();
  this->told.reset();
  this->slowness = {};
}

void ServiceSlowdown::OnLoad(const StatedLoad& load, bool was_silent) {
  this->mean += (load.slowdown - this->mean) * kSlowdownSmoothing;
  if (!was_silent) return;
  this->mean_if_silent +=
      (load.slowdown - this->mean_if_silent) * kSlowdownSmoothing;
}

double EstimateSlowdown(const UpstreamWork& work,
                        const ServiceSlowdown& slowdown, MonotonicTime now) {
  if (!work.Heard()) return slowdown.mean_if_silent;
  const double weight = Freshness(now - work.Heard()->stated_at);
  return weight * work.Heard()->load.slowdown +
         (1 - weight) * slowdown.mean_if_silent;
}

ExpectedTimes EstimateTimes(const UpstreamWork& work, std::uint32_t slots,
                            std::uint32_t peer_in_flight,
                            const CostModel& costs,
                            const WorkContext& context) {
  const double slowness = work.Slowness().Value();
  double weight = 0;
  double stated_others = 0;
  double slowdown = context.slowdown.mean_if_silent;
  if (const auto& heard = work.Heard()) {
    weight = Freshness(context.now - heard->stated_at);
    const StatedLoad& load = heard->load;
    stated_others = std::max(0.0, static_cast<double>(load.running) +
                                      load.waiting - heard->own_in_flight);
    slowdown = weight * load.slowdown + (1 - weight) * slowdown;
  }
  const double others = weight * stated_others + (1 - weight) * peer_in_flight;
  const double slot_count = std::max(slots, 1U);

  const double others_running = std::min(others, slot_count);
  Work left = others_running * context.other_rest +
              (others - others_running) * context.other_cost;
  for (const UpstreamWork::Request& request : work.Requests()) {
    const WorkDistribution& cost = costs.At(request.cost);
    const Seconds age = context.now - request.sent_at;
    left += request.is_contended ? cost.Mean()
                                 : cost.MeanRest(age / (slowness * slowdown));
  }

  ExpectedTimes times;
  const double count = others + static_cast<double>(work.Requests().size());
  if (count > 0) {
    // The slots end their requests one after the other, so a request waits for
    // as many ends as there are requests above the slots, itself included.
    const double ends = ExpectedExcess(count + 1 - slot_count,
                                       kCountUncertainty * std::sqrt(count));
    times.wait = left / count * ends / slot_count * slowness * slowdown;
  }
  // A host that is slow now will not be so for all of a long request.
  const Seconds run_now = context.cost * slowness * slowdown;
  const double kept = 1 / (1 + run_now / (2 * kStatementMemory));
  times.run =
      context.cost * slowness *
      (context.slowdown.mean + (slowdown - context.slowdown.mean) * kept);
  return times;
}

}  // namespace bamboorack::upstream
