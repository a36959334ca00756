#include <charconv>
#include <iomanip>
#include <map>
#include <sstream>
#include <utility>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/log_service/json_fields_codec.h"
#include "bamboorack/log_service/record_codec.h"

namespace bamboorack::log_service {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t kHashDigits = 16;
/// Stands for "no owner" in place of an index plus one.
constexpr std::uint64_t kNoOwner = 0;

/// Gives each distinct value an index, so that the thousands of shards of a
/// service name their few groups and owners by number.
template <typename Value>
class IndexOfValues {
 public:
  std::size_t Add(const Value& value) {
    const auto [position, is_new] =
        this->indices.emplace(value, this->values.size());
    if (is_new) this->values.push_back(value);
    return position->second;
  }
  const std::vector<Value>& Values() const { return this->values; }

 private:
  std::map<Value, std::size_t> indices;
  std::vector<Value> values;
};

Array::Ptr AuthoritiesToJson(const ClusterState& state) {
  Array::Ptr array = new Array;
  for (const auto& [group, authority] : state.authorities) {
    Object::Ptr object = new Object;
    object->set("group", GroupToJson(group));
    object->set("token", authority.token.value);
    object->set("daemon", authority.daemon.value);
    object->set("daemon_instance", authority.daemon_instance.value);
    if (authority.released_to) {
      object->set("released_to", authority.released_to->value);
    }
    array->add(object);
  }
  return array;
}

std::map<GroupId, AuthorityState> AuthoritiesField(const Object& in) {
  std::map<GroupId, AuthorityState> authorities;
  const Array::Ptr array = ArrayField(in, "authorities");
  for (unsigned i = 0; i < array->size(); ++i) {
    const Object::Ptr object = ObjectAt(*array, i);
    AuthorityState authority{
        TaggedField<FencingToken>(*object, "token"),
        NameField<DaemonId>(*object, "daemon"),
        NameField<DaemonInstance>(*object, "daemon_instance"), std::nullopt};
    if (object->has("released_to")) {
      authority.released_to = NameField<DaemonId>(*object, "released_to");
    }
    authorities.emplace(GroupField(*object, "group"), std::move(authority));
  }
  return authorities;
}

Object::Ptr ShardsToJson(const ServiceName& service,
                         const std::vector<ShardState>& shards) {
  IndexOfValues<std::pair<FailureDomain, std::uint32_t>> groups;
  IndexOfValues<UpstreamRef> owners;
  Array::Ptr rows = new Array;
  for (const ShardState& shard : shards) {
    Array::Ptr row = new Array;
    row->add(groups.Add({shard.group.failure_domain, shard.group.index}));
    row->add(shard.owner ? owners.Add(*shard.owner) + 1 : kNoOwner);
    row->add(shard.changed_at.value);
    rows->add(row);
  }
  Array::Ptr group_list = new Array;
  for (const auto& [failure_domain, index] : groups.Values()) {
    group_list->add(GroupToJson({service, failure_domain, index}));
  }
  Array::Ptr owner_list = new Array;
  for (const UpstreamRef& owner : owners.Values()) {
    owner_list->add(UpstreamToJson(owner));
  }
  Object::Ptr object = new Object;
  object->set("service", service.value);
  object->set("groups", group_list);
  object->set("owners", owner_list);
  // Each row is: index of the group, index of the owner plus one or 0 for
  // none, offset of the last change.
  object->set("rows", rows);
  return object;
}

std::vector<ShardState> ShardsFromJson(const Object& in) {
  const Array::Ptr group_list = ArrayField(in, "groups");
  const Array::Ptr owner_list = ArrayField(in, "owners");
  const Array::Ptr rows = ArrayField(in, "rows");
  std::vector<GroupId> groups;
  for (unsigned i = 0; i < group_list->size(); ++i) {
    groups.push_back(GroupFromJson(*ObjectAt(*group_list, i)));
  }
  std::vector<std::optional<UpstreamRef>> owners = {std::nullopt};
  for (unsigned i = 0; i < owner_list->size(); ++i) {
    owners.emplace_back(UpstreamFromJson(*ObjectAt(*owner_list, i)));
  }
  std::vector<ShardState> shards;
  shards.reserve(rows->size());
  for (unsigned i = 0; i < rows->size(); ++i) {
    const Array::Ptr row = ArrayAt(*rows, i);
    // `at` throws if an index has no value.
    shards.push_back({groups.at(NumberAt(*row, 0)),
                      owners.at(NumberAt(*row, 1)),
                      LogOffset(NumberAt(*row, 2))});
  }
  return shards;
}

std::string HashesToText(const std::vector<std::uint64_t>& hashes) {
  std::ostringstream out;
  out << std::hex << std::setfill('0');
  for (const std::uint64_t hash : hashes) out << std::setw(kHashDigits) << hash;
  return out.str();
}

std::vector<std::uint64_t> HashesField(const Object& in,
                                       const std::string& key) {
  const std::string text = TextField(in, key);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(text.size() / kHashDigits);
  for (std::size_t i = 0; i < text.size(); i += kHashDigits) {
    const std::string digits = text.substr(i, kHashDigits);
    const char* end = digits.data() + digits.size();
    std::uint64_t hash = 0;
    const auto result = std::from_chars(digits.data(), end, hash, 16);
    if (digits.size() != kHashDigits || result.ptr != end) {
      throw FieldError(std::string("no hash in field ").append(key));
    }
    hashes.push_back(hash);
  }
  return hashes;
}

FoldSnapshot ReadSnapshot(const Object& in) {
  FoldSnapshot snapshot;
  ClusterState& state = snapshot.state;
  state.next_offset = TaggedField<LogOffset>(in, "next_offset");
  state.inventory_revision = TaggedField<Revision>(in, "inventory_revision");
  state.rules_revision = TaggedField<Revision>(in, "rules_revision");
  state.inventory = InventoryField(in, "inventory");
  state.rules = RulesField(in, "rules");
  state.authorities = AuthoritiesField(in);
  const Array::Ptr services = ArrayField(in, "shards");
  for (unsigned i = 0; i < services->size(); ++i) {
    const Object::Ptr object = ObjectAt(*services, i);
    state.shards.emplace(NameField<ServiceName>(*object, "service"),
                         ShardsFromJson(*object));
  }
  const Array::Ptr lost = ArrayField(in, "declared_lost");
  for (unsigned i = 0; i < lost->size(); ++i) {
    state.declared_lost.insert(UpstreamFromJson(*ObjectAt(*lost, i)));
  }
  snapshot.recent_ids = HashesField(in, "recent_ids");
  return snapshot;
}

}  // namespace

std::string EncodeSnapshot(const FoldSnapshot& snapshot) {
  const ClusterState& state = snapshot.state;
  Array::Ptr services = new Array;
  for (const auto& [service, shards] : state.shards) {
    services->add(ShardsToJson(service, shards));
  }
  Array::Ptr lost = new Array;
  for (const UpstreamRef& upstream : state.declared_lost) {
    lost->add(UpstreamToJson(upstream));
  }
  Object out;
  out.set("next_offset", state.next_offset.value);
  out.set("inventory_revision", state.inventory_revision.value);
  out.set("rules_revision", state.rules_revision.value);
  out.set("inventory", ParseObject(ToJson(state.inventory)));
  out.set("rules", ParseObject(ToJson(state.rules)));
  out.set("authorities", AuthoritiesToJson(state));
  out.set("shards", services);
  out.set("declared_lost", lost);
  out.set("recent_ids", HashesToText(snapshot.recent_ids));
  return ToText(out);
}

tl::expected<FoldSnapshot, std::string> DecodeSnapshot(std::string_view json) {
  return ReadGuarded(&ReadSnapshot, json);
}

}  // namespace bamboorack::log_service
