#include "daemon/router_world.h"

#include <algorithm>
#include <utility>

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDaemonCount = 3;
constexpr std::size_t kKeyCount = 24;
constexpr milliseconds kTick{5};
constexpr milliseconds kLatestRepeat{1000};

}  // namespace

RouterWorld::RouterWorld(const WorldSettings& world_settings)
    : settings(world_settings), now(std::chrono::hours(1)) {
  for (std::size_t i = 0; i < kDaemonCount; ++i) {
    Daemon& daemon = this->daemons.emplace_back();
    daemon.id = DaemonId("d" + std::to_string(i));
    daemon.metrics = std::make_unique<Metrics>();
    daemon.router = std::make_unique<Router>(daemon.id, *daemon.metrics);
  }
  this->BuildInitialState();
  for (std::size_t i = 0; i < kDaemonCount; ++i) this->RefreshLoop(i);
}

std::uint64_t RouterWorld::Draw(std::uint64_t below) {
  // The splitmix64 generator.
  this->state_of_dice += 0x9e3779b97f4a7c15ULL;
  std::uint64_t value = this->state_of_dice;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return (value ^ (value >> 31U)) % below;
}

std::uint64_t RouterWorld::Copies() { return this->Draw(20) == 0 ? 2 : 1; }

milliseconds RouterWorld::Delay() {
  const milliseconds longest =
      this->Draw(20) == 0 ? milliseconds(300) : this->longest_delay;
  return milliseconds(
      this->Draw(static_cast<std::uint64_t>(longest.count()) + 1));
}

std::size_t RouterWorld::IndexOfDaemon(const DaemonId& id) const {
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].id == id) return i;
  }
  return 0;
}

void RouterWorld::At(MonotonicTime when, Handler handler) {
  this->events.emplace(std::max(when, this->now), std::move(handler));
}

void RouterWorld::RunUntil(MonotonicTime until) {
  while (this->now < until) {
    const MonotonicTime next_tick = std::min(until, this->now + kTick);
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
      this->Carry(i, daemon.router->Tick(this->now));
      if (daemon.router->NextWakeup() <= this->now) {
        this->Carry(i, daemon.router->Tick(this->now));
      }
    }
    this->oracle.CheckDeadlines(this->now);
  }
}

// Calls a router. Defers the call if the process is paused, and drops it if the
// process was restarted.
void RouterWorld::Call(std::size_t index, std::uint64_t generation,
                       Reply reply) {
  Daemon& daemon = this->daemons[index];
  if (daemon.generation != generation) return;
  if (daemon.paused_until > this->now) {
    this->At(daemon.paused_until, [this, index, generation, reply] {
      this->Call(index, generation, reply);
    });
    return;
  }
  this->Carry(index, reply(*daemon.router, this->now));
}

void RouterWorld::Carry(std::size_t index, RouterActions&& actions) {
  for (RouterAction& action : actions) {
    std::visit(
        [this, index](auto&& item) {
          this->Do(index, std::forward<decltype(item)>(item));
        },
        std::move(action));
  }
}

void RouterWorld::Do(std::size_t /*index*/, caller::ToCaller&& action) {
  this->oracle.OnEnded(action.slot.value, action.result, this->now);
}

void RouterWorld::Do(std::size_t index, peer::SendForward&& action) {
  const std::uint64_t generation = this->daemons[index].generation;
  const ForwardId id = action.id;
  const auto fail = [=, this](Result result, milliseconds after) {
    this->At(this->now + after, [=, this] {
      this->Call(index, generation, [=](Router& router, MonotonicTime at) {
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
  const milliseconds delay = this->Delay();
  Request request = action.request;
  request.deadline += delay;
  const std::uint64_t target_generation = this->daemons[target].generation;
  this->At(this->now + delay, [=, this] {
    if (this->daemons[target].generation != target_generation) {
      fail(Unknown(Reason::kPeerLost), milliseconds(1));
      return;
    }
    this->Call(target, target_generation,
               [=](Router& router, MonotonicTime at) {
                 return router.OnPeer(peer::ForwardArrived{path, request}, at);
               });
  });
}

void RouterWorld::Do(std::size_t index, peer::SendCancel&& action) {
  if (this->Draw(100) < this->loss_percent) return;
  const std::size_t target = this->IndexOfDaemon(action.to);
  const std::uint64_t generation = this->daemons[target].generation;
  const peer::ReturnPath path{
      this->daemons[index].id,
      ConnectionGeneration(this->daemons[index].generation), action.id};
  this->At(this->now + this->Delay(), [=, this] {
    this->Call(target, generation, [=](Router& router, MonotonicTime at) {
      return router.OnPeer(peer::ForwardCancelled{path}, at);
    });
  });
}

void RouterWorld::Do(std::size_t /*index*/, peer::SendAnswer&& action) {
  const std::size_t target = this->IndexOfDaemon(action.to.daemon);
  const std::uint64_t generation = action.to.generation.value;
  const ForwardId id = action.to.id;
  Result result = std::move(action.result);
  if (this->Draw(100) < this->loss_percent) {
    result = Unknown(Reason::kPeerLost);
  }
  for (std::uint64_t copies = this->Copies(); copies > 0; --copies) {
    this->At(this->now + this->Delay(), [=, this] {
      this->Call(target, generation, [=](Router& router, MonotonicTime at) {
        return router.OnPeer(peer::ForwardAnswered{id, result}, at);
      });
    });
  }
}

void RouterWorld::Do(std::size_t index, upstream::Dispatch&& action) {
  Daemon& daemon = this->daemons[index];
  auto& in_flight = daemon.in_flight[action.upstream];
  in_flight.insert(action.id);
  this->oracle.OnDispatch(action, *daemon.table, in_flight.size(), this->now);
  auto sent = std::make_shared<Sent>();
  sent->daemon = index;
  sent->generation = daemon.generation;
  sent->dispatch = std::move(action);
  this->sent_by[{index, sent->dispatch.id}] = sent;
  this->At(this->now + milliseconds(this->Draw(4)),
           [this, sent] { this->Write(sent); });
}

void RouterWorld::Do(std::size_t index, upstream::CancelDispatch&& action) {
  const auto found = this->sent_by.find({index, action.id});
  if (found == this->sent_by.end()) return;
  const std::shared_ptr<Sent> sent = found->second;
  sent->is_cancelled = true;
  this->Answer(sent, sent->is_written ? Result(Unknown(Reason::kCancelled))
                                      : Result(NotRun(Reason::kCancelled)));
}

void RouterWorld::Do(std::size_t index, upstream::ControlCall&& action) {
  const std::uint64_t generation = this->daemons[index].generation;
  const upstream::ControlCall call = std::move(action);
  this->At(this->now + this->Delay(), [=, this] {
    const upstream::ControlResult result = this->SettleResult(call);
    this->At(this->now + this->Delay(), [=, this] {
      this->Call(index, generation, [=](Router& router, MonotonicTime at) {
        return router.OnUpstream(result, at);
      });
    });
  });
}

void RouterWorld::Submit(std::size_t index, const Request& request) {
  const std::uint64_t attempt = this->next_number++;
  this->oracle.OnSent(attempt, request, this->now);
  Daemon& daemon = this->daemons[index];
  this->Call(index, daemon.generation, [=](Router& router, MonotonicTime at) {
    return router.OnCaller(
        caller::RequestArrived{caller::CallerSlot{attempt}, request}, at);
  });
  if (daemon.paused_until > this->now) {
    this->oracle.OnPaused({attempt}, daemon.paused_until);
  }
  this->attempts_of[index].push_back(attempt);
}

void RouterWorld::Advance(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  this->RunUntil(this->now + milliseconds(1 + this->Draw(80)));
}

void RouterWorld::SendRequest(std::uint64_t dice) {
  this->state_of_dice ^= dice;
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

void RouterWorld::RepeatRequest(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  if (this->once_requests.empty()) return;
  const std::uint64_t back =
      this->Draw(std::min<std::uint64_t>(this->once_requests.size(), 12));
  Request request = this->once_requests[this->once_requests.size() - 1 - back];
  // The id memory does not cover later repetitions.
  if (request.deadline + kLatestRepeat < this->now) return;
  request.deadline = this->now + milliseconds(20 + this->Draw(1500));
  this->Submit(this->Draw(this->daemons.size()), request);
}

void RouterWorld::LoseCaller(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  const std::size_t index = this->Draw(this->daemons.size());
  const auto& attempts = this->attempts_of[index];
  if (attempts.empty()) return;
  const std::uint64_t back =
      this->Draw(std::min<std::uint64_t>(attempts.size(), 6));
  const std::uint64_t attempt = attempts[attempts.size() - 1 - back];
  this->oracle.OnGone(attempt, this->now);
  this->Call(index, this->daemons[index].generation,
             [=](Router& router, MonotonicTime at) {
               return router.OnCaller(
                   caller::CallerGone{caller::CallerSlot{attempt}}, at);
             });
}

void RouterWorld::PauseDaemon(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  const std::size_t index = this->Draw(this->daemons.size());
  Daemon& daemon = this->daemons[index];
  daemon.paused_until =
      std::max(daemon.paused_until, this->now + milliseconds(this->Draw(700)));
  this->oracle.OnPaused(this->attempts_of[index], daemon.paused_until);
}

void RouterWorld::RestartDaemon(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  const std::size_t index = this->Draw(this->daemons.size());
  Daemon& daemon = this->daemons[index];
  for (const std::uint64_t attempt : this->attempts_of[index]) {
    this->oracle.OnGone(attempt, this->now);
  }
  this->attempts_of[index].clear();
  ++daemon.generation;
  daemon.paused_until = MonotonicTime::min();
  daemon.in_flight.clear();
  daemon.tenures.clear();
  daemon.mandates.clear();
  daemon.unread.clear();
  daemon.router.reset();
  daemon.metrics = std::make_unique<Metrics>();
  daemon.router = std::make_unique<Router>(daemon.id, *daemon.metrics);
  daemon.unseen_move = this->last_move;
  // The new process does not hold the authorities of the old one.
  for (const auto& [group, authority] : this->truth.authorities) {
    if (authority.daemon != daemon.id) continue;
    daemon.lost.insert(authority.token);
    this->At(this->now + milliseconds(450),
             [this, lost = group] { this->GiveAuthority(lost); });
  }
  this->Learn(index, std::make_shared<const ClusterState>(this->truth));
}

void RouterWorld::ShakeNetwork(std::uint64_t dice) {
  this->state_of_dice ^= dice;
  this->loss_percent = this->Draw(3) == 0 ? this->Draw(15) : 0;
  this->longest_delay = milliseconds(this->Draw(4) == 0 ? 60 : 3);
}

void RouterWorld::Finish() {
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
