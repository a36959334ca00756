#include "bamboorack/core/config_codec.h"

#include <array>
#include <charconv>
#include <numeric>
#include <set>
#include <sstream>

#include "bamboorack/core/hash.h"
#include "bamboorack/core/json_fields.h"

namespace bamboorack {
namespace {

constexpr std::array<std::string_view, 2> kOnLogLossNames = {"keep_serving",
                                                             "stop"};
constexpr std::size_t kMaxHotKeys = 1000;
constexpr double kMaxShardCount = 1'000'000;
/// Absorbs the rounding of three decimal fractions.
constexpr double kFloorTolerance = 1e-9;

std::string ToHex(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto result =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return {digits.data(), result.ptr};
}

std::optional<std::uint64_t> FromHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number, 16);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

/// Reports values that occur twice.
class UniqueValues {
 public:
  UniqueValues(std::string_view kind, ConfigProblems& sink)
      : what(kind), problems(sink) {}

  void Add(const std::string& value, std::string path) {
    // An empty value was already reported when it was read.
    if (value.empty()) return;
    const auto [first, is_new] = this->seen.emplace(value, path);
    if (is_new) return;
    this->problems.push_back(
        {std::move(path), std::string(this->what) + " \"" + value +
                              "\" is already used by " + first->second});
  }

 private:
  std::string_view what;
  ConfigProblems& problems;
  std::map<std::string, std::string> seen;
};

std::string At(std::string_view list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

std::string TextOrEmpty(const Endpoint& endpoint) {
  return endpoint.host.empty() ? "" : ToText(endpoint);
}

}  // namespace

template <>
struct JsonCodec<OnLogLoss> {
  static void Read(const JsonValue& value, Range /*range*/, OnLogLoss& out) {
    const auto text = value.GetText();
    if (!text) return;
    for (std::size_t i = 0; i < kOnLogLossNames.size(); ++i) {
      if (kOnLogLossNames.at(i) != *text) continue;
      out = static_cast<OnLogLoss>(i);
      return;
    }
    value.Fail(value.Shown() + " is neither \"keep_serving\" nor \"stop\"");
  }
  static Poco::Dynamic::Var Write(OnLogLoss in) {
    return std::string(kOnLogLossNames.at(static_cast<std::size_t>(in)));
  }
};

using Floors = std::array<double, kRankCount>;

template <>
struct JsonCodec<Floors> {
  static void Read(const JsonValue& value, Range range, Floors& out) {
    const auto members = value.Members();
    if (!members) return;
    for (const auto& [name, member] : *members) {
      const auto rank = RankFromName(name);
      if (!rank) {
        member.Fail("unknown rank");
        continue;
      }
      JsonCodec<double>::Read(member, range, out.at(IndexOf(*rank)));
    }
    const double sum = std::accumulate(out.begin(), out.end(), 0.0);
    if (sum <= 1.0 + kFloorTolerance) return;
    std::ostringstream text;
    text << "the sum " << sum << " is above 1";
    value.Fail(text.str());
  }
  static Poco::Dynamic::Var Write(const Floors& in) {
    Poco::JSON::Object::Ptr object =
        new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const Rank rank : kRanks) {
      object->set(std::string(NameOf(rank)), in.at(IndexOf(rank)));
    }
    return object;
  }
};

namespace {

/// A hot key as it stands in a document: by its text or by its hash.
struct HotKeyDocument {
  std::optional<std::uint64_t> key;
  std::optional<std::uint64_t> key_hash;
  ShardId shard;
};

void ReadKey(const JsonValue& value, Range /*range*/, HotKeyDocument& out) {
  if (const auto text = value.GetText()) out.key = HashText(*text);
}

void ReadKeyHash(const JsonValue& value, Range /*range*/, HotKeyDocument& out) {
  const auto text = value.GetText();
  if (!text) return;
  out.key_hash = FromHex(*text);
  if (!out.key_hash) {
    value.Fail(value.Shown() + " is not a hash of 1 to 16 hexadecimal digits");
  }
}

constexpr std::array kHotKeyFields = {
    JsonField<HotKeyDocument>{"key", Presence::kOptional, {}, ReadKey, {}},
    JsonField<HotKeyDocument>{
        "key_hash", Presence::kOptional, {}, ReadKeyHash, {}},
    Field<&HotKeyDocument::shard>("shard", Presence::kRequired,
                                  {1, kMaxShardCount + kMaxHotKeys - 1})};

}  // namespace

template <>
struct JsonCodec<HotKey> {
  static void Read(const JsonValue& value, Range range, HotKey& out) {
    HotKeyDocument document;
    ObjectCodec<HotKeyDocument, kHotKeyFields>::Read(value, range, document);
    if (document.key && document.key_hash) {
      value.Fail("has both key and key_hash");
    }
    if (!value.HasMember("key") && !value.HasMember("key_hash")) {
      value.Fail("has neither key nor key_hash");
    }
    out.key_hash = document.key.value_or(document.key_hash.value_or(0));
    out.shard = document.shard;
  }
  static Poco::Dynamic::Var Write(const HotKey& in) {
    Poco::JSON::Object::Ptr object =
        new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("key_hash", ToHex(in.key_hash));
    object->set("shard", in.shard.value);
    return object;
  }
};

namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

constexpr std::array kUpstreamFields = {
    Field<&UpstreamEntry::id>("id", kRequired),
    Field<&UpstreamEntry::vm>("vm", kRequired),
    Field<&UpstreamEntry::endpoint>("endpoint", kRequired, kPort),
    Field<&UpstreamEntry::failure_domain>("failure_domain", kRequired),
    Field<&UpstreamEntry::slots>("slots", kOptional, {1, 10'000}),
    Field<&UpstreamEntry::weight>("weight", kOptional, {0.001, 1000})};

constexpr std::array kDaemonFields = {
    Field<&DaemonEntry::id>("id", kRequired),
    Field<&DaemonEntry::vm>("vm", kRequired),
    Field<&DaemonEntry::failure_domain>("failure_domain", kRequired),
    Field<&DaemonEntry::peer_endpoint>("peer_endpoint", kRequired, kPort)};

constexpr std::array kServiceRulesFields = {
    Field<&ServiceRules::on_log_loss>("on_log_loss", kOptional),
    Field<&ServiceRules::lease>("lease_ms", kOptional, {100, 60'000}),
    Field<&ServiceRules::mandate>("mandate_ms", kOptional, {50, 60'000}),
    Field<&ServiceRules::permit>("permit_ms", kOptional, {50, 60'000}),
    Field<&ServiceRules::id_memory>("id_memory_ms", kOptional,
                                    {1000, 86'400'000}),
    Field<&ServiceRules::floors>("floors", kOptional, {0, 1}),
    Field<&ServiceRules::queue_limit>("queue_limit", kOptional, {1, 100'000}),
    Field<&ServiceRules::retry_share>("retry_share", kOptional, {0, 1}),
    Field<&ServiceRules::moves_per_second>("moves_per_second", kOptional,
                                           {0, 10'000}),
    Field<&ServiceRules::hot_keys>("hot_keys", kOptional)};

}  // namespace

template <>
struct JsonCodec<UpstreamEntry> : ObjectCodec<UpstreamEntry, kUpstreamFields> {
};
template <>
struct JsonCodec<DaemonEntry> : ObjectCodec<DaemonEntry, kDaemonFields> {};
template <>
struct JsonCodec<ServiceRules>
    : ObjectCodec<ServiceRules, kServiceRulesFields> {};

using RulesOfServices = std::map<ServiceName, ServiceRules>;

template <>
struct JsonCodec<RulesOfServices> {
  static void Read(const JsonValue& value, Range range, RulesOfServices& out) {
    const auto members = value.Members();
    if (!members) return;
    for (const auto& [name, member] : *members) {
      JsonCodec<ServiceRules>::Read(member, range, out[ServiceName(name)]);
    }
  }
  static Poco::Dynamic::Var Write(const RulesOfServices& in) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object();
    for (const auto& [name, rules] : in) {
      object->set(name.value, JsonCodec<ServiceRules>::Write(rules));
    }
    return object;
  }
};

namespace {

constexpr std::array kServiceFields = {
    Field<&ServiceEntry::name>("name", kRequired),
    Field<&ServiceEntry::checks_tokens>("checks_tokens", kOptional),
    Field<&ServiceEntry::can_settle>("can_settle", kOptional),
    Field<&ServiceEntry::shard_count>("shard_count", kOptional,
                                      {1, kMaxShardCount}),
    Field<&ServiceEntry::groups_per_domain>("groups_per_domain", kOptional,
                                            {1, 1000}),
    Field<&ServiceEntry::upstreams>("upstreams", kRequired)};

constexpr std::array kRulesFields = {
    Field<&Rules::drained_upstreams>("drained_upstreams", kOptional),
    Field<&Rules::services>("services", kOptional)};

}  // namespace

template <>
struct JsonCodec<ServiceEntry> : ObjectCodec<ServiceEntry, kServiceFields> {};
template <>
struct JsonCodec<Rules> : ObjectCodec<Rules, kRulesFields> {};

namespace {

constexpr std::array kInventoryFields = {
    Field<&Inventory::daemons>("daemons", kRequired),
    Field<&Inventory::services>("services", kRequired)};

/// Reports ids, endpoints and daemon VMs that occur twice.
void CheckInventory(const Inventory& inventory, ConfigProblems& problems) {
  UniqueValues daemons("daemon id", problems);
  UniqueValues vms("daemon VM", problems);
  UniqueValues services("service name", problems);
  UniqueValues upstreams("upstream id", problems);
  UniqueValues endpoints("endpoint", problems);
  for (std::size_t i = 0; i < inventory.daemons.size(); ++i) {
    const DaemonEntry& daemon = inventory.daemons[i];
    const std::string path = At("daemons", i);
    daemons.Add(daemon.id.value, path + ".id");
    vms.Add(daemon.vm.value, path + ".vm");
    endpoints.Add(TextOrEmpty(daemon.peer_endpoint), path + ".peer_endpoint");
  }
  for (std::size_t i = 0; i < inventory.services.size(); ++i) {
    const ServiceEntry& service = inventory.services[i];
    const std::string path = At("services", i);
    services.Add(service.name.value, path + ".name");
    for (std::size_t j = 0; j < service.upstreams.size(); ++j) {
      const std::string entry = path + "." + At("upstreams", j);
      upstreams.Add(service.upstreams[j].id.value, entry + ".id");
      endpoints.Add(TextOrEmpty(service.upstreams[j].endpoint),
                    entry + ".endpoint");
    }
  }
}

/// Reports service names that are not names, and hot keys that share a hash
/// or a shard.
void CheckServiceRules(const ServiceName& name, const ServiceRules& rules,
                       ConfigProblems& problems) {
  const std::string path = "services." + name.value;
  (void)JsonValue(name.value, path, problems).GetName();
  if (rules.hot_keys.size() > kMaxHotKeys) {
    problems.push_back(
        {path + ".hot_keys", std::to_string(rules.hot_keys.size()) +
                                 " hot keys are more than " +
                                 std::to_string(kMaxHotKeys)});
  }
  UniqueValues hashes("key hash", problems);
  UniqueValues shards("shard", problems);
  for (std::size_t i = 0; i < rules.hot_keys.size(); ++i) {
    const HotKey& hot_key = rules.hot_keys[i];
    const std::string entry = path + "." + At("hot_keys", i);
    // Entries without a valid key or shard were already reported.
    if (hot_key.shard.value == 0 || hot_key.key_hash == 0) continue;
    hashes.Add(ToHex(hot_key.key_hash), entry);
    shards.Add(std::to_string(hot_key.shard.value), entry + ".shard");
  }
}

void CheckRules(const Rules& rules, ConfigProblems& problems) {
  UniqueValues drained("upstream id", problems);
  for (std::size_t i = 0; i < rules.drained_upstreams.size(); ++i) {
    drained.Add(rules.drained_upstreams[i].value, At("drained_upstreams", i));
  }
  for (const auto& [name, service] : rules.services) {
    CheckServiceRules(name, service, problems);
  }
}

}  // namespace

template <>
struct JsonCodec<Inventory> : ObjectCodec<Inventory, kInventoryFields> {};

tl::expected<Inventory, ConfigProblems> ParseInventory(std::string_view json) {
  return ReadDocument<Inventory>(json, CheckInventory);
}

tl::expected<Rules, ConfigProblems> ParseRules(std::string_view json) {
  return ReadDocument<Rules>(json, CheckRules);
}

std::string ToJson(const Inventory& inventory) {
  return WriteDocument(JsonCodec<Inventory>::Write(inventory));
}

std::string ToJson(const Rules& rules) {
  return WriteDocument(JsonCodec<Rules>::Write(rules));
}

}  // namespace bamboorack
