#include "bamboorack/core/json_fields.h"

#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/Net/IPAddress.h>

#include <charconv>
#include <set>
#include <sstream>

namespace bamboorack {
namespace {

constexpr std::size_t kLongestName = 64;
constexpr std::size_t kLongestShownValue = 80;
/// Deeper than any document of ours; keeps the parser's recursion bounded.
constexpr std::size_t kMaxDepth = 16;

std::string Join(const std::string& path, std::string_view name) {
  return path.empty() ? std::string(name) : path + "." + std::string(name);
}

std::string ShownRange(Range range) {
  std::ostringstream text;
  text.precision(10);
  text << range.min << " to " << range.max;
  return text.str();
}

bool IsNameCharacter(char character) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return kAllowed.find(character) != std::string_view::npos;
}

/// Splits `[v6]:port` or `v4:port`; empty parts if neither.
std::pair<std::string_view, std::string_view> SplitEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  std::string_view host = text.substr(0, colon);
  const bool has_brackets =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  const bool is_v6 = host.find(':') != std::string_view::npos;
  if (is_v6 != has_brackets) return {};
  if (has_brackets) host = host.substr(1, host.size() - 2);
  return {host, text.substr(colon + 1)};
}

/// Refuses objects that give a member twice; POCO would keep the last one.
class UniqueMembersHandler : public Poco::JSON::ParseHandler {
 public:
  UniqueMembersHandler() : Poco::JSON::ParseHandler(true) {}

  void startObject() override {
    this->open_objects.emplace_back();
    Poco::JSON::ParseHandler::startObject();
  }

  void endObject() override {
    this->open_objects.pop_back();
    Poco::JSON::ParseHandler::endObject();
  }

  void key(const std::string& name) override {
    if (!this->open_objects.back().insert(name).second) {
      throw Poco::JSON::JSONException("field is given twice", name);
    }
    Poco::JSON::ParseHandler::key(name);
  }

 private:
  std::vector<std::set<std::string>> open_objects;
};

}  // namespace

std::optional<std::uint64_t> JsonValue::GetInteger(Range range) const {
  if (this->var.isEmpty() || !this->var.isInteger() || this->var.isBoolean()) {
    this->Fail("expected an integer, got " + this->Shown());
    return std::nullopt;
  }
  const auto number = this->var.convert<double>();
  if (number < range.min || number > range.max) {
    this->Fail(this->Shown() + " is outside " + ShownRange(range));
    return std::nullopt;
  }
  return this->var.convert<std::uint64_t>();
}

std::optional<double> JsonValue::GetNumber(Range range) const {
  if (this->var.isEmpty() || !this->var.isNumeric() || this->var.isBoolean()) {
    this->Fail("expected a number, got " + this->Shown());
    return std::nullopt;
  }
  const auto number = this->var.convert<double>();
  if (!(number >= range.min && number <= range.max)) {
    this->Fail(this->Shown() + " is outside " + ShownRange(range));
    return std::nullopt;
  }
  return number;
}

std::optional<bool> JsonValue::GetBoolean() const {
  if (!this->var.isEmpty() && this->var.isBoolean()) {
    return this->var.extract<bool>();
  }
  this->Fail("expected true or false, got " + this->Shown());
  return std::nullopt;
}

std::optional<std::string> JsonValue::GetText() const {
  if (!this->var.isEmpty() && this->var.isString()) {
    return this->var.extract<std::string>();
  }
  this->Fail("expected a string, got " + this->Shown());
  return std::nullopt;
}

std::optional<std::string> JsonValue::GetName() const {
  auto text = this->GetText();
  if (!text) return std::nullopt;
  if (!text->empty() && text->size() <= kLongestName &&
      std::all_of(text->begin(), text->end(), IsNameCharacter)) {
    return text;
  }
  this->Fail(this->Shown() +
             " is not a name of 1 to 64 letters, digits, '.', '_' or '-'");
  return std::nullopt;
}

std::optional<Endpoint> JsonValue::GetEndpoint(Range port) const {
  const auto text = this->GetText();
  if (!text) return std::nullopt;
  auto endpoint = EndpointFromText(*text);
  if (!endpoint) {
    this->Fail(this->Shown() + " is not an IP address and port");
    return std::nullopt;
  }
  if (endpoint->port < port.min) {
    this->Fail("port " + std::to_string(endpoint->port) + " is outside " +
               ShownRange(port));
    return std::nullopt;
  }
  return endpoint;
}

std::vector<JsonValue> JsonValue::Elements() const {
  std::vector<JsonValue> elements;
  if (this->var.isEmpty() ||
      this->var.type() != typeid(Poco::JSON::Array::Ptr)) {
    this->Fail("expected an array, got " + this->Shown());
    return elements;
  }
  const auto& array = this->var.extract<Poco::JSON::Array::Ptr>();
  for (std::size_t i = 0; i < array->size(); ++i) {
    elements.emplace_back(array->get(static_cast<unsigned>(i)),
                          this->path + "[" + std::to_string(i) + "]",
                          *this->problems);
  }
  return elements;
}

std::optional<std::vector<std::pair<std::string, JsonValue>>>
JsonValue::Members() const {
  if (this->var.isEmpty() ||
      this->var.type() != typeid(Poco::JSON::Object::Ptr)) {
    this->Fail("expected an object, got " + this->Shown());
    return std::nullopt;
  }
  const auto& object = this->var.extract<Poco::JSON::Object::Ptr>();
  std::vector<std::pair<std::string, JsonValue>> members;
  for (const std::string& name : object->getNames()) {
    members.emplace_back(
        name,
        JsonValue(object->get(name), Join(this->path, name), *this->problems));
  }
  return members;
}

bool JsonValue::HasMember(const std::string& name) const {
  return this->var.type() == typeid(Poco::JSON::Object::Ptr) &&
         this->var.extract<Poco::JSON::Object::Ptr>()->has(name);
}

void JsonValue::Fail(std::string message) const {
  this->problems->push_back({this->path, std::move(message)});
}

void JsonValue::FailMember(std::string_view name, std::string message) const {
  this->problems->push_back({Join(this->path, name), std::move(message)});
}

std::string JsonValue::Shown() const {
  std::string text = WriteDocument(this->var);
  if (text.size() <= kLongestShownValue) return text;
  return text.substr(0, kLongestShownValue) + "...";
}

std::optional<JsonValue> ParseDocument(std::string_view json,
                                       ConfigProblems& problems) {
  try {
    Poco::JSON::Parser parser(new UniqueMembersHandler());
    parser.setDepth(kMaxDepth);
    return JsonValue(parser.parse(std::string(json)), "", problems);
  } catch (const Poco::Exception& error) {
    problems.push_back({"", "not a JSON document: " + error.displayText()});
  }
  return std::nullopt;
}

std::string WriteDocument(const Poco::Dynamic::Var& value) {
  std::ostringstream text;
  Poco::JSON::Stringifier::stringify(value, text);
  return text.str();
}

std::string ToText(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.host.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + endpoint.host + "]" : endpoint.host;
  return host + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> EndpointFromText(std::string_view text) {
  const auto [host, port_text] = SplitEndpoint(text);
  Poco::Net::IPAddress address;
  if (!Poco::Net::IPAddress::tryParse(std::string(host), address)) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto result = std::from_chars(port_text.data(), end, port);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return Endpoint{address.toString(), port};
}

}  // namespace bamboorack
