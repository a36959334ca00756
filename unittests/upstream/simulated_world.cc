#include "upstream/simulated_world.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace bamboorack::upstream {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kLogReadInterval{100};
constexpr milliseconds kLogReadTimeout{400};
constexpr milliseconds kVmListReadInterval{500};
/// A drift of 0.1 %, the maximum that the design tolerates.
constexpr std::int64_t kMaxDriftPpm = 1000;

}  // namespace

SimulatedWorld::SimulatedWorld(const WorldOptions& world_options)
    : options(world_options),
      group{ServiceName("reader"), FailureDomain("east"), 0},
      random(world_options.seed) {
  Inventory inventory;
  ServiceEntry service;
  service.name = this->group.service;
  service.checks_tokens = this->options.checks_tokens;
  service.shard_count = this->options.shards;
  for (int i = 0; i < this->options.upstreams; ++i) {
    const std::string number = std::to_string(i);
    service.upstreams.push_back(
        {UpstreamId("u" + number), VmId("vm-u" + number),
         Endpoint{"127.0.0.1", 1}, this->group.failure_domain, 6, 1.0});
  }
  for (int i = 0; i < this->options.daemons; ++i) {
    const std::string number = std::to_string(i);
    inventory.daemons.push_back({DaemonId("d" + number), VmId("vm-d" + number),
                                 this->group.failure_domain,
                                 Endpoint{"127.0.0.1", 2}});
  }
  inventory.services.push_back(service);
  this->Publish(InventoryPublished{Revision(), inventory});
  ServiceRules service_rules;
  service_rules.on_log_loss = this->options.on_log_loss;
  this->PublishRules(service_rules);
  this->hosts.resize(this->options.upstreams);
  for (int i = 0; i < this->options.upstreams; ++i) this->StartUpstream(i);
  this->nodes.resize(this->options.daemons);
  for (int i = 0; i < this->options.daemons; ++i) {
    // The clocks have the maximum drift in both directions.
    this->nodes[i].clock = {std::chrono::seconds(100 * (i + 1)),
                            i % 2 == 0 ? -kMaxDriftPpm : kMaxDriftPpm};
    this->RestartDaemon(i);
    this->TickDaemon(i);
  }
}

void SimulatedWorld::ScheduleAt(TrueTime time, std::function<void()> event) {
  this->events.emplace(time, std::move(event));
}

void SimulatedWorld::ScheduleAfter(std::chrono::nanoseconds delay,
                                   std::function<void()> event) {
  this->ScheduleAt(this->now + delay, std::move(event));
}

std::chrono::nanoseconds SimulatedWorld::Delay() {
  const std::chrono::nanoseconds max = this->network.max_delay;
  return std::chrono::nanoseconds(this->random() %
                                  static_cast<std::uint64_t>(max.count() + 1));
}

bool SimulatedWorld::DrawChance(int percent) {
  return this->random() % 100 < static_cast<std::uint64_t>(percent);
}

MonotonicTime SimulatedWorld::ClockOf(const DaemonNode& node) const {
  return MonotonicTime(node.clock.Read(this->now));
}

void SimulatedWorld::Run(milliseconds duration) {
  this->RunUntil([] { return false; }, duration);
}

bool SimulatedWorld::RunUntil(const std::function<bool()>& condition,
                              milliseconds limit) {
  const TrueTime end = this->now + limit;
  while (this->violation.empty()) {
    if (condition()) return true;
    const auto next = this->events.begin();
    if (next == this->events.end() || next->first > end) break;
    const auto event = std::move(next->second);
    this->now = next->first;
    this->events.erase(next);
    event();
    this->Check();
  }
  this->now = std::max(this->now, end);
  return condition();
}

void SimulatedWorld::Deliver(int daemon, int start,
                             std::function<void()> event) {
  DaemonNode& node = this->nodes[daemon];
  if (node.starts != start) return;
  if (node.is_paused) {
    node.inbox.push_back(std::move(event));
    return;
  }
  event();
}

void SimulatedWorld::TickDaemon(int daemon) {
  this->ScheduleAfter(kTickInterval,
                      [this, daemon] { this->TickDaemon(daemon); });
  DaemonNode& node = this->nodes[daemon];
  if (node.is_paused) return;
  if (this->now >= node.next_read) this->ReadLog(daemon);
  if (this->now >= node.next_vm_list_read) this->ReadVmList(daemon);
  this->Send(daemon, node.daemon->Tick(this->ClockOf(node)));
}

void SimulatedWorld::ReadLog(int daemon) {
  DaemonNode& node = this->nodes[daemon];
  if (node.is_reading && this->now < node.read_sent + kLogReadTimeout) return;
  node.is_reading = true;
  node.read_sent = this->now;
  node.next_read = this->now + kLogReadInterval;
  if (this->log_cuts.contains(daemon)) return;
  const MonotonicTime sent_at = this->ClockOf(node);
  this->ScheduleAfter(this->Delay(), [this, daemon, start = node.starts,
                                      sent_at] {
    const std::size_t count = this->log.records.size();
    this->ScheduleAfter(this->Delay(), [this, daemon, start, sent_at, count] {
      this->Deliver(daemon, start, [this, daemon, sent_at, count] {
        DaemonNode& reader = this->nodes[daemon];
        reader.is_reading = false;
        if (!reader.daemon->OnRead(this->log, count, sent_at,
                                   this->ClockOf(reader))) {
          this->RecordViolation(
              "the owners of a slow log reader differ from those of the head "
              "reader");
        }
      });
    });
  });
}

std::map<VmId, std::string> SimulatedWorld::VmsNow() const {
  std::map<VmId, std::string> vms;
  for (std::size_t i = 0; i < this->hosts.size(); ++i) {
    const UpstreamHost& host = this->hosts[i];
    if (!host.process || host.is_hidden) continue;
    vms[host.process->vm] = std::to_string(host.vm_instances);
  }
  return vms;
}

void SimulatedWorld::ReadVmList(int daemon) {
  DaemonNode& node = this->nodes[daemon];
  node.next_vm_list_read = this->now + kVmListReadInterval;
  const auto shown =
      this->vm_history.upper_bound(this->now - this->vm_list_lag);
  if (shown == this->vm_history.begin()) return;
  node.daemon->OnVmList(std::prev(shown)->second, this->ClockOf(node));
}

void SimulatedWorld::SendHeartbeats(int daemon,
                                    const std::vector<DaemonId>& targets) {
  DaemonNode& node = this->nodes[daemon];
  if (this->now < node.next_heartbeat) return;
  node.next_heartbeat = this->now + kHeartbeatInterval;
  for (int other = 0; other < this->options.daemons; ++other) {
    const DaemonId& to = this->nodes[other].daemon->Id();
    if (std::find(targets.begin(), targets.end(), to) == targets.end()) {
      continue;
    }
    if (this->daemon_cuts.contains(std::minmax(daemon, other))) continue;
    if (this->DrawChance(this->network.loss_percent)) continue;
    const int start = this->nodes[other].starts;
    this->ScheduleAfter(this->Delay(), [this, daemon, other, start] {
      this->Deliver(other, start, [this, daemon, other] {
        DaemonNode& receiver = this->nodes[other];
        receiver.daemon->OnHeartbeat(this->nodes[daemon].daemon->Id(),
                                     this->ClockOf(receiver));
      });
    });
  }
}

void SimulatedWorld::Send(int daemon, DaemonOutput output) {
  for (const ControlCall& call : output.calls) this->SendCall(daemon, call);
  for (const Record& record : output.appends) {
    this->AppendRecord(daemon, record);
  }
  if (!output.heartbeats.empty()) {
    this->SendHeartbeats(daemon, output.heartbeats);
  }
}

void SimulatedWorld::AppendRecord(int daemon, const Record& record) {
  if (this->log_cuts.contains(daemon)) return;
  // An append may be lost, take effect late, or be repeated by the writer with
  // the same id because its answer was lost.
  if (this->DrawChance(this->network.loss_percent)) return;
  constexpr int kRepeatDelayFactor = 10;
  const int copies = this->DrawChance(this->network.duplicate_percent) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    this->ScheduleAfter(
        this->Delay() + copy * kRepeatDelayFactor * this->Delay(),
        [this, record] { this->log.Append(record); });
  }
}

void SimulatedWorld::SendCall(int daemon, const ControlCall& call) {
  DaemonNode& node = this->nodes[daemon];
  const int start = node.starts;
  // The call fails at its deadline, unless an answer arrives earlier.
  const auto timeout = call.deadline - this->ClockOf(node);
  this->Answer(
      daemon, start,
      {call.id, call.upstream, tl::make_unexpected(ControlError::kUnreachable)},
      timeout);
  auto transmit = [this, daemon, start, call] {
    this->Transmit(daemon, start, call);
  };
  if (node.holds_calls) {
    node.send_buffer.push_back(std::move(transmit));
    return;
  }
  transmit();
}

void SimulatedWorld::Transmit(int daemon, int start, const ControlCall& call) {
  const int upstream = std::stoi(call.upstream.value.substr(1));
  if (this->upstream_cuts.contains({daemon, upstream})) return;
  if (this->DrawChance(this->network.loss_percent)) return;
  // A copy arrives directly after the original. HTTP does not repeat a request
  // by itself, so no copy arrives after the answer to the original.
  const int copies = this->DrawChance(this->network.duplicate_percent) ? 2 : 1;
  this->ScheduleAfter(this->Delay(),
                      [this, daemon, start, call, upstream, copies] {
                        for (int copy = 0; copy < copies; ++copy) {
                          this->Arrive(daemon, start, call, upstream);
                        }
                      });
}

void SimulatedWorld::Arrive(int daemon, int start, const ControlCall& call,
                            int upstream) {
  UpstreamHost& host = this->hosts[upstream];
  if (host.is_frozen) {
    host.deferred_calls.emplace_back([this, daemon, start, call, upstream] {
      this->Arrive(daemon, start, call, upstream);
    });
    return;
  }
  const ControlResult refused{call.id, call.upstream,
                              tl::make_unexpected(ControlError::kUnreachable)};
  if (!host.process) {
    this->Answer(daemon, start, refused, this->Delay());
    return;
  }
  const ControlResult result{call.id, call.upstream,
                             host.process->Handle(call.request, this->now)};
  if (this->upstream_cuts.contains({daemon, upstream})) return;
  if (this->DrawChance(this->network.loss_percent)) return;
  this->Answer(daemon, start, result, this->Delay());
  if (this->DrawChance(this->network.duplicate_percent)) {
    this->Answer(daemon, start, result, 2 * this->Delay());
  }
}

void SimulatedWorld::Answer(int daemon, int start, const ControlResult& result,
                            std::chrono::nanoseconds delay) {
  this->ScheduleAfter(delay, [this, daemon, start, result] {
    this->Deliver(daemon, start, [this, daemon, result] {
      DaemonNode& node = this->nodes[daemon];
      this->Send(daemon,
                 node.daemon->OnControlResult(result, this->ClockOf(node)));
    });
  });
}

}  // namespace bamboorack::upstream
