#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "bamboorack/caller/caller_reactor.h"

// The memory of requests that are being read, and uploads that wait for some.

namespace bamboorack::caller {
namespace {

using std::chrono::milliseconds;

// Callers give up on a daemon that has not read their request after this time
// or a third of their time limit, and go to another one.
constexpr milliseconds kMaxMemoryWait{1'000};
constexpr int kMemoryWaitDivisor = 3;
// Each takes up memory for its head and a receive buffer in the kernel.
constexpr std::size_t kMaxWaitingUploads = 32;
// A request is held by the routing thread and by the exchange with the
// upstream.
constexpr std::size_t kHeadCopies = 2;

}  // namespace

CallerReactor::Step CallerReactor::StartBody(Connection& connection) {
  const CheckedRequest& checked = connection.checked;
  const std::size_t length = checked.body_length;
  const bool is_small =
      checked.framing == BodyFraming::kLength && length <= kSmallBody;
  connection.reservation =
      MemoryReservation(this->settings.memory,
                        is_small ? MemoryUse::kRequests : MemoryUse::kUploads);
  connection.head_bytes = kHeadCopies * MemoryOf(checked.request.headers);
  connection.body = BodyReader({checked.framing, length},
                               std::max(length, checked.body_limit));
  connection.is_continue_due =
      checked.expects_continue && connection.http.Input().size() < length;
  connection.phase = Phase::kReadingBody;
  this->SetBodyDeadline(connection);
  return this->ReserveBody(connection) ? Step::kAgain
                                       : this->AwaitMemory(connection);
}

bool CallerReactor::ReserveBody(Connection& connection) {
  connection.memory_wanted =
      connection.head_bytes +
      connection.body.CapacityDuring(connection.http.Input().size());
  const bool is_new = connection.reservation.Bytes() == 0;
  const bool must_queue = is_new && !this->awaiting_memory.empty() &&
                          connection.reservation.Use() == MemoryUse::kUploads;
  return !must_queue &&
         connection.reservation.TryResize(connection.memory_wanted);
}

CallerReactor::Step CallerReactor::AwaitMemory(Connection& connection) {
  const bool may_wait =
      connection.reservation.Use() == MemoryUse::kUploads &&
      connection.reservation.CanEverHold(connection.memory_wanted) &&
      this->awaiting_memory.size() < kMaxWaitingUploads;
  if (!may_wait) return this->RejectForMemory(connection);
  this->metrics.Count("caller_uploads_held_back");
  if (connection.reservation.Bytes() == 0) {
    this->awaiting_memory.push_back(connection.key);
  } else {
    this->awaiting_memory.push_front(connection.key);
  }
  connection.phase = Phase::kAwaitingMemory;
  const auto time_limit = std::chrono::duration_cast<milliseconds>(
      connection.checked.request.deadline - connection.arrived);
  this->SetTimeout(connection,
                   std::min(kMaxMemoryWait, time_limit / kMemoryWaitDivisor));
  return Step::kWait;
}

CallerReactor::Step CallerReactor::RejectForMemory(Connection& connection) {
  connection.keep_alive = false;
  return this->Refuse(connection,
                      {Ending::kNotRun, Reason::kQueueFull,
                       "no memory for a request of " +
                           std::to_string(connection.memory_wanted) + " bytes",
                       kMaxMemoryWait});
}

CallerReactor::Step CallerReactor::AdvanceAwaitingMemory(
    Connection& /*unused*/) {
  return Step::kWait;
}

CallerReactor::Step CallerReactor::ExpireAwaitingMemory(
    Connection& connection) {
  // Those in front of it may have expired in the same turn.
  const bool is_first = this->awaiting_memory.front() == connection.key;
  return is_first && this->GrantFirst() ? Step::kAgain
                                        : this->RejectForMemory(connection);
}

void CallerReactor::GrantMemory() {
  if (!this->memory_released->exchange(false)) return;
  while (!this->awaiting_memory.empty()) {
    Connection& first = *this->connections.at(this->awaiting_memory.front());
    if (!this->GrantFirst()) return;
    this->Drive(first, Step::kAgain);
  }
}

bool CallerReactor::GrantFirst() {
  Connection& first = *this->connections.at(this->awaiting_memory.front());
  if (!first.reservation.TryResize(first.memory_wanted)) return false;
  this->awaiting_memory.pop_front();
  first.phase = Phase::kReadingBody;
  this->SetBodyDeadline(first);
  return true;
}

void CallerReactor::ReleaseMemory(Connection& connection) {
  connection.reservation = MemoryReservation();
  connection.body = BodyReader();
  // Those behind it may need less.
  if (std::erase(this->awaiting_memory, connection.key) > 0) {
    this->memory_released->store(true);
  }
}

}  // namespace bamboorack::caller
