#ifndef BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_LOG_STORE_H_
#define BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_LOG_STORE_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/time.h"

namespace bamboorack::fakes {

/// A record as the log keeps it.
struct StoredRecord {
  LogOffset offset;
  WallTime time;
  std::string body;
};

struct StoredRange {
  LogOffset first_kept;
  LogOffset next;
  std::vector<StoredRecord> records;
};

/// The records of the fake log, in memory. Any thread may call it.
class LogStore {
 public:
  /// Keeps the last `retention` records.
  explicit LogStore(std::size_t retention) : kept(retention) {}

  /// Appends `body` and returns its offset, counted from 1.
  LogOffset Append(std::string body);

  /// Returns up to `max` records from `from` on. Waits for one until
  /// `deadline`.
  StoredRange Read(LogOffset from, std::size_t max, MonotonicTime deadline);

  /// Ends all waits, now and later.
  void Stop();

  LogOffset Next() const;

 private:
  LogOffset FirstKeptLocked() const;

  std::size_t kept;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::deque<StoredRecord> records;
  LogOffset next{1};
  bool is_stopped = false;
};

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_LOG_STORE_H_
