#include "bamboorack/operator/request_history.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "bamboorack/core/json_fields.h"
#include "bamboorack/operator/wall_time_text.h"

namespace bamboorack::operators {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A change of leader or a lease explains refusals for about this time.
constexpr seconds kContextBefore{12};
// Clocks of two VMs may differ by so much in the order of lines.
constexpr milliseconds kClockDifference{500};
// Losses at one upstream belong together within this time.
constexpr seconds kSameLoss{2};
constexpr std::size_t kMaxContext = 200;
constexpr std::string_view kMovesPlanned = "moves_planned";

std::optional<LoggedEvent> ParseEvent(std::string_view line) {
  const auto start = line.find('{');
  if (start == std::string_view::npos) return std::nullopt;
  try {
    Poco::JSON::Parser parser;
    const auto json = parser.parse(std::string(line.substr(start)))
                          .extract<Poco::JSON::Object::Ptr>();
    LoggedEvent event;
    for (const auto& [name, value] : *json) {
      if (value.isEmpty()) continue;
      const auto text = value.convert<std::string>();
      if (name == "source") {
        event.source = text;
      } else if (name == "event") {
        event.event = text;
      } else if (name == "time_ms") {
        event.time = WallTime(milliseconds(value.convert<Poco::Int64>()));
      } else {
        event.fields.emplace(name, text);
      }
    }
    if (event.event.empty()) return std::nullopt;
    return event;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

/// Whether a line may matter, before it is parsed: most lines tell of other
/// requests.
bool MentionsAny(std::string_view line, const std::vector<std::string>& words) {
  return std::any_of(words.begin(), words.end(),
                     [line](const std::string& word) {
                       return line.find(word) != std::string_view::npos;
                     });
}

const std::set<std::string>& ContextEvents() {
  static const std::set<std::string> events = {
      "leadership_taken",   "leadership_lost", "leadership_released",
      "log_lost",           "log_regained",    "suspended",
      "stopping",           "started",         "desired_state_rejected",
      "evacuation_ordered", "evacuation_ended"};
  return events;
}

bool IsEnd(const std::string& event) {
  return event == "refused" || event == "failed" || event == "answered";
}

struct CauseRow {
  std::string_view reason;
  std::string_view text;
};

constexpr std::array kCauses = {
    CauseRow{"deadline_would_pass",
             "The requests that wait for the upstream take longer than the "
             "time that this one had left; see expected_wait_ms and "
             "moves_planned."},
    CauseRow{"owner_moving",
             "The key had no owner in the map of owners_term and "
             "owners_change: it was between two owners, or waited for the "
             "lease of a lost one."},
    CauseRow{"owner_unreachable",
             "The owner lost requests in a row and may still hold the key."},
    CauseRow{"upstream_lost",
             "The connection to the upstream failed or went silent."},
    CauseRow{"upstream_shed", "The upstream refused because of its load."},
    CauseRow{"upstream_refused_owner",
             "The upstream did not hold the key: the gateway's map was older "
             "or newer than the grant."},
    CauseRow{"upstream_replaced", "Another upstream had the address."},
    CauseRow{"upstream_bad_answer",
             "The answer broke the protocol or belonged to another request."},
    CauseRow{"upstream_answer_cut",
             "The answer took up more memory than the daemon has for answers."},
    CauseRow{"upstream_unmarked_rejection",
             "The upstream answered with a status that means not run, without "
             "the mark that it did not run the request."},
    CauseRow{"evacuated",
             "All upstreams of the service were in failure domains that the "
             "operator had ordered to evacuate."},
    CauseRow{"retry_budget_empty",
             "The first attempt failed, and the retries of all daemons were "
             "used up."},
    CauseRow{"deadline_passed",
             "The time limit passed while the request waited or ran."},
    CauseRow{"no_state",
             "The gateway had not read the desired state since its start."},
    CauseRow{"stopping", "The gateway was about to end."},
    CauseRow{"unknown_service",
             "No route of the desired state in force matches host and path."},
    CauseRow{"cancelled", "The caller closed its connection."}};

std::string CauseOf(const LoggedEvent& last) {
  if (last.event == "answered") return "The upstream's answer was delivered.";
  if (!IsEnd(last.event)) return "The logs do not tell how it ended.";
  const std::string reason = last.Field("reason");
  const auto row = std::find_if(
      kCauses.begin(), kCauses.end(),
      [&reason](const CauseRow& cause) { return cause.reason == reason; });
  if (row != kCauses.end()) return std::string(row->text);
  return "See the reason " + reason + " in docs/OPERATIONS.md.";
}

/// Inserts `event` behind those of its time and earlier ones.
void InsertByTime(std::vector<LoggedEvent>& events, LoggedEvent event) {
  const auto at =
      std::upper_bound(events.begin(), events.end(), event,
                       [](const LoggedEvent& a, const LoggedEvent& b) {
                         return a.time < b.time;
                       });
  events.insert(at, std::move(event));
}

void Print(std::ostream& out, const LoggedEvent& event) {
  out << ToRfc3339(event.time) << "  " << event.source << "  " << event.event;
  for (const auto& [name, value] : event.fields) {
    if (name == "request" || value.empty()) continue;
    out << ' ' << name << '=' << value;
  }
  out << '\n';
}

Poco::JSON::Array::Ptr ToArray(const std::vector<LoggedEvent>& events) {
  Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
  for (const LoggedEvent& event : events) {
    Poco::JSON::Object::Ptr row =
        new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    row->set("time", ToRfc3339(event.time));
    row->set("source", event.source);
    row->set("event", event.event);
    for (const auto& [name, value] : event.fields) row->set(name, value);
    rows->add(row);
  }
  return rows;
}

}  // namespace

std::string LoggedEvent::Field(const std::string& name) const {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? std::string() : found->second;
}

RequestHistory::RequestHistory(std::string request_id)
    : request(std::move(request_id)) {}

void RequestHistory::FindRequest(std::string_view line) {
  if (line.find(this->request) == std::string_view::npos) return;
  auto event = ParseEvent(line);
  if (!event) {
    ++this->skipped;
    return;
  }
  if (event->Field("request") != this->request) return;
  InsertByTime(this->steps, std::move(*event));
  this->context_words.clear();
}

const LoggedEvent& RequestHistory::LastStep() const {
  const auto end =
      std::find_if(this->steps.rbegin(), this->steps.rend(),
                   [](const LoggedEvent& step) { return IsEnd(step.event); });
  return end == this->steps.rend() ? this->steps.back() : *end;
}

void RequestHistory::AddContext(std::string_view line) {
  if (this->steps.empty()) return;
  if (this->context_words.empty()) this->context_words = this->ContextWords();
  if (!MentionsAny(line, this->context_words)) return;
  auto event = ParseEvent(line);
  if (!event) return;
  this->CountAtUpstream(*event);
  if (!this->IsContext(*event)) return;
  InsertByTime(this->context, std::move(*event));
  // The newest lines before the end tell most.
  if (this->context.size() > kMaxContext) {
    this->context.erase(this->context.begin());
  }
}

std::vector<std::string> RequestHistory::ContextWords() const {
  std::vector<std::string> words(ContextEvents().begin(),
                                 ContextEvents().end());
  words.emplace_back(kMovesPlanned);
  const std::string upstream = this->LastStep().Field("upstream");
  if (!upstream.empty()) words.push_back(upstream);
  return words;
}

void RequestHistory::CountAtUpstream(const LoggedEvent& event) {
  const LoggedEvent& last = this->LastStep();
  const std::string upstream = last.Field("upstream");
  const std::string other = event.Field("request");
  if (upstream.empty() || other.empty() || other == this->request) return;
  if (event.Field("upstream") != upstream || event.event == "answered") return;
  const auto distance = event.time - last.time;
  if (distance > kSameLoss || distance < -kSameLoss) return;
  ++this->others;
  ++this->daemons[event.source];
}

bool RequestHistory::IsContext(const LoggedEvent& event) const {
  const LoggedEvent& last = this->LastStep();
  if (event.time > last.time + kClockDifference) return false;
  if (event.time < last.time - kContextBefore) return false;
  const bool is_of_daemon =
      event.source == last.source || event.event.starts_with("leadership_");
  if (ContextEvents().contains(event.event)) return is_of_daemon;
  if (event.event == kMovesPlanned) return true;
  const std::string upstream = last.Field("upstream");
  if (upstream.empty()) return false;
  return event.Field("holder") == upstream ||
         event.Field("successor") == upstream;
}

RequestExplanation RequestHistory::Answer() const {
  RequestExplanation explanation;
  explanation.request = this->request;
  explanation.steps = this->steps;
  if (this->steps.empty()) {
    explanation.cause = "The logs do not name this request.";
    return explanation;
  }
  explanation.context = this->context;
  explanation.others_at_upstream = this->others;
  explanation.daemons_at_upstream = this->daemons.size();
  explanation.cause = CauseOf(this->LastStep());
  return explanation;
}

std::string ToText(const RequestExplanation& explanation) {
  std::ostringstream out;
  out << "request " << explanation.request << '\n';
  for (const LoggedEvent& step : explanation.steps) Print(out, step);
  out << "cause: " << explanation.cause << '\n';
  if (explanation.others_at_upstream > 0) {
    out << explanation.others_at_upstream
        << " other requests were retried or lost at the same upstream within "
        << kSameLoss.count() << " s, on " << explanation.daemons_at_upstream
        << " daemons\n";
  }
  if (explanation.context.empty()) return out.str();
  out << "before:\n";
  for (const LoggedEvent& event : explanation.context) Print(out, event);
  return out.str();
}

std::string ToJson(const RequestExplanation& explanation) {
  Poco::JSON::Object::Ptr json =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  json->set("request", explanation.request);
  json->set("known", explanation.IsKnown());
  json->set("cause", explanation.cause);
  json->set("others_at_upstream", explanation.others_at_upstream);
  json->set("daemons_at_upstream", explanation.daemons_at_upstream);
  json->set("steps", ToArray(explanation.steps));
  json->set("context", ToArray(explanation.context));
  return WriteDocument(json);
}

}  // namespace bamboorack::operators
