#ifndef BAMBOORACK_LOG_SERVICE_STORE_CALL_THREAD_H_
#define BAMBOORACK_LOG_SERVICE_STORE_CALL_THREAD_H_

#include <cstdint>
#include <memory>
#include <thread>
#include <variant>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/log_service/keyed_log.h"

namespace bamboorack::log_service {

/// Reads everything that a topic holds.
struct ReadTopic {
  Topic topic = Topic::kOwnership;
};

/// A call that the control thread asks for.
struct StoreCall {
  MonotonicTime deadline;
  std::variant<ReadTopic, KeyedAppend> request;
};

/// The end of a `StoreCall`.
struct StoreResult {
  Topic topic = Topic::kOwnership;
  /// Directly before the call was sent.
  MonotonicTime sent;
  std::variant<tl::expected<KeyedRecords, ReadFailure>,
               tl::expected<LogOffset, KeyedAppendFailure>>
      outcome;
};

/// Makes the calls to the platform's log that decide on ownership, one after
/// the other, so that none delays the control thread.
class StoreCallThread {
 public:
  /// The rings must outlive this object.
  StoreCallThread(std::unique_ptr<KeyedLog> keyed_log,
                  BoundedRing<StoreCall>& in_ring,
                  BoundedRing<StoreResult>& out_ring, Metrics& registry);
  ~StoreCallThread();
  StoreCallThread(const StoreCallThread&) = delete;
  StoreCallThread& operator=(const StoreCallThread&) = delete;

  void Start();
  /// Ends the thread after the call that it is in, without waiting for it.
  void RequestStop();
  void Stop();

 private:
  void Run(const std::stop_token& stop);
  StoreResult Make(const StoreCall& call, const std::stop_token& stop);

  std::unique_ptr<KeyedLog> log;
  BoundedRing<StoreCall>& in;
  BoundedRing<StoreResult>& out;
  Metrics& metrics;
  std::jthread thread;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_STORE_CALL_THREAD_H_
