#ifndef BAMBOORACK_CORE_IDS_H_
#define BAMBOORACK_CORE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bamboorack {

/// A name of one kind. `Tag` keeps kinds apart at compile time.
template <typename Tag>
struct Name {
  std::string value;

  Name() = default;
  explicit Name(std::string text) : value(std::move(text)) {}
  auto operator<=>(const Name&) const = default;
  bool IsEmpty() const { return this->value.empty(); }
};

/// A number of one kind. `Tag` keeps kinds apart at compile time.
template <typename Tag, typename Value = std::uint64_t>
struct Number {
  Value value = 0;

  Number() = default;
  explicit constexpr Number(Value number) : value(number) {}
  auto operator<=>(const Number&) const = default;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const Name<Tag>& name) {
  return out << name.value;
}

template <typename Tag, typename Value>
std::ostream& operator<<(std::ostream& out, const Number<Tag, Value>& number) {
  return out << number.value;
}

using ServiceName = Name<struct ServiceNameTag>;
using FailureDomain = Name<struct FailureDomainTag>;
using DaemonId = Name<struct DaemonIdTag>;
/// Drawn by a daemon at each start.
using DaemonInstance = Name<struct DaemonInstanceTag>;
using UpstreamId = Name<struct UpstreamIdTag>;
/// Drawn by an upstream at each start. A replacement at the same address has
/// another instance.
using UpstreamInstance = Name<struct UpstreamInstanceTag>;
using VmId = Name<struct VmIdTag>;
/// Chosen by the caller; the same for each attempt of one request.
using RequestId = Name<struct RequestIdTag>;
/// 128 random bits in hexadecimal, drawn by the writer of a log record.
using RecordId = Name<struct RecordIdTag>;

/// The position of a record in the platform's log.
using LogOffset = Number<struct LogOffsetTag>;
/// The offset of the record that gave a group its authority. 0 means that the
/// group never had one.
using FencingToken = Number<struct FencingTokenTag>;
/// The offset of the record that set the inventory or the rules. 0 means none.
using Revision = Number<struct RevisionTag>;
/// An index into the shards of one service.
using ShardId = Number<struct ShardIdTag, std::uint32_t>;
/// Identifies one dispatch of a request to an upstream within a daemon.
using DispatchId = Number<struct DispatchIdTag>;
/// Identifies one forwarded request on a daemon connection.
using ForwardId = Number<struct ForwardIdTag>;
/// Identifies one control call to an upstream within a daemon.
using ControlCallId = Number<struct ControlCallIdTag>;
/// Counts the connections opened to one peer, so that an answer from an
/// earlier connection is never taken for one of the current connection.
using ConnectionGeneration = Number<struct ConnectionGenerationTag>;

/// A group of upstreams of one service in one failure domain. One daemon at a
/// time holds the authority over a group.
struct GroupId {
  ServiceName service;
  FailureDomain failure_domain;
  std::uint32_t index = 0;

  auto operator<=>(const GroupId&) const = default;
};

/// Prints `service/failure_domain/index`.
inline std::ostream& operator<<(std::ostream& out, const GroupId& group) {
  return out << group.service << '/' << group.failure_domain << '/'
             << group.index;
}

/// An IP address and port, written as `address:port`.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

inline std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint) {
  return out << endpoint.host << ':' << endpoint.port;
}

}  // namespace bamboorack

template <typename Tag>
struct std::hash<bamboorack::Name<Tag>> {
  std::size_t operator()(const bamboorack::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value);
  }
};

template <typename Tag, typename Value>
struct std::hash<bamboorack::Number<Tag, Value>> {
  std::size_t operator()(
      const bamboorack::Number<Tag, Value>& number) const noexcept {
    return std::hash<Value>{}(number.value);
  }
};

#endif  // BAMBOORACK_CORE_IDS_H_
