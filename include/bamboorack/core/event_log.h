#ifndef BAMBOORACK_CORE_EVENT_LOG_H_
#define BAMBOORACK_CORE_EVENT_LOG_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <thread>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/time.h"

namespace bamboorack {

/// The kinds of lines, each with a budget of its own, so that a flood of one
/// kind does not hide another.
enum class EventKind : std::uint8_t {
  /// Start, stop, a dependency lost or regained.
  kProcess,
  /// A change of what this process believes.
  kBelief,
  /// Leadership, and moves of keys.
  kOwnership,
  /// A grant or release that was sent to an upstream, and its outcome.
  kOrder,
  /// A request that was refused, retried or that failed.
  kRequestTrouble,
  /// A request that was answered.
  kRequestDone,
};

inline constexpr std::size_t kEventKindCount = 6;

class EventLog;

/// Builds one JSON line. The line is written when the object is destroyed.
class EventLine {
 public:
  /// A null log writes nothing.
  EventLine(EventLog* event_log, std::string_view event);
  ~EventLine();
  EventLine(const EventLine&) = delete;
  EventLine& operator=(const EventLine&) = delete;

  EventLine& Text(std::string_view name, std::string_view value);
  EventLine& Count(std::string_view name, std::uint64_t value);
  EventLine& Real(std::string_view name, double value);
  /// Writes whole milliseconds as `<name>_ms`.
  EventLine& Duration(std::string_view name, std::chrono::nanoseconds value);

 private:
  void Name(std::string_view name);

  /// Null if the line's kind has used up its budget.
  EventLog* log;
  std::string line;
};

/// Writes JSON lines from any thread. Never blocks: what does not fit the
/// budget of its kind or the ring is dropped and counted, and the counts are
/// written once a second.
class EventLog {
 public:
  /// Lines go to `output` from a thread of this object.
  EventLog(std::string source, std::ostream& output);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  EventLine Line(EventKind kind, std::string_view event);
  std::uint64_t Dropped() const { return this->dropped.load(); }

 private:
  friend class EventLine;

  /// Lines of one kind in the second that began at `second`.
  struct Budget {
    std::atomic<std::int64_t> second{0};
    std::atomic<std::uint32_t> used{0};
  };

  bool TakeBudget(EventKind kind);
  void Push(std::string line);
  void Run();
  void WriteDropped();

  std::string source;
  std::ostream& out;
  BoundedRing<std::string> ring;
  std::array<Budget, kEventKindCount> budgets;
  std::atomic<std::uint64_t> dropped{0};
  std::uint64_t reported = 0;
  std::atomic<bool> is_stopping{false};
  std::thread thread;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_EVENT_LOG_H_
