#include "bamboorack/daemon/ownership_thread.h"

#include <time.h>

#include <array>
#include <utility>
#include <variant>

#include "bamboorack/core/time.h"

namespace bamboorack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kTickInterval{50};
// Shorter differences are due to the two clocks being read one after the other.
constexpr milliseconds kMinSuspension{60};

/// Returns the total time for which the machine has been suspended since boot.
nanoseconds SuspendedTime() {
  timespec boot{};
  timespec steady{};
  ::clock_gettime(CLOCK_BOOTTIME, &boot);
  ::clock_gettime(CLOCK_MONOTONIC, &steady);
  return seconds(boot.tv_sec - steady.tv_sec) +
         nanoseconds(boot.tv_nsec - steady.tv_nsec);
}

}  // namespace

OwnershipThread::OwnershipThread(OwnershipController& ownership_controller,
                                 GatewayRings& all_rings, EventLog& event_log,
                                 Metrics& metrics_registry)
    : controller(ownership_controller),
      rings(all_rings),
      log(event_log),
      metrics(metrics_registry),
      last_suspended_time(SuspendedTime()) {
  const auto notify = [this] { this->wakeup.Notify(); };
  this->rings.topics.SetWaker(notify);
  this->rings.store_results.SetWaker(notify);
  this->rings.upstream_to_control.SetWaker(notify);
  // Gossip does not wake the thread; it is handled at the next tick.
}

OwnershipThread::~OwnershipThread() { this->Stop(); }

void OwnershipThread::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void OwnershipThread::BeginStop() {
  this->must_begin_stop = true;
  this->wakeup.Notify();
}

void OwnershipThread::Stop() {
  this->is_stopping = true;
  this->wakeup.Notify();
  if (this->thread.joinable()) this->thread.join();
}

void OwnershipThread::Run() {
  while (!this->is_stopping) {
    if (this->must_begin_stop.exchange(false)) this->controller.BeginStop();
    this->CheckSuspension();
    this->HandleInputs();
    const MonotonicTime now = steady_clock::now();
    this->Execute(this->controller.Tick(now));
    this->is_ready = this->controller.IsReady();
    this->is_handed_over = this->controller.IsHandedOver();
    this->wakeup.WaitUntil(now + kTickInterval);
  }
}

void OwnershipThread::CheckSuspension() {
  const nanoseconds suspended = SuspendedTime();
  const nanoseconds length = suspended - this->last_suspended_time;
  this->last_suspended_time = suspended;
  if (length < kMinSuspension) return;
  this->Execute(this->controller.OnSuspended(length, steady_clock::now()));
}

template <typename Message, typename Handler>
void OwnershipThread::HandleMessages(BoundedRing<Message>& ring,
                                     Handler handler) {
  while (auto message = ring.TryPop()) {
    // Leases and timeouts count from this time, so it must not be earlier than
    // the arrival of the message. That may be long after the start of a slow
    // iteration of the loop.
    const MonotonicTime received_at = steady_clock::now();
    this->Execute(
        (this->controller.*handler)(std::move(*message), received_at));
  }
}

void OwnershipThread::HandleInputs() {
  this->HandleMessages(this->rings.topics, &OwnershipController::OnTopicUpdate);
  this->HandleMessages(this->rings.gossip_to_control,
                       &OwnershipController::OnGossip);
  this->HandleMessages(this->rings.store_results,
                       &OwnershipController::OnStoreResult);
  this->HandleMessages(this->rings.upstream_to_control,
                       &OwnershipController::OnControlResult);
}

void OwnershipThread::Execute(OwnershipActions&& actions) {
  // One handler per alternative of `OwnershipAction`, in the same order.
  static constexpr std::array<ActionHandler,
                              std::variant_size_v<OwnershipAction>>
      kHandlers = {
          &OwnershipThread::Publish,         &OwnershipThread::CallStore,
          &OwnershipThread::CallUpstream,    &OwnershipThread::SendGossip,
          &OwnershipThread::LogControlEvent, &OwnershipThread::ForwardRelay};
  for (OwnershipAction& action : actions) {
    (this->*kHandlers.at(action.index()))(action);
  }
}

void OwnershipThread::Publish(OwnershipAction& action) {
  if (!this->rings.tables.TryPush(std::move(std::get<GatewayTables>(action)))) {
    this->metrics.Count("tables_dropped");
  }
}

void OwnershipThread::CallStore(OwnershipAction& action) {
  auto& call = std::get<log_service::StoreCall>(action);
  CHECK(this->rings.store_calls.TryPush(std::move(call)))
      << "at most one call to the log may be outstanding";
}

void OwnershipThread::CallUpstream(OwnershipAction& action) {
  auto& call = std::get<upstream::ControlCall>(action);
  upstream::ControlResult refused{
      call.id, call.upstream,
      tl::make_unexpected(upstream::ControlError::kNotSent)};
  if (this->rings.to_upstream.TryPush(std::move(call))) return;
  this->Execute(this->controller.OnControlResult(refused, steady_clock::now()));
}

void OwnershipThread::SendGossip(OwnershipAction& action) {
  auto& message = std::get<peer::ToGossip>(action);
  if (!this->rings.to_gossip.TryPush(std::move(message))) {
    this->metrics.Count("reports_dropped");
  }
}

void OwnershipThread::ForwardRelay(OwnershipAction& action) {
  auto& relay = std::get<log_service::TopicRelay>(action);
  auto& ring = relay.topic == log_service::Topic::kUpstreams
                   ? this->rings.upstream_relays
                   : this->rings.desired_state_relays;
  // A dropped relay leaves a gap, which the follower fills by reading the log.
  if (!ring.TryPush(std::move(relay))) this->metrics.Count("relays_dropped");
}

void OwnershipThread::LogControlEvent(OwnershipAction& action) {
  const auto& event = std::get<ControlEvent>(action);
  EventLine line = this->log.Line(event.kind, event.name);
  for (const auto& [name, value] : event.fields) line.Text(name, value);
}

}  // namespace bamboorack::daemon
