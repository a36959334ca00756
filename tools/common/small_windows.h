#ifndef BAMBOORACK_TOOLS_COMMON_SMALL_WINDOWS_H_
#define BAMBOORACK_TOOLS_COMMON_SMALL_WINDOWS_H_

#include <Poco/Net/Socket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace bamboorack::tools {

/// Makes connections of `socket` as small as on a link between two machines, so
/// that an upload does not fit into the buffers on the way and its sender waits
/// for a peer that does not read. Call before it listens or connects.
inline void UseSmallWindows(Poco::Net::Socket& socket) {
  constexpr int kBufferBytes = 8'192;
  // The kernel sizes send buffers by this. On loopback it is 64 KiB otherwise.
  constexpr int kSegmentBytes = 1'460;
  socket.setReceiveBufferSize(kBufferBytes);
  socket.setOption(IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
}

}  // namespace bamboorack::tools

#endif  // BAMBOORACK_TOOLS_COMMON_SMALL_WINDOWS_H_
