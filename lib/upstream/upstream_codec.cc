#include "bamboorack/upstream/upstream_codec.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <memory>
#include <sstream>
#include <utility>
#include <variant>

#include "bamboorack/core/http_head.h"
#include "bamboorack/core/http_text.h"
#include "bamboorack/upstream/upstream_protocol.h"

namespace bamboorack::upstream {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Decoded = tl::expected<ControlAnswer, ControlError>;

// Valid answers nest two levels deep.
constexpr std::size_t kMaxJsonDepth = 4;

std::string ToText(const GroupId& group) {
  std::ostringstream text;
  text << group;
  return text.str();
}

Array::Ptr ToJson(const std::vector<ShardId>& shards) {
  Array::Ptr array = new Array;
  for (const ShardId shard : shards) array->add(shard.value);
  return array;
}

template <typename Call>
Object MakeGroupCall(const Call& call) {
  Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set("group", ToText(call.group));
  json.set("instance", call.instance.value);
  json.set("token", call.token.value);
  return json;
}

Object EncodeClock(const ControlRequest& /*request*/) { return Object(); }

Object EncodeFence(const ControlRequest& request) {
  return MakeGroupCall(std::get<FenceCall>(request));
}

Object EncodeGrant(const ControlRequest& request) {
  const auto& call = std::get<GrantCall>(request);
  Object json = MakeGroupCall(call);
  json.set("echo_clock_ms", call.echoed_reading.time_since_epoch().count());
  json.set("lease_ms", call.lease.count());
  json.set("only_if_unexpired", call.only_if_unexpired);
  json.set("shards", ToJson(call.shards));
  return json;
}

Object EncodeRevoke(const ControlRequest& request) {
  const auto& call = std::get<RevokeCall>(request);
  Object json = MakeGroupCall(call);
  json.set("shards", ToJson(call.shards));
  return json;
}

Object EncodeSettle(const ControlRequest& request) {
  Object json;
  const auto& settle = std::get<SettleCall>(request);
  json.set("request_id", settle.request.value);
  json.set("token", settle.fence_through.token.value);
  json.set("dispatch", settle.fence_through.dispatch.value);
  json.set("instance", settle.instance.value);
  return json;
}

Object EncodeRange(const KeyRange& range, FencingToken token) {
  Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set("first", range.first.value);
  json.set("last", range.last.value);
  json.set("token", token.value);
  return json;
}

Object EncodeRangeGrant(const ControlRequest& request) {
  const auto& call = std::get<RangeGrantCall>(request);
  Object json = EncodeRange(call.range, call.token);
  json.set("lease_ms", call.lease.count());
  json.set("handover", call.handover.value);
  return json;
}

Object EncodeRangeRelease(const ControlRequest& request) {
  const auto& call = std::get<RangeReleaseCall>(request);
  return EncodeRange(call.range, call.token);
}

/// Reads the fields of a JSON object and records whether any field was missing
/// or had the wrong type.
class FieldReader {
 public:
  explicit FieldReader(const std::string& text) {
    try {
      Poco::JSON::Parser parser;
      parser.setDepth(kMaxJsonDepth);
      this->object = parser.parse(text).extract<Object::Ptr>();
    } catch (const Poco::Exception&) {
      this->has_error = true;
    }
  }

  std::uint64_t Number(const std::string& name) {
    return this->ToNumber(this->Get(name));
  }

  UpstreamReading Reading(const std::string& name) {
    return UpstreamReading(std::chrono::milliseconds(this->Number(name)));
  }

  bool Flag(const std::string& name) {
    const auto value = this->Get(name);
    if (value.isBoolean()) return value.convert<bool>();
    this->has_error = true;
    return false;
  }

  std::string Text(const std::string& name) {
    const auto value = this->Get(name);
    if (value.isString()) return value.convert<std::string>();
    this->has_error = true;
    return {};
  }

  std::vector<ShardId> Shards(const std::string& name) {
    std::vector<ShardId> shards;
    const auto value = this->Get(name);
    if (value.type() != typeid(Array::Ptr)) {
      this->has_error = true;
      return shards;
    }
    for (const auto& item : *value.extract<Array::Ptr>()) {
      const std::uint64_t shard = this->ToNumber(item);
      this->has_error |= shard > std::numeric_limits<std::uint32_t>::max();
      shards.emplace_back(static_cast<std::uint32_t>(shard));
    }
    return shards;
  }

  bool HasError() const { return this->has_error; }

 private:
  Poco::Dynamic::Var Get(const std::string& name) {
    if (this->object.isNull() || !this->object->has(name)) {
      this->has_error = true;
      return {};
    }
    return this->object->get(name);
  }

  std::uint64_t ToNumber(const Poco::Dynamic::Var& value) {
    if (!value.isEmpty() && value.isInteger() && !value.isBoolean()) {
      try {
        const auto number = value.convert<Poco::Int64>();
        if (number >= 0) return static_cast<std::uint64_t>(number);
      } catch (const Poco::Exception&) {
        this->has_error = true;
      }
    }
    this->has_error = true;
    return 0;
  }

  Object::Ptr object;
  bool has_error = false;
};

ControlAnswer DecodeClock(FieldReader& json) {
  return ClockAnswer{UpstreamInstance(json.Text("instance")),
                     json.Reading("clock_ms"),
                     FencingToken(json.Number("token")), json.Flag("draining")};
}

ControlAnswer DecodeFence(FieldReader& json) {
  return FenceAnswer{json.Reading("clock_ms"), json.Flag("lease_expired"),
                     json.Flag("draining"), json.Shards("shards")};
}

ControlAnswer DecodeGrant(FieldReader& json) {
  return GrantAnswer{json.Reading("clock_ms"), json.Flag("draining")};
}

ControlAnswer DecodeRangeGrant(FieldReader& /*json*/) {
  return RangeGrantAnswer{};
}

ControlAnswer DecodeRangeRelease(FieldReader& json) {
  return RangeReleaseAnswer{Handover(json.Text("handover"))};
}

ControlAnswer DecodeSettle(FieldReader& json) {
  constexpr std::array<std::pair<std::string_view, SettleState>, 3> kStates = {
      std::pair{"done", SettleState::kDone},
      std::pair{"running", SettleState::kRunning},
      std::pair{"not_run", SettleState::kNotRun}};
  const std::string name = json.Text("state");
  for (const auto& [state_name, state] : kStates) {
    if (state_name == name) return SettleAnswer{state};
  }
  // An unknown state is an error: reading a missing field sets `has_error`.
  json.Flag("");
  return SettleAnswer{};
}

struct ControlEndpoint {
  std::string_view method;
  std::string_view path;
  Object (*encode)(const ControlRequest&);
  /// Null if the body of the answer is ignored.
  ControlAnswer (*decode)(FieldReader&);
};

// Indexed by the alternatives of `ControlRequest`.
constexpr std::array<ControlEndpoint, 7> kControlEndpoints = {
    ControlEndpoint{"GET", "/control/clock", &EncodeClock, &DecodeClock},
    ControlEndpoint{"POST", "/control/fence", &EncodeFence, &DecodeFence},
    ControlEndpoint{"POST", "/control/grant", &EncodeGrant, &DecodeGrant},
    ControlEndpoint{"POST", "/control/revoke", &EncodeRevoke, nullptr},
    ControlEndpoint{"POST", "/control/settle", &EncodeSettle, &DecodeSettle},
    ControlEndpoint{"POST", "/control/grant-range", &EncodeRangeGrant,
                    &DecodeRangeGrant},
    ControlEndpoint{"POST", "/control/release-range", &EncodeRangeRelease,
                    &DecodeRangeRelease}};
static_assert(kControlEndpoints.size() == std::variant_size_v<ControlRequest>);

struct StatusMapping {
  int status;
  ControlError error;
};

constexpr std::array kErrorOfStatus = {
    StatusMapping{409, ControlError::kStaleToken},
    StatusMapping{410, ControlError::kOtherInstance},
    StatusMapping{412, ControlError::kLeaseExpired}};

struct NotRunMapping {
  std::string_view value;
  Reason reason;
};

constexpr std::array kReasonOfNotRun = {
    NotRunMapping{"shed", Reason::kUpstreamShed},
    NotRunMapping{"draining", Reason::kUpstreamDraining},
    NotRunMapping{"deadline", Reason::kDeadlinePassed},
    NotRunMapping{"stale_token", Reason::kUpstreamRefusedToken},
    NotRunMapping{"not_owner", Reason::kUpstreamRefusedOwner},
    NotRunMapping{"other_instance", Reason::kUpstreamLost}};

std::string StartHead(std::string_view method, std::string_view target,
                      const Endpoint& endpoint) {
  std::string head(method);
  head.append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeader(head, "Host",
               endpoint.host + ':' + std::to_string(endpoint.port));
  return head;
}

HttpBytes EncodeJsonPost(std::string_view path, const Endpoint& endpoint,
                         const Object& json) {
  std::ostringstream text;
  json.stringify(text);
  std::string head = StartHead("POST", path, endpoint);
  AppendHeader(head, "Content-Type", "application/json");
  AppendHeader(head, "Content-Length", std::to_string(text.str().size()));
  head.append("\r\n");
  return {std::move(head), std::make_shared<const std::string>(text.str())};
}

/// Parses all of the head except the framing of the body.
tl::expected<AnswerHead, std::string> ParseAnswerHead(std::string_view head) {
  auto parsed = ParseResponseHead(head);
  if (!parsed) return tl::make_unexpected(std::move(parsed.error()));
  AnswerHead answer;
  answer.status = parsed->status;
  answer.headers = std::move(parsed->headers);
  answer.keep_alive = parsed->keep_alive;
  return answer;
}

tl::expected<AnswerHead, std::string> AddFraming(AnswerHead answer,
                                                 std::size_t max_body) {
  const auto frame = FrameOf(answer.headers, {BodyFraming::kUntilClose, 0});
  if (!frame) return tl::make_unexpected(frame.error());
  if (frame->length > max_body) {
    return tl::make_unexpected("invalid Content-Length " +
                               std::to_string(frame->length));
  }
  answer.framing = frame->framing;
  answer.body_length = frame->length;
  if (frame->framing == BodyFraming::kUntilClose) answer.keep_alive = false;
  return answer;
}

class NativeProtocol : public UpstreamProtocol {
 public:
  HttpBytes EncodeDispatch(const Dispatch& dispatch,
                           MonotonicTime /*now*/) const override {
    return upstream::EncodeDispatch(dispatch);
  }
  HttpBytes EncodeControl(const ControlRequest& request,
                          const Endpoint& endpoint) const override {
    return upstream::EncodeControl(request, endpoint);
  }
  std::optional<HttpBytes> EncodeCancel(
      const RequestId& request, const Endpoint& endpoint) const override {
    return upstream::EncodeCancel(request, endpoint);
  }
  bool AllowsUnknownLength() const override { return false; }
  const std::string* FindRequestId(const AnswerHead& head) const override {
    return head.Find("X-Request-Id");
  }
  Result DecodeDispatchAnswer(const Dispatch& /*dispatch*/, AnswerHead head,
                              Body body) const override {
    return upstream::DecodeDispatchAnswer(std::move(head), std::move(body));
  }
  Decoded DecodeControlAnswer(const ControlRequest& request,
                              const AnswerHead& head,
                              const std::string& body) const override {
    return upstream::DecodeControlAnswer(request, head.status, body);
  }
};

}  // namespace

HttpBytes EncodeControl(const ControlRequest& request,
                        const Endpoint& endpoint) {
  const ControlEndpoint& row = kControlEndpoints.at(request.index());
  if (row.method == "GET") {
    return {StartHead(row.method, row.path, endpoint) + "\r\n", nullptr};
  }
  return EncodeJsonPost(row.path, endpoint, row.encode(request));
}

HttpBytes EncodeCancel(const RequestId& request, const Endpoint& endpoint) {
  Object json;
  json.set("request_id", request.value);
  return EncodeJsonPost("/control/cancel", endpoint, json);
}

HttpBytes EncodeDispatch(const Dispatch& dispatch) {
  const Request& request = dispatch.request;
  std::string head =
      StartHead(request.method, '/' + PercentEncode(request.key) + request.rest,
                dispatch.endpoint);
  AppendHeader(head, "X-Request-Id", request.id.value);
  AppendHeader(head, "X-Service", request.service.value);
  AppendHeader(head, "X-Shard", std::to_string(dispatch.shard.value));
  AppendHeader(head, "X-Token", std::to_string(dispatch.token.value));
  AppendHeader(head, "X-Dispatch", std::to_string(dispatch.id.value));
  AppendHeader(head, "X-Instance", dispatch.upstream.instance.value);
  AppendHeader(
      head, "X-Deadline-Clock-Ms",
      std::to_string(dispatch.upstream_deadline.time_since_epoch().count()));
  AppendHeader(head, "X-Rank", NameOf(request.rank));
  if (!request.content_type.empty()) {
    AppendHeader(head, "Content-Type", request.content_type);
  }
  if (!request.body->empty() || request.method.starts_with('P')) {
    AppendHeader(head, "Content-Length", std::to_string(request.body->size()));
  }
  head.append("\r\n");
  return {std::move(head), request.body};
}

const std::string* AnswerHead::Find(std::string_view name) const {
  for (const Header& header : this->headers) {
    if (IsSameHeaderName(header.name, name)) return &header.value;
  }
  return nullptr;
}

tl::expected<AnswerHead, std::string> DecodeAnswerHead(std::string_view head,
                                                       bool is_head_request,
                                                       std::size_t max_body) {
  auto answer = ParseAnswerHead(head);
  if (!answer) return answer;
  if (answer->Find("Transfer-Encoding") != nullptr) {
    return tl::make_unexpected(std::string("Transfer-Encoding in the answer"));
  }
  if (is_head_request || HasNoBody(answer->status)) return answer;
  const auto lengths = std::count_if(
      answer->headers.begin(), answer->headers.end(), [](const Header& header) {
        return IsSameHeaderName(header.name, "Content-Length");
      });
  if (lengths != 1) {
    return tl::make_unexpected("answer has " + std::to_string(lengths) +
                               " Content-Length headers, needs 1");
  }
  return AddFraming(std::move(*answer), max_body);
}

tl::expected<AnswerHead, std::string> DecodeAnswerHeadAnyLength(
    std::string_view head, bool is_head_request, std::size_t max_body) {
  auto answer = ParseAnswerHead(head);
  if (!answer || is_head_request || HasNoBody(answer->status)) return answer;
  return AddFraming(std::move(*answer), max_body);
}

Decoded DecodeControlAnswer(const ControlRequest& request, int status,
                            const std::string& body) {
  for (const StatusMapping& row : kErrorOfStatus) {
    if (row.status == status) return tl::make_unexpected(row.error);
  }
  if (status != 200) return tl::make_unexpected(ControlError::kBadAnswer);
  const ControlEndpoint& row = kControlEndpoints.at(request.index());
  if (row.decode == nullptr) return ControlAnswer(RevokeAnswer{});
  FieldReader reader(body);
  ControlAnswer answer = row.decode(reader);
  if (reader.HasError()) return tl::make_unexpected(ControlError::kBadAnswer);
  return answer;
}

Result DecodeDispatchAnswer(AnswerHead head, Body body) {
  if (head.status >= 200 && head.status < 500) {
    return Answer{head.status, std::move(head.headers), std::move(body)};
  }
  const std::string* not_run = head.Find("X-Not-Run");
  if (head.status == 503 && not_run != nullptr) {
    for (const NotRunMapping& row : kReasonOfNotRun) {
      if (row.value == *not_run) {
        return NotRun(row.reason, "upstream did not run the request");
      }
    }
  }
  return Unknown(Reason::kUpstreamBadAnswer,
                 "upstream answered " + std::to_string(head.status));
}

std::shared_ptr<const UpstreamProtocol> MakeNativeProtocol() {
  return std::make_shared<const NativeProtocol>();
}

}  // namespace bamboorack::upstream
