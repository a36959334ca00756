#include "daemon_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include "bamboorack/core/json_fields.h"

namespace bamboorack::tools {

tl::expected<DaemonAnswer, std::string> AskDaemon(
    const Endpoint& daemon, const std::string& method, const std::string& path,
    std::chrono::milliseconds timeout) {
  try {
    Poco::Net::HTTPClientSession session(daemon.host, daemon.port);
    session.setTimeout(
        Poco::Timespan(std::chrono::microseconds(timeout).count()));
    Poco::Net::HTTPRequest request(method, path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentLength(0);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& body = session.receiveResponse(response);
    DaemonAnswer answer;
    answer.status = response.getStatus();
    Poco::StreamCopier::copyToString(body, answer.body);
    return answer;
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("daemon " + ToText(daemon) +
                               " did not answer: " + error.displayText());
  }
}

}  // namespace bamboorack::tools
