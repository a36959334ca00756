#include <algorithm>
#include <utility>

#include "daemon/router_simulation.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;

}  // namespace

void RouterSimulation::Write(const std::shared_ptr<SentDispatch>& sent) {
  const Daemon& daemon = this->daemons[sent->daemon];
  if (daemon.generation != sent->generation || sent->is_answered) return;
  if (daemon.paused_until > this->now) {
    this->At(daemon.paused_until, [this, sent] { this->Write(sent); });
    return;
  }
  if (this->now > sent->dispatch.send_before) {
    this->Answer(sent, NotRun(Reason::kDeadlinePassed));
    return;
  }
  Upstream* target = this->AliveInstance(sent->dispatch.upstream.id);
  if (target == nullptr || this->Draw(100) < this->loss_percent / 2) {
    this->Answer(sent, NotRun(Reason::kUpstreamLost));
    return;
  }
  sent->is_written = true;
  sent->written = this->now;
  const bool is_lost = this->Draw(100) < this->loss_percent;
  if (this->Draw(100) < this->loss_percent) {
    // The connection breaks, possibly before the upstream reads the request.
    this->AnswerLater(sent, Unknown(Reason::kUpstreamLost), this->DrawDelay());
  }
  const auto limit = std::chrono::ceil<milliseconds>(
      sent->dispatch.request.deadline - this->now);
  this->AnswerLater(sent, Unknown(Reason::kDeadlinePassed), limit);
  if (is_lost) return;
  this->At(this->now + this->DrawDelay(),
           [this, sent, target] { this->Arrive(sent, *target); });
}

void RouterSimulation::Arrive(const std::shared_ptr<SentDispatch>& sent,
                              Upstream& target) {
  if (target.is_dead) {
    this->Answer(sent, Unknown(Reason::kUpstreamLost));
    return;
  }
  if (target.frozen_until > this->now) {
    this->At(target.frozen_until,
             [this, sent, &target] { this->Arrive(sent, target); });
    return;
  }
  const auto refusal = this->RefusalOf(*sent, target);
  if (refusal) {
    this->AnswerLater(sent, NotRun(*refusal), this->DrawDelay());
    return;
  }
  this->Run(sent, target);
}

std::optional<Reason> RouterSimulation::RefusalOf(
    const SentDispatch& sent, const Upstream& target) const {
  const upstream::Dispatch& dispatch = sent.dispatch;
  if (dispatch.upstream != target.ref) return Reason::kUpstreamRefusedOwner;
  if (this->settings.checks_tokens) {
    if (dispatch.token < target.highest_token) {
      return Reason::kUpstreamRefusedToken;
    }
    if (!target.granted.contains(dispatch.shard)) {
      return Reason::kUpstreamRefusedOwner;
    }
  }
  if (target.is_draining) return Reason::kUpstreamDraining;
  if (this->ReadingOf(target) >= dispatch.upstream_deadline) {
    return Reason::kDeadlinePassed;
  }
  const auto fence = target.fenced.find(dispatch.request.id);
  if (fence != target.fenced.end() &&
      upstream::Attempt{dispatch.token, dispatch.id} <= fence->second) {
    return Reason::kUpstreamRefusedToken;
  }
  if (target.running >= target.slots) return Reason::kUpstreamShed;
  return std::nullopt;
}

void RouterSimulation::Run(const std::shared_ptr<SentDispatch>& sent,
                           Upstream& target) {
  const Request& request = sent->dispatch.request;
  this->oracle.OnRun(request, this->now);
  target.run_done_by_request[request.id] = false;
  ++target.running;
  target.running_shards.insert(sent->dispatch.shard);
  const std::uint64_t longest = this->Draw(10) == 0 ? 400 : 25;
  this->At(this->now + milliseconds(1 + this->Draw(longest)),
           [this, sent, &target] { this->CompleteRun(sent, target); });
}

void RouterSimulation::CompleteRun(const std::shared_ptr<SentDispatch>& sent,
                                   Upstream& target) {
  if (target.is_dead) {
    this->Answer(sent, Unknown(Reason::kUpstreamLost));
    return;
  }
  if (target.frozen_until > this->now) {
    this->At(target.frozen_until,
             [this, sent, &target] { this->CompleteRun(sent, target); });
    return;
  }
  const Request& request = sent->dispatch.request;
  target.run_done_by_request[request.id] = true;
  --target.running;
  target.running_shards.erase(target.running_shards.find(sent->dispatch.shard));
  bamboorack::Answer answer;
  answer.status = 200;
  answer.body =
      std::make_shared<const std::string>(RouterOracle::AnswerTo(request));
  const bool is_lost = this->Draw(100) < this->loss_percent;
  this->AnswerLater(
      sent, is_lost ? Result(Unknown(Reason::kUpstreamLost)) : Result(answer),
      this->DrawDelay());
}

void RouterSimulation::AnswerLater(const std::shared_ptr<SentDispatch>& sent,
                                   Result result, milliseconds after) {
  this->At(this->now + after,
           [this, sent, result] { this->Answer(sent, result); });
}

// Reports only the first result of a dispatch, like the upstream thread.
void RouterSimulation::Answer(const std::shared_ptr<SentDispatch>& sent,
                              Result result) {
  if (sent->is_answered) return;
  sent->is_answered = true;
  const std::size_t index = sent->daemon;
  const DispatchId id = sent->dispatch.id;
  const UpstreamRef ref = sent->dispatch.upstream;
  for (std::uint64_t copies = this->DrawCopies(); copies > 0; --copies) {
    this->At(this->now, [=, this] {
      this->CallRouter(
          index, sent->generation, [=, this](Router& router, MonotonicTime at) {
            this->daemons[index].in_flight[ref].erase(id);
            return router.OnUpstream(upstream::DispatchResult{id, result}, at);
          });
    });
  }
}

upstream::ControlResult RouterSimulation::SettleResult(
    const upstream::ControlCall& call) {
  upstream::ControlResult result{
      call.id, call.upstream,
      tl::make_unexpected(upstream::ControlError::kUnreachable)};
  const auto& settle = std::get<upstream::SettleCall>(call.request);
  Upstream* target = this->AliveInstance(call.upstream);
  if (target == nullptr || target->frozen_until > this->now ||
      this->Draw(100) < this->loss_percent) {
    return result;
  }
  if (target->ref.instance != settle.instance) {
    result.answer = tl::make_unexpected(upstream::ControlError::kOtherInstance);
    return result;
  }
  if (!this->settings.can_settle) {
    this->oracle.Fail("settle call to an upstream that cannot settle");
  }
  upstream::SettleAnswer answer{upstream::SettleState::kNotRun};
  const auto ran = target->run_done_by_request.find(settle.request);
  if (ran != target->run_done_by_request.end()) {
    answer.state = ran->second ? upstream::SettleState::kDone
                               : upstream::SettleState::kRunning;
  }
  if (answer.state == upstream::SettleState::kNotRun) {
    upstream::Attempt& fence = target->fenced[settle.request];
    fence = std::max(fence, settle.fence_through);
  }
  result.answer = upstream::ControlAnswer(answer);
  if (this->Draw(100) < this->loss_percent) {
    result.answer = tl::make_unexpected(upstream::ControlError::kUnreachable);
  }
  return result;
}

UpstreamReading RouterSimulation::ReadingOf(const Upstream& target) const {
  return UpstreamReading(
      std::chrono::floor<milliseconds>(this->now.time_since_epoch()) +
      target.clock_offset);
}

RouterSimulation::Upstream* RouterSimulation::AliveInstance(
    const UpstreamId& id) {
  for (Upstream& candidate : this->upstreams) {
    if (candidate.ref.id == id && !candidate.is_dead) return &candidate;
  }
  return nullptr;
}

}  // namespace bamboorack::daemon
