#include "bamboorack/peer/frame_codec.h"

#include <frame_generated.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

namespace bamboorack::peer {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using std::chrono::microseconds;

// A deadline that is further away is not valid; callers may ask for 600 s.
constexpr std::chrono::microseconds kMaxRemaining = std::chrono::seconds(3600);

struct Encoded {
  wire::Payload type = wire::Payload::NONE;
  Offset<void> offset;
};

Offset<flatbuffers::Vector<std::uint8_t>> MakeBytes(FlatBufferBuilder& builder,
                                                    std::string_view bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

/// Encodes each kind of frame; one overload for each kind.
struct Encoder {
  FlatBufferBuilder& builder;
  MonotonicTime now;

  Encoded operator()(const HelloFrame& frame) const {
    return {wire::Payload::Hello,
            wire::CreateHelloDirect(this->builder, frame.daemon.value.c_str(),
                                    frame.instance.value.c_str(),
                                    frame.generation.value)
                .Union()};
  }
  Encoded operator()(const HeartbeatFrame& frame) const {
    return {
        wire::Payload::Heartbeat,
        wire::CreateHeartbeat(this->builder, frame.log_position.value).Union()};
  }
  Encoded operator()(const ProbeFrame& frame) const {
    return {wire::Payload::Probe,
            wire::CreateProbe(this->builder, frame.id).Union()};
  }
  Encoded operator()(const ProbeAckFrame& frame) const {
    return {wire::Payload::ProbeAck,
            wire::CreateProbeAck(this->builder, frame.id).Union()};
  }
  Encoded operator()(const ForwardFrame& frame) const {
    const Request& request = frame.request;
    const auto remaining =
        std::chrono::duration_cast<microseconds>(request.deadline - this->now);
    return {wire::Payload::Forward,
            wire::CreateForwardDirect(
                this->builder, frame.id.value, request.id.value.c_str(),
                request.service.value.c_str(), request.key.c_str(),
                request.method.c_str(), request.rest.c_str(),
                static_cast<std::uint8_t>(request.rank), remaining.count(),
                request.content_type.c_str(), frame.body_size)
                .Union()};
  }
  Encoded operator()(const BodyFrame& frame) const {
    const auto bytes = MakeBytes(this->builder, frame.bytes);
    return {wire::Payload::Body,
            wire::CreateBody(this->builder, frame.id.value, bytes).Union()};
  }
  Encoded operator()(const AnswerHeadFrame& frame) const {
    std::vector<Offset<wire::HeaderField>> headers;
    headers.reserve(frame.head.headers.size());
    for (const Header& header : frame.head.headers) {
      headers.push_back(wire::CreateHeaderFieldDirect(
          this->builder, header.name.c_str(), header.value.c_str()));
    }
    return {wire::Payload::AnswerHead,
            wire::CreateAnswerHeadDirect(this->builder, frame.id.value,
                                         frame.head.status, &headers,
                                         frame.body_size)
                .Union()};
  }
  Encoded operator()(const AnswerBodyFrame& frame) const {
    const auto bytes = MakeBytes(this->builder, frame.bytes);
    return {
        wire::Payload::AnswerBody,
        wire::CreateAnswerBody(this->builder, frame.id.value, bytes).Union()};
  }
  Encoded operator()(const RefusalFrame& frame) const {
    const std::string outcome(NameOf(frame.refusal.ending));
    const std::string reason(InfoOf(frame.refusal.reason).name);
    return {wire::Payload::Refusal,
            wire::CreateRefusalDirect(this->builder, frame.id.value,
                                      outcome.c_str(), reason.c_str(),
                                      frame.refusal.detail.c_str())
                .Union()};
  }
  Encoded operator()(const CancelFrame& frame) const {
    return {wire::Payload::Cancel,
            wire::CreateCancel(this->builder, frame.id.value).Union()};
  }
  Encoded operator()(const StateRequestFrame&) const {
    return {wire::Payload::StateRequest,
            wire::CreateStateRequest(this->builder).Union()};
  }
  Encoded operator()(const StateHeadFrame& frame) const {
    return {wire::Payload::StateHead,
            wire::CreateStateHead(this->builder, frame.covers_before.value,
                                  frame.body_size)
                .Union()};
  }
  Encoded operator()(const StateBodyFrame& frame) const {
    const auto bytes = MakeBytes(this->builder, frame.bytes);
    return {wire::Payload::StateBody,
            wire::CreateStateBody(this->builder, bytes).Union()};
  }
};

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::string BytesOf(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) return {};
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

std::optional<Ending> EndingFromName(std::string_view name) {
  for (const Ending ending : kEndings) {
    if (NameOf(ending) == name) return ending;
  }
  return std::nullopt;
}

using Decoded = std::optional<Frame>;
using Decoder = Decoded (*)(const wire::Frame&, MonotonicTime);

Decoded DecodeNone(const wire::Frame&, MonotonicTime) { return std::nullopt; }

Decoded DecodeHello(const wire::Frame& frame, MonotonicTime) {
  const auto& hello = *frame.payload_as_Hello();
  HelloFrame decoded{DaemonId(TextOf(hello.daemon())),
                     DaemonInstance(TextOf(hello.instance())),
                     ConnectionGeneration(hello.generation())};
  if (decoded.daemon.IsEmpty() || decoded.instance.IsEmpty()) {
    return std::nullopt;
  }
  return decoded;
}

Decoded DecodeHeartbeat(const wire::Frame& frame, MonotonicTime) {
  return HeartbeatFrame{
      LogOffset(frame.payload_as_Heartbeat()->log_position())};
}

Decoded DecodeProbe(const wire::Frame& frame, MonotonicTime) {
  return ProbeFrame{frame.payload_as_Probe()->id()};
}

Decoded DecodeProbeAck(const wire::Frame& frame, MonotonicTime) {
  return ProbeAckFrame{frame.payload_as_ProbeAck()->id()};
}

Decoded DecodeForward(const wire::Frame& frame, MonotonicTime now) {
  const auto& forward = *frame.payload_as_Forward();
  const microseconds remaining(forward.remaining_us());
  const bool is_valid =
      forward.rank() < kRankCount && remaining <= kMaxRemaining &&
      forward.body_size() <= kMaxBodyBytes && forward.service() != nullptr &&
      forward.key() != nullptr && forward.method() != nullptr;
  if (!is_valid) return std::nullopt;
  ForwardFrame decoded;
  decoded.id = ForwardId(forward.id());
  decoded.body_size = forward.body_size();
  Request& request = decoded.request;
  request.id = RequestId(TextOf(forward.request_id()));
  request.service = ServiceName(TextOf(forward.service()));
  request.key = TextOf(forward.key());
  request.method = TextOf(forward.method());
  request.rest = TextOf(forward.rest());
  request.rank = kRanks.at(forward.rank());
  request.deadline = now + std::max(remaining, microseconds(0));
  request.content_type = TextOf(forward.content_type());
  return decoded;
}

Decoded DecodeBody(const wire::Frame& frame, MonotonicTime) {
  const auto& body = *frame.payload_as_Body();
  return BodyFrame{ForwardId(body.id()), BytesOf(body.bytes())};
}

Decoded DecodeAnswerHead(const wire::Frame& frame, MonotonicTime) {
  const auto& answer = *frame.payload_as_AnswerHead();
  if (answer.body_size() > kMaxBodyBytes) return std::nullopt;
  AnswerHeadFrame decoded;
  decoded.id = ForwardId(answer.id());
  decoded.body_size = answer.body_size();
  decoded.head.status = answer.status();
  if (answer.headers() == nullptr) return decoded;
  for (const wire::HeaderField* header : *answer.headers()) {
    decoded.head.headers.push_back(
        {TextOf(header->name()), TextOf(header->value())});
  }
  return decoded;
}

Decoded DecodeAnswerBody(const wire::Frame& frame, MonotonicTime) {
  const auto& body = *frame.payload_as_AnswerBody();
  return AnswerBodyFrame{ForwardId(body.id()), BytesOf(body.bytes())};
}

Decoded DecodeRefusal(const wire::Frame& frame, MonotonicTime) {
  const auto& refusal = *frame.payload_as_Refusal();
  const auto ending = EndingFromName(TextOf(refusal.outcome()));
  const auto reason = ReasonFromName(TextOf(refusal.reason()));
  if (!ending || !reason || *ending == Ending::kDone) return std::nullopt;
  return RefusalFrame{ForwardId(refusal.id()),
                      Refusal{*ending, *reason, TextOf(refusal.detail())}};
}

Decoded DecodeCancel(const wire::Frame& frame, MonotonicTime) {
  return CancelFrame{ForwardId(frame.payload_as_Cancel()->id())};
}

Decoded DecodeStateRequest(const wire::Frame&, MonotonicTime) {
  return StateRequestFrame{};
}

Decoded DecodeStateHead(const wire::Frame& frame, MonotonicTime) {
  const auto& state = *frame.payload_as_StateHead();
  if (state.body_size() > kMaxBodyBytes) return std::nullopt;
  return StateHeadFrame{LogOffset(state.covers_before()), state.body_size()};
}

Decoded DecodeStateBody(const wire::Frame& frame, MonotonicTime) {
  return StateBodyFrame{BytesOf(frame.payload_as_StateBody()->bytes())};
}

// Indexed by wire::Payload, in the order of the union in frame.fbs.
constexpr std::array<Decoder, 14> kDecoders = {
    DecodeNone,       DecodeHello,    DecodeHeartbeat, DecodeProbe,
    DecodeProbeAck,   DecodeForward,  DecodeBody,      DecodeAnswerHead,
    DecodeAnswerBody, DecodeRefusal,  DecodeCancel,    DecodeStateRequest,
    DecodeStateHead,  DecodeStateBody};
static_assert(kDecoders.size() ==
              static_cast<std::size_t>(wire::Payload::MAX) + 1);

std::uint32_t ReadLength(std::string_view prefix) {
  std::uint32_t length = 0;
  for (std::size_t i = kLengthPrefixBytes; i > 0; --i) {
    length = (length << 8U) | static_cast<std::uint8_t>(prefix[i - 1]);
  }
  return length;
}

std::string MakeLength(std::size_t length) {
  std::string prefix(kLengthPrefixBytes, '\0');
  for (char& byte : prefix) {
    byte = static_cast<char>(length & 0xFFU);
    length >>= 8U;
  }
  return prefix;
}

}  // namespace

std::string EncodeFrame(const Frame& frame, MonotonicTime now) {
  FlatBufferBuilder builder;
  const Encoded payload = std::visit(Encoder{builder, now}, frame);
  builder.Finish(wire::CreateFrame(builder, payload.type, payload.offset));
  std::string encoded = MakeLength(builder.GetSize());
  encoded.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize());
  return encoded;
}

void AppendBodyPieces(ForwardId id, const std::string& body, bool is_answer,
                      std::string& out) {
  for (std::size_t at = 0; at < body.size(); at += kBodyPieceBytes) {
    std::string piece = body.substr(at, kBodyPieceBytes);
    const Frame frame = is_answer ? Frame(AnswerBodyFrame{id, std::move(piece)})
                                  : Frame(BodyFrame{id, std::move(piece)});
    out += EncodeFrame(frame, MonotonicTime());
  }
}

tl::expected<Frame, FrameError> DecodeFrame(std::string_view message,
                                            MonotonicTime now) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(message.data());
  flatbuffers::Verifier verifier(data, message.size());
  if (!wire::VerifyFrameBuffer(verifier)) {
    return tl::make_unexpected(FrameError::kBadMessage);
  }
  const wire::Frame& frame = *wire::GetFrame(data);
  const auto type = static_cast<std::size_t>(frame.payload_type());
  if (type >= kDecoders.size() || frame.payload() == nullptr) {
    return tl::make_unexpected(FrameError::kBadMessage);
  }
  Decoded decoded = kDecoders.at(type)(frame, now);
  if (!decoded) return tl::make_unexpected(FrameError::kBadMessage);
  return std::move(*decoded);
}

tl::expected<std::string, FrameError> FrameReader::Next() {
  const std::string_view rest =
      std::string_view(this->buffer).substr(this->consumed);
  if (rest.size() < kLengthPrefixBytes) return std::string();
  const std::uint32_t length = ReadLength(rest);
  if (length == 0 || length > kMaxFrameBytes) {
    return tl::make_unexpected(FrameError::kBadLength);
  }
  if (rest.size() < kLengthPrefixBytes + length) {
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
    return std::string();
  }
  std::string message(rest.substr(kLengthPrefixBytes, length));
  this->consumed += kLengthPrefixBytes + length;
  if (this->consumed == this->buffer.size()) {
    this->buffer.clear();
    this->consumed = 0;
  }
  return message;
}

}  // namespace bamboorack::peer
