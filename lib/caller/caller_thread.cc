#include "bamboorack/caller/caller_thread.h"

#include <Poco/Exception.h>
#include <glog/logging.h>

#include <sstream>
#include <thread>
#include <utility>

#include "bamboorack/caller/caller_reactor.h"

namespace bamboorack::caller {

class CallerThread::Reactor {
 public:
  Reactor(const CallerThreadSettings& thread_settings,
          BoundedRing<FromCaller>& out, BoundedRing<ToCaller>& in,
          Metrics& metrics)
      : settings(thread_settings), reactor(thread_settings, out, in, metrics) {}

  CallerThreadSettings settings;
  CallerReactor reactor;
  std::thread thread;
};

CallerThread::CallerThread(const CallerThreadSettings& settings,
                           BoundedRing<FromCaller>& out,
                           BoundedRing<ToCaller>& in, Metrics& metrics)
    : reactor(std::make_unique<Reactor>(settings, out, in, metrics)) {}

CallerThread::~CallerThread() { this->Stop(std::chrono::steady_clock::now()); }

tl::expected<void, std::string> CallerThread::Start() {
  try {
    this->reactor->reactor.Listen();
  } catch (const Poco::Exception& error) {
    std::ostringstream text;
    text << "cannot listen on " << this->reactor->settings.listen << ": "
         << error.displayText();
    return tl::make_unexpected(text.str());
  }
  LOG(INFO) << "callers=listening port=" << this->Port();
  this->reactor->thread = std::thread([this] { this->reactor->reactor.Run(); });
  return {};
}

std::uint16_t CallerThread::Port() const {
  return this->reactor->reactor.Port();
}

void CallerThread::BeginDrain() { this->reactor->reactor.BeginDrain(); }

void CallerThread::BeginStop() { this->reactor->reactor.BeginStop(); }

void CallerThread::Stop(MonotonicTime deadline) {
  if (!this->reactor->thread.joinable()) return;
  this->reactor->reactor.StopBy(deadline);
  this->reactor->thread.join();
}

}  // namespace bamboorack::caller
