#include "bamboorack/core/poll_reactor.h"

#include <Poco/Timespan.h>

#include <algorithm>
#include <chrono>

namespace bamboorack {
namespace {

using Poco::Net::PollSet;

// PollSet passes whole milliseconds to the kernel. Rounding down would make
// the last millisecond before a deadline a busy loop.
Poco::Timespan RoundUp(MonotonicTime::duration wait) {
  const auto whole = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(wait, MonotonicTime::duration::zero()));
  return {static_cast<Poco::Timespan::TimeDiff>(whole.count()) *
          Poco::Timespan::MILLISECONDS};
}

}  // namespace

PollReactor::Key PollReactor::NewKey() { return ++this->last_key; }

PollReactor::Key PollReactor::Add(const Poco::Net::Socket& socket, int modes) {
  const Key key = this->NewKey();
  this->poll_set.add(socket, modes);
  this->keys.emplace(socket, key);
  this->watched.emplace(key, Watched{socket, modes});
  return key;
}

void PollReactor::SetModes(Key key, int modes) {
  const auto found = this->watched.find(key);
  if (found == this->watched.end() || found->second.modes == modes) return;
  found->second.modes = modes;
  this->poll_set.update(found->second.socket, modes);
}

void PollReactor::SetDeadline(Key key, MonotonicTime deadline) {
  this->ClearDeadline(key);
  this->deadlines.emplace(deadline, key);
  this->deadline_of.emplace(key, deadline);
}

void PollReactor::ClearDeadline(Key key) {
  const auto found = this->deadline_of.find(key);
  if (found == this->deadline_of.end()) return;
  this->deadlines.erase({found->second, key});
  this->deadline_of.erase(found);
}

void PollReactor::Remove(Key key) {
  this->ClearDeadline(key);
  const auto found = this->watched.find(key);
  if (found == this->watched.end()) return;
  this->poll_set.remove(found->second.socket);
  this->keys.erase(found->second.socket);
  this->watched.erase(found);
}

std::vector<PollReactor::Event> PollReactor::Wait(MonotonicTime until) {
  if (!this->deadlines.empty()) {
    until = std::min(until, this->deadlines.begin()->first);
  }
  const MonotonicTime now = std::chrono::steady_clock::now();
  // The bound keeps `until - now` from overflowing.
  const MonotonicTime latest = now + std::chrono::hours(1);
  const auto ready =
      this->poll_set.poll(RoundUp(std::min(until, latest) - now));
  std::vector<Event> events;
  events.reserve(ready.size());
  for (const auto& [socket, modes] : ready) {
    if (this->waker.Consume(socket)) continue;
    const auto found = this->keys.find(socket);
    if (found == this->keys.end()) continue;
    events.push_back(Event{found->second, (modes & PollSet::POLL_READ) != 0,
                           (modes & PollSet::POLL_WRITE) != 0,
                           (modes & PollSet::POLL_ERROR) != 0});
  }
  return events;
}

std::optional<PollReactor::Key> PollReactor::PopExpired(MonotonicTime now) {
  if (this->deadlines.empty() || this->deadlines.begin()->first > now) {
    return std::nullopt;
  }
  const Key key = this->deadlines.begin()->second;
  this->ClearDeadline(key);
  return key;
}

}  // namespace bamboorack
