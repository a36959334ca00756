#ifndef BAMBOORACK_LOG_SERVICE_LOG_APPENDER_THREAD_H_
#define BAMBOORACK_LOG_SERVICE_LOG_APPENDER_THREAD_H_

#include <chrono>
#include <stop_token>
#include <thread>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/log_service/log_client.h"
#include "bamboorack/log_service/messages.h"

namespace bamboorack::log_service {

struct LogAppenderSettings {
  /// How long one attempt may take.
  std::chrono::milliseconds attempt_limit{500};
  /// The first pause between attempts; it doubles up to `longest_pause`.
  std::chrono::milliseconds shortest_pause{20};
  std::chrono::milliseconds longest_pause{500};
};

/// The thread that appends records, in the order of the ring and with the same
/// id in every attempt, until the log answers or the request's time is over.
class LogAppenderThread {
 public:
  /// Pops `in`. `in` and `metrics` must outlive the thread.
  LogAppenderThread(const Endpoint& log, BoundedRing<AppendRequest>& in,
                    Metrics& metrics, LogAppenderSettings settings = {});
  ~LogAppenderThread();
  LogAppenderThread(const LogAppenderThread&) = delete;
  LogAppenderThread& operator=(const LogAppenderThread&) = delete;

  void Start();

  /// Closes the ring, ends an attempt that is under way and joins the thread.
  /// Requests that wait in the ring are not sent.
  void Stop();

 private:
  void Run(const std::stop_token& stop);
  void AppendUntilAnswered(const AppendRequest& request,
                           const std::stop_token& stop);
  /// Makes one attempt. Returns whether there is nothing left to do.
  bool AppendOnce(const AppendRequest& request, const std::stop_token& stop);

  LogAppenderSettings settings;
  LogClient client;
  BoundedRing<AppendRequest>& in;
  Metrics& metrics;
  bool is_failing = false;
  std::jthread thread;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_LOG_APPENDER_THREAD_H_
