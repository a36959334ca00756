#ifndef BAMBOORACK_TOOLS_LOAD_LOAD_WORKER_H_
#define BAMBOORACK_TOOLS_LOAD_LOAD_WORKER_H_

#include <Poco/Net/HTTPClientSession.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/rank.h"
#include "bamboorack/core/time.h"

namespace bamboorack::load {

struct LoadSettings {
  /// Daemons to send to; a worker goes to the next one when one fails.
  std::vector<Endpoint> targets;
  std::string service;
  Rank rank = Rank::kLookup;
  /// Each worker sends to keys of its own, one after the other.
  int keys_per_worker = 4;
  std::size_t body_bytes = 0;
  std::chrono::milliseconds pause{5};
  std::chrono::milliseconds request_limit{500};
  MonotonicTime end_at;
};

/// One request that ended, for a check against what the upstreams ran.
struct EndedRequest {
  std::string id;
  /// `done`, `not_run`, `unknown`, `no_connection` if nothing was sent, or
  /// `no_answer` if the daemon said nothing.
  std::string outcome;
};

struct LoadReport {
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> reasons;
  std::vector<std::chrono::microseconds> latencies;
  /// The longest time between two answers `done` for the same key.
  std::chrono::milliseconds longest_gap{0};
  std::vector<EndedRequest> requests;
  /// Answers that echo another key or request id than was sent.
  std::uint64_t wrong_answers = 0;
};

/// Sends requests over one keep-alive connection, one at a time.
class LoadWorker {
 public:
  LoadWorker(const LoadSettings& load_settings, int worker_number);

  /// Sends until `end_at` and returns what came back.
  LoadReport Run();

 private:
  void SendOne(int key_number);
  std::string Exchange(const std::string& key, const std::string& id);
  void CheckEcho(const std::string& body, const std::string& key,
                 const std::string& id);
  void Connect();
  void UseNextTarget();

  const LoadSettings& settings;
  int number;
  std::size_t target = 0;
  std::uint64_t sent = 0;
  std::unique_ptr<Poco::Net::HTTPClientSession> session;
  std::map<int, MonotonicTime> last_done;
  LoadReport report;
};

}  // namespace bamboorack::load

#endif  // BAMBOORACK_TOOLS_LOAD_LOAD_WORKER_H_
