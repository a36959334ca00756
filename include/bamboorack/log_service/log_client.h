#ifndef BAMBOORACK_LOG_SERVICE_LOG_CLIENT_H_
#define BAMBOORACK_LOG_SERVICE_LOG_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <stop_token>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/http_client.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"
#include "bamboorack/log_service/messages.h"

namespace bamboorack::log_service {

/// What is known of an append that was not confirmed.
enum class AppendFault : std::uint8_t {
  /// It did not take effect. Sending it again may help.
  kNotAppended,
  /// It may have taken effect. Only reading the log tells.
  kUnknown,
  /// The log refuses this record whenever it is sent.
  kRefused,
};

struct AppendFailure {
  AppendFault fault = AppendFault::kUnknown;
  std::string detail;
};

/// Which records a read asks for.
struct ReadOptions {
  LogOffset from{1};
  std::size_t max_records = 128;
  /// How long the log holds the answer back until there is a record.
  std::chrono::milliseconds wait{100};
};

/// Speaks the protocol of the platform's log. For one thread.
class LogClient {
 public:
  /// Unreadable records are counted in `metrics` as
  /// `log_records_malformed`.
  LogClient(const Endpoint& log, Metrics& metrics);

  /// Appends `record`. Waits for the answer until `deadline`.
  tl::expected<LogOffset, AppendFailure> Append(const Record& record,
                                                MonotonicTime deadline,
                                                const std::stop_token& stop);

  /// Reads records. `deadline` must leave time for `options.wait`.
  tl::expected<RecordsRead, std::string> Read(const ReadOptions& options,
                                              MonotonicTime deadline,
                                              const std::stop_token& stop);

 private:
  HttpClient http;
  Metrics& metrics;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_LOG_CLIENT_H_
