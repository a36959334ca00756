#include "bamboorack/operator/diff.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <map>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/core/json_fields.h"

namespace bamboorack::operators {
namespace {

using Poco::Dynamic::Var;
using Children = std::map<std::string, Var>;

/// The members that name an entry of a list, the first that it has.
constexpr std::array<const char*, 4> kNamingMembers = {"id", "name", "key_hash",
                                                       "service"};

bool IsObject(const Var& value) {
  return value.type() == typeid(Poco::JSON::Object::Ptr);
}

bool IsArray(const Var& value) {
  return value.type() == typeid(Poco::JSON::Array::Ptr);
}

std::string NameOfEntry(const Var& entry) {
  if (!IsObject(entry)) return entry.toString();
  const auto& object = entry.extract<Poco::JSON::Object::Ptr>();
  for (const char* member : kNamingMembers) {
    if (object->has(member)) return object->get(member).toString();
  }
  return WriteDocument(entry);
}

/// Returns the children of an object or array by the path that follows the
/// parent's.
Children ChildrenOf(const Var& value) {
  Children children;
  if (IsObject(value)) {
    const auto& object = value.extract<Poco::JSON::Object::Ptr>();
    for (const std::string& name : object->getNames()) {
      children.emplace("." + name, object->get(name));
    }
  }
  if (IsArray(value)) {
    for (const Var& entry : *value.extract<Poco::JSON::Array::Ptr>()) {
      // Entries of one name are told apart by their order.
      const std::string name = NameOfEntry(entry);
      std::string unique = "[" + name + "]";
      for (int i = 2; children.contains(unique); ++i) {
        unique = "[" + name + "#" + std::to_string(i) + "]";
      }
      children.emplace(unique, entry);
    }
  }
  return children;
}

class Comparison {
 public:
  void Compare(const std::string& path, const Var& before, const Var& after) {
    const bool has_children = (IsObject(before) && IsObject(after)) ||
                              (IsArray(before) && IsArray(after));
    if (has_children) {
      this->CompareChildren(path, ChildrenOf(before), ChildrenOf(after));
      return;
    }
    const std::string old_text = WriteDocument(before);
    const std::string new_text = WriteDocument(after);
    if (old_text == new_text) return;
    this->Add(DiffKind::kChanged, path, old_text, new_text);
  }

  std::vector<DiffEntry> entries;

 private:
  void CompareChildren(const std::string& path, const Children& before,
                       const Children& after) {
    for (const auto& [name, value] : before) {
      const auto found = after.find(name);
      if (found != after.end()) {
        this->Compare(path + name, value, found->second);
        continue;
      }
      this->Add(DiffKind::kRemoved, path + name, WriteDocument(value), "");
    }
    for (const auto& [name, value] : after) {
      if (before.contains(name)) continue;
      this->Add(DiffKind::kAdded, path + name, "", WriteDocument(value));
    }
  }

  void Add(DiffKind kind, const std::string& path, std::string before,
           std::string after) {
    const bool has_dot = !path.empty() && path.front() == '.';
    this->entries.push_back({kind, has_dot ? path.substr(1) : path,
                             std::move(before), std::move(after)});
  }
};

}  // namespace

std::vector<DiffEntry> DiffDocuments(const std::string& before,
                                     const std::string& after) {
  Comparison comparison;
  Poco::JSON::Parser old_parser(new Poco::JSON::ParseHandler(true));
  Poco::JSON::Parser new_parser(new Poco::JSON::ParseHandler(true));
  comparison.Compare("", old_parser.parse(before), new_parser.parse(after));
  return std::move(comparison.entries);
}

std::vector<DiffEntry> Diff(const Inventory& before, const Inventory& after) {
  return DiffDocuments(bamboorack::ToJson(before), bamboorack::ToJson(after));
}

std::vector<DiffEntry> Diff(const Rules& before, const Rules& after) {
  return DiffDocuments(bamboorack::ToJson(before), bamboorack::ToJson(after));
}

std::string ToText(const std::vector<DiffEntry>& entries) {
  std::string text;
  for (const DiffEntry& entry : entries) {
    text += std::string(NameOf(entry.kind)) + " " + entry.path + ":";
    if (!entry.before.empty()) text += " " + entry.before;
    if (entry.kind == DiffKind::kChanged) text += " ->";
    if (!entry.after.empty()) text += " " + entry.after;
    text += "\n";
  }
  return text;
}

Poco::JSON::Array::Ptr ToJsonArray(const std::vector<DiffEntry>& entries) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array();
  for (const DiffEntry& entry : entries) {
    Poco::JSON::Object::Ptr object =
        new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("kind", std::string(NameOf(entry.kind)));
    object->set("path", entry.path);
    object->set("before", entry.before);
    object->set("after", entry.after);
    array->add(object);
  }
  return array;
}

std::string ToJson(const std::vector<DiffEntry>& entries) {
  return WriteDocument(ToJsonArray(entries));
}

}  // namespace bamboorack::operators
