#include "bamboorack/log_service/json_fields_codec.h"

#include <Poco/JSON/Parser.h>

#include <sstream>
#include <utility>

#include "bamboorack/core/config_codec.h"

namespace bamboorack::log_service {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

std::string ToString(const Var& value, const std::string& where) {
  if (!value.isString()) throw FieldError(where + " is not a text");
  return value.extract<std::string>();
}

std::uint64_t ToNumber(const Var& value, std::uint64_t highest,
                       const std::string& where) {
  if (value.isEmpty() || !value.isInteger() || value.isBoolean()) {
    throw FieldError(where + " is not an integer");
  }
  if (value.isSigned() && value.convert<std::int64_t>() < 0) {
    throw FieldError(where + " is negative");
  }
  const auto number = value.convert<std::uint64_t>();
  if (number > highest) {
    throw FieldError(where + " is too large: " + std::to_string(number));
  }
  return number;
}

Object::Ptr ToObject(const Var& value, const std::string& where) {
  if (value.type() != typeid(Object::Ptr)) {
    throw FieldError(where + " is not an object");
  }
  return value.extract<Object::Ptr>();
}

Array::Ptr ToArray(const Var& value, const std::string& where) {
  if (value.type() != typeid(Array::Ptr)) {
    throw FieldError(where + " is not an array");
  }
  return value.extract<Array::Ptr>();
}

template <typename Parsed>
Parsed ValueOrThrow(tl::expected<Parsed, ConfigProblems> parsed,
                    const std::string& key) {
  if (parsed) return std::move(*parsed);
  std::string text = "field " + key + " is wrong";
  for (const ConfigProblem& problem : parsed.error()) {
    text += ": " + problem.path + " " + problem.message;
  }
  throw FieldError(text);
}

std::string Field(const std::string& key) { return "field " + key; }

std::string Element(unsigned index) {
  return "element " + std::to_string(index);
}

}  // namespace

Object::Ptr ParseObject(std::string_view json) {
  Poco::JSON::Parser parser;
  return ToObject(parser.parse(std::string(json)), "the document");
}

std::string ToText(const Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::string TextField(const Object& object, const std::string& key) {
  return ToString(object.get(key), Field(key));
}

std::uint64_t NumberField(const Object& object, const std::string& key,
                          std::uint64_t highest) {
  return ToNumber(object.get(key), highest, Field(key));
}

Object::Ptr ObjectField(const Object& object, const std::string& key) {
  return ToObject(object.get(key), Field(key));
}

Array::Ptr ArrayField(const Object& object, const std::string& key) {
  return ToArray(object.get(key), Field(key));
}

std::uint64_t NumberAt(const Array& array, unsigned index,
                       std::uint64_t highest) {
  return ToNumber(array.get(index), highest, Element(index));
}

std::string TextAt(const Array& array, unsigned index) {
  return ToString(array.get(index), Element(index));
}

Object::Ptr ObjectAt(const Array& array, unsigned index) {
  return ToObject(array.get(index), Element(index));
}

Array::Ptr ArrayAt(const Array& array, unsigned index) {
  return ToArray(array.get(index), Element(index));
}

Object::Ptr GroupToJson(const GroupId& group) {
  Object::Ptr object = new Object;
  object->set("service", group.service.value);
  object->set("failure_domain", group.failure_domain.value);
  object->set("index", group.index);
  return object;
}

GroupId GroupField(const Object& object, const std::string& key) {
  return GroupFromJson(*ObjectField(object, key));
}

GroupId GroupFromJson(const Object& object) {
  return GroupId{
      NameField<ServiceName>(object, "service"),
      NameField<FailureDomain>(object, "failure_domain"),
      static_cast<std::uint32_t>(NumberField(
          object, "index", std::numeric_limits<std::uint32_t>::max()))};
}

Inventory InventoryField(const Object& object, const std::string& key) {
  return ValueOrThrow(ParseInventory(ToText(*ObjectField(object, key))), key);
}

Rules RulesField(const Object& object, const std::string& key) {
  return ValueOrThrow(ParseRules(ToText(*ObjectField(object, key))), key);
}

Object::Ptr UpstreamToJson(const UpstreamRef& upstream) {
  Object::Ptr object = new Object;
  object->set("id", upstream.id.value);
  object->set("instance", upstream.instance.value);
  return object;
}

UpstreamRef UpstreamFromJson(const Object& object) {
  return UpstreamRef{NameField<UpstreamId>(object, "id"),
                     NameField<UpstreamInstance>(object, "instance")};
}

std::optional<UpstreamRef> OptionalUpstreamField(const Object& object,
                                                 const std::string& key) {
  if (!object.has(key)) return std::nullopt;
  return UpstreamFromJson(*ObjectField(object, key));
}

}  // namespace bamboorack::log_service
