#ifndef BAMBOORACK_CORE_SOCKET_SEND_H_
#define BAMBOORACK_CORE_SOCKET_SEND_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace bamboorack {

/// Sends as many of `bytes` as the kernel takes without waiting and returns
/// their number, 0 if its buffer is full. Returns nothing if the connection is
/// broken. `socket` must be non-blocking.
std::optional<std::size_t> SendAvailable(Poco::Net::StreamSocket& socket,
                                         std::string_view bytes);

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_SOCKET_SEND_H_
