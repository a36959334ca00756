#ifndef BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_FAKE_LOG_H_
#define BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_FAKE_LOG_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <cstddef>
#include <cstdint>
#include <memory>

#include "fakes/log_service/fault_plan.h"
#include "fakes/log_service/log_store.h"

namespace bamboorack::fakes {

/// A stand-in for the platform's log on loopback: `POST /append`,
/// `GET /records` and, for tests, `POST /fault`.
class FakeLog {
 public:
  /// Listens on `port`; 0 chooses a free one. Keeps the last `retention`
  /// records. Throws `Poco::Exception` if the port is taken.
  FakeLog(std::uint16_t port, std::size_t retention);
  ~FakeLog();
  FakeLog(const FakeLog&) = delete;
  FakeLog& operator=(const FakeLog&) = delete;

  std::uint16_t Port() const;
  LogStore& Store() { return this->store; }
  FaultPlan& Faults() { return this->faults; }

 private:
  LogStore store;
  FaultPlan faults;
  Poco::ThreadPool threads;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_LOG_SERVICE_FAKE_LOG_H_
