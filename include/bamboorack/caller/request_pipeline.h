#ifndef BAMBOORACK_CALLER_REQUEST_PIPELINE_H_
#define BAMBOORACK_CALLER_REQUEST_PIPELINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "bamboorack/caller/messages.h"
#include "bamboorack/core/rank.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack::caller {

/// Bounds for requests that callers send ahead, that is, before the requests in
/// front of them on the same connection are answered.
struct PipelineLimits {
  /// Requests of one connection that are in work at the same time.
  std::size_t requests_per_connection = 16;
  /// Requests sent ahead on all connections.
  std::size_t requests_ahead = 4'096;
  /// Bytes of the answers on all connections that wait for an answer in front
  /// of them. The last answer that still fits may exceed this.
  std::size_t waiting_answer_bytes = std::size_t{64} << 20U;
};

/// What the requests sent ahead on all connections use of `PipelineLimits`.
struct PipelineUsage {
  std::size_t requests_ahead = 0;
  std::size_t waiting_answer_bytes = 0;
};

/// A request of a connection that was read whole, until its answer is sent.
struct CallerExchange {
  enum class State : std::uint8_t {
    /// Must not start before it is the first of its connection.
    kHeldBack,
    /// With the routing thread.
    kInWork,
    /// Answered; the answer is sent when the ones in front of it are.
    kAnswered,
  };

  State state = State::kHeldBack;
  /// Valid while held back.
  Request request{};
  /// Valid while in work.
  CallerSlot slot{};
  /// Set when answered.
  std::optional<Result> result{};
  bool is_head = false;
  Rank rank = Rank::kLookup;
  MonotonicTime arrived_at{};
  /// The routing thread answers by this time.
  MonotonicTime answer_by{};
  /// Whether the connection stays open after the answer.
  bool keep_alive = true;
};

/// The requests of one connection, in the order of their arrival.
///
/// Handles these load patterns:
/// - A slow request is followed by quick ones: those that may be repeated are
///   served meanwhile, and their answers wait for the slow one's.
/// - A caller sends requests without end: at most a fixed number is in work,
///   and the rest is not read.
/// - An answer closes the connection while requests follow it: the caller sends
///   them again whatever they are, so a request that runs at most once starts
///   only when no answer is missing in front of it.
class RequestPipeline {
 public:
  /// Both must outlive the pipeline.
  RequestPipeline(const PipelineLimits& all_limits, PipelineUsage& all_usage)
      : limits(all_limits), usage(all_usage) {}
  ~RequestPipeline() { this->Clear(); }
  RequestPipeline(const RequestPipeline&) = delete;
  RequestPipeline& operator=(const RequestPipeline&) = delete;

  bool IsEmpty() const { return this->exchanges.empty(); }
  /// Whether one more request may be read.
  bool HasRoom() const;
  /// Appends a request and returns it. References stay valid while other
  /// requests are added or removed.
  CallerExchange& Add(CallerExchange exchange);
  /// Whether `exchange` may start now: it is the first, or may be repeated.
  bool MayStart(const CallerExchange& exchange) const;
  bool IsFirst(const CallerExchange& exchange) const;
  /// Returns the request in work under `slot`, or null.
  CallerExchange* Find(CallerSlot slot);
  void SetResult(CallerExchange& exchange, Result result);
  /// Removes and returns the first request if it is answered.
  std::optional<CallerExchange> PopAnswered();
  /// Returns the first request if it is held back, or null.
  CallerExchange* HeldFirst();
  /// Returns a request in work whose answer was due by `now`, or null.
  CallerExchange* FindOverdue(MonotonicTime now);
  /// Makes the last request close the connection. If the last one is held back
  /// and not the first, it is dropped instead: the caller takes what follows a
  /// closing answer as not read.
  void EndAfterLast();
  /// Returns the earliest time by which an answer is due.
  std::optional<MonotonicTime> NextAnswerDue() const;
  /// The slots of the requests in work.
  std::vector<CallerSlot> SlotsInWork() const;
  /// Removes all requests.
  void Clear();

 private:
  static std::size_t AnswerBytes(const CallerExchange& exchange);
  /// Takes back what an exchange uses as one that is not the first.
  void Uncount(const CallerExchange& exchange);

  const PipelineLimits& limits;
  PipelineUsage& usage;
  std::deque<CallerExchange> exchanges;
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_REQUEST_PIPELINE_H_
