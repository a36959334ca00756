#include "bamboorack/log_service/store_call_thread.h"

#include <chrono>
#include <utility>

namespace bamboorack::log_service {
namespace {

using std::chrono::steady_clock;

// Bounds the wait for a call, so that a stop is noticed.
constexpr std::chrono::seconds kLongestWait{1};

}  // namespace

StoreCallThread::StoreCallThread(std::unique_ptr<KeyedLog> keyed_log,
                                 BoundedRing<StoreCall>& in_ring,
                                 BoundedRing<StoreResult>& out_ring,
                                 Metrics& registry)
    : log(std::move(keyed_log)),
      in(in_ring),
      out(out_ring),
      metrics(registry) {}

StoreCallThread::~StoreCallThread() { this->Stop(); }

void StoreCallThread::Start() {
  this->thread =
      std::jthread([this](const std::stop_token& stop) { this->Run(stop); });
}

void StoreCallThread::RequestStop() {
  this->thread.request_stop();
  this->in.Close();
}

void StoreCallThread::Stop() {
  if (!this->thread.joinable()) return;
  this->RequestStop();
  this->thread.join();
}

void StoreCallThread::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    const auto call = this->in.PopUntil(steady_clock::now() + kLongestWait);
    if (!call) continue;
    if (!this->out.TryPush(this->Make(*call, stop))) {
      this->metrics.Count("store_results_dropped");
    }
  }
}

StoreResult StoreCallThread::Make(const StoreCall& call,
                                  const std::stop_token& stop) {
  this->metrics.Count("store_calls");
  StoreResult result;
  result.sent = steady_clock::now();
  if (const auto* read = std::get_if<ReadTopic>(&call.request)) {
    result.topic = read->topic;
    result.outcome = this->log->ReadNewest(read->topic, call.deadline, stop);
    return result;
  }
  const auto& append = std::get<KeyedAppend>(call.request);
  result.topic = append.topic;
  result.outcome = this->log->Append(append, call.deadline, stop);
  return result;
}

}  // namespace bamboorack::log_service
