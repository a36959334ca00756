#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_THREAD_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_THREAD_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/memory_budget.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/upstream_protocol.h"

namespace bamboorack::upstream {

struct UpstreamThreadSettings {
  /// Limit of connections for requests to one upstream. Control calls use
  /// separate connections.
  std::size_t connections_per_upstream = 120;
  std::chrono::milliseconds connect_timeout{500};
  /// An idle connection is closed after this time.
  std::chrono::milliseconds idle_timeout{30'000};
  /// Limit of requests that wait for a connection to one upstream. Further
  /// requests are refused with `queue_full`.
  std::size_t max_waiting = 1024;
  /// Limit of an answer body in bytes. Larger answers are refused with
  /// `upstream_bad_answer`.
  std::size_t max_answer_body = 67'108'864;
  /// Bytes of an answer that were read and not taken yet. All but a part of a
  /// head or of a chunk's size line is taken after each read, or memory is
  /// awaited for it.
  std::size_t max_answer_input = 262'144;
  /// Bounds the memory that all answers together take up. Never null. The
  /// thread sets the wakers of `kAnswers` and `kLargeAnswers`.
  std::shared_ptr<MemoryBudget> memory =
      std::make_shared<MemoryBudget>(ShareMemory(kDefaultProcessMemory));
  std::shared_ptr<const UpstreamProtocol> protocol = MakeNativeProtocol();
};

/// Handles all connections to upstreams on one thread. Connections are
/// persistent and carry one request at a time.
class UpstreamThread {
 public:
  /// The rings and `metrics` must outlive this object. Sets the waker of `in`,
  /// so construct this object before anything is pushed to `in`.
  UpstreamThread(const UpstreamThreadSettings& settings,
                 BoundedRing<ToUpstream>& in,
                 BoundedRing<UpstreamToRouting>& to_routing,
                 BoundedRing<ControlResult>& to_control, Metrics& metrics);
  /// Stops immediately if `Stop` was not called.
  ~UpstreamThread();
  UpstreamThread(const UpstreamThread&) = delete;
  UpstreamThread& operator=(const UpstreamThread&) = delete;

  /// Starts the thread. The error describes the cause.
  tl::expected<void, std::string> Start();

  /// Continues until nothing is in flight and `in` is empty, or until
  /// `deadline`. Then closes all connections, pushes as many results as the
  /// rings accept, and joins the thread.
  void Stop(MonotonicTime deadline);

 private:
  class Reactor;
  std::unique_ptr<Reactor> reactor;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_THREAD_H_
