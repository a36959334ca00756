#ifndef REVIEW_HARNESS_3_HTTP_STAND_IN_H_
#define REVIEW_HARNESS_3_HTTP_STAND_IN_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <memory>
#include <string>

namespace review {

template <typename StandIn>
class PassingHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit PassingHandler(StandIn& target) : stand_in(target) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    this->stand_in.Handle(request, response);
  }

 private:
  StandIn& stand_in;
};

template <typename StandIn>
class PassingFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit PassingFactory(StandIn& target) : stand_in(target) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new PassingHandler<StandIn>(this->stand_in);
  }

 private:
  StandIn& stand_in;
};

/// Serves on a free loopback port, with a thread for each connection.
template <typename StandIn>
std::unique_ptr<Poco::Net::HTTPServer> ServeOnLoopback(StandIn& stand_in,
                                                       int threads) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
  socket.listen(128);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(threads);
  params->setMaxQueued(threads);
  params->setKeepAliveTimeout(Poco::Timespan(15, 0));
  // One pool for all stand-ins: threads are made when connections need them.
  static Poco::ThreadPool pool(8, 1'200);
  auto server = std::make_unique<Poco::Net::HTTPServer>(
      new PassingFactory<StandIn>(stand_in), pool, socket, params);
  server->start();
  return server;
}

inline std::string BodyOf(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

inline void Answer(Poco::Net::HTTPServerResponse& response, int status,
                   const std::string& body,
                   const std::string& type = "application/json") {
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(type);
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  response.send() << body << std::flush;
}

inline void CloseWithoutAnswer(Poco::Net::HTTPServerRequest& request) {
  auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  connection.detachSocket().close();
}

}  // namespace review

#endif  // REVIEW_HARNESS_3_HTTP_STAND_IN_H_
