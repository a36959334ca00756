#ifndef BAMBOORACK_CORE_HTTP_CONNECTION_H_
#define BAMBOORACK_CORE_HTTP_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "bamboorack/core/http_text.h"
#include "bamboorack/core/request.h"

namespace bamboorack {

/// A non-blocking connection with a buffer for each direction.
class HttpConnection {
 public:
  enum class IoStatus : std::uint8_t {
    kOk,
    /// The peer closed its sending direction.
    kClosed,
    /// The connection is broken.
    kFailed,
  };

  /// Up to this size, in bytes, a body is copied behind its head, which saves a
  /// send call.
  static constexpr std::size_t kMaxJoinedBody = 16'384;

  /// Makes `socket` non-blocking and sends small messages without delay.
  explicit HttpConnection(const Poco::Net::StreamSocket& stream);

  /// Reads what has arrived, up to a few reads so that one peer cannot hold
  /// the thread, and until the input holds `max_input` bytes. `kClosed` means
  /// an orderly close by the peer. After any failure of this connection the end
  /// of the data is `kFailed`, as bytes before it may be missing.
  IoStatus Read(std::size_t max_input);
  /// Reads and discards what has arrived.
  IoStatus ReadAndDiscard();
  /// The bytes that were read and not yet taken.
  std::string& Input() { return this->input; }
  /// Frees the memory of the input if all of it was taken. Otherwise each
  /// connection would keep as much as one large message needed.
  void ReleaseSpareInput();

  /// Appends to the output. Sends nothing.
  void Queue(HttpBytes message);
  /// Sends as much of the output as the kernel takes.
  IoStatus Write();
  bool HasOutput() const { return !this->output.empty(); }
  /// Bytes that the kernel has taken since the connection was opened.
  std::uint64_t BytesWritten() const { return this->bytes_written; }
  /// Bytes that were read since the connection was opened.
  std::uint64_t BytesRead() const { return this->bytes_read; }
  /// Returns whether a non-blocking connect has succeeded. Call when the socket
  /// is writable.
  bool IsConnected();

  /// Makes the end of this connection a reset: what was sent and not received
  /// yet is lost.
  void ResetOnClose();

  /// Tells the peer that nothing more will be sent.
  void CloseSend();

  Poco::Net::StreamSocket& Socket() { return this->socket; }

 private:
  IoStatus Receive(std::string* target, std::size_t max_input);
  IoStatus SendFront(bool& is_blocked);
  /// Remembers that the connection is broken. Returns `kFailed`.
  IoStatus Fail();

  Poco::Net::StreamSocket socket;
  std::string input;
  std::deque<Body> output;
  std::size_t front_sent = 0;
  std::uint64_t bytes_written = 0;
  std::uint64_t bytes_read = 0;
  /// The kernel reports an error of the socket once, to whatever call comes
  /// first. A read after that returns 0 bytes, as after an orderly close.
  bool has_failed = false;
};

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_HTTP_CONNECTION_H_
