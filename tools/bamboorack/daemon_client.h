#ifndef BAMBOORACK_TOOLS_BAMBOORACK_DAEMON_CLIENT_H_
#define BAMBOORACK_TOOLS_BAMBOORACK_DAEMON_CLIENT_H_

#include <chrono>
#include <string>
#include <tl/expected.hpp>

#include "bamboorack/core/ids.h"

namespace bamboorack::tools {

struct DaemonAnswer {
  int status = 0;
  std::string body;
};

/// Sends one request without a body to a daemon's operator listener. `timeout`
/// bounds connecting and each read. Returns an error text if no complete
/// answer came.
tl::expected<DaemonAnswer, std::string> AskDaemon(
    const Endpoint& daemon, const std::string& method, const std::string& path,
    std::chrono::milliseconds timeout);

}  // namespace bamboorack::tools

#endif  // BAMBOORACK_TOOLS_BAMBOORACK_DAEMON_CLIENT_H_
