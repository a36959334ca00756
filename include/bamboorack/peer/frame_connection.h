#ifndef BAMBOORACK_PEER_FRAME_CONNECTION_H_
#define BAMBOORACK_PEER_FRAME_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "bamboorack/core/time.h"
#include "bamboorack/peer/frame_codec.h"

namespace bamboorack::peer {

/// A non-blocking connection that carries frames.
class FrameConnection {
 public:
  /// Takes over `stream`, which may still be connecting.
  explicit FrameConnection(const Poco::Net::StreamSocket& stream);

  /// Reads what has arrived. Returns false if the connection is closed.
  bool Read();
  /// Takes the next whole message; empty if there is none.
  tl::expected<std::string, FrameError> NextMessage();
  /// Queues `frame`. Returns false if the other side reads too slowly.
  bool Send(const Frame& frame, MonotonicTime now);
  /// Queues bytes that are whole frames already. Returns false as `Send`.
  bool SendEncoded(std::string_view frames);
  /// Writes as much as the socket takes. Returns false if it is closed.
  bool Flush();

  bool HasOutput() const { return this->sent < this->output.size(); }
  const Poco::Net::StreamSocket& Socket() const { return this->socket; }
  void Close();

 private:
  Poco::Net::StreamSocket socket;
  FrameReader reader;
  std::string output;
  std::size_t sent = 0;
};

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_FRAME_CONNECTION_H_
