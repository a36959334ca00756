#ifndef BAMBOORACK_TOOLS_FAKES_UPSTREAM_UPSTREAM_SERVER_H_
#define BAMBOORACK_TOOLS_FAKES_UPSTREAM_UPSTREAM_SERVER_H_

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "bamboorack/core/time.h"
#include "fakes/common/http_fake.h"
#include "ownership.h"

namespace bamboorack::fakes {

struct UpstreamSettings {
  std::string id;
  /// Requests that run at once; as many again may wait.
  std::size_t slots = 1;
  bool can_settle = true;
  std::chrono::milliseconds service_time{0};
  OwnershipSettings ownership;
};

/// The state of one upstream. Handlers on any thread may call it.
class UpstreamServer {
 public:
  explicit UpstreamServer(const UpstreamSettings& settings);

  /// Answers one request, whichever it is.
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

  /// Ends all waits, so that the server can stop.
  void Stop();

 private:
  using Json = Poco::JSON::Object;

  /// What tests change through `POST /fault`.
  struct Faults {
    bool drain = false;
    bool shed = false;
    /// Requests run but are never answered.
    bool swallow = false;
    std::chrono::milliseconds service_time{0};
  };

  struct Reply {
    int status = 200;
    std::string body = "{}";
    std::string not_run;
  };

  using Control = Reply (UpstreamServer::*)(const Json&);
  static const std::map<std::string, Control, std::less<>> kControls;

  Reply Clock(const Json& body);
  Reply Fence(const Json& body);
  Reply SetGrant(const Json& body);
  Reply Revoke(const Json& body);
  Reply Settle(const Json& body);
  Reply Cancel(const Json& body);
  Reply Ran(const Json& body);
  Reply Load(const Json& body);
  Reply SetFault(const Json& body);
  std::optional<Reply> RunRequest(Poco::Net::HTTPServerRequest& request,
                                  const std::string& body);

  /// Waits for a free slot. Returns the value of `X-Not-Run` if none came.
  std::optional<std::string_view> WaitForSlot(
      const RequestOrder& order, std::unique_lock<std::mutex>& lock);
  /// Holds the slot for the service time or until the request is cancelled.
  void Work(const RequestOrder& order, std::unique_lock<std::mutex>& lock);
  Reply MakeDataReply(const Poco::Net::HTTPServerRequest& request,
                      const RequestOrder& order, std::size_t body_bytes) const;
  UpstreamReading Now() const;

  const UpstreamSettings settings;
  const MonotonicTime started;
  std::mutex mutex;
  std::condition_variable changed;
  Ownership ownership;
  Faults faults;
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::set<std::string> cancelled_ids;
  bool is_stopped = false;
};

/// Makes handlers that pass each request to an `UpstreamServer`.
using UpstreamHandlerFactory =
    HandlerFactory<ForwardingHandler<UpstreamServer>, UpstreamServer>;

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_UPSTREAM_UPSTREAM_SERVER_H_
