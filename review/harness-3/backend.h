#ifndef REVIEW_HARNESS_3_BACKEND_H_
#define REVIEW_HARNESS_3_BACKEND_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "store.h"

namespace review {

/// Everything that clients, backends and the store saw, in `record.txt`.
class Journal {
 public:
  Journal(const std::string& path, Time begin) : out(path), start(begin) {}
  void Line(const std::string& text);
  /// Milliseconds since the start of the run.
  long long Since(Time time) const;

 private:
  std::mutex mutex;
  std::ofstream out;
  Time start;
};

struct BackendPlan {
  std::string id;
  std::string service;
  std::string zone;
  bool is_sharded = false;
  /// How long a request takes.
  milliseconds work{5};
  /// Whether it writes again as soon as the store is back, or at its next
  /// heartbeat.
  bool writes_at_once = true;
};

/// One request that a backend ran.
struct Run {
  Time at;
  std::string request;
  std::string path;
  std::string service;
  std::string backend;
};

class Backend;

/// All backends of a run, and what they did together.
struct Fleet {
  std::mutex mutex;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<Run> runs;
  /// Grants whose epoch number was not above all that others had.
  std::vector<std::string> stale_epochs;
};

/// A sound backend, as in PROTOCOL.md: registers itself in the store, holds
/// keys by leases and runs requests.
class Backend {
 public:
  Backend(BackendPlan backend_plan, Store& platform_store, Fleet& all,
          Journal& record);
  ~Backend();

  void Start();
  void Stop();
  const BackendPlan& Plan() const { return this->plan; }
  /// Reports that it leaves, in its entry and in all its answers. Returns when
  /// the store has accepted that.
  Time Leave();
  /// Ends at once, as a process does: requests at work get no answer.
  void End();
  /// When it last tried to write its entry.
  Time LastBeat() const { return this->last_beat.load(); }
  /// Call with the mutex of the fleet held.
  bool HoldsLocked(std::uint32_t key, Time now) const;
  std::uint64_t EpochLocked(std::uint32_t key) const {
    return this->epochs[key];
  }

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  void Beat(const std::stop_token& stop);
  bool Register();
  int Grant(const std::string& body, Time arrived);
  void Release(const std::string& body);
  void RunRequest(Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);

  const BackendPlan plan;
  Store& store;
  Fleet& fleet;
  Journal& journal;
  const long long born;
  std::vector<Time> held_until;
  std::vector<std::uint64_t> epochs;
  std::vector<std::uint16_t> running;
  std::atomic<std::uint64_t> handovers{0};
  std::atomic<int> busy{0};
  std::atomic<bool> is_leaving{false};
  std::atomic<bool> has_ended{false};
  std::atomic<std::uint64_t> seq{0};
  std::atomic<Time> last_beat{Time()};
  std::unique_ptr<Poco::Net::HTTPServer> server;
  std::jthread beats;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_BACKEND_H_
