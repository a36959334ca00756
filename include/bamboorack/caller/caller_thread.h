#ifndef BAMBOORACK_CALLER_CALLER_THREAD_H_
#define BAMBOORACK_CALLER_CALLER_THREAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/caller/caller_protocol.h"
#include "bamboorack/caller/messages.h"
#include "bamboorack/caller/request_check.h"
#include "bamboorack/caller/request_pipeline.h"
#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/memory_budget.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"

namespace bamboorack::caller {

struct CallerThreadSettings {
  /// Port 0 lets the system choose; see `CallerThread::Port`.
  Endpoint listen;
  RequestLimits limits;
  /// How requests are read and answers are written.
  std::shared_ptr<const CallerProtocol> protocol = MakeNativeProtocol();
  /// A connection without a request, without progress of a body or without
  /// progress of an answer is closed after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  /// From the first byte of a head to its blank line.
  std::chrono::milliseconds head_timeout{5'000};
  /// Further connections are closed at once and counted.
  std::size_t max_connections = 10'000;
  /// Bounds the memory that all requests together take up. An upload that does
  /// not fit stays unread for a moment, and is then refused with `queue_full`
  /// like any other request. Never null. The thread sets the waker of
  /// `kUploads`.
  std::shared_ptr<MemoryBudget> memory =
      std::make_shared<MemoryBudget>(ShareMemory(kDefaultProcessMemory));
  /// Bounds for requests that callers send before earlier ones are answered.
  PipelineLimits pipeline{};
};

/// Serves all caller connections with one thread: reads and checks requests,
/// hands them to the routing thread and writes the answers back.
class CallerThread {
 public:
  /// The rings and `metrics` must outlive this object. `in` gets a waker, so
  /// build this object before anything is pushed to it.
  CallerThread(const CallerThreadSettings& settings,
               BoundedRing<FromCaller>& out, BoundedRing<ToCaller>& in,
               Metrics& metrics);
  /// Stops at once if `Stop` was not called.
  ~CallerThread();
  CallerThread(const CallerThread&) = delete;
  CallerThread& operator=(const CallerThread&) = delete;

  /// Binds the listener and starts the thread. The error names the endpoint
  /// and the cause.
  tl::expected<void, std::string> Start();

  /// Returns the port that the listener is bound to, 0 before `Start`.
  std::uint16_t Port() const;

  /// From now on each answer tells its caller to close the connection. New
  /// connections are still accepted. Does not wait.
  void BeginDrain();

  /// Stops accepting connections and closes those that stay idle. A request
  /// whose first byte has arrived is still served; its connection is then
  /// closed. Does not wait.
  void BeginStop();

  /// Waits until all requests in flight are answered, but not longer than
  /// `deadline`, then closes everything and joins the thread. Requests that
  /// are still open are answered `unknown` with `stopping`.
  void Stop(MonotonicTime deadline);

 private:
  class Reactor;
  std::unique_ptr<Reactor> reactor;
};

}  // namespace bamboorack::caller

#endif  // BAMBOORACK_CALLER_CALLER_THREAD_H_
