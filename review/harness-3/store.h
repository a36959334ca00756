#ifndef REVIEW_HARNESS_3_STORE_H_
#define REVIEW_HARNESS_3_STORE_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

/// A stand-in for the platform's store: keyed logs with conditional appends and
/// waiting reads, as in PROTOCOL.md. It can be away and come back from a copy
/// that is some seconds old, as in the news page "On the store".
class Store {
 public:
  Store() = default;
  ~Store() { this->Stop(); }

  void Start();
  void Stop();
  std::uint16_t Port() const { return this->server->port(); }

  /// Writes as the operator or a backend does. Returns false while the store
  /// is away.
  bool Write(const std::string& topic, const std::string& key,
             const std::string& value);
  std::optional<std::string> Newest(const std::string& topic,
                                    const std::string& key) const;
  std::uint64_t End(const std::string& topic) const;
  std::uint64_t Era() const;

  /// From now on no call is answered; nothing is done for any.
  void GoAway();
  /// Answers again, from a copy of what was there at `copied`. All that was
  /// written since is gone; then the operator writes the newest value of each
  /// of its own keys again that the copy lacks.
  void ComeBackFromCopy(Time copied);

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  struct Record {
    std::string key;
    std::string value;
    Time at;
  };
  using Query = std::map<std::string, std::string>;

  void Append(const Query& query, const std::string& body,
              Poco::Net::HTTPServerResponse& response);
  /// Returns false if the connection must end without an answer.
  bool Read(const Query& query, Poco::Net::HTTPServerResponse& response);
  void ReadNewest(const Query& query, Poco::Net::HTTPServerResponse& response);
  std::map<std::string, Record> NewestLocked(const std::string& topic) const;

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::vector<Record>> topics;
  bool is_away = false;
  bool is_stopping = false;
  std::uint64_t era = 1;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace review

#endif  // REVIEW_HARNESS_3_STORE_H_
