#ifndef BAMBOORACK_TOOLS_FAKES_COMMON_HTTP_FAKE_H_
#define BAMBOORACK_TOOLS_FAKES_COMMON_HTTP_FAKE_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <csignal>
#include <cstdint>
#include <iostream>
#include <ostream>
#include <string>

namespace bamboorack::fakes {

/// Leaves SIGTERM and SIGINT to `WaitForStopSignal`. Call before any thread
/// starts.
inline void BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Blocks until SIGTERM or SIGINT arrives.
inline void WaitForStopSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
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
