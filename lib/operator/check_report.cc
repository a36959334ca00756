#include "bamboorack/operator/check_report.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>

#include "bamboorack/core/json_fields.h"

namespace bamboorack::operators {
namespace {

std::string Counted(std::size_t count, const std::string& noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string ToText(const Finding& finding, const std::string& file) {
  std::string text = file + ":";
  if (finding.line) text += std::to_string(*finding.line) + ":";
  text += " " + std::string(NameOf(finding.severity)) + ": ";
  text += finding.path;
  if (!finding.path.empty() && !finding.value.empty()) text += " ";
  text += finding.value;
  if (!finding.path.empty() || !finding.value.empty()) text += ": ";
  return text + finding.message + " [" + finding.code + "]\n";
}

Poco::JSON::Object::Ptr ToObject(const Finding& finding) {
  Poco::JSON::Object::Ptr object =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("severity", std::string(NameOf(finding.severity)));
  object->set("code", finding.code);
  object->set("path", finding.path);
  object->set("value", finding.value);
  object->set("message", finding.message);
  if (finding.line) object->set("line", *finding.line);
  return object;
}

}  // namespace

std::size_t CheckReport::CountOf(Severity severity) const {
  return static_cast<std::size_t>(
      std::count_if(this->findings.begin(), this->findings.end(),
                    [severity](const Finding& finding) {
                      return finding.severity == severity;
                    }));
}

std::string ToText(const CheckReport& report, const std::string& file) {
  std::string text;
  for (const Finding& finding : report.findings) {
    text += ToText(finding, file);
  }
  if (report.differences) text += ToText(*report.differences);
  text += file + ": ";
  if (!report.kind.empty()) text += report.kind + ", ";
  text += Counted(report.CountOf(Severity::kError), "error") + ", " +
          Counted(report.CountOf(Severity::kWarning), "warning");
  if (report.differences) {
    text += ", " + Counted(report.differences->size(), "difference");
  }
  return text + "\n";
}

std::string ToJson(const CheckReport& report) {
  Poco::JSON::Array::Ptr findings = new Poco::JSON::Array();
  for (const Finding& finding : report.findings) {
    findings->add(ToObject(finding));
  }
  Poco::JSON::Object::Ptr object =
      new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
  object->set("kind", report.kind);
  object->set("errors", report.CountOf(Severity::kError));
  object->set("warnings", report.CountOf(Severity::kWarning));
  object->set("findings", findings);
  if (report.differences) {
    object->set("differences", ToJsonArray(*report.differences));
  }
  return WriteDocument(object);
}

}  // namespace bamboorack::operators
