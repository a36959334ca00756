#include "fakes/log_service/fake_log.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <array>
#include <chrono>
#include <map>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "fakes/common/http_fake.h"

namespace bamboorack::fakes {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using std::chrono::milliseconds;

/// Every open connection takes a thread, and a daemon opens two.
constexpr int kMaxThreads = 200;
constexpr milliseconds kLongestWait{10'000};
constexpr std::uint64_t kMostRecords = 1000;

std::string ToText(const Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::string EncodeRange(const StoredRange& range) {
  Array::Ptr records = new Array;
  for (const StoredRecord& record : range.records) {
    Object::Ptr row = new Object;
    row->set("offset", record.offset.value);
    row->set("time_ms", std::chrono::duration_cast<milliseconds>(
                            record.time.time_since_epoch())
                            .count());
    row->set("body", record.body);
    records->add(row);
  }
  Object out;
  out.set("first", range.first_kept.value);
  out.set("next", range.next.value);
  out.set("records", records);
  return ToText(out);
}

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  Handler(LogStore& records, FaultPlan& plan) : store(records), faults(plan) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const std::string path = Poco::URI(request.getURI()).getPath();
    for (const auto& [method, name, answer] : kCalls) {
      if (method != request.getMethod() || name != path) continue;
      try {
        (this->*answer)(request, response);
      } catch (const Poco::Exception& error) {
        // The client is gone or sent something malformed.
        if (!response.sent()) SendJson(response, 400, "{}");
      }
      return;
    }
    SendJson(response, 404, "{}");
  }

 private:
  struct Call {
    std::string_view method;
    std::string_view name;
    void (Handler::*answer)(HTTPServerRequest&, HTTPServerResponse&);
  };
  static const std::array<Call, 3> kCalls;

  void Append(HTTPServerRequest& request, HTTPServerResponse& response) {
    std::string body = ReadBody(request);
    if (body.empty()) return SendJson(response, 400, "{}");
    const FaultMode mode = this->faults.Strike(CallKind::kAppend);
    if (mode == FaultMode::kDown) return CloseWithoutAnswer(request);
    if (mode == FaultMode::kUnavailable) return SendJson(response, 503, "{}");
    // A test that has seen the appender give up may have cleared the fault
    // before this thread looked it up, so a late call must have no effect.
    if (IsAbandoned(request)) return CloseWithoutAnswer(request);
    const LogOffset offset = this->store.Append(std::move(body));
    if (mode == FaultMode::kLoseAppendAnswer) {
      return CloseWithoutAnswer(request);
    }
    Object out;
    out.set("offset", offset.value);
    SendJson(response, 200, ToText(out));
  }

  void Read(HTTPServerRequest& request, HTTPServerResponse& response) {
    const FaultMode mode = this->faults.Strike(CallKind::kRead);
    if (mode == FaultMode::kDown) return CloseWithoutAnswer(request);
    if (mode == FaultMode::kUnavailable) return SendJson(response, 503, "{}");
    if (mode == FaultMode::kMalformed) {
      return SendJson(response, 200, "{\"first\":");
    }
    std::map<std::string, std::uint64_t> query = {
        {"from", 1}, {"max", kMostRecords}, {"wait_ms", 0}};
    for (const auto& [name, value] :
         Poco::URI(request.getURI()).getQueryParameters()) {
      query[name] = Poco::NumberParser::parseUnsigned64(value);
    }
    const auto wait = std::min(milliseconds(query.at("wait_ms")), kLongestWait);
    const std::string text = EncodeRange(this->store.Read(
        LogOffset(query.at("from")), std::min(query.at("max"), kMostRecords),
        std::chrono::steady_clock::now() + wait));
    if (mode == FaultMode::kTruncate) return SendHalf(request, response, text);
    SendJson(response, 200, text);
  }

  void SetFault(HTTPServerRequest& request, HTTPServerResponse& response) {
    Poco::JSON::Parser parser;
    const auto in = parser.parse(ReadBody(request)).extract<Object::Ptr>();
    const auto mode = FaultModeFromName(in->getValue<std::string>("mode"));
    if (!mode) return SendJson(response, 400, "{}");
    Fault fault{
        *mode, milliseconds(in->optValue<std::int64_t>("delay_ms", 0)), {}};
    if (in->has("count")) fault.count = in->getValue<std::uint64_t>("count");
    this->faults.Set(fault);
    SendJson(response, 200, "{}");
  }

  LogStore& store;
  FaultPlan& faults;
};

constexpr std::array<Handler::Call, 3> Handler::kCalls = {
    Call{"POST", "/append", &Handler::Append},
    Call{"GET", "/records", &Handler::Read},
    Call{"POST", "/fault", &Handler::SetFault}};

}  // namespace

FakeLog::FakeLog(std::uint16_t port, std::size_t retention)
    : store(retention), threads(2, kMaxThreads) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress("127.0.0.1", port));
  this->server = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory<Handler, LogStore, FaultPlan>(this->store,
                                                       this->faults),
      this->threads, socket, params);
  this->server->start();
}

FakeLog::~FakeLog() {
  this->store.Stop();
  this->faults.Stop();
  this->server->stopAll(true);
  this->threads.joinAll();
}

std::uint16_t FakeLog::Port() const { return this->server->port(); }

}  // namespace bamboorack::fakes
