#include "bamboorack/upstream/upstream_thread.h"

#include <thread>

#include "bamboorack/upstream/upstream_reactor.h"

namespace bamboorack::upstream {

class UpstreamThread::Reactor {
 public:
  Reactor(const UpstreamThreadSettings& settings, BoundedRing<ToUpstream>& in,
          BoundedRing<UpstreamToRouting>& to_routing,
          BoundedRing<ControlResult>& to_control, Metrics& metrics)
      : reactor(settings, in, to_routing, to_control, metrics) {}

  UpstreamReactor reactor;
  std::thread thread;
};

UpstreamThread::UpstreamThread(const UpstreamThreadSettings& settings,
                               BoundedRing<ToUpstream>& in,
                               BoundedRing<UpstreamToRouting>& to_routing,
                               BoundedRing<ControlResult>& to_control,
                               Metrics& metrics)
    : reactor(std::make_unique<Reactor>(settings, in, to_routing, to_control,
                                        metrics)) {}

UpstreamThread::~UpstreamThread() {
  this->Stop(std::chrono::steady_clock::now());
}

tl::expected<void, std::string> UpstreamThread::Start() {
  this->reactor->thread = std::thread([this] { this->reactor->reactor.Run(); });
  return {};
}

void UpstreamThread::Stop(MonotonicTime deadline) {
  if (!this->reactor->thread.joinable()) return;
  this->reactor->reactor.StopBy(deadline);
  this->reactor->thread.join();
}

}  // namespace bamboorack::upstream
