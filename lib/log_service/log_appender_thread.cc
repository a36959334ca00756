#include "bamboorack/log_service/log_appender_thread.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "bamboorack/core/stoppable_wait.h"

namespace bamboorack::log_service {
namespace {

using std::chrono::steady_clock;

/// How long the thread waits in the ring at a time. `Stop` closes the ring and
/// ends the wait at once.
constexpr std::chrono::seconds kRingWait{10};

}  // namespace

LogAppenderThread::LogAppenderThread(const Endpoint& log,
                                     BoundedRing<AppendRequest>& ring,
                                     Metrics& counters,
                                     LogAppenderSettings limits)
    : settings(limits), client(log, counters), in(ring), metrics(counters) {}

LogAppenderThread::~LogAppenderThread() { this->Stop(); }

void LogAppenderThread::Start() {
  this->thread =
      std::jthread([this](const std::stop_token& stop) { this->Run(stop); });
}

void LogAppenderThread::Stop() {
  this->thread.request_stop();
  this->in.Close();
  if (this->thread.joinable()) this->thread.join();
}

void LogAppenderThread::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const auto request = this->in.PopUntil(steady_clock::now() + kRingWait);
    if (request) {
      this->AppendUntilAnswered(*request, stop);
      continue;
    }
    if (this->in.IsClosed()) return;
  }
}

void LogAppenderThread::AppendUntilAnswered(const AppendRequest& request,
                                            const std::stop_token& stop) {
  std::chrono::milliseconds pause = this->settings.shortest_pause;
  while (!stop.stop_requested()) {
    if (steady_clock::now() >= request.give_up_at) {
      this->metrics.Count("log_appends_given_up");
      return;
    }
    if (this->AppendOnce(request, stop)) return;
    WaitUntil(stop, std::min(steady_clock::now() + pause, request.give_up_at));
    pause = std::min(pause * 2, this->settings.longest_pause);
  }
}

bool LogAppenderThread::AppendOnce(const AppendRequest& request,
                                   const std::stop_token& stop) {
  const MonotonicTime deadline = std::min(
      steady_clock::now() + this->settings.attempt_limit, request.give_up_at);
  const auto offset = this->client.Append(request.record, deadline, stop);
  if (offset) {
    this->metrics.Count("log_appends");
    if (this->is_failing) LOG(INFO) << "event=log_append_back";
    this->is_failing = false;
    return true;
  }
  if (stop.stop_requested()) return false;
  const AppendFailure& failure = offset.error();
  if (failure.fault == AppendFault::kRefused) {
    this->metrics.Count("log_appends_refused");
    LOG(ERROR) << "event=log_append_refused id=" << request.record.id
               << " detail=\"" << failure.detail << '"';
    return true;
  }
  this->metrics.Count("log_append_attempts_failed");
  if (!this->is_failing) {
    LOG(WARNING) << "event=log_append_failing id=" << request.record.id
                 << " detail=\"" << failure.detail << '"';
  }
  this->is_failing = true;
  return false;
}

}  // namespace bamboorack::log_service
