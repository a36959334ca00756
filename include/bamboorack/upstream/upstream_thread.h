#ifndef BAMBOORACK_UPSTREAM_UPSTREAM_THREAD_H_
#define BAMBOORACK_UPSTREAM_UPSTREAM_THREAD_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/bounded_ring.h"
#include "bamboorack/core/metrics.h"
#include "bamboorack/core/time.h"
#include "bamboorack/upstream/messages.h"
#include "bamboorack/upstream/upstream_protocol.h"

namespace bamboorack::upstream {

struct UpstreamThreadSettings {
  /// Connections for requests to one upstream. Control calls have their own.
  std::size_t connections_per_upstream = 120;
  std::chrono::milliseconds connect_timeout{500};
  /// An unused connection is closed after this time.
  std::chrono::milliseconds idle_timeout{30'000};
  /// Requests that wait for a connection to one upstream. Further ones are
  /// refused with `queue_full`.
  std::size_t max_waiting = 1024;
  /// Larger answers are refused with `upstream_bad_answer`, in bytes.
  std::size_t max_answer_body = 67'108'864;
  std::shared_ptr<const UpstreamProtocol> protocol = MakeNativeProtocol();
};

/// Serves all connections to upstreams with one thread. Connections are kept
/// open and carry one request at a time.
class UpstreamThread {
 public:
  /// The rings and `metrics` must outlive this object. `in` gets a waker, so
  /// build this object before anything is pushed to it.
  UpstreamThread(const UpstreamThreadSettings& settings,
                 BoundedRing<ToUpstream>& in,
                 BoundedRing<UpstreamToRouting>& to_routing,
                 BoundedRing<ControlResult>& to_control, Metrics& metrics);
  /// Stops at once if `Stop` was not called.
  ~UpstreamThread();
  UpstreamThread(const UpstreamThread&) = delete;
  UpstreamThread& operator=(const UpstreamThread&) = delete;

  /// Starts the thread. The error names the cause.
  tl::expected<void, std::string> Start();

  /// Serves on until nothing is in flight and `in` is empty, but not longer
  /// than `deadline`; then closes all connections, delivers what results the
  /// rings take, and joins the thread.
  void Stop(MonotonicTime deadline);

 private:
  class Reactor;
  std::unique_ptr<Reactor> reactor;
};

}  // namespace bamboorack::upstream

#endif  // BAMBOORACK_UPSTREAM_UPSTREAM_THREAD_H_
