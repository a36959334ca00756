#ifndef BAMBOORACK_TOOLS_FAKES_PLATFORM_STORE_PLATFORM_STORE_H_
#define BAMBOORACK_TOOLS_FAKES_PLATFORM_STORE_PLATFORM_STORE_H_

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

namespace bamboorack::fakes {

/// What the store does to calls instead of serving them.
enum class StoreFault : std::uint8_t {
  kNone,
  /// Answers 503; nothing is done.
  kBusy,
  /// Answers 429.
  kThrottle,
  /// Closes the connection.
  kReset,
  /// Does not answer for some seconds.
  kSilent,
  /// Carries appends out and closes without an answer.
  kLostAnswers,
};

/// One partition of a keyed log.
class KeyedPartition {
 public:
  struct Record {
    std::string key;
    std::string value;
  };

  std::uint64_t End() const { return this->first + this->records.size(); }
  std::uint64_t First() const { return this->first; }
  void Append(Record record);
  /// Forgets all records; the newest of each key stay.
  void DropHistory();
  std::vector<Record> From(std::uint64_t offset) const;
  const std::map<std::string, Record>& Newest() const { return this->newest; }

 private:
  std::uint64_t first = 0;
  std::vector<Record> records;
  std::map<std::string, Record> newest;
};

/// A stand-in for the platform's store: keyed logs with conditional appends
/// and waiting reads. Faults are switched on by `POST /fake/fault?kind=NAME`
/// and history is dropped by `POST /fake/drop-history`.
class PlatformStore {
 public:
  PlatformStore();
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  /// Listens on `port` of loopback; 0 takes a free port.
  void Start(std::uint16_t port);
  void Stop();
  std::uint16_t Port() const;

  void SetFault(StoreFault new_fault);
  void DropHistory();
  /// Writes as the operator or an upstream would.
  void Write(const std::string& topic, const std::string& key,
             const std::string& value);
  /// Returns the newest value of a key, or nothing.
  std::optional<std::string> Read(const std::string& topic,
                                  const std::string& key) const;
  std::uint64_t Calls() const;

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  using Query = std::map<std::string, std::string>;
  using Handler = void (PlatformStore::*)(const Query&, const std::string&,
                                          Poco::Net::HTTPServerResponse&);
  struct Row {
    const char* path;
    Handler handle;
  };
  static const std::vector<Row> kRows;

  void Append(const Query& query, const std::string& body,
              Poco::Net::HTTPServerResponse& response);
  void ReadFrom(const Query& query, const std::string& body,
                Poco::Net::HTTPServerResponse& response);
  void ReadNewest(const Query& query, const std::string& body,
                  Poco::Net::HTTPServerResponse& response);
  void FakeFault(const Query& query, const std::string& body,
                 Poco::Net::HTTPServerResponse& response);
  void FakeDrop(const Query& query, const std::string& body,
                Poco::Net::HTTPServerResponse& response);

  mutable std::mutex mutex;
  std::condition_variable appended;
  std::map<std::string, KeyedPartition> topics;
  StoreFault fault = StoreFault::kNone;
  std::uint64_t calls = 0;
  bool is_stopping = false;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_PLATFORM_STORE_PLATFORM_STORE_H_
