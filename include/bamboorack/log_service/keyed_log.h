#ifndef BAMBOORACK_LOG_SERVICE_KEYED_LOG_H_
#define BAMBOORACK_LOG_SERVICE_KEYED_LOG_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack::log_service {

/// What the platform's keyed log holds, one log for each.
enum class Topic : std::uint8_t {
  /// The operator's desired state. Read only.
  kDesiredState,
  /// The entries of the upstreams. Read only.
  kUpstreams,
  /// Who leads ownership, and who owns which keys.
  kOwnership,
  /// The addresses of the daemons.
  kDaemons,
};

inline constexpr std::array<std::string_view, 4> kTopicNames = {
    "desired_state", "upstreams", "ownership", "daemons"};

constexpr std::string_view NameOf(Topic topic) {
  return kTopicNames.at(static_cast<std::size_t>(topic));
}

/// The newest record of a key. Without a value the key was removed.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
};

struct KeyedRecords {
  std::vector<KeyedRecord> records;
  /// The offset after the last record; the next read starts there.
  LogOffset end;
};

enum class ReadFault : std::uint8_t {
  /// No answer, or the log cannot serve now.
  kUnavailable,
  /// The log turned the call away for its rate.
  kThrottled,
  /// Records after the offset are gone; read the newest of each key instead.
  kHistoryGone,
  kMalformed,
};

struct ReadFailure {
  ReadFault fault = ReadFault::kUnavailable;
  std::string detail;
};

/// Where and for how long to read.
struct KeyedRead {
  Topic topic = Topic::kDesiredState;
  LogOffset from;
  /// How long the log may hold the answer back until there is a record.
  std::chrono::milliseconds wait{0};
};

enum class KeyedAppendFault : std::uint8_t {
  /// The log does not end at the expected offset. Nothing was appended.
  kConflict,
  /// Nothing was appended.
  kNotAppended,
  /// It may have taken effect, or may yet if the condition still holds.
  kUnknown,
};

struct KeyedAppendFailure {
  KeyedAppendFault fault = KeyedAppendFault::kUnknown;
  std::string detail;
};

struct KeyedAppend {
  Topic topic = Topic::kOwnership;
  KeyedRecord record;
  /// Append only if the log ends here.
  std::optional<LogOffset> expected_end;
};

/// Speaks with the platform's log, which keeps the newest record of each key
/// for good. For one thread.
class KeyedLog {
 public:
  KeyedLog() = default;
  virtual ~KeyedLog() = default;
  KeyedLog(const KeyedLog&) = delete;
  KeyedLog& operator=(const KeyedLog&) = delete;

  /// Returns the newest record of each key.
  virtual tl::expected<KeyedRecords, ReadFailure> ReadNewest(
      Topic topic, MonotonicTime deadline, const std::stop_token& stop) = 0;
  /// Returns the records from an offset on, in order. `deadline` must leave
  /// time for the wait.
  virtual tl::expected<KeyedRecords, ReadFailure> ReadFrom(
      const KeyedRead& read, MonotonicTime deadline,
      const std::stop_token& stop) = 0;
  /// Returns the end of the log after the append.
  virtual tl::expected<LogOffset, KeyedAppendFailure> Append(
      const KeyedAppend& append, MonotonicTime deadline,
      const std::stop_token& stop) = 0;
};

/// Makes a client for one thread.
using KeyedLogFactory = std::function<std::unique_ptr<KeyedLog>()>;

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_KEYED_LOG_H_
