#include "bamboorack/operator/status.h"

#include <chrono>
#include <ostream>
#include <sstream>

#include "bamboorack/core/json_fields.h"

namespace bamboorack::operators {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr NewObject() { return new Object(Poco::JSON_PRESERVE_KEY_ORDER); }

template <typename T>
std::string Printed(const T& value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

/// Returns the age in milliseconds, or null if there is no time.
Poco::Dynamic::Var AgeOf(std::optional<MonotonicTime> time, MonotonicTime now) {
  if (!time) return {};
  return static_cast<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - *time)
          .count());
}

Array::Ptr GroupsToJson(const StatusSnapshot& snapshot) {
  Array::Ptr groups = new Array();
  for (const HeldGroup& held : snapshot.groups) {
    Object::Ptr object = NewObject();
    object->set("group", Printed(held.group));
    object->set("token", held.token.value);
    groups->add(object);
  }
  return groups;
}

Array::Ptr UpstreamsToJson(const StatusSnapshot& snapshot) {
  Array::Ptr upstreams = new Array();
  for (const UpstreamStatus& status : snapshot.upstreams) {
    Object::Ptr object = NewObject();
    object->set("upstream", status.upstream.id.value);
    object->set("instance", status.upstream.instance.value);
    object->set("group", Printed(status.group));
    object->set("grant", std::string(NameOf(status.state)));
    object->set("shards_granted", status.shards_granted);
    upstreams->add(object);
  }
  return upstreams;
}

Array::Ptr PeersToJson(const StatusSnapshot& snapshot, MonotonicTime now) {
  Array::Ptr peers = new Array();
  for (const auto& [daemon, heard] : snapshot.peers_last_heard) {
    Object::Ptr object = NewObject();
    object->set("daemon", daemon.value);
    object->set("last_heard_ms_ago", AgeOf(heard, now));
    peers->add(object);
  }
  return peers;
}

void WriteOwner(const ShardState& shard, std::size_t index, std::ostream& out) {
  out << "{\"shard\":" << index << ",\"group\":\"" << shard.group << '"';
  if (shard.owner) {
    out << ",\"upstream\":\"" << shard.owner->id
        << "\",\"instance\":" << WriteDocument(shard.owner->instance.value);
  }
  out << ",\"changed_at\":" << shard.changed_at << '}';
}

}  // namespace

std::string ToJson(const StatusSnapshot& snapshot, MonotonicTime now) {
  Object::Ptr object = NewObject();
  object->set("daemon", snapshot.daemon.value);
  object->set("instance", snapshot.instance.value);
  object->set("age_ms", AgeOf(snapshot.taken_at, now));
  object->set("draining", snapshot.is_draining);
  object->set("has_state", snapshot.state != nullptr);
  if (snapshot.state != nullptr) {
    object->set("log_position", snapshot.state->next_offset.value);
    object->set("inventory_revision", snapshot.state->inventory_revision.value);
    object->set("rules_revision", snapshot.state->rules_revision.value);
  }
  object->set("log_contact_ms_ago", AgeOf(snapshot.log_contact, now));
  object->set("groups", GroupsToJson(snapshot));
  object->set("upstreams", UpstreamsToJson(snapshot));
  object->set("peers", PeersToJson(snapshot, now));
  return WriteDocument(object);
}

void WriteOwners(const ClusterState& state, const ServiceName& service,
                 std::ostream& out) {
  out << "{\"log_position\":" << state.next_offset << ",\"services\":{";
  const char* service_separator = "";
  for (const auto& [name, shards] : state.shards) {
    if (!service.IsEmpty() && name != service) continue;
    out << service_separator << '"' << name << "\":[";
    service_separator = ",";
    for (std::size_t i = 0; i < shards.size(); ++i) {
      if (i > 0) out << ',';
      WriteOwner(shards[i], i, out);
    }
    out << ']';
  }
  out << "}}";
}

std::optional<RevisionsInForce> ReadRevisions(std::string_view status_json) {
  ConfigProblems problems;
  const auto document = ParseDocument(status_json, problems);
  if (!document) return std::nullopt;
  const auto members = document->Members();
  if (!members) return std::nullopt;
  constexpr Range kAnyRevision{0, 9e18};
  std::optional<std::uint64_t> inventory;
  std::optional<std::uint64_t> rules;
  for (const auto& [name, value] : *members) {
    if (name == "inventory_revision")
      inventory = value.GetInteger(kAnyRevision);
    if (name == "rules_revision") rules = value.GetInteger(kAnyRevision);
  }
  if (!inventory || !rules) return std::nullopt;
  return RevisionsInForce{Revision(*inventory), Revision(*rules)};
}

}  // namespace bamboorack::operators
