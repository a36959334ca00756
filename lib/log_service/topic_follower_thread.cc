#include "bamboorack/log_service/topic_follower_thread.h"

#include <algorithm>
#include <utility>

#include "bamboorack/core/stoppable_wait.h"

namespace bamboorack::log_service {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The log answers within some milliseconds; a slow one may take 60 times that.
constexpr milliseconds kAnswerLimit{800};
// Between two attempts while the log cannot be reached. Calls that are turned
// away are charged for too.
constexpr milliseconds kRetryPause{300};

}  // namespace

TopicFollowerThread::TopicFollowerThread(const FollowPlan& follow_plan,
                                         std::unique_ptr<KeyedLog> keyed_log,
                                         BoundedRing<TopicUpdate>& out_ring,
                                         Metrics& registry)
    : plan(follow_plan),
      log(std::move(keyed_log)),
      out(out_ring),
      metrics(registry) {}

TopicFollowerThread::~TopicFollowerThread() { this->Stop(); }

void TopicFollowerThread::Start() {
  this->thread =
      std::jthread([this](const std::stop_token& stop) { this->Run(stop); });
}

void TopicFollowerThread::Stop() {
  if (!this->thread.joinable()) return;
  this->thread.request_stop();
  this->thread.join();
}

void TopicFollowerThread::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const MonotonicTime started = steady_clock::now();
    const bool succeeded = this->ReadOnce(stop);
    const MonotonicTime next =
        succeeded ? started + this->plan.pace
                  : std::max(started + this->plan.pace,
                             steady_clock::now() + kRetryPause);
    if (next > steady_clock::now() && !WaitUntil(stop, next)) return;
  }
}

bool TopicFollowerThread::ReadOnce(const std::stop_token& stop) {
  const bool is_complete = !this->position;
  auto read =
      is_complete
          ? this->log->ReadNewest(this->plan.topic,
                                  steady_clock::now() + kAnswerLimit, stop)
          : this->log->ReadFrom(
                {this->plan.topic, *this->position, this->plan.wait},
                steady_clock::now() + this->plan.wait + kAnswerLimit, stop);
  TopicUpdate update;
  update.topic = this->plan.topic;
  update.at = steady_clock::now();
  if (!read) {
    if (read.error().fault == ReadFault::kHistoryGone && !is_complete) {
      this->position.reset();
      return this->ReadOnce(stop);
    }
    this->metrics.Count("log_read_failures");
    update.failure = read.error().detail;
    this->Report(std::move(update));
    return false;
  }
  this->position = read->end;
  update.is_complete = is_complete;
  update.records = std::move(read->records);
  this->Report(std::move(update));
  return true;
}

void TopicFollowerThread::Report(TopicUpdate update) {
  // A lost update would leave the reader behind for good, so the whole topic
  // is read again.
  if (this->out.TryPush(std::move(update))) return;
  this->metrics.Count("log_updates_dropped");
  this->position.reset();
}

}  // namespace bamboorack::log_service
