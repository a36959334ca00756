#ifndef BAMBOORACK_UNITTESTS_SUPPORT_ENDLESS_SENDER_H_
#define BAMBOORACK_UNITTESTS_SUPPORT_ENDLESS_SENDER_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <stop_token>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/raw_peer.h"

namespace bamboorack::testing {

/// An endless byte stream.
struct EndlessBytes {
  std::string first;
  /// Repeated after `first`.
  std::string unit;
  /// Pause before each unit; 0 sends as fast as the peer reads.
  std::chrono::milliseconds pause{0};
};

/// A byte stream that starts like an answer but never completes one.
struct EndlessAnswer {
  const char* title;
  EndlessBytes bytes;
  /// Whether the bytes form a body, which the receiver buffers up to its limit.
  bool is_body = false;
};

inline std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"a line that does not end", {"", "a"}},
      {"empty lines before the head", {"", "\r\n"}},
      {"a header that does not end", {ok + "X-Own: ", " "}},
      {"headers", {ok, "X-Own: a\r\n"}},
      {"interim answers", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"a body that is too long",
       {ok + "Content-Length: 99999999999\r\n\r\n", "a"},
       true},
      {"a body without a length", {ok + "\r\n", "a"}, true},
      {"chunks", {chunked, "1\r\nx\r\n"}, true},
      {"a chunk size that does not end", {chunked, "0"}},
      {"a chunk extension that does not end", {chunked + "1;", "a"}},
      {"chunk extensions",
       {chunked, "1;" + std::string(4'000, 'a') + "\r\nx\r\n"}},
      {"a trailer that does not end", {chunked + "0\r\n", "a"}},
      {"trailers", {chunked + "0\r\n", "X-Own: a\r\n"}},
  };
}

/// Returns `bytes` with a pause before each unit.
inline EndlessBytes WithPauses(EndlessBytes bytes) {
  bytes.pause = std::chrono::milliseconds(20);
  return bytes;
}

/// Upper bound of the bytes that the kernel buffers for one loopback
/// connection, with a margin.
inline constexpr std::size_t kSocketBufferBytes = std::size_t{32} << 20U;

/// Sends an endless byte stream on its own thread until the peer closes the
/// connection or this object is destroyed.
class EndlessSender {
 public:
  EndlessSender(RawPeer raw_peer, EndlessBytes endless)
      : peer(std::move(raw_peer)),
        bytes(std::move(endless)),
        thread([this](const std::stop_token& stop) { this->Run(stop); }) {}

  /// Returns whether the peer closes the connection before the time limit of
  /// `TestDeadline`.
  bool IsClosedByPeer() const {
    const MonotonicTime end = TestDeadline();
    while (!this->is_closed && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return this->is_closed;
  }

  /// Bytes that were written to the socket.
  std::size_t BytesSent() const { return this->sent; }

 private:
  void Run(const std::stop_token& stop) {
    const bool is_fast = this->bytes.pause == std::chrono::milliseconds(0);
    std::string piece = this->bytes.unit;
    while (is_fast && piece.size() < kFastPieceBytes) piece += this->bytes.unit;
    bool is_open = this->Send(this->bytes.first);
    while (is_open && !stop.stop_requested()) {
      if (!is_fast) std::this_thread::sleep_for(this->bytes.pause);
      is_open = this->Send(piece);
    }
    this->is_closed = !is_open;
  }

  bool Send(const std::string& piece) {
    if (!this->peer.TrySend(piece)) return false;
    this->sent += piece.size();
    return true;
  }

  static constexpr std::size_t kFastPieceBytes = 65'536;

  RawPeer peer;
  const EndlessBytes bytes;
  std::atomic<bool> is_closed = false;
  std::atomic<std::size_t> sent = 0;
  /// Declared last, because it uses the other members.
  std::jthread thread;
};

}  // namespace bamboorack::testing

#endif  // BAMBOORACK_UNITTESTS_SUPPORT_ENDLESS_SENDER_H_
