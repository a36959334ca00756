#ifndef BAMBOORACK_LOG_SERVICE_MESSAGES_H_
#define BAMBOORACK_LOG_SERVICE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"

namespace bamboorack::log_service {

/// Records in the order of the log.
struct RecordsRead {
  /// The oldest offset that the log still has.
  LogOffset first_kept;
  /// Where the next read starts.
  LogOffset next;
  /// Whether `next` was the end of the log when the log answered.
  bool reached_head = false;
  /// When the read was sent. Every record that the log accepted before this
  /// time is known once `reached_head` is true.
  MonotonicTime sent_at;
  std::vector<LogRecord> records;
};

/// A read failed.
struct ReadFailed {
  std::string detail;
};

/// From the log reader thread to the control thread.
using FromLog = std::variant<RecordsRead, ReadFailed>;

/// From the control thread to the log appender thread. The verdict comes back
/// by reading the record, not through the appender.
struct AppendRequest {
  Record record;
  /// The appender gives up at this time. The record may still take effect.
  MonotonicTime give_up_at;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_MESSAGES_H_
