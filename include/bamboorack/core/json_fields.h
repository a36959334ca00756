#ifndef BAMBOORACK_CORE_JSON_FIELDS_H_
#define BAMBOORACK_CORE_JSON_FIELDS_H_

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>
#include <utility>
#include <vector>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/core/ids.h"

namespace bamboorack {

/// The values that a field accepts, both ends included. The unit is that of
/// the field. For endpoints it is the range of the port.
struct Range {
  double min = 0;
  double max = std::numeric_limits<std::int32_t>::max();
};

inline constexpr Range kPort{1, 65535};
/// Port 0 lets the kernel choose a free port.
inline constexpr Range kListenPort{0, 65535};

/// One value of a JSON document and its path. Each getter reports a problem
/// and returns nothing if the value has another type or is out of range.
class JsonValue {
 public:
  /// `sink` receives the problems and must outlive the value.
  JsonValue(const Poco::Dynamic::Var& value, std::string at,
            ConfigProblems& sink)
      : var(value), path(std::move(at)), problems(&sink) {}

  std::optional<std::uint64_t> GetInteger(Range range) const;
  std::optional<double> GetNumber(Range range) const;
  std::optional<bool> GetBoolean() const;
  std::optional<std::string> GetText() const;
  /// 1 to 64 letters, digits, `.`, `_` or `-`, so that the name can stand in
  /// a URL path and in a group's name.
  std::optional<std::string> GetName() const;
  std::optional<Endpoint> GetEndpoint(Range port) const;
  /// Returns the elements of an array; none if it is not an array.
  std::vector<JsonValue> Elements() const;
  /// Returns the members of an object, or nothing if it is not an object.
  std::optional<std::vector<std::pair<std::string, JsonValue>>> Members() const;

  /// Whether this is an object with a member `name`.
  bool HasMember(const std::string& name) const;

  /// Adds a problem with this value's path.
  void Fail(std::string message) const;
  /// Adds a problem with the path of the member `name`.
  void FailMember(std::string_view name, std::string message) const;
  /// Returns the value as JSON text, shortened for messages.
  std::string Shown() const;

 private:
  Poco::Dynamic::Var var;
  std::string path;
  ConfigProblems* problems;
};

/// Parses `json`, or adds a problem and returns nothing.
std::optional<JsonValue> ParseDocument(std::string_view json,
                                       ConfigProblems& problems);

/// Writes `value` as JSON without white space.
std::string WriteDocument(const Poco::Dynamic::Var& value);

/// Returns `address:port`, with brackets around an IPv6 address.
std::string ToText(const Endpoint& endpoint);

/// Reads `address:port`. The address is an IP number; IPv6 has brackets.
std::optional<Endpoint> EndpointFromText(std::string_view text);

/// Reads and writes values of type `T`:
/// `static void Read(const JsonValue&, Range, T&)` and
/// `static Poco::Dynamic::Var Write(const T&)`.
template <typename T>
struct JsonCodec;

/// Whether a document may leave a field out; it then keeps its default.
enum class Presence : std::uint8_t { kRequired, kOptional };

/// One row of the table that maps the members of a struct to JSON fields.
template <typename Struct>
struct JsonField {
  std::string_view name;
  Presence presence = Presence::kRequired;
  Range range;
  void (*read)(const JsonValue&, Range, Struct&) = nullptr;
  Poco::Dynamic::Var (*write)(const Struct&) = nullptr;
};

template <typename Struct, typename Value>
Struct ClassOfMember(Value Struct::*);

/// Makes the row for the member `Member`, a pointer to member.
template <auto Member>
constexpr auto Field(std::string_view name, Presence presence,
                     Range range = {}) {
  using Struct = decltype(ClassOfMember(Member));
  using Value = std::remove_cvref_t<decltype(std::declval<Struct>().*Member)>;
  return JsonField<Struct>{
      name, presence, range,
      [](const JsonValue& value, Range limits, Struct& out) {
        JsonCodec<Value>::Read(value, limits, out.*Member);
      },
      [](const Struct& in) { return JsonCodec<Value>::Write(in.*Member); }};
}

/// Reads and writes a struct by the table `kFields`. Unknown and missing
/// members are problems.
template <typename Struct, const auto& kFields>
struct ObjectCodec {
  static void Read(const JsonValue& value, Range /*range*/, Struct& out) {
    const auto members = value.Members();
    if (!members) return;
    for (const auto& [name, member] : *members) {
      const auto* field = Find(name);
      if (field == nullptr) {
        member.Fail("unknown field");
        continue;
      }
      field->read(member, field->range, out);
    }
    for (const JsonField<Struct>& field : kFields) {
      if (field.presence == Presence::kOptional) continue;
      const bool is_present = std::any_of(
          members->begin(), members->end(),
          [&](const auto& item) { return item.first == field.name; });
      if (!is_present) value.FailMember(field.name, "missing field");
    }
  }

  static Poco::Dynamic::Var Write(const Struct& in) {
    Poco::JSON::Object::Ptr object =
        new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const JsonField<Struct>& field : kFields) {
      object->set(std::string(field.name), field.write(in));
    }
    return object;
  }

 private:
  static const JsonField<Struct>* Find(const std::string& name) {
    const auto found =
        std::find_if(kFields.begin(), kFields.end(),
                     [&name](const auto& field) { return field.name == name; });
    return found == kFields.end() ? nullptr : &*found;
  }
};

template <typename Tag>
struct JsonCodec<Name<Tag>> {
  static void Read(const JsonValue& value, Range /*range*/, Name<Tag>& out) {
    if (auto name = value.GetName()) out.value = std::move(*name);
  }
  static Poco::Dynamic::Var Write(const Name<Tag>& in) { return in.value; }
};

template <typename Tag, typename Value>
struct JsonCodec<Number<Tag, Value>> {
  static void Read(const JsonValue& value, Range range,
                   Number<Tag, Value>& out) {
    if (const auto number = value.GetInteger(range)) {
      out.value = static_cast<Value>(*number);
    }
  }
  static Poco::Dynamic::Var Write(const Number<Tag, Value>& in) {
    return in.value;
  }
};

template <>
struct JsonCodec<std::uint32_t> {
  static void Read(const JsonValue& value, Range range, std::uint32_t& out) {
    if (const auto number = value.GetInteger(range)) {
      out = static_cast<std::uint32_t>(*number);
    }
  }
  static Poco::Dynamic::Var Write(std::uint32_t in) { return in; }
};

template <>
struct JsonCodec<double> {
  static void Read(const JsonValue& value, Range range, double& out) {
    out = value.GetNumber(range).value_or(out);
  }
  static Poco::Dynamic::Var Write(double in) { return in; }
};

template <>
struct JsonCodec<bool> {
  static void Read(const JsonValue& value, Range /*range*/, bool& out) {
    out = value.GetBoolean().value_or(out);
  }
  static Poco::Dynamic::Var Write(bool in) { return in; }
};

template <>
struct JsonCodec<std::chrono::milliseconds> {
  static void Read(const JsonValue& value, Range range,
                   std::chrono::milliseconds& out) {
    if (const auto number = value.GetInteger(range)) {
      out = std::chrono::milliseconds(*number);
    }
  }
  static Poco::Dynamic::Var Write(std::chrono::milliseconds in) {
    return static_cast<std::int64_t>(in.count());
  }
};

template <>
struct JsonCodec<Endpoint> {
  static void Read(const JsonValue& value, Range port, Endpoint& out) {
    if (auto endpoint = value.GetEndpoint(port)) out = std::move(*endpoint);
  }
  static Poco::Dynamic::Var Write(const Endpoint& in) { return ToText(in); }
};

template <typename T>
struct JsonCodec<std::vector<T>> {
  static void Read(const JsonValue& value, Range range, std::vector<T>& out) {
    out.clear();
    for (const JsonValue& element : value.Elements()) {
      JsonCodec<T>::Read(element, range, out.emplace_back());
    }
  }
  static Poco::Dynamic::Var Write(const std::vector<T>& in) {
    Poco::JSON::Array::Ptr array = new Poco::JSON::Array();
    for (const T& element : in) array->add(JsonCodec<T>::Write(element));
    return array;
  }
};

/// Reads a whole document into a `T`. `check` gets the value and the problems
/// and adds those that concern several fields.
template <typename T, typename Check>
tl::expected<T, ConfigProblems> ReadDocument(std::string_view json,
                                             Check&& check) {
  ConfigProblems problems;
  T out;
  if (const auto document = ParseDocument(json, problems)) {
    JsonCodec<T>::Read(*document, Range{}, out);
    std::forward<Check>(check)(out, problems);
  }
  if (problems.empty()) return out;
  return tl::make_unexpected(std::move(problems));
}

}  // namespace bamboorack

#endif  // BAMBOORACK_CORE_JSON_FIELDS_H_
