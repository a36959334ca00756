#include "bamboorack/peer/gossip_codec.h"

#include <flatbuffers/flatbuffers.h>
#include <gossip_generated.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <limits>
#include <utility>
#include <vector>

#include "bamboorack/core/hash.h"

namespace bamboorack::peer {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr double kPermille = 1'000;
constexpr double kMaxRatio = 1'000;
constexpr std::uint32_t kUnknownAge = 0xFFFFFFFF;
constexpr double kPercent = 100;

/// Returns `value`, or the largest number that the field can hold.
std::uint16_t ToField(std::uint64_t value) {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(value, kMax));
}

gossip::UpstreamStatement Encode(const UpstreamStatement& statement) {
  const auto age = std::max(statement.age, std::chrono::milliseconds(0));
  const double percent = std::clamp(statement.slowdown, 0.01, kMaxRatio);
  return {statement.upstream.value,
          ToField(static_cast<std::uint64_t>(age.count())),
          ToField(static_cast<std::uint64_t>(std::lround(percent * kPercent))),
          ToField(statement.running), ToField(statement.waiting)};
}

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

Offset<void> Encode(FlatBufferBuilder& builder, const LoadReport& report) {
  std::vector<gossip::UpstreamLoad> loads;
  loads.reserve(report.upstreams.size());
  for (const UpstreamLoad& load : report.upstreams) {
    const double ratio = std::clamp(load.latency_ratio, 0.0, kMaxRatio);
    loads.emplace_back(load.upstream.value, load.in_flight,
                       static_cast<std::uint32_t>(ratio * kPermille));
  }
  std::vector<Offset<gossip::KeyDemand>> demands;
  for (const KeyDemand& demand : report.demands) {
    std::vector<std::uint16_t> keys;
    keys.reserve(demand.keys.size());
    for (const ShardKey key : demand.keys) keys.push_back(key.value);
    demands.push_back(gossip::CreateKeyDemandDirect(
        builder, demand.service.value.c_str(), &keys, demand.states_load));
  }
  const auto age =
      report.log_contact_age
          ? static_cast<std::uint32_t>(report.log_contact_age->count())
          : kUnknownAge;
  std::vector<gossip::UpstreamDeparture> departures;
  departures.reserve(report.departures.size());
  for (const UpstreamDeparture& departure : report.departures) {
    departures.emplace_back(departure.upstream.value, departure.life.value);
  }
  std::vector<gossip::UpstreamStatement> statements;
  statements.reserve(report.statements.size());
  for (const UpstreamStatement& statement : report.statements) {
    statements.push_back(Encode(statement));
  }
  // An absent vector takes no bytes.
  return gossip::CreateLoadReportDirect(
             builder, &loads, &demands, age, &departures,
             statements.empty() ? nullptr : &statements)
      .Union();
}

Offset<gossip::ServiceOwners> Encode(FlatBufferBuilder& builder,
                                     const ServiceName& service,
                                     const std::vector<HashedRange>& ranges) {
  std::vector<gossip::OwnedRange> encoded;
  encoded.reserve(ranges.size());
  for (const HashedRange& row : ranges) {
    encoded.emplace_back(row.owner.value, row.range.first.value,
                         row.range.last.value);
  }
  return gossip::CreateServiceOwnersDirect(builder, service.value.c_str(),
                                           &encoded);
}

Offset<void> Encode(FlatBufferBuilder& builder, const LeaderBeat& beat) {
  std::vector<Offset<gossip::ServiceOwners>> services;
  if (beat.owners) {
    for (const auto& [service, ranges] : *beat.owners) {
      services.push_back(Encode(builder, service, ranges));
    }
  }
  return gossip::CreateLeaderBeatDirect(
             builder, beat.version.term.value, beat.version.change,
             beat.has_resigned, beat.lapsed.has_value(),
             beat.lapsed ? beat.lapsed->log_end.value : 0,
             beat.lapsed
                 ? static_cast<std::uint32_t>(beat.lapsed->leases_left.count())
                 : 0,
             beat.owners ? &services : nullptr, beat.since.has_value(),
             beat.since.value_or(0))
      .Union();
}

Offset<void> Encode(FlatBufferBuilder& builder, const RecordRelay& relay) {
  std::vector<Offset<gossip::RelayedRecord>> records;
  if (relay.records) {
    for (const auto& [key, value] : *relay.records) {
      const auto name = builder.CreateString(key);
      flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> bytes;
      if (value) {
        bytes = builder.CreateVector(
            reinterpret_cast<const std::uint8_t*>(value->data()),
            value->size());
      }
      records.push_back(gossip::CreateRelayedRecord(builder, name, bytes));
    }
  }
  return gossip::CreateTopicRelayDirect(
             builder, relay.topic, relay.from.value, relay.end.value,
             relay.records.has_value(), &records, relay.wants_read)
      .Union();
}

std::optional<Gossip> DecodeRelay(const gossip::Datagram& datagram) {
  const auto& wire = *datagram.content_as_TopicRelay();
  RecordRelay relay;
  relay.topic = wire.topic();
  relay.from = LogOffset(wire.from());
  relay.end = LogOffset(wire.end());
  relay.wants_read = wire.wants_read();
  if (!wire.has_records()) return relay;
  relay.records.emplace();
  if (wire.records() == nullptr) return relay;
  for (const gossip::RelayedRecord* record : *wire.records()) {
    std::optional<std::string> value;
    if (record->value() != nullptr) {
      value.emplace(record->value()->begin(), record->value()->end());
    }
    relay.records->emplace_back(TextOf(record->key()), std::move(value));
  }
  return relay;
}

std::optional<Gossip> DecodeReport(const gossip::Datagram& datagram) {
  const auto& wire = *datagram.content_as_LoadReport();
  LoadReport report;
  report.sender = DaemonId(TextOf(datagram.daemon()));
  if (wire.log_contact_age_ms() != kUnknownAge) {
    report.log_contact_age =
        std::chrono::milliseconds(wire.log_contact_age_ms());
  }
  if (wire.upstreams() != nullptr) {
    for (const gossip::UpstreamLoad* load : *wire.upstreams()) {
      report.upstreams.push_back(
          {UpstreamHash(load->upstream()), load->in_flight(),
           static_cast<double>(load->latency_permille()) / kPermille});
    }
  }
  if (wire.departures() != nullptr) {
    for (const gossip::UpstreamDeparture* departure : *wire.departures()) {
      report.departures.push_back({UpstreamHash(departure->upstream()),
                                   UpstreamLife(departure->life())});
    }
  }
  if (wire.statements() != nullptr) {
    for (const gossip::UpstreamStatement* statement : *wire.statements()) {
      if (statement->slowdown_percent() == 0) continue;
      report.statements.push_back(
          {UpstreamHash(statement->upstream()),
           std::chrono::milliseconds(statement->age_ms()), statement->running(),
           statement->waiting(), statement->slowdown_percent() / kPercent});
    }
  }
  if (wire.demands() != nullptr) {
    for (const gossip::KeyDemand* demand : *wire.demands()) {
      KeyDemand& row = report.demands.emplace_back();
      row.service = ServiceName(TextOf(demand->service()));
      row.states_load = demand->states_load();
      if (demand->keys() == nullptr) continue;
      for (const std::uint16_t key : *demand->keys()) {
        row.keys.emplace_back(key);
      }
    }
  }
  return report;
}

std::vector<HashedRange> DecodeRanges(const gossip::ServiceOwners& owners) {
  std::vector<HashedRange> ranges;
  if (owners.ranges() == nullptr) return ranges;
  for (const gossip::OwnedRange* wire : *owners.ranges()) {
    ranges.push_back({{ShardKey(wire->first()), ShardKey(wire->last())},
                      UpstreamHash(wire->owner())});
  }
  return ranges;
}

std::optional<Gossip> DecodeBeat(const gossip::Datagram& datagram) {
  const auto& wire = *datagram.content_as_LeaderBeat();
  LeaderBeat beat;
  beat.sender = DaemonId(TextOf(datagram.daemon()));
  beat.version = {Term(wire.term()), wire.change()};
  beat.has_resigned = wire.has_resigned();
  if (wire.has_lapsed()) {
    beat.lapsed =
        LeaseStatement{LogOffset(wire.log_end()),
                       std::chrono::milliseconds(wire.leases_left_ms())};
  }
  if (wire.is_partial()) beat.since = wire.since();
  if (wire.services() != nullptr) {
    beat.owners.emplace();
    for (const gossip::ServiceOwners* owners : *wire.services()) {
      (*beat.owners)[ServiceName(TextOf(owners->service()))] =
          DecodeRanges(*owners);
    }
  }
  return beat;
}

struct ContentRow {
  gossip::Content content;
  std::optional<Gossip> (*decode)(const gossip::Datagram&);
};

constexpr std::array kContents = {
    ContentRow{gossip::Content::LoadReport, &DecodeReport},
    ContentRow{gossip::Content::LeaderBeat, &DecodeBeat},
    ContentRow{gossip::Content::TopicRelay, &DecodeRelay}};

}  // namespace

UpstreamHash HashOf(const UpstreamId& id) {
  return UpstreamHash(HashText(id.value));
}

HashedOwners ToHashed(const OwnerMap& map) {
  HashedOwners owners;
  for (const auto& [service, ranges] : map.services) {
    std::vector<HashedRange>& rows = owners[service];
    for (const OwnedRange& row : ranges) {
      rows.push_back(
          {row.range, row.owner ? HashOf(row.owner->id) : UpstreamHash()});
    }
  }
  return owners;
}

OwnerMap FromHashed(const OwnerMapVersion& version, const HashedOwners& owners,
                    const std::vector<RegisteredUpstream>& upstreams) {
  std::map<UpstreamHash, UpstreamRun> runs;
  for (const RegisteredUpstream& entry : upstreams) {
    runs.emplace(HashOf(entry.run.id), entry.run);
  }
  OwnerMap map{version, {}};
  for (const auto& [service, rows] : owners) {
    std::vector<OwnedRange>& ranges = map.services[service];
    for (const HashedRange& row : rows) {
      const auto run = runs.find(row.owner);
      ranges.push_back({row.range, run == runs.end()
                                       ? std::nullopt
                                       : std::optional(run->second)});
    }
  }
  return map;
}

std::string EncodeGossip(const GossipSource& source, const Gossip& content) {
  FlatBufferBuilder builder;
  // The table has the alternatives of `Gossip` in their order.
  const auto type = kContents.at(content.index()).content;
  const Offset<void> body = std::visit(
      [&builder](const auto& value) { return Encode(builder, value); },
      content);
  builder.Finish(gossip::CreateDatagramDirect(
      builder, source.daemon.value.c_str(), source.instance.value.c_str(),
      source.sequence, type, body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<ReceivedGossip> DecodeGossip(std::string_view bytes) {
  // FlatBuffers reads numbers in place, and a datagram may lie anywhere.
  std::vector<std::uint64_t> aligned(bytes.size() / sizeof(std::uint64_t) + 1);
  std::memcpy(aligned.data(), bytes.data(), bytes.size());
  const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!gossip::VerifyDatagramBuffer(verifier)) return std::nullopt;
  const gossip::Datagram& datagram = *gossip::GetDatagram(data);
  for (const ContentRow& row : kContents) {
    if (row.content != datagram.content_type()) continue;
    if (datagram.content() == nullptr) return std::nullopt;
    auto content = row.decode(datagram);
    if (!content) return std::nullopt;
    return ReceivedGossip{
        {DaemonId(TextOf(datagram.daemon())),
         DaemonInstance(TextOf(datagram.instance())), datagram.sequence()},
        std::move(*content)};
  }
  return std::nullopt;
}

}  // namespace bamboorack::peer
