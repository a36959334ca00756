#ifndef BAMBOORACK_PEER_FRAME_CODEC_H_
#define BAMBOORACK_PEER_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "bamboorack/core/ids.h"
#include "bamboorack/core/request.h"
#include "bamboorack/core/time.h"

namespace bamboorack::peer {

/// A frame is a length of 4 bytes, least significant first, and a FlatBuffers
/// message of that many bytes.
inline constexpr std::size_t kLengthPrefixBytes = 4;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{256} * 1024;
/// Bodies are cut into pieces of this size, so that a long body does not hold
/// up the frames behind it.
inline constexpr std::size_t kBodyPieceBytes = std::size_t{64} * 1024;
/// No body of a request, an answer or a state is longer.
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024 * 1024;

struct HelloFrame {
  DaemonId daemon;
  DaemonInstance instance;
  ConnectionGeneration generation;
};

struct HeartbeatFrame {
  LogOffset log_position;
};

struct ProbeFrame {
  std::uint64_t id = 0;
};

struct ProbeAckFrame {
  std::uint64_t id = 0;
};

/// The request's body follows in `BodyFrame`s. `request.body` is null.
struct ForwardFrame {
  ForwardId id;
  Request request;
  std::size_t body_size = 0;
};

struct BodyFrame {
  ForwardId id;
  std::string bytes;
};

/// The answer's body follows in `AnswerBodyFrame`s. `head.body` is null.
struct AnswerHeadFrame {
  ForwardId id;
  Answer head;
  std::size_t body_size = 0;
};

struct AnswerBodyFrame {
  ForwardId id;
  std::string bytes;
};

struct RefusalFrame {
  ForwardId id;
  Refusal refusal;
};

struct CancelFrame {
  ForwardId id;
};

struct StateRequestFrame {};

struct StateHeadFrame {
  LogOffset covers_before;
  std::size_t body_size = 0;
};

struct StateBodyFrame {
  std::string bytes;
};

using Frame =
    std::variant<HelloFrame, HeartbeatFrame, ProbeFrame, ProbeAckFrame,
                 ForwardFrame, BodyFrame, AnswerHeadFrame, AnswerBodyFrame,
                 RefusalFrame, CancelFrame, StateRequestFrame, StateHeadFrame,
                 StateBodyFrame>;

/// Encodes `frame` with its length prefix. A deadline travels as the time that
/// is left at `now`, because the clocks of two daemons cannot be compared.
std::string EncodeFrame(const Frame& frame, MonotonicTime now);

/// Appends the frames of `body`, cut into pieces, to `out`.
void AppendBodyPieces(ForwardId id, const std::string& body, bool is_answer,
                      std::string& out);

/// Why bytes are not a frame.
enum class FrameError : std::uint8_t {
  /// The length is 0 or above `kMaxFrameBytes`.
  kBadLength,
  /// The bytes are not a valid message, or a field is missing or out of range.
  kBadMessage,
};

/// Decodes one message without its length prefix.
tl::expected<Frame, FrameError> DecodeFrame(std::string_view message,
                                            MonotonicTime now);

/// Cuts a stream of bytes into messages.
class FrameReader {
 public:
  /// Adds bytes as they arrive.
  void Append(std::string_view bytes) { this->buffer.append(bytes); }

  /// Takes the next whole message, without its prefix. Empty if more bytes are
  /// needed.
  tl::expected<std::string, FrameError> Next();

 private:
  std::string buffer;
  std::size_t consumed = 0;
};

}  // namespace bamboorack::peer

#endif  // BAMBOORACK_PEER_FRAME_CODEC_H_
