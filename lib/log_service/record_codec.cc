#include "bamboorack/log_service/record_codec.h"

#include <array>
#include <variant>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/log_service/json_fields_codec.h"

namespace bamboorack::log_service {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

void Write(const InventoryPublished& body, Object& out) {
  out.set("base_revision", body.base_revision.value);
  out.set("inventory", ParseObject(ToJson(body.inventory)));
}

RecordBody ReadInventoryPublished(const Object& in) {
  return InventoryPublished{TaggedField<Revision>(in, "base_revision"),
                            InventoryField(in, "inventory")};
}

void Write(const RulesPublished& body, Object& out) {
  out.set("base_revision", body.base_revision.value);
  out.set("rules", ParseObject(ToJson(body.rules)));
}

RecordBody ReadRulesPublished(const Object& in) {
  return RulesPublished{TaggedField<Revision>(in, "base_revision"),
                        RulesField(in, "rules")};
}

void Write(const AuthorityTaken& body, Object& out) {
  out.set("group", GroupToJson(body.group));
  out.set("daemon", body.daemon.value);
  out.set("daemon_instance", body.daemon_instance.value);
  out.set("base_token", body.base_token.value);
  out.set("cause", std::string(NameOf(body.cause)));
}

RecordBody ReadAuthorityTaken(const Object& in) {
  return AuthorityTaken{
      GroupField(in, "group"), NameField<DaemonId>(in, "daemon"),
      NameField<DaemonInstance>(in, "daemon_instance"),
      TaggedField<FencingToken>(in, "base_token"),
      static_cast<Cause>(ChoiceField(in, "cause", kCauseNames))};
}

void Write(const AuthorityReleased& body, Object& out) {
  out.set("group", GroupToJson(body.group));
  out.set("token", body.token.value);
  out.set("to_daemon", body.to_daemon.value);
}

RecordBody ReadAuthorityReleased(const Object& in) {
  return AuthorityReleased{GroupField(in, "group"),
                           TaggedField<FencingToken>(in, "token"),
                           NameField<DaemonId>(in, "to_daemon")};
}

Object::Ptr ChangeToJson(const ShardChange& change) {
  Object::Ptr object = new Object;
  object->set("shard", change.shard.value);
  if (change.from) object->set("from", UpstreamToJson(*change.from));
  if (change.to) object->set("to", UpstreamToJson(*change.to));
  object->set("base", change.base.value);
  return object;
}

ShardChange ChangeFromJson(const Object& in) {
  return ShardChange{
      TaggedField<ShardId>(in, "shard"), OptionalUpstreamField(in, "from"),
      OptionalUpstreamField(in, "to"), TaggedField<LogOffset>(in, "base")};
}

void Write(const ShardsAssigned& body, Object& out) {
  Array::Ptr changes = new Array;
  for (const ShardChange& change : body.changes) {
    changes->add(ChangeToJson(change));
  }
  out.set("group", GroupToJson(body.group));
  out.set("token", body.token.value);
  out.set("changes", changes);
  out.set("cause", std::string(NameOf(body.cause)));
  out.set("proof", std::string(NameOf(body.proof)));
  out.set("daemon", body.daemon.value);
}

RecordBody ReadShardsAssigned(const Object& in) {
  ShardsAssigned body;
  body.group = GroupField(in, "group");
  body.token = TaggedField<FencingToken>(in, "token");
  const Array::Ptr changes = ArrayField(in, "changes");
  for (unsigned i = 0; i < changes->size(); ++i) {
    body.changes.push_back(ChangeFromJson(*ObjectAt(*changes, i)));
  }
  body.cause = static_cast<Cause>(ChoiceField(in, "cause", kCauseNames));
  body.proof = static_cast<Proof>(ChoiceField(in, "proof", kProofNames));
  body.daemon = NameField<DaemonId>(in, "daemon");
  return body;
}

void Write(const UpstreamDeclaredLost& body, Object& out) {
  out.set("upstream", UpstreamToJson(body.upstream));
  out.set("operator", body.operator_name);
}

RecordBody ReadUpstreamDeclaredLost(const Object& in) {
  return UpstreamDeclaredLost{UpstreamFromJson(*ObjectField(in, "upstream")),
                              TextField(in, "operator")};
}

void Write(const SnapshotPiece& body, Object& out) {
  out.set("snapshot", body.snapshot.value);
  out.set("covers_before", body.covers_before.value);
  out.set("index", body.index);
  out.set("count", body.count);
  out.set("body", body.body);
}

RecordBody ReadSnapshotPiece(const Object& in) {
  constexpr std::uint64_t kHighest = std::numeric_limits<std::uint32_t>::max();
  return SnapshotPiece{
      NameField<RecordId>(in, "snapshot"),
      TaggedField<LogOffset>(in, "covers_before"),
      static_cast<std::uint32_t>(NumberField(in, "index", kHighest)),
      static_cast<std::uint32_t>(NumberField(in, "count", kHighest)),
      TextField(in, "body")};
}

struct RecordKind {
  std::string_view name;
  RecordBody (*read)(const Object&);
};

/// The record kinds, in the order of `RecordBody`.
constexpr std::array<RecordKind, std::variant_size_v<RecordBody>> kKinds = {
    RecordKind{"inventory_published", &ReadInventoryPublished},
    RecordKind{"rules_published", &ReadRulesPublished},
    RecordKind{"authority_taken", &ReadAuthorityTaken},
    RecordKind{"authority_released", &ReadAuthorityReleased},
    RecordKind{"shards_assigned", &ReadShardsAssigned},
    RecordKind{"upstream_declared_lost", &ReadUpstreamDeclaredLost},
    RecordKind{"snapshot_piece", &ReadSnapshotPiece}};

Record ReadRecord(const Object& in) {
  const std::string kind = TextField(in, "kind");
  auto id = NameField<RecordId>(in, "id");
  if (id.IsEmpty()) throw FieldError("field id is empty");
  for (const RecordKind& known : kKinds) {
    if (known.name == kind) return Record{std::move(id), known.read(in)};
  }
  throw FieldError("field kind has the unknown value " + kind);
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  Object out;
  out.set("kind", std::string(kKinds.at(record.body.index()).name));
  out.set("id", record.id.value);
  std::visit([&out](const auto& body) { Write(body, out); }, record.body);
  return ToText(out);
}

tl::expected<Record, std::string> DecodeRecord(std::string_view json) {
  return ReadGuarded(&ReadRecord, json);
}

}  // namespace bamboorack::log_service
