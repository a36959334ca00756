#include "daemon/router_simulation.h"

#include <algorithm>
#include <utility>

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDaemonCount = 3;
constexpr std::size_t kKeyCount = 24;
constexpr milliseconds kTickInterval{5};
constexpr milliseconds kMaxRepeatDelay{1000};

}  // namespace

RouterSimulation::RouterSimulation(
    const SimulationSettings& simulation_settings)
    : settings(simulation_settings), now(std::chrono::hours(1)) {
  for (std::size_t i = 0; i < kDaemonCount; ++i) {
    Daemon& daemon = this->daemons.emplace_back();
    daemon.id = DaemonId("d" + std::to_string(i));
    daemon.metrics = std::make_unique<Metrics>();
    daemon.router = std::make_unique<Router>(daemon.id, *daemon.metrics);
  }
  this->BuildInitialState();
  for (std::size_t i = 0; i < kDaemonCount; ++i) this->ScheduleTableRefresh(i);
}

std::uint64_t RouterSimulation::Draw(std::uint64_t below) {
  // The splitmix64 generator.
  this->random_state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t value = this->random_state;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return (value ^ (value >> 31U)) % below;
}

std::uint64_t RouterSimulation::DrawCopies() {
  return this->Draw(20) == 0 ? 2 : 1;
}

milliseconds RouterSimulation::DrawDelay() {
  const milliseconds longest =
      this->Draw(20) == 0 ? milliseconds(300) : this->max_delay;
  return milliseconds(
      this->Draw(static_cast<std::uint64_t>(longest.count()) + 1));
}

std::size_t RouterSimulation::IndexOfDaemon(const DaemonId& id) const {
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].id == id) return i;
  }
  return 0;
}

void RouterSimulation::At(MonotonicTime when, Handler handler) {
  this->events.emplace(std::max(when, this->now), std::move(handler));
}

void RouterSimulation::RunUntil(MonotonicTime until) {
  while (this->now < until) {
    const MonotonicTime next_tick = std::min(until, this->now + kTickInterval);
    while (!this->events.empty() && this->events.begin()->first <= next_tick) {
      this->now = std::max(this->now, this->events.begin()->first);
      const Handler handler = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      handler();
    }
    this->now = next_tick;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      Daemon& daemon = this->daemons[i];
      if (daemon.paused_until > this->now) continue;
      if (daemon.router->NextWakeup() > this->now) continue;
      this->ExecuteActions(i, daemon.router->Tick(this->now));
      if (daemon.router->NextWakeup() <= this->now) {
        this->ExecuteActions(i, daemon.router->Tick(this->now));
      }
    }
    this->oracle.CheckDeadlines(this->now);
  }
}

// Calls a router. Defers the call if the process is paused, and drops it if the
// process was restarted.
void RouterSimulation::CallRouter(std::size_t index, std::uint64_t generation,
                                  Reply reply) {
  Daemon& daemon = this->daemons[index];
  if (daemon.generation != generation) return;
  if (daemon.paused_until > this->now) {
    this->At(daemon.paused_until, [this, index, generation, reply] {
      this->CallRouter(index, generation, reply);
    });
    return;
  }
  this->ExecuteActions(index, reply(*daemon.router, this->now));
}

void RouterSimulation::ExecuteActions(std::size_t index,
                                      RouterActions&& actions) {
  for (RouterAction& action : actions) {
    std::visit(
        [this, index](auto&& item) {
          this->Execute(index, std::forward<decltype(item)>(item));
        },
        std::move(action));
  }
}

void RouterSimulation::Execute(std::size_t /*index*/,
                               caller::ToCaller&& action) {
  this->oracle.OnEnded(action.slot.value, action.result, this->now);
}

void RouterSimulation::Execute(std::size_t index, peer::SendForward&& action) {
  const std::uint64_t generation = this->daemons[index].generation;
  const ForwardId id = action.id;
  const auto fail = [=, this](Result result, milliseconds after) {
    this->At(this->now + after, [=, this] {
      this->CallRouter(
          index, generation, [=](Router& router, MonotonicTime at) {
            return router.OnPeer(peer::ForwardAnswered{id, result}, at);
          });
    });
  };
  if (this->Draw(100) < this->loss_percent) {
    fail(NotRun(Reason::kPeerLost), milliseconds(this->Draw(5)));
    return;
  }
  if (this->Draw(100) < this->loss_percent) {
    if (this->Draw(2) == 0) fail(Unknown(Reason::kPeerLost), milliseconds(450));
    return;
  }
  const std::size_t target = this->IndexOfDaemon(action.to);
  const peer::ReturnPath path{this->daemons[index].id,
                              ConnectionGeneration(generation), id};
  const milliseconds delay = this->DrawDelay();
  Request request = action.request;
  request.deadline += delay;
  const std::uint64_t target_generation = this->daemons[target].generation;
  this->At(this->now + delay, [=, this] {
    if (this->daemons[target].generation != target_generation) {
      fail(Unknown(Reason::kPeerLost), milliseconds(1));
      return;
    }
    this->CallRouter(
        target, target_generation, [=](Router& router, MonotonicTime at) {
          return router.OnPeer(peer::ForwardArrived{path, request}, at);
        });
  });
}

void RouterSimulation::Execute(std::size_t index, peer::SendCancel&& action) {
  if (this->Draw(100) < this->loss_percent) return;
  const std::size_t target = this->IndexOfDaemon(action.to);
  const std::uint64_t generation = this->daemons[target].generation;
  const peer::ReturnPath path{
      this->daemons[index].id,
      ConnectionGeneration(this->daemons[index].generation), action.id};
  this->At(this->now + this->DrawDelay(), [=, this] {
    this->CallRouter(target, generation, [=](Router& router, MonotonicTime at) {
      return router.OnPeer(peer::ForwardCancelled{path}, at);
    });
  });
}

void RouterSimulation::Execute(std::size_t /*index*/,
                               peer::SendAnswer&& action) {
  const std::size_t target = this->IndexOfDaemon(action.to.daemon);
  const std::uint64_t generation = action.to.generation.value;
  const ForwardId id = action.to.id;
  Result result = std::move(action.result);
  if (this->Draw(100) < this->loss_percent) {
    result = Unknown(Reason::kPeerLost);
  }
  for (std::uint64_t copies = this->DrawCopies(); copies > 0; --copies) {
    this->At(this->now + this->DrawDelay(), [=, this] {
      this->CallRouter(
          target, generation, [=](Router& router, MonotonicTime at) {
            return router.OnPeer(peer::ForwardAnswered{id, result}, at);
          });
    });
  }
}

void RouterSimulation::Execute(std::size_t index, upstream::Dispatch&& action) {
  Daemon& daemon = this->daemons[index];
  auto& in_flight = daemon.in_flight[action.upstream];
  in_flight.insert(action.id);
  this->oracle.OnDispatch(action, *daemon.table, in_flight.size(), this->now);
  auto sent = std::make_shared<SentDispatch>();
  sent->daemon = index;
  sent->generation = daemon.generation;
  sent->dispatch = std::move(action);
  this->sent_dispatches[{index, sent->dispatch.id}] = sent;
  this->At(this->now + milliseconds(this->Draw(4)),
           [this, sent] { this->Write(sent); });
}

void RouterSimulation::Execute(std::size_t index,
                               upstream::CancelDispatch&& action) {
  const auto found = this->sent_dispatches.find({index, action.id});
  if (found == this->sent_dispatches.end()) return;
  const std::shared_ptr<SentDispatch> sent = found->second;
  sent->is_cancelled = true;
  this->Answer(sent, sent->is_written ? Result(Unknown(Reason::kCancelled))
                                      : Result(NotRun(Reason::kCancelled)));
}

void RouterSimulation::Execute(std::size_t index,
                               upstream::ControlCall&& action) {
  const std::uint64_t generation = this->daemons[index].generation;
  const upstream::ControlCall call = std::move(action);
  this->At(this->now + this->DrawDelay(), [=, this] {
    const upstream::ControlResult result = this->SettleResult(call);
    this->At(this->now + this->DrawDelay(), [=, this] {
      this->CallRouter(index, generation,
                       [=](Router& router, MonotonicTime at) {
                         return router.OnUpstream(result, at);
                       });
    });
  });
}

void RouterSimulation::Submit(std::size_t index, const Request& request) {
  const std::uint64_t attempt = this->next_number++;
  this->oracle.OnSent(attempt, request, this->now);
  Daemon& daemon = this->daemons[index];
  this->CallRouter(
      index, daemon.generation, [=](Router& router, MonotonicTime at) {
        return router.OnCaller(
            caller::RequestArrived{caller::CallerSlot{attempt}, request}, at);
      });
  if (daemon.paused_until > this->now) {
    this->oracle.OnPaused({attempt}, daemon.paused_until);
  }
  this->attempts_by_daemon[index].push_back(attempt);
}

void RouterSimulation::Advance(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  this->RunUntil(this->now + milliseconds(1 + this->Draw(80)));
}

void RouterSimulation::SendRequest(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  const std::uint64_t burst = this->Draw(8) == 0 ? 12 : 1;
  for (std::uint64_t i = 0; i < burst; ++i) {
    Request request;
    request.id = RequestId("r" + std::to_string(this->next_number++));
    request.service = ServiceName("svc");
    request.key = "key" + std::to_string(this->Draw(kKeyCount));
    request.method = "POST";
    request.body = std::make_shared<const std::string>(
        "body" + std::to_string(this->Draw(1000)));
    const bool is_once = this->Draw(100) < static_cast<std::uint64_t>(
                                               this->settings.once_percent);
    const Rank other = this->Draw(3) == 0 ? Rank::kBulk : Rank::kLookup;
    request.rank = is_once ? Rank::kOnce : other;
    request.deadline = this->now + milliseconds(20 + this->Draw(1500));
    if (is_once) this->once_requests.push_back(request);
    this->Submit(this->Draw(this->daemons.size()), request);
  }
}

void RouterSimulation::RepeatRequest(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  if (this->once_requests.empty()) return;
  const std::uint64_t back =
      this->Draw(std::min<std::uint64_t>(this->once_requests.size(), 12));
  Request request = this->once_requests[this->once_requests.size() - 1 - back];
  // The id memory does not cover later repetitions.
  if (request.deadline + kMaxRepeatDelay < this->now) return;
  request.deadline = this->now + milliseconds(20 + this->Draw(1500));
  this->Submit(this->Draw(this->daemons.size()), request);
}

void RouterSimulation::LoseCaller(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  const std::size_t index = this->Draw(this->daemons.size());
  const auto& attempts = this->attempts_by_daemon[index];
  if (attempts.empty()) return;
  const std::uint64_t back =
      this->Draw(std::min<std::uint64_t>(attempts.size(), 6));
  const std::uint64_t attempt = attempts[attempts.size() - 1 - back];
  this->oracle.OnCallerGone(attempt, this->now);
  this->CallRouter(index, this->daemons[index].generation,
                   [=](Router& router, MonotonicTime at) {
                     return router.OnCaller(
                         caller::CallerGone{caller::CallerSlot{attempt}}, at);
                   });
}

void RouterSimulation::PauseDaemon(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  const std::size_t index = this->Draw(this->daemons.size());
  Daemon& daemon = this->daemons[index];
  daemon.paused_until =
      std::max(daemon.paused_until, this->now + milliseconds(this->Draw(700)));
  this->oracle.OnPaused(this->attempts_by_daemon[index], daemon.paused_until);
}

void RouterSimulation::RestartDaemon(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  const std::size_t index = this->Draw(this->daemons.size());
  Daemon& daemon = this->daemons[index];
  for (const std::uint64_t attempt : this->attempts_by_daemon[index]) {
    this->oracle.OnCallerGone(attempt, this->now);
  }
  this->attempts_by_daemon[index].clear();
  ++daemon.generation;
  daemon.paused_until = MonotonicTime::min();
  daemon.in_flight.clear();
  daemon.token_read_times.clear();
  daemon.mandates.clear();
  daemon.unread.clear();
  daemon.router.reset();
  daemon.metrics = std::make_unique<Metrics>();
  daemon.router = std::make_unique<Router>(daemon.id, *daemon.metrics);
  daemon.last_unseen_move = this->last_move;
  // The new process does not hold the authorities of the old one.
  for (const auto& [group, authority] : this->log_state.authorities) {
    if (authority.daemon != daemon.id) continue;
    daemon.lost_tokens.insert(authority.token);
    this->At(this->now + milliseconds(450),
             [this, lost = group] { this->AssignAuthority(lost); });
  }
  this->ApplyState(index,
                   std::make_shared<const ClusterState>(this->log_state));
}

void RouterSimulation::ShakeNetwork(std::uint64_t random_seed) {
  this->random_state ^= random_seed;
  this->loss_percent = this->Draw(3) == 0 ? this->Draw(15) : 0;
  this->max_delay = milliseconds(this->Draw(4) == 0 ? 60 : 3);
}

void RouterSimulation::Finish() {
  this->loss_percent = 0;
  this->RunUntil(this->now + milliseconds(6000));
  this->oracle.CheckNotRun();
  for (const Daemon& daemon : this->daemons) {
    if (daemon.router->IsIdle()) continue;
    this->oracle.Fail("router of " + daemon.id.value +
                      " is not idle at the end");
  }
}

}  // namespace bamboorack::daemon
