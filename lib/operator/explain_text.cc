#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

#include "bamboorack/core/json_fields.h"
#include "bamboorack/operator/explain.h"
#include "bamboorack/operator/wall_time_text.h"

namespace bamboorack::operators {
namespace {

template <typename T>
std::string Printed(const T& value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

std::string Printed(const UpstreamRef& upstream) {
  return upstream.id.value + "@" + upstream.instance.value;
}

std::string Printed(const std::optional<UpstreamRef>& upstream) {
  return upstream ? Printed(*upstream) : "none";
}

/// One output column of an entry: its name and its value, empty to leave it
/// out. Text and JSON use the same columns.
struct Column {
  std::string_view name;
  std::string (*value)(const HistoryEntry&);
};

constexpr std::array kColumns = {
    Column{"time", [](const HistoryEntry& e) { return ToRfc3339(e.time); }},
    Column{"offset", [](const HistoryEntry& e) { return Printed(e.offset); }},
    Column{"kind",
           [](const HistoryEntry& e) { return std::string(NameOf(e.kind)); }},
    Column{
        "verdict",
        [](const HistoryEntry& e) { return std::string(NameOf(e.verdict)); }},
    Column{"group",
           [](const HistoryEntry& e) {
             return e.group ? Printed(*e.group) : std::string();
           }},
    Column{"shard",
           [](const HistoryEntry& e) {
             return e.shard ? Printed(*e.shard) : std::string();
           }},
    Column{"from",
           [](const HistoryEntry& e) {
             return e.shard || e.from ? Printed(e.from) : std::string();
           }},
    Column{"to",
           [](const HistoryEntry& e) {
             return e.shard ? Printed(e.to) : std::string();
           }},
    Column{"token",
           [](const HistoryEntry& e) {
             return e.token.value > 0 ? Printed(e.token) : std::string();
           }},
    Column{"cause",
           [](const HistoryEntry& e) {
             return e.cause ? std::string(NameOf(*e.cause)) : std::string();
           }},
    Column{"proof",
           [](const HistoryEntry& e) {
             return e.proof ? std::string(NameOf(*e.proof)) : std::string();
           }},
    Column{"daemon", [](const HistoryEntry& e) { return e.daemon.value; }},
    Column{"other_daemon",
           [](const HistoryEntry& e) { return e.other_daemon.value; }},
    Column{"operator", [](const HistoryEntry& e) { return e.operator_name; }},
    Column{"rules_revision",
           [](const HistoryEntry& e) { return Printed(e.rules_revision); }}};

std::string EntryText(const HistoryEntry& entry) {
  std::string line;
  for (const Column& column : kColumns) {
    const std::string value = column.value(entry);
    if (value.empty()) continue;
    if (!line.empty()) line += ' ';
    line += std::string(column.name) + "=" + value;
  }
  return line;
}

Poco::JSON::Object::Ptr EntryJson(const HistoryEntry& entry) {
  Poco::JSON::Object::Ptr object =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const Column& column : kColumns) {
    const std::string value = column.value(entry);
    if (!value.empty()) object->set(std::string(column.name), value);
  }
  return object;
}

std::string ShownTime(const KeyQuestion& question) {
  return question.at ? ToRfc3339(*question.at) : "the newest record";
}

}  // namespace

std::string ToText(const Explanation& explanation) {
  const KeyQuestion& question = explanation.question;
  std::ostringstream out;
  out << "key \"" << question.key << "\" of service " << question.service
      << " at " << ShownTime(question) << ": ";
  if (explanation.is_known) {
    out << "shard " << explanation.shard << ", group " << explanation.group
        << ", owner " << Printed(explanation.owner) << '\n';
  } else {
    out << "the log has no such service at that time\n";
  }
  if (explanation.decision) {
    out << "decision: " << EntryText(*explanation.decision) << '\n';
  }
  if (explanation.authority) {
    out << "authority: " << EntryText(*explanation.authority) << '\n';
  }
  out << "history:\n";
  for (const HistoryEntry& entry : explanation.history) {
    out << "  " << EntryText(entry) << '\n';
  }
  return out.str();
}

std::string ToJson(const Explanation& explanation) {
  Poco::JSON::Object::Ptr object =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("service", explanation.question.service.value);
  object->set("key", explanation.question.key);
  if (explanation.question.at) {
    object->set("at", ToRfc3339(*explanation.question.at));
  }
  object->set("known", explanation.is_known);
  if (explanation.is_known) {
    object->set("shard", explanation.shard.value);
    object->set("group", Printed(explanation.group));
    object->set("owner", Printed(explanation.owner));
  }
  if (explanation.decision) {
    object->set("decision", EntryJson(*explanation.decision));
  }
  if (explanation.authority) {
    object->set("authority", EntryJson(*explanation.authority));
  }
  Poco::JSON::Array::Ptr history = new Poco::JSON::Array();
  for (const HistoryEntry& entry : explanation.history) {
    history->add(EntryJson(entry));
  }
  object->set("history", history);
  return WriteDocument(object);
}

}  // namespace bamboorack::operators
