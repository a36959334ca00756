#include "bamboorack/core/socket_send.h"

#include <Poco/Exception.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>

namespace bamboorack {

std::optional<std::size_t> SendAvailable(Poco::Net::StreamSocket& socket,
                                         std::string_view bytes) {
  constexpr std::size_t kMaxLength = std::numeric_limits<int>::max();
  const int length = static_cast<int>(std::min(bytes.size(), kMaxLength));
  try {
    const int sent = socket.sendBytes(bytes.data(), length, MSG_NOSIGNAL);
    return static_cast<std::size_t>(std::max(sent, 0));
  } catch (const Poco::Exception& error) {
    // POCO reports a full buffer as a general input or output error.
    if (error.code() == EAGAIN || error.code() == EWOULDBLOCK) return 0;
    return std::nullopt;
  }
}

}  // namespace bamboorack
