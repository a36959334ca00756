#ifndef BAMBOORACK_TOOLS_FAKES_COMMON_HTTP_FAKE_H_
#define BAMBOORACK_TOOLS_FAKES_COMMON_HTTP_FAKE_H_

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>
#include <tuple>

#include "common/small_windows.h"

namespace bamboorack::fakes {

/// Makes a `Handler` of references to `Parts` for each request.
template <typename Handler, typename... Parts>
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  /// `all` must outlive the server.
  explicit HandlerFactory(Parts&... all) : parts(all...) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return std::apply([](auto&... part) { return new Handler(part...); },
                      this->parts);
  }

 private:
  std::tuple<Parts&...> parts;
};

/// Passes each request to the method `Handle` of a stand-in.
template <typename Fake>
class ForwardingHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit ForwardingHandler(Fake& stand_in) : fake(stand_in) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    this->fake.Handle(request, response);
  }

 private:
  Fake& fake;
};

/// Starts a server of up to `threads` connections on loopback that passes all
/// requests to `fake`. The servers of one kind of stand-in share their threads.
/// `has_small_windows` makes an upload too large for the buffers on the way.
template <int threads, typename Fake>
std::unique_ptr<Poco::Net::HTTPServer> ServeOnLoopback(
    Fake& fake, std::uint16_t port, bool has_small_windows = false) {
  // Without SO_REUSEPORT, so that two stand-ins cannot share a port.
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", port), true, false);
  if (has_small_windows) tools::UseSmallWindows(socket);
  socket.listen(threads);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(threads);
  params->setMaxQueued(threads);
  static Poco::ThreadPool pool(4, threads);
  auto server = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory<ForwardingHandler<Fake>, Fake>(fake), pool, socket,
      params);
  server->start();
  return server;
}

/// Tells the starter which port was chosen.
inline void PrintPort(std::uint16_t port) {
  std::cout << "listening port=" << port << std::endl;
}

inline std::string ReadBody(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

inline void SendJson(Poco::Net::HTTPServerResponse& response, int status,
                     const std::string& text) {
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.setContentLength64(static_cast<Poco::Int64>(text.size()));
  response.send() << text << std::flush;
}

/// Closes the connection without an answer.
inline void CloseWithoutAnswer(Poco::Net::HTTPServerRequest& request) {
  auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  connection.detachSocket().close();
}

/// Returns whether the caller has closed its connection and so waits for no
/// answer.
inline bool IsAbandoned(Poco::Net::HTTPServerRequest& request) {
  auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  Poco::Net::StreamSocket& socket = connection.socket();
  try {
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           socket.available() == 0;
  } catch (const Poco::Exception&) {
    // The connection was reset.
    return true;
  }
}

/// Sends the head of an answer and half of its body, then closes.
inline void SendHalf(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response,
                     const std::string& text) {
  response.setContentLength64(static_cast<Poco::Int64>(text.size()));
  response.send() << text.substr(0, text.size() / 2) << std::flush;
  auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  connection.socket().shutdown();
}

}  // namespace bamboorack::fakes

#endif  // BAMBOORACK_TOOLS_FAKES_COMMON_HTTP_FAKE_H_
