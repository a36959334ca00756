#ifndef BAMBOORACK_LOG_SERVICE_APPEND_TRACKER_H_
#define BAMBOORACK_LOG_SERVICE_APPEND_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bamboorack/core/record.h"
#include "bamboorack/core/time.h"
#include "bamboorack/log_service/messages.h"

namespace bamboorack::log_service {

/// An own record was read back and judged.
struct AppendSettled {
  Record record;
  /// Where the record stands in the log.
  LogOffset offset;
  Verdict verdict = Verdict::kAccepted;
};

/// Follows own appends until the log shows what became of them. An append
/// whose answer was lost is settled by reading: if the log is read beyond the
/// time at which its sender gave up and the id is not there, the record is
/// sent again with the same id. A copy that takes effect late is harmless,
/// because the fold ignores it.
class AppendTracker {
 public:
  /// A record that is sent again gets `attempt_limit` until the sender gives
  /// up.
  explicit AppendTracker(std::chrono::milliseconds attempt_limit);

  /// Starts to track `record`, which the caller sends until `give_up_at`.
  AppendRequest Add(Record record, MonotonicTime give_up_at);

  /// The record was not sent, such as when a ring was full. The next `Tick`
  /// sends it again.
  void OnSendFailed(const RecordId& id);

  /// The sender stopped at `stopped_at`, before the give-up time, without an
  /// answer. The record may have taken effect.
  void OnSendUnknown(const RecordId& id, MonotonicTime stopped_at);

  /// Takes a record of the log and the fold's verdict. Returns the outcome if
  /// the record is a tracked one.
  std::optional<AppendSettled> OnRead(const LogRecord& record, Verdict verdict);

  /// Returns the records to send again at `now`. `read_through` is the time
  /// before which every record is known: the `sent_at` of the last read that
  /// reached the head, or nothing if there was none.
  std::vector<AppendRequest> Tick(MonotonicTime now,
                                  std::optional<MonotonicTime> read_through);

  /// Stops tracking a record that is not wanted any more, such as after the
  /// loss of an authority. It may still take effect.
  void Withdraw(const RecordId& id);

  std::size_t Size() const { return this->pending.size(); }

 private:
  struct Pending {
    Record record;
    /// No attempt runs after this time.
    MonotonicTime attempts_end_at;
    bool was_sent = true;
  };

  std::chrono::milliseconds attempt_limit;
  std::unordered_map<RecordId, Pending> pending;
};

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_APPEND_TRACKER_H_
