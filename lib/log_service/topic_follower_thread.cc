#include "bamboorack/log_service/topic_follower_thread.h"

#include <algorithm>
#include <utility>

namespace bamboorack::log_service {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The log answers within some milliseconds; a slow one may take 60 times that.
constexpr milliseconds kAnswerLimit{800};
// Between two attempts while the log cannot be reached. Calls that are turned
// away are charged for too.
constexpr milliseconds kRetryPause{300};
// Without a relay for this time the thread reads itself. With the pace of the
// reads it stays below the time within which leaving upstreams must be known.
constexpr milliseconds kRelayTrust{900};

}  // namespace

TopicFollowerThread::TopicFollowerThread(const FollowPlan& follow_plan,
                                         std::unique_ptr<KeyedLog> keyed_log,
                                         BoundedRing<TopicRelay>& in_ring,
                                         BoundedRing<TopicUpdate>& out_ring,
                                         Metrics& registry)
    : plan(follow_plan),
      log(std::move(keyed_log)),
      in(in_ring),
      out(out_ring),
      metrics(registry) {}

TopicFollowerThread::~TopicFollowerThread() { this->Stop(); }

void TopicFollowerThread::Start() {
  this->thread =
      std::jthread([this](const std::stop_token& stop) { this->Run(stop); });
}

void TopicFollowerThread::RequestStop() {
  this->thread.request_stop();
  this->in.Close();
}

void TopicFollowerThread::Stop() {
  if (!this->thread.joinable()) return;
  this->RequestStop();
  this->thread.join();
}

void TopicFollowerThread::Run(const std::stop_token& stop) {
  MonotonicTime next_read = steady_clock::now();
  while (!stop.stop_requested()) {
    auto relay = this->in.PopUntil(next_read);
    if (!relay) {
      if (stop.stop_requested()) return;
      next_read = this->ReadAndPace(stop);
      continue;
    }
    // Relays that came during a read are old news; the last one counts.
    bool is_known = this->TakeRelay(*relay);
    while (auto newer = this->in.TryPop()) is_known = this->TakeRelay(*newer);
    if (!is_known) this->ReadOnce(stop);
    next_read = steady_clock::now() + kRelayTrust;
  }
}

MonotonicTime TopicFollowerThread::ReadAndPace(const std::stop_token& stop) {
  const MonotonicTime started = steady_clock::now();
  if (this->ReadOnce(stop)) return started + this->plan.pace;
  return std::max(started + this->plan.pace, steady_clock::now() + kRetryPause);
}

bool TopicFollowerThread::TakeRelay(TopicRelay& relay) {
  if (!this->position || relay.wants_read) return false;
  const bool has_news = *this->position < relay.end;
  if (has_news && (!relay.has_records || *this->position < relay.from)) {
    return false;
  }
  // Without news the update still tells that the log answers.
  TopicUpdate update;
  update.topic = this->plan.topic;
  update.at = steady_clock::now();
  update.is_relayed = true;
  update.from = *this->position;
  if (has_news) {
    update.records = std::move(relay.records);
    this->position = relay.end;
  }
  update.end = *this->position;
  this->Report(std::move(update));
  return this->position.has_value();
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
  update.from = this->position.value_or(read->end);
  update.end = read->end;
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
