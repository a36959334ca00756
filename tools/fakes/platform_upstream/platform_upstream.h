#ifndef BAMBOORACK_TOOLS_FAKES_PLATFORM_UPSTREAM_PLATFORM_UPSTREAM_H_
#define BAMBOORACK_TOOLS_FAKES_PLATFORM_UPSTREAM_PLATFORM_UPSTREAM_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bamboorack::fakes {

struct PlatformUpstreamSettings {
  std::string id;
  std::string service;
  std::string zone;
  /// Whether requests need a key that was granted.
  bool is_sharded = false;
  std::uint32_t slots = 4;
  std::chrono::milliseconds work{20};
  std::uint16_t store_port = 0;
  /// The address that is registered; the own one if 0. A proxy may stand
  /// before it.
  std::uint16_t advertised_port = 0;
  /// Says on all answers that it leaves; its registry entry does not tell.
  bool is_leaving = false;
  /// Turns away one request of so many and asks for `retry_after`; 0 for none.
  std::uint32_t pause_every = 0;
  /// Sent as it is, so that tests can send malformed values.
  std::string retry_after = "1";
  /// Sends the answer to one request of so many a second time, after
  /// `second_answer_delay`; 0 for none.
  std::uint32_t second_answer_every = 0;
  std::chrono::milliseconds second_answer_delay{30};
  /// Runs one request of so many and then answers with a status that it
  /// otherwise uses for requests that did not run; 0 for none.
  std::uint32_t own_rejection_every = 0;
  /// Answers one upload of so many before it has read it, and then resets the
  /// connection: in turn in the middle of an answer without a length, and
  /// after a whole one with a length; 0 for none.
  std::uint32_t broken_off_answer_every = 0;
  /// Runs one request of so many, sends an answer that is no HTTP message and
  /// closes the connection; 0 for none.
  std::uint32_t malformed_answer_every = 0;
};

/// A stand-in for an upstream of the platform: registers itself, takes grants
/// and releases, checks tokens, and runs requests for keys that it holds.
/// Writes each decision as a JSON line, with a steady time that all processes
/// of a machine share.
class PlatformUpstream {
 public:
  PlatformUpstream(PlatformUpstreamSettings upstream_settings,
                   std::ostream& events);
  ~PlatformUpstream();
  PlatformUpstream(const PlatformUpstream&) = delete;
  PlatformUpstream& operator=(const PlatformUpstream&) = delete;

  void Start(std::uint16_t port);
  void Stop();
  std::uint16_t Port() const;

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  using Time = std::chrono::steady_clock::time_point;

  struct Hold {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t token = 0;
    Time until;
  };

  int Grant(const std::string& body, Time arrived);
  std::string Release(const std::string& body);
  /// Turns the request away if its turn has come. Returns whether it did.
  bool AskForTime(std::uint64_t number, Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response);
  /// Sends the same answer once more on the connection of the request.
  void SendAgain(Poco::Net::HTTPServerRequest& request,
                 const Poco::Net::HTTPServerResponse& response,
                 const std::string& body);
  /// Begins to run a request of which `body_bytes` of the body were read.
  /// Returns 0, or the status with which it is turned away.
  int Admit(std::uint32_t key, const std::string& id, const std::string& method,
            std::size_t body_bytes);
  /// Whether the request is an upload that is answered before it is read.
  bool IsAnsweredEarly(const Poco::Net::HTTPServerRequest& request,
                       std::uint64_t number) const;
  /// Sends an answer of which a part or the whole comes before a reset.
  void BreakOff(Poco::Net::HTTPServerRequest& request,
                const Poco::Net::HTTPServerResponse& response,
                const std::string& body, bool is_whole);
  /// Sends an answer with the fault of `number`, and closes the connection.
  static void SendMalformed(Poco::Net::HTTPServerRequest& request,
                            Poco::Net::HTTPServerResponse& response,
                            const std::string& body, std::uint64_t number);
  void CutLocked(std::uint32_t first, std::uint32_t last);
  bool HoldsLocked(std::uint32_t key) const;
  void Run(Poco::Net::HTTPServerRequest& request,
           Poco::Net::HTTPServerResponse& response);
  void Register(bool is_draining);
  void Beat(const std::stop_token& stop);
  void Write(const std::string& line);

  const PlatformUpstreamSettings settings;
  std::ostream& out;
  std::mutex mutex;
  std::vector<Hold> holds;
  std::vector<std::pair<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t>>
      seen;
  /// Requests that run now, by their key.
  std::multimap<std::uint32_t, std::string> running;
  std::uint32_t busy = 0;
  std::uint64_t beats = 0;
  std::atomic<std::uint64_t> requests{0};
  std::uint64_t handovers = 0;
  std::int64_t born = 0;
  std::unique_ptr<Poco::Net::HTTPServer> server;
  std::jthread beat_thread;
};

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_PLATFORM_UPSTREAM_PLATFORM_UPSTREAM_H_
