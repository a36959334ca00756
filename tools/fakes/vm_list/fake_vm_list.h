#ifndef BAMBOORACK_TOOLS_FAKES_VM_LIST_FAKE_VM_LIST_H_
#define BAMBOORACK_TOOLS_FAKES_VM_LIST_FAKE_VM_LIST_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace bamboorack::fakes {

/// The list as JSON text. Any thread may call it.
class ListSource {
 public:
  /// Serves the content of `file`, or an empty list if `file` is empty.
  explicit ListSource(std::filesystem::path file);

  /// Replaces the list until the file changes.
  void Replace(std::string text);

  /// Returns the list. Reads the file again if it has changed; nothing if the
  /// file cannot be read.
  std::optional<std::string> Text();

 private:
  std::mutex mutex;
  std::filesystem::path file;
  std::optional<std::filesystem::file_time_type> read_version;
  std::optional<std::string> text;
};

/// A stand-in for the platform's VM list on loopback: `GET /vms` and, for
/// tests, `POST /vms`, whose body replaces the list.
class FakeVmList {
 public:
  /// Listens on `port`; 0 chooses a free one. Throws `Poco::Exception` if the
  /// port is taken.
  FakeVmList(std::uint16_t port, std::filesystem::path file);
  ~FakeVmList();
  FakeVmList(const FakeVmList&) = delete;
  FakeVmList& operator=(const FakeVmList&) = delete;

  std::uint16_t Port() const;
  ListSource& Source() { return this->source; }

 private:
  ListSource source;
  Poco::ThreadPool threads;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_VM_LIST_FAKE_VM_LIST_H_
