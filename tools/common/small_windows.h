#ifndef BAMBOORACK_TOOLS_COMMON_SMALL_WINDOWS_H_
#define BAMBOORACK_TOOLS_COMMON_SMALL_WINDOWS_H_

#include <Poco/Net/Socket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace bamboorack::tools {

/// Limits the buffers of the connections of `socket` as on a link between two
/// VMs: an upload does not fit into them, so its sender waits for a peer that
/// does not read. Call before the socket listens or connects.
inline void UseSmallWindows(Poco::Net::Socket& socket) {
  constexpr int kBufferBytes = 8'192;
  // The kernel sizes send buffers by this. On loopback it is 64 KiB otherwise.
  constexpr int kSegmentBytes = 1'460;
  socket.setReceiveBufferSize(kBufferBytes);
  socket.setOption(IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
}

}  // namespace bamboorack::tools

#endif  // BAMBOORACK_TOOLS_COMMON_SMALL_WINDOWS_H_
