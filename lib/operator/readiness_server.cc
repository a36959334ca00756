#include "bamboorack/operator/readiness_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <ostream>
#include <sstream>
#include <utility>

namespace bamboorack::operators {
namespace {

using Poco::Net::HTTPResponse;

constexpr int kThreads = 2;
constexpr int kQueued = 16;
constexpr int kBacklog = 16;
constexpr long kRequestSeconds = 2;

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  Handler(std::string path, std::function<bool()> check,
          const Metrics& registry)
      : ready_path(std::move(path)),
        is_ready(std::move(check)),
        metrics(registry) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    std::string body;
    HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_NOT_FOUND;
    if (request.getURI() == this->ready_path) {
      const bool ready = this->is_ready();
      status = ready ? HTTPResponse::HTTP_OK
                     : HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
      body = ready ? "ready\n" : "not ready\n";
    } else if (request.getURI() == "/metrics") {
      status = HTTPResponse::HTTP_OK;
      body = this->metrics.ToPrometheusText();
    }
    response.setStatusAndReason(status);
    response.setContentType("text/plain; version=0.0.4");
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    response.send() << body << std::flush;
  }

 private:
  std::string ready_path;
  std::function<bool()> is_ready;
  const Metrics& metrics;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  Factory(std::string path, std::function<bool()> check,
          const Metrics& registry)
      : ready_path(std::move(path)),
        is_ready(std::move(check)),
        metrics(registry) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new Handler(this->ready_path, this->is_ready, this->metrics);
  }

 private:
  std::string ready_path;
  std::function<bool()> is_ready;
  const Metrics& metrics;
};

}  // namespace

tl::expected<std::unique_ptr<ReadinessServer>, std::string>
ReadinessServer::Start(const Endpoint& endpoint, const std::string& ready_path,
                       const std::function<bool()>& is_ready,
                       const Metrics& metrics) {
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(endpoint.host, endpoint.port), true,
                false);
    socket.listen(kBacklog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(kThreads);
    params->setMaxQueued(kQueued);
    params->setTimeout(Poco::Timespan(kRequestSeconds, 0));
    params->setKeepAlive(false);
    auto http = std::make_unique<Poco::Net::HTTPServer>(
        new Factory(ready_path, is_ready, metrics), socket, params);
    http->start();
    return std::unique_ptr<ReadinessServer>(
        new ReadinessServer(std::move(http)));
  } catch (const Poco::Exception& error) {
    std::ostringstream text;
    text << "cannot listen on " << endpoint << ": " << error.displayText();
    return tl::make_unexpected(text.str());
  }
}

ReadinessServer::ReadinessServer(
    std::unique_ptr<Poco::Net::HTTPServer> http_server)
    : server(std::move(http_server)) {}

ReadinessServer::~ReadinessServer() { this->Stop(); }

Endpoint ReadinessServer::BoundEndpoint() const {
  const auto address = this->server->socket().address();
  return {address.host().toString(), address.port()};
}

void ReadinessServer::Stop() { this->server->stopAll(true); }

}  // namespace bamboorack::operators
