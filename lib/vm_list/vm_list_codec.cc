#include "bamboorack/vm_list/vm_list_codec.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <array>
#include <exception>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace bamboorack::vm_list {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

/// The states, in the order of `VmState`.
constexpr std::array<std::string_view, 2> kStateNames = {"live", "leaving"};

/// Returns the member `key` of an entry; throws if it is no text or empty.
std::string TextField(const Object& entry, const std::string& key) {
  const Var value = entry.get(key);
  if (!value.isString() || value.extract<std::string>().empty()) {
    throw std::invalid_argument("field " + key + " of a VM is not a text");
  }
  return value.extract<std::string>();
}

VmState StateField(const Object& entry) {
  const std::string text = TextField(entry, "state");
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames.at(i) == text) return static_cast<VmState>(i);
  }
  throw std::invalid_argument("field state has the unknown value " + text);
}

template <typename Pointer>
Pointer As(const Var& value, const std::string& what) {
  if (value.type() != typeid(Pointer)) {
    throw std::invalid_argument(what + " has another type");
  }
  return value.extract<Pointer>();
}

std::vector<VmEntry> ReadVmList(std::string_view json) {
  Poco::JSON::Parser parser;
  const auto document =
      As<Object::Ptr>(parser.parse(std::string(json)), "the document");
  const auto rows = As<Array::Ptr>(document->get("vms"), "field vms");
  std::vector<VmEntry> vms;
  std::set<VmId> seen;
  for (const Var& row : *rows) {
    const auto entry = As<Object::Ptr>(row, "an element of vms");
    VmEntry vm{VmId(TextField(*entry, "vm")), TextField(*entry, "instance"),
               TextField(*entry, "address"),
               FailureDomain(TextField(*entry, "failure_domain")),
               StateField(*entry)};
    if (!seen.insert(vm.vm).second) {
      throw std::invalid_argument("VM " + vm.vm.value + " is listed twice");
    }
    vms.push_back(std::move(vm));
  }
  return vms;
}

}  // namespace

tl::expected<std::vector<VmEntry>, std::string> DecodeVmList(
    std::string_view json) {
  try {
    return ReadVmList(json);
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("malformed JSON: " + error.displayText());
  } catch (const std::exception& error) {
    return tl::make_unexpected(std::string(error.what()));
  }
}

std::string EncodeVmList(const std::vector<VmEntry>& vms) {
  Array::Ptr rows = new Array;
  for (const VmEntry& vm : vms) {
    Object::Ptr row = new Object;
    row->set("vm", vm.vm.value);
    row->set("instance", vm.instance);
    row->set("address", vm.address);
    row->set("failure_domain", vm.failure_domain.value);
    row->set("state",
             std::string(kStateNames.at(static_cast<std::size_t>(vm.state))));
    rows->add(row);
  }
  Object document;
  document.set("vms", rows);
  std::ostringstream out;
  document.stringify(out);
  return out.str();
}

}  // namespace bamboorack::vm_list
