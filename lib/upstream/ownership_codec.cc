#include "bamboorack/upstream/ownership_codec.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace bamboorack::upstream {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// A range is encoded as an array rather than an object to keep the record of a
// large service small: [first, last, holder, life, successor, life,
// has_unanswered_grant]. An absent holder or successor has an empty id. Records
// of version 0.1 lack the last field.
constexpr unsigned kFirstKeyField = 0;
constexpr unsigned kLastKeyField = 1;
constexpr unsigned kHolderField = 2;
constexpr unsigned kSuccessorField = 4;
constexpr unsigned kUnansweredGrantField = 6;
constexpr unsigned kRangeFieldCount = 7;
constexpr unsigned kVersion01RangeFieldCount = 6;

void AddRun(Array& row, const std::optional<UpstreamRun>& run) {
  row.add(run ? run->id.value : std::string());
  row.add(run ? run->life.value : std::uint64_t{0});
}

std::optional<UpstreamRun> ReadRun(const Array& row, unsigned at) {
  const auto id = row.getElement<std::string>(at);
  if (id.empty()) return std::nullopt;
  return UpstreamRun{UpstreamId(id),
                     UpstreamLife(row.getElement<Poco::UInt64>(at + 1))};
}

ShardKey ReadKey(const Array& row, unsigned at) {
  const auto key = row.getElement<Poco::UInt64>(at);
  if (key > kLastKey.value) throw Poco::RangeException("shard key above 65535");
  return ShardKey(static_cast<std::uint16_t>(key));
}

// A record of version 0.1 does not show whether all grants were answered, so
// one is assumed to be unanswered.
bool ReadUnansweredGrant(const Array& row) {
  if (row.size() == kVersion01RangeFieldCount) return true;
  return row.getElement<bool>(kUnansweredGrantField);
}

std::vector<RecordedRange> ReadRanges(const Array& rows) {
  std::vector<RecordedRange> ranges;
  ranges.reserve(rows.size());
  for (unsigned i = 0; i < rows.size(); ++i) {
    const Array::Ptr row = rows.getArray(i);
    if (row.isNull() || (row->size() != kRangeFieldCount &&
                         row->size() != kVersion01RangeFieldCount)) {
      throw Poco::DataFormatException("range does not have 6 or 7 fields");
    }
    ranges.push_back(
        {{ReadKey(*row, kFirstKeyField), ReadKey(*row, kLastKeyField)},
         ReadRun(*row, kHolderField),
         ReadRun(*row, kSuccessorField),
         ReadUnansweredGrant(*row)});
  }
  return ranges;
}

}  // namespace

std::string EncodeOwnership(const OwnershipRecord& record) {
  Object services(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const auto& [service, ranges] : record.services) {
    Array::Ptr rows = new Array;
    for (const RecordedRange& range : ranges) {
      Array::Ptr row = new Array;
      row->add(range.range.first.value);
      row->add(range.range.last.value);
      AddRun(*row, range.holder);
      AddRun(*row, range.successor);
      row->add(range.has_unanswered_grant);
      rows->add(row);
    }
    services.set(service.value, rows);
  }
  Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set("term", record.term.value);
  json.set("leader", record.leader.value);
  json.set("instance", record.instance.value);
  json.set("change", record.change);
  json.set("released", record.is_released);
  json.set("leases_left_ms",
           static_cast<Poco::Int64>(record.leases_left.count()));
  json.set("services", services);
  std::ostringstream text;
  json.stringify(text);
  return text.str();
}

tl::expected<OwnershipRecord, std::string> DecodeOwnership(
    const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    const auto json = parser.parse(text).extract<Object::Ptr>();
    OwnershipRecord record;
    record.term = Term(json->getValue<Poco::UInt64>("term"));
    record.leader = DaemonId(json->getValue<std::string>("leader"));
    record.instance = DaemonInstance(json->getValue<std::string>("instance"));
    record.change = json->getValue<Poco::UInt64>("change");
    record.is_released = json->getValue<bool>("released");
    record.leases_left = std::chrono::milliseconds(
        json->getValue<Poco::Int64>("leases_left_ms"));
    const Object::Ptr services = json->getObject("services");
    if (services.isNull())
      return tl::make_unexpected("field services is missing");
    for (const std::string& name : services->getNames()) {
      const Array::Ptr rows = services->getArray(name);
      if (rows.isNull())
        return tl::make_unexpected("ranges are missing for service " + name);
      record.services[ServiceName(name)] = ReadRanges(*rows);
    }
    return record;
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected(error.displayText());
  }
}

}  // namespace bamboorack::upstream
