#ifndef REVIEW_HARNESS_3_SITE_H_
#define REVIEW_HARNESS_3_SITE_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "backend.h"
#include "store.h"

namespace review {

/// What a client was answered; status 0 if the connection failed.
struct Answered {
  Time sent;
  std::size_t gateway = 0;
  std::string request;
  std::string path;
  int status = 0;
};

/// A small deployment: gateways as processes, the rest as stand-ins.
class Site {
 public:
  /// `record` is the path of the record, `directory` a temporary folder.
  Site(const std::string& record, std::string directory);
  ~Site();

  Store& GetStore() { return this->store; }
  Fleet& GetFleet() { return this->fleet; }
  Journal& GetJournal() { return this->journal; }

  Backend& StartBackend(const BackendPlan& plan);
  void StartGateway();
  /// Restarts a gateway that has ended.
  void RestartGateway(std::size_t gateway);
  void Signal(std::size_t gateway, int signal);
  /// Whether the process has ended; collects its exit code.
  bool HasEnded(std::size_t gateway);
  bool IsReady(std::size_t gateway) const;
  std::optional<std::size_t> Leader() const;
  /// Waits until all gateways are ready; returns whether they are.
  bool AwaitReady(milliseconds limit);

  /// Sends a request with a random key to `path` and returns the status.
  int Send(std::size_t gateway, const std::string& path,
           const std::string& method);
  /// Sends requests to the gateways `to`, or to all if it is empty, until
  /// `StopClients`.
  void StartClients(const std::vector<std::string>& paths,
                    milliseconds interval,
                    const std::vector<std::size_t>& to = {},
                    const std::string& method = "GET");
  void StopClients();
  std::vector<Answered> Answers();

 private:
  struct Gateway {
    std::string settings;
    std::string log;
    std::uint16_t caller_port = 0;
    std::uint16_t ready_port = 0;
    pid_t pid = 0;
  };

  std::uint16_t TakePort();
  void Spawn(Gateway& gateway);

  const std::string directory;
  Journal journal;
  Store store;
  Fleet fleet;
  std::vector<Gateway> gateways;
  std::uint16_t next_port;
  std::atomic<std::uint64_t> last_request{0};
  std::mutex answers_mutex;
  std::vector<Answered> answers;
  std::vector<std::jthread> clients;
};

void SleepFor(milliseconds span);
/// Runs `check` until it holds or `limit` has passed.
bool AwaitThat(milliseconds limit, const std::function<bool()>& check);

}  // namespace review

#endif  // REVIEW_HARNESS_3_SITE_H_
