#include <chrono>
#include <optional>

#include "bamboorack/daemon/gateway_router.h"

// What requests cost and how busy upstreams are: learned here, told to the
// other daemons and heard from them.

namespace bamboorack::daemon {

using std::chrono::milliseconds;
using upstream::UpstreamOutcome;

void GatewayRouter::LearnFromEnd(const PendingRequest& pending,
                                 DispatchId dispatch, UpstreamOutcome outcome,
                                 const upstream::UpstreamNotice& notice) {
  // The owner of a key gets its requests whatever its load is.
  if (pending.is_sharded) return;
  this->placement.OnEnded(pending.upstream, dispatch, pending.service,
                          outcome == UpstreamOutcome::kAnswered, notice.load,
                          this->now);
}

void GatewayRouter::ApplyReportedWork(const peer::LoadReport& report) {
  for (const peer::UpstreamLoad& load : report.upstreams) {
    if (load.latency_ratio == 0) continue;
    const auto found = this->by_hash.find(load.upstream);
    if (found == this->by_hash.end()) continue;
    this->placement.OnLatencyRatioTold(found->second, load.latency_ratio);
  }
  for (const peer::UpstreamStatement& statement : report.statements) {
    const auto found = this->by_hash.find(statement.upstream);
    if (found == this->by_hash.end()) continue;
    const RegisteredUpstream* entry = this->load_balancer.Entry(found->second);
    if (entry == nullptr) continue;
    const upstream::StatedLoad load{statement.running, statement.waiting,
                                    entry->slots, statement.slowdown};
    this->placement.OnLoadTold(found->second, load, statement.age, this->now);
  }
}

void GatewayRouter::AddStatements(peer::LoadReport& report) {
  const auto loads = this->placement.TakeLoadsToTell(this->now);
  if (!this->identity.tells_stated_loads) return;
  for (const upstream::LoadToTell& told : loads) {
    report.statements.push_back(
        {peer::HashOf(told.upstream),
         std::chrono::duration_cast<milliseconds>(told.age), told.load.running,
         told.load.waiting, told.load.slowdown});
  }
  if (report.statements.empty()) return;
  this->metrics.Count("upstream_loads_told", report.statements.size());
}

void GatewayRouter::CountPlacements() {
  const upstream::PlacementCounts counts = this->placement.TakeCounts();
  this->metrics.Count("placements_expected_work", counts.by_expected_work);
  this->metrics.Count("placements_latency_score", counts.by_latency_score);
  this->metrics.Count("upstream_loads_stated", counts.loads_heard);
  this->metrics.Count("upstream_loads_received", counts.loads_told);
  this->metrics.Count("upstream_loads_too_old", counts.loads_too_old);
}

}  // namespace bamboorack::daemon
