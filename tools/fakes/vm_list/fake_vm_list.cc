#include "fakes/vm_list/fake_vm_list.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string_view>
#include <system_error>
#include <utility>

#include "fakes/common/http_fake.h"

namespace bamboorack::fakes {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Every open connection takes a thread, and a daemon opens one.
constexpr int kMaxThreads = 100;
constexpr std::string_view kEmptyList = R"({"vms":[]})";

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(ListSource& list) : source(list) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    for (const auto& [method, answer] : kCalls) {
      if (request.getURI() != "/vms" || method != request.getMethod()) continue;
      (this->*answer)(request, response);
      return;
    }
    SendJson(response, 404, "{}");
  }

 private:
  struct Call {
    std::string_view method;
    void (Handler::*answer)(HTTPServerRequest&, HTTPServerResponse&);
  };
  static const std::array<Call, 2> kCalls;

  void Get(HTTPServerRequest& /*request*/, HTTPServerResponse& response) {
    const auto text = this->source.Text();
    if (!text) return SendJson(response, 503, "{}");
    SendJson(response, 200, *text);
  }

  void Replace(HTTPServerRequest& request, HTTPServerResponse& response) {
    this->source.Replace(ReadBody(request));
    SendJson(response, 200, "{}");
  }

  ListSource& source;
};

constexpr std::array<Handler::Call, 2> Handler::kCalls = {
    Call{"GET", &Handler::Get}, Call{"POST", &Handler::Replace}};

}  // namespace

ListSource::ListSource(std::filesystem::path path) : file(std::move(path)) {
  if (this->file.empty()) this->text = kEmptyList;
}

void ListSource::Replace(std::string replacement) {
  const std::lock_guard lock(this->mutex);
  this->text = std::move(replacement);
  std::error_code error;
  const auto version = std::filesystem::last_write_time(this->file, error);
  if (!error) this->read_version = version;
}

std::optional<std::string> ListSource::Text() {
  const std::lock_guard lock(this->mutex);
  if (this->file.empty()) return this->text;
  std::error_code error;
  const auto version = std::filesystem::last_write_time(this->file, error);
  if (error || version == this->read_version) return this->text;
  const std::ifstream in(this->file);
  if (!in) return std::nullopt;
  std::ostringstream content;
  content << in.rdbuf();
  this->text = content.str();
  this->read_version = version;
  return this->text;
}

FakeVmList::FakeVmList(std::uint16_t port, std::filesystem::path file)
    : source(std::move(file)), threads(2, kMaxThreads) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress("127.0.0.1", port));
  this->server = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory<Handler, ListSource>(this->source), this->threads,
      socket, params);
  this->server->start();
}

FakeVmList::~FakeVmList() {
  this->server->stopAll(true);
  this->threads.joinAll();
}

std::uint16_t FakeVmList::Port() const { return this->server->port(); }

}  // namespace bamboorack::fakes
