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
  /// Whether another daemon read the records and passed them on.
  bool is_relayed = false;
  /// The records follow this offset and end before `end`.
  LogOffset from{};
  LogOffset end{};
  std::vector<KeyedRecord> records;
};

/// What another daemon read of a topic, so that this one need not.
struct TopicRelay {
  Topic topic = Topic::kDesiredState;
  LogOffset from;
  LogOffset end;
  /// Whether `records` are all between the two offsets that say something new.
  /// Otherwise the receiver has to read what it lacks itself.
  bool has_records = false;
  std::vector<KeyedRecord> records;
  /// The sender asks for a read, to learn who reaches the log.
  bool wants_read = false;
};

/// How a topic is followed.
struct FollowPlan {
  Topic topic = Topic::kDesiredState;
  /// How long the log holds an answer back until there is a record.
  std::chrono::milliseconds wait{0};
  /// The least time between the starts of two reads.
  std::chrono::milliseconds pace{0};
};

/// Follows one topic of the platform's log with one thread. While another
/// daemon passes on what it reads, the thread reads only what it missed.
class TopicFollowerThread {
 public:
  /// `out` and `metrics` must outlive this object.
  TopicFollowerThread(const FollowPlan& follow_plan,
                      std::unique_ptr<KeyedLog> keyed_log,
                      BoundedRing<TopicRelay>& in_ring,
                      BoundedRing<TopicUpdate>& out_ring, Metrics& registry);
  ~TopicFollowerThread();
  TopicFollowerThread(const TopicFollowerThread&) = delete;
  TopicFollowerThread& operator=(const TopicFollowerThread&) = delete;

  void Start();
  /// Ends the thread after the call that it is in, without waiting for it.
  void RequestStop();
  void Stop();

 private:
  void Run(const std::stop_token& stop);
  /// Returns whether the read succeeded.
  bool ReadOnce(const std::stop_token& stop);
  /// Returns when the next read is due.
  MonotonicTime ReadAndPace(const std::stop_token& stop);
  /// Returns whether the thread now knows what the sender of `relay` does.
  bool TakeRelay(TopicRelay& relay);
  void Report(TopicUpdate update);

  const FollowPlan plan;
  std::unique_ptr<KeyedLog> log;
  BoundedRing<TopicRelay>& in;
  BoundedRing<TopicUpdate>& out;
  Metrics& metrics;
  /// Where the next read starts. Empty until the whole topic was read.
  std::optional<LogOffset> position;
  std::jthread thread;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_TOPIC_FOLLOWER_THREAD_H_
