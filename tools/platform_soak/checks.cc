#include "platform_soak/checks.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace bamboorack::soak {
namespace {

using Poco::JSON::Object;

constexpr std::array<std::pair<std::string_view, UpstreamEvent::Kind>, 3>
    kKinds = {std::pair{"grant", UpstreamEvent::Kind::kGrant},
              std::pair{"release", UpstreamEvent::Kind::kRelease},
              std::pair{"run", UpstreamEvent::Kind::kRun}};

/// Statuses that promise that a request has not run and never will.
constexpr std::array kPromises = {503, 429, 421, 408};

/// One upstream's hold of one range of keys.
struct Hold {
  std::string upstream;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  Time from;
  Time until;
};

Time ReadTime(const Object& json, const std::string& name) {
  return Time(Time::duration(json.getValue<Poco::Int64>(name)));
}

std::optional<UpstreamEvent> ReadEvent(const std::string& line) {
  try {
    Poco::JSON::Parser parser;
    const auto json = parser.parse(line).extract<Object::Ptr>();
    const auto name = json->getValue<std::string>("event");
    for (const auto& [kind_name, kind] : kKinds) {
      if (kind_name != name) continue;
      UpstreamEvent event;
      event.kind = kind;
      event.at = ReadTime(*json, "at");
      if (kind == UpstreamEvent::Kind::kRun) {
        event.request = json->getValue<std::string>("id");
        event.is_once = json->getValue<std::string>("method") == "POST";
        return event;
      }
      event.first = json->getValue<std::uint32_t>("first");
      event.last = json->getValue<std::uint32_t>("last");
      if (kind == UpstreamEvent::Kind::kGrant) {
        event.until = ReadTime(*json, "until");
      }
      return event;
    }
  } catch (const Poco::Exception&) {
    // A line that was cut off by a kill.
    return std::nullopt;
  }
  return std::nullopt;
}

/// Ends the parts of open holds that `event` covers; the rest stays open.
void EndHolds(std::vector<Hold>& open, const UpstreamEvent& event,
              std::vector<Hold>& done) {
  std::vector<Hold> kept;
  for (const Hold& hold : open) {
    if (event.last < hold.first || hold.last < event.first) {
      kept.push_back(hold);
      continue;
    }
    Hold part = hold;
    if (hold.first < event.first) {
      part.last = event.first - 1;
      kept.push_back(part);
    }
    part = hold;
    if (event.last < hold.last) {
      part.first = event.last + 1;
      kept.push_back(part);
    }
    part = hold;
    part.first = std::max(hold.first, event.first);
    part.last = std::min(hold.last, event.last);
    part.until = std::min(hold.until, event.at);
    done.push_back(part);
  }
  open = std::move(kept);
}

std::vector<Hold> HoldsOf(const UpstreamRecord& record) {
  std::vector<Hold> open;
  std::vector<Hold> done;
  for (const UpstreamEvent& event : record.events) {
    if (event.kind == UpstreamEvent::Kind::kRun) continue;
    // Only a release ends a hold: a later grant may be for less time.
    if (event.kind == UpstreamEvent::Kind::kRelease) {
      EndHolds(open, event, done);
    } else {
      open.push_back(
          {record.id, event.first, event.last, event.at, event.until});
    }
  }
  done.insert(done.end(), open.begin(), open.end());
  for (Hold& hold : done) hold.until = std::min(hold.until, record.ended);
  std::erase_if(done, [](const Hold& hold) { return hold.until <= hold.from; });
  return done;
}

void CheckHolds(const std::vector<UpstreamRecord>& upstreams,
                std::vector<std::string>& breaches) {
  std::vector<Hold> holds;
  for (const UpstreamRecord& record : upstreams) {
    const auto own = HoldsOf(record);
    holds.insert(holds.end(), own.begin(), own.end());
  }
  std::sort(holds.begin(), holds.end(),
            [](const Hold& a, const Hold& b) { return a.from < b.from; });
  for (std::size_t i = 0; i < holds.size(); ++i) {
    for (std::size_t j = i + 1;
         j < holds.size() && holds[j].from < holds[i].until; ++j) {
      const bool same_keys =
          holds[i].first <= holds[j].last && holds[j].first <= holds[i].last;
      if (!same_keys || holds[i].upstream == holds[j].upstream) continue;
      breaches.push_back("keys from " + std::to_string(holds[j].first) +
                         " held by " + holds[i].upstream + " and " +
                         holds[j].upstream);
    }
  }
}

}  // namespace

std::vector<UpstreamEvent> ReadEvents(std::istream& in) {
  std::vector<UpstreamEvent> events;
  for (std::string line; std::getline(in, line);) {
    if (auto event = ReadEvent(line)) events.push_back(std::move(*event));
  }
  return events;
}

std::vector<std::string> FindBreaches(
    const std::vector<UpstreamRecord>& upstreams,
    const std::vector<ClientRecord>& clients) {
  std::vector<std::string> breaches;
  CheckHolds(upstreams, breaches);
  std::map<std::string, int> runs;
  for (const UpstreamRecord& record : upstreams) {
    for (const UpstreamEvent& event : record.events) {
      if (event.kind != UpstreamEvent::Kind::kRun) continue;
      const int count = ++runs[event.request];
      if (event.is_once && count == 2) {
        breaches.push_back("request " + event.request + " ran twice");
      }
    }
  }
  for (const ClientRecord& client : clients) {
    const bool has_run = runs.contains(client.request);
    const bool is_promise = std::find(kPromises.begin(), kPromises.end(),
                                      client.status) != kPromises.end();
    if (is_promise && has_run) {
      breaches.push_back("request " + client.request + " got " +
                         std::to_string(client.status) + " and ran");
    }
    if (client.status == 200 && (!has_run || !client.has_right_body)) {
      breaches.push_back("request " + client.request +
                         " got an answer that is not its own");
    }
    if (client.status != 0 && (client.status < 200 || !client.has_valid_head)) {
      breaches.push_back("request " + client.request +
                         " got an answer that is no HTTP message");
    }
  }
  return breaches;
}

std::vector<std::string> FindEvacuationBreaches(
    const std::vector<UpstreamRecord>& upstreams, const ClosedZone& closed) {
  std::vector<std::string> breaches;
  for (const UpstreamRecord& record : upstreams) {
    if (record.zone != closed.zone) continue;
    for (const UpstreamEvent& event : record.events) {
      const bool is_breach = event.kind == UpstreamEvent::Kind::kRun &&
                             closed.from <= event.at && event.at < closed.until;
      if (!is_breach) continue;
      breaches.push_back("request " + event.request + " reached " + record.id +
                         " in an evacuated zone");
    }
  }
  return breaches;
}

}  // namespace bamboorack::soak
