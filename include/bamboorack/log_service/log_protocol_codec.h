#ifndef BAMBOORACK_LOG_SERVICE_LOG_PROTOCOL_CODEC_H_
#define BAMBOORACK_LOG_SERVICE_LOG_PROTOCOL_CODEC_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"

namespace bamboorack::log_service {

/// The answer of the log to a read.
struct RecordsAnswer {
  /// The oldest offset that the log still has.
  LogOffset first_kept;
  /// Where the next read starts.
  LogOffset next;
  /// Number of records in the answer, unreadable ones included.
  std::size_t count = 0;
  /// Why records were left out, one text for each.
  std::vector<std::string> unreadable;
  std::vector<LogRecord> records;
};

/// Returns path and query of a read of at most `max` records from `from` on.
/// The log holds the answer back for up to `wait` until there is a record.
std::string ReadTarget(LogOffset from, std::size_t max,
                       std::chrono::milliseconds wait);

/// Reads the answer to a read from `from` on. Records whose body is malformed
/// are left out. Offsets that go back or do not fit are an error.
tl::expected<RecordsAnswer, std::string> DecodeRecordsAnswer(
    std::string_view json, LogOffset from);

/// Reads the answer to an append.
tl::expected<LogOffset, std::string> DecodeAppendAnswer(std::string_view json);

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_LOG_PROTOCOL_CODEC_H_
