#ifndef BAMBOORACK_LOG_SERVICE_LOG_READER_THREAD_H_
#define BAMBOORACK_LOG_SERVICE_LOG_READER_THREAD_H_

#include <chrono>
#include <cstddef>
#include <stop_token>
#include <thread>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/log_service/log_client.h"
#include "bamboorack/log_service/messages.h"

namespace bamboorack::log_service {

struct LogReaderSettings {
  std::size_t max_records = 128;
  /// How long the log holds an answer back until there is a record.
  std::chrono::milliseconds wait{100};
  /// How long a read may take beyond `wait`.
  std::chrono::milliseconds answer_limit{1000};
  /// The first pause after a failed read; it doubles up to `longest_pause`.
  std::chrono::milliseconds shortest_pause{20};
  std::chrono::milliseconds longest_pause{500};
};

/// The thread that follows the log. It pushes the result of every read, empty
/// ones included, because each one shows contact with the head.
class LogReaderThread {
 public:
  /// Reads from `from` on, or from the first offset that the log still has.
  /// `out` and `metrics` must outlive the thread.
  LogReaderThread(const Endpoint& log, LogOffset from,
                  BoundedRing<FromLog>& out, Metrics& metrics,
                  LogReaderSettings settings = {});
  ~LogReaderThread();
  LogReaderThread(const LogReaderThread&) = delete;
  LogReaderThread& operator=(const LogReaderThread&) = delete;

  void Start();

  /// Ends a read that is under way and joins the thread. Returns after at most
  /// the connect limit of `LogClient`.
  void Stop();

 private:
  void Run(const std::stop_token& stop);
  /// Reads once and pushes the result. Returns whether the log answered and
  /// the ring had room.
  bool ReadOnce(const std::stop_token& stop);
  void OnFailure(std::string detail);
  void OnAnswer(const RecordsRead& read);

  LogReaderSettings settings;
  LogClient client;
  LogOffset position;
  BoundedRing<FromLog>& out;
  Metrics& metrics;
  bool is_failing = false;
  std::jthread thread;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_LOG_READER_THREAD_H_
