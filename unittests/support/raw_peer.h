#ifndef BAMBOORACK_UNITTESTS_SUPPORT_RAW_PEER_H_
#define BAMBOORACK_UNITTESTS_SUPPORT_RAW_PEER_H_

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <linux/sockios.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "bamboorack/core/http_text.h"
#include "bamboorack/core/time.h"

namespace bamboorack::testing {

/// Returns the time limit of a wait in a test that starts now.
inline MonotonicTime TestDeadline() {
  return std::chrono::steady_clock::now() + std::chrono::seconds(10);
}

/// One end of a TCP connection on which the test sends and receives raw bytes.
class RawPeer {
 public:
  explicit RawPeer(const Poco::Net::StreamSocket& stream) : socket(stream) {
    this->socket.setReceiveTimeout(Poco::Timespan(10, 0));
    this->socket.setSendTimeout(Poco::Timespan(10, 0));
    this->socket.setNoDelay(true);
  }
  explicit RawPeer(std::uint16_t port)
      : RawPeer(Poco::Net::StreamSocket(
            Poco::Net::SocketAddress("127.0.0.1", port))) {}

  void Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const int sent =
          this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Returns false if the peer has closed the connection or reads nothing for
  /// 10 s.
  bool TrySend(std::string_view bytes) {
    try {
      while (!bytes.empty()) {
        const int sent = this->socket.sendBytes(
            bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
        bytes.remove_prefix(static_cast<std::size_t>(sent));
      }
      return true;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  void SendByteByByte(std::string_view bytes) {
    for (const char& byte : bytes) this->socket.sendBytes(&byte, 1);
  }

  /// Returns the next head with its blank line, or the bytes before the end of
  /// the connection.
  std::string ReadHead() {
    std::size_t end = std::string::npos;
    while ((end = this->input.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Receive()) return std::move(this->input);
    }
    return this->Take(end + 4);
  }

  /// Returns the next `length` bytes, or those before the end of the
  /// connection.
  std::string ReadBytes(std::size_t length) {
    while (this->input.size() < length && this->Receive()) {
    }
    return this->Take(std::min(length, this->input.size()));
  }

  /// Returns the bytes that were received and not returned yet.
  std::string TakeReceived() { return this->Take(this->input.size()); }

  /// Returns the next head and its body, if it has a Content-Length.
  std::string ReadMessage() {
    std::string message = this->ReadHead();
    constexpr std::string_view kName = "Content-Length: ";
    const std::size_t begin = message.find(kName);
    if (begin == std::string::npos) return message;
    const std::size_t value = begin + kName.size();
    const auto length =
        ParseDecimal(message.substr(value, message.find('\r', value) - value));
    return message + this->ReadBytes(length.value_or(0));
  }

  /// Returns whether the peer closes the connection without sending more.
  bool IsClosedByPeer() { return !this->Receive() && this->input.empty(); }

  /// Returns whether the peer resets the connection.
  bool IsResetByPeer() {
    char byte = 0;
    try {
      return this->socket.receiveBytes(&byte, 1) < 0;
    } catch (const Poco::Net::ConnectionResetException&) {
      return true;
    }
  }

  void Close() { this->socket.close(); }

  /// Returns whether the kernel of the peer gets all that was sent within 10 s.
  /// A reset before that discards what is on the way.
  bool IsDelivered() {
    const MonotonicTime end = TestDeadline();
    int unacknowledged = 1;
    while (unacknowledged > 0 && std::chrono::steady_clock::now() < end) {
      this->socket.impl()->ioctl(SIOCOUTQ, unacknowledged);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return unacknowledged == 0;
  }

  /// Closes the sending direction; the peer reads an orderly close. Does
  /// nothing if the peer has reset the connection, which it may do as soon as
  /// it has read bytes that it refuses.
  void CloseSend() {
    try {
      this->socket.shutdownSend();
    } catch (const Poco::Net::NetException& error) {
      if (error.code() != ENOTCONN) throw;
    }
  }

  /// Closes the connection with a reset.
  void Reset() {
    this->socket.setLinger(true, 0);
    this->socket.close();
  }

 private:
  /// Returns false at the end of the connection. Throws after 10 s without
  /// data.
  bool Receive() {
    std::array<char, 65'536> buffer{};
    try {
      const int received =
          this->socket.receiveBytes(buffer.data(), buffer.size());
      if (received <= 0) return false;
      this->input.append(buffer.data(), static_cast<std::size_t>(received));
      return true;
    } catch (const Poco::TimeoutException&) {
      throw;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  std::string Take(std::size_t length) {
    std::string bytes = this->input.substr(0, length);
    this->input.erase(0, length);
    return bytes;
  }

  Poco::Net::StreamSocket socket;
  std::string input;
};

}  // namespace bamboorack::testing

#endif  // BAMBOORACK_UNITTESTS_SUPPORT_RAW_PEER_H_
