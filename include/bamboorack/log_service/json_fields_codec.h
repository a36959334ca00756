#ifndef BAMBOORACK_LOG_SERVICE_JSON_FIELDS_CODEC_H_
#define BAMBOORACK_LOG_SERVICE_JSON_FIELDS_CODEC_H_

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <array>
#include <cstdint>
#include <exception>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "bamboorack/core/config.h"
#include "bamboorack/core/ids.h"
#include "bamboorack/core/record.h"

namespace bamboorack::log_service {

/// A field is absent or has the wrong type or range. It is thrown and caught
/// inside the codecs only.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns the JSON object in `json`.
Poco::JSON::Object::Ptr ParseObject(std::string_view json);

/// Writes `object` without line breaks.
std::string ToText(const Poco::JSON::Object& object);

/// Calls `read` with the object in `json` and turns exceptions into an error.
template <typename Value>
tl::expected<Value, std::string> ReadGuarded(
    Value (*read)(const Poco::JSON::Object&), std::string_view json) {
  try {
    return read(*ParseObject(json));
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("malformed JSON: " + error.displayText());
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

/// The functions below return the field `key` of `object`, or throw.
std::string TextField(const Poco::JSON::Object& object, const std::string& key);
std::uint64_t NumberField(
    const Poco::JSON::Object& object, const std::string& key,
    std::uint64_t highest = std::numeric_limits<std::int64_t>::max());
Poco::JSON::Object::Ptr ObjectField(const Poco::JSON::Object& object,
                                    const std::string& key);
Poco::JSON::Array::Ptr ArrayField(const Poco::JSON::Object& object,
                                  const std::string& key);

/// The functions below return the element `index` of `array`, or throw.
std::uint64_t NumberAt(
    const Poco::JSON::Array& array, unsigned index,
    std::uint64_t highest = std::numeric_limits<std::int64_t>::max());
std::string TextAt(const Poco::JSON::Array& array, unsigned index);
Poco::JSON::Object::Ptr ObjectAt(const Poco::JSON::Array& array,
                                 unsigned index);
Poco::JSON::Array::Ptr ArrayAt(const Poco::JSON::Array& array, unsigned index);

/// Reads a name such as a `ServiceName`.
template <typename NameType>
NameType NameField(const Poco::JSON::Object& object, const std::string& key) {
  return NameType(TextField(object, key));
}

/// Reads a number such as a `LogOffset`.
template <typename NumberType>
NumberType TaggedField(const Poco::JSON::Object& object,
                       const std::string& key) {
  using Value = decltype(NumberType::value);
  constexpr std::uint64_t kHighest =
      sizeof(Value) < sizeof(std::uint64_t)
          ? std::numeric_limits<Value>::max()
          : std::numeric_limits<std::int64_t>::max();
  return NumberType(static_cast<Value>(NumberField(object, key, kHighest)));
}

/// Returns the position in `names` of the text in `key`, or throws.
template <std::size_t kCount>
std::size_t ChoiceField(const Poco::JSON::Object& object,
                        const std::string& key,
                        const std::array<std::string_view, kCount>& names) {
  const std::string text = TextField(object, key);
  for (std::size_t i = 0; i < kCount; ++i) {
    if (names.at(i) == text) return i;
  }
  throw FieldError("field " + key + " has the unknown value " + text);
}

/// Writes and reads a group with the fields `service`, `failure_domain` and
/// `index`.
Poco::JSON::Object::Ptr GroupToJson(const GroupId& group);
GroupId GroupFromJson(const Poco::JSON::Object& object);
GroupId GroupField(const Poco::JSON::Object& object, const std::string& key);

/// Reads a configuration with the checks of `core/config_codec.h`.
Inventory InventoryField(const Poco::JSON::Object& object,
                         const std::string& key);
Rules RulesField(const Poco::JSON::Object& object, const std::string& key);

/// Writes and reads an upstream with the fields `id` and `instance`.
Poco::JSON::Object::Ptr UpstreamToJson(const UpstreamRef& upstream);
UpstreamRef UpstreamFromJson(const Poco::JSON::Object& object);
/// Returns nothing if the field is absent.
std::optional<UpstreamRef> OptionalUpstreamField(
    const Poco::JSON::Object& object, const std::string& key);

}  // namespace bamboorack::log_service

#endif  // BAMBOORACK_LOG_SERVICE_JSON_FIELDS_CODEC_H_
