#ifndef BAMBOORACK_LOG_SERVICE_TOPIC_FOLLOWER_THREAD_H_
#define BAMBOORACK_LOG_SERVICE_TOPIC_FOLLOWER_THREAD_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/log_service/keyed_log.h"

namespace bamboorack::log_service {

/// What one read of a topic brought.
struct TopicUpdate {
  Topic topic = Topic::kDesiredState;
  /// When the answer arrived, or when the read failed.
  MonotonicTime at;
  /// Set if the read failed; `records` is then empty.
  std::optional<std::string> failure;
  /// Whether `records` is everything that the topic holds.
  bool is_complete = false;
  std::vector<KeyedRecord> records;
};

/// How a topic is followed.
struct FollowPlan {
  Topic topic = Topic::kDesiredState;
  /// How long the log holds an answer back until there is a record.
  std::chrono::milliseconds wait{0};
  /// The least time between the starts of two reads.
  std::chrono::milliseconds pace{0};
};

/// Follows one topic of the platform's log with one thread.
class TopicFollowerThread {
 public:
  /// `out` and `metrics` must outlive this object.
  TopicFollowerThread(const FollowPlan& follow_plan,
                      std::unique_ptr<KeyedLog> keyed_log,
                      BoundedRing<TopicUpdate>& out_ring, Metrics& registry);
  ~TopicFollowerThread();
  TopicFollowerThread(const TopicFollowerThread&) = delete;
  TopicFollowerThread& operator=(const TopicFollowerThread&) = delete;

  void Start();
  void Stop();

 private:
  void Run(const std::stop_token& stop);
  /// Returns whether the read succeeded.
  bool ReadOnce(const std::stop_token& stop);
  void Report(TopicUpdate update);

  const FollowPlan plan;
  std::unique_ptr<KeyedLog> log;
  BoundedRing<TopicUpdate>& out;
  Metrics& metrics;
  /// Where the next read starts. Empty until the whole topic was read.
  std::optional<LogOffset> position;
  std::jthread thread;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_TOPIC_FOLLOWER_THREAD_H_
