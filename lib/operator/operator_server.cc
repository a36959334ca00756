#include "bamboorack/operator/operator_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <glog/logging.h>

#include <array>
#include <string_view>
#include <utility>

#include "bamboorack/core/json_fields.h"
#include "bamboorack/operator/limited_socket_server.h"

namespace bamboorack::operators {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kThreads = 2;
constexpr int kMaxQueued = 16;
/// No request of this interface needs a body; a small one is tolerated.
constexpr std::int64_t kMaxBody = 1024;

/// An error answer: its HTTP status and the name of its counter.
struct ErrorKind {
  int status;
  std::string_view reason_phrase;
  std::string_view name;
};

constexpr ErrorKind kUnknownPath{404, "Not Found", "unknown_path"};
constexpr ErrorKind kWrongMethod{405, "Method Not Allowed", "wrong_method"};
constexpr ErrorKind kTooSlow{408, "Request Timeout", "request_too_slow"};
constexpr ErrorKind kLengthRequired{411, "Length Required", "length_required"};
constexpr ErrorKind kBodyTooLarge{413, "Content Too Large", "body_too_large"};
constexpr ErrorKind kRequestTooLarge{431, "Request Header Fields Too Large",
                                     "request_too_large"};
constexpr ErrorKind kNoStatus{503, "Service Unavailable", "no_status"};
constexpr ErrorKind kNoState{503, "Service Unavailable", "no_state"};
constexpr ErrorKind kRingFull{503, "Service Unavailable", "ring_full"};

std::string ErrorBody(const ErrorKind& kind, const std::string& detail) {
  Poco::JSON::Object::Ptr object =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("error", std::string(kind.name));
  object->set("detail", detail);
  return WriteDocument(object);
}

void CountError(Metrics& metrics, const ErrorKind& kind) {
  metrics.Count("operator_" + std::string(kind.name));
}

/// Returns a whole HTTP answer, for errors found before POCO has a request.
std::string RawAnswer(const ErrorKind& kind, const std::string& detail) {
  const std::string body = ErrorBody(kind, detail);
  return "HTTP/1.1 " + std::to_string(kind.status) + " " +
         std::string(kind.reason_phrase) +
         "\r\nContent-Type: application/json\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What the handlers use; outlives all of them.
struct Context {
  Metrics& metrics;
  const StatusHolder& status;
  BoundedRing<OperatorCommand>& out;
};

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(const Context& shared) : context(shared) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override;

 private:
  using Call = void (Handler::*)(const Poco::URI&, HTTPServerResponse&) const;
  struct Route {
    std::string_view method;
    std::string_view path;
    Call call;
  };
  static const std::array<Route, 4> kRoutes;

  void GetMetrics(const Poco::URI& uri, HTTPServerResponse& response) const;
  void GetStatus(const Poco::URI& uri, HTTPServerResponse& response) const;
  void GetOwners(const Poco::URI& uri, HTTPServerResponse& response) const;
  void PostDrain(const Poco::URI& uri, HTTPServerResponse& response) const;

  void Fail(HTTPServerResponse& response, const ErrorKind& kind,
            const std::string& detail) const;
  bool AcceptBody(HTTPServerRequest& request,
                  HTTPServerResponse& response) const;

  const Context& context;
};

const std::array<Handler::Route, 4> Handler::kRoutes = {
    Route{"GET", "/metrics", &Handler::GetMetrics},
    Route{"GET", "/status", &Handler::GetStatus},
    Route{"GET", "/owners", &Handler::GetOwners},
    Route{"POST", "/drain", &Handler::PostDrain}};

void SendText(HTTPServerResponse& response, const std::string& type,
              const std::string& text) {
  response.setContentType(type);
  response.sendBuffer(text.data(), text.size());
}

void Handler::handleRequest(HTTPServerRequest& request,
                            HTTPServerResponse& response) {
  if (!this->AcceptBody(request, response)) return;
  const Poco::URI uri(request.getURI());
  const auto* const route = std::find_if(
      kRoutes.begin(), kRoutes.end(),
      [&](const Route& candidate) { return candidate.path == uri.getPath(); });
  if (route == kRoutes.end()) {
    this->Fail(response, kUnknownPath,
               "path \"" + uri.getPath() + "\" does not exist");
    return;
  }
  if (request.getMethod() != route->method) {
    response.set("Allow", std::string(route->method));
    this->Fail(response, kWrongMethod,
               "method " + request.getMethod() + " is not " +
                   std::string(route->method) + " on " + uri.getPath());
    return;
  }
  (this->*route->call)(uri, response);
}

void Handler::Fail(HTTPServerResponse& response, const ErrorKind& kind,
                   const std::string& detail) const {
  CountError(this->context.metrics, kind);
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(kind.status),
      std::string(kind.reason_phrase));
  SendText(response, "application/json", ErrorBody(kind, detail));
}

/// Reads a small body, so that closing the connection does not reset it, and
/// refuses any other.
bool Handler::AcceptBody(HTTPServerRequest& request,
                         HTTPServerResponse& response) const {
  if (request.getChunkedTransferEncoding()) {
    this->Fail(response, kLengthRequired, "Transfer-Encoding is not accepted");
    return false;
  }
  if (!request.hasContentLength()) return true;
  const std::int64_t length = request.getContentLength64();
  if (length > kMaxBody) {
    this->Fail(response, kBodyTooLarge,
               "body of " + std::to_string(length) + " bytes is above " +
                   std::to_string(kMaxBody));
    return false;
  }
  request.stream().ignore(length);
  return true;
}

void Handler::GetMetrics(const Poco::URI& /*uri*/,
                         HTTPServerResponse& response) const {
  SendText(response, "text/plain; version=0.0.4",
           this->context.metrics.ToPrometheusText());
}

void Handler::GetStatus(const Poco::URI& /*uri*/,
                        HTTPServerResponse& response) const {
  const auto snapshot = this->context.status.Get();
  if (snapshot == nullptr) {
    this->Fail(response, kNoStatus, "the daemon has not started yet");
    return;
  }
  SendText(response, "application/json",
           ToJson(*snapshot, std::chrono::steady_clock::now()));
}

void Handler::GetOwners(const Poco::URI& uri,
                        HTTPServerResponse& response) const {
  const auto snapshot = this->context.status.Get();
  if (snapshot == nullptr || snapshot->state == nullptr) {
    this->Fail(response, kNoState, "the daemon has no state yet");
    return;
  }
  ServiceName service;
  for (const auto& [name, value] : uri.getQueryParameters()) {
    if (name == "service") service.value = value;
  }
  response.setContentType("application/json");
  response.setChunkedTransferEncoding(true);
  WriteOwners(*snapshot->state, service, response.send());
}

void Handler::PostDrain(const Poco::URI& /*uri*/,
                        HTTPServerResponse& response) const {
  if (!this->context.out.TryPush(DrainCommand{})) {
    this->Fail(response, kRingFull, "the daemon has too many commands waiting");
    return;
  }
  this->context.metrics.Count("operator_drain");
  response.setStatus(Poco::Net::HTTPResponse::HTTP_ACCEPTED);
  SendText(response, "application/json", R"({"accepted":"drain"})");
}

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(const Context& shared) : context(shared) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new Handler(this->context);
  }

 private:
  Context context;
};

Poco::Net::HTTPServerParams::Ptr MakeParams(
    const OperatorServerLimits& limits) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setKeepAlive(false);
  params->setMaxThreads(kThreads);
  params->setMaxQueued(kMaxQueued);
  params->setTimeout(Poco::Timespan(
      std::chrono::microseconds(limits.connection_time).count()));
  return params;
}

ConnectionLimits MakeConnectionLimits(Metrics& metrics,
                                      const OperatorServerLimits& limits) {
  const auto refuse = [&metrics](const ErrorKind& kind, std::string detail) {
    return [&metrics, &kind, detail = std::move(detail)] {
      CountError(metrics, kind);
      return RawAnswer(kind, detail);
    };
  };
  return ConnectionLimits{
      limits.connection_time, limits.request_bytes,
      refuse(kTooSlow, "no complete request within " +
                           std::to_string(limits.connection_time.count()) +
                           " ms"),
      refuse(kRequestTooLarge, "the request is above " +
                                   std::to_string(limits.request_bytes) +
                                   " bytes")};
}

}  // namespace

void StatusHolder::Set(std::shared_ptr<const StatusSnapshot> snapshot) {
  const std::lock_guard lock(this->mutex);
  this->latest = std::move(snapshot);
}

std::shared_ptr<const StatusSnapshot> StatusHolder::Get() const {
  const std::lock_guard lock(this->mutex);
  return this->latest;
}

class OperatorServer::Listener {
 public:
  Listener(const Endpoint& endpoint, const Context& context,
           const OperatorServerLimits& limits)
      : pool(kThreads, kThreads),
        socket(Poco::Net::SocketAddress(endpoint.host, endpoint.port),
               MakeConnectionLimits(context.metrics, limits)),
        server(new HandlerFactory(context), this->pool, this->socket,
               MakeParams(limits)) {
    const Poco::Net::SocketAddress address = this->socket.address();
    this->bound = Endpoint{address.host().toString(), address.port()};
    this->server.start();
  }

  const Endpoint& Bound() const { return this->bound; }

  void Stop() {
    this->server.stopAll(true);
    // Ends the connections that the kernel accepted but no thread has taken.
    this->socket.close();
    this->pool.joinAll();
  }

 private:
  Poco::ThreadPool pool;
  LimitedServerSocket socket;
  Poco::Net::HTTPServer server;
  Endpoint bound;
};

OperatorServer::OperatorServer(std::unique_ptr<Listener> opened)
    : listener(std::move(opened)) {}

OperatorServer::~OperatorServer() { this->Stop(); }

tl::expected<std::unique_ptr<OperatorServer>, std::string>
OperatorServer::Start(const Endpoint& endpoint, Metrics& metrics,
                      const StatusHolder& status,
                      BoundedRing<OperatorCommand>& out,
                      const OperatorServerLimits& limits) {
  try {
    auto opened = std::make_unique<Listener>(
        endpoint, Context{metrics, status, out}, limits);
    return std::unique_ptr<OperatorServer>(
        new OperatorServer(std::move(opened)));
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("cannot listen on " +
                               bamboorack::ToText(endpoint) + ": " +
                               error.displayText());
  }
}

Endpoint OperatorServer::BoundEndpoint() const {
  return this->listener->Bound();
}

void OperatorServer::Stop() { this->listener->Stop(); }

}  // namespace bamboorack::operators
