#include "bamboorack/operator/document_check.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "bamboorack/core/config_codec.h"

namespace bamboorack::operators {
namespace {

using Findings = std::vector<Finding>;

/// Makes a finding of each problem.
Findings ToFindings(const ConfigProblems& problems) {
  Findings findings;
  for (const ConfigProblem& problem : problems) {
    findings.push_back(
        {Severity::kError, "format", problem.path, "", problem.message});
  }
  return findings;
}

/// A check of a document of type `Value`, which may replace `in_force`.
template <typename Value>
struct ContentCheck {
  const char* code;
  Severity severity;
  /// Returns findings without code and severity.
  Findings (*find)(const Value& value, const Value* in_force);
};

std::string ServicePath(std::size_t index, std::string_view member) {
  return "services[" + std::to_string(index) + "]." + std::string(member);
}

Findings FindMissingDaemons(const Inventory& inventory,
                            const Inventory* /*in_force*/) {
  if (!inventory.daemons.empty()) return {};
  return {{{}, "", "daemons", "[]", "no daemon serves anything"}};
}

Findings FindEmptyServices(const Inventory& inventory,
                           const Inventory* /*in_force*/) {
  Findings findings;
  for (std::size_t i = 0; i < inventory.services.size(); ++i) {
    if (!inventory.services[i].upstreams.empty()) continue;
    findings.push_back({{},
                        "",
                        ServicePath(i, "upstreams"),
                        "[]",
                        "no upstream runs requests for this service"});
  }
  return findings;
}

Findings FindChangedShardCounts(const Inventory& inventory,
                                const Inventory* in_force) {
  Findings findings;
  if (in_force == nullptr) return findings;
  for (std::size_t i = 0; i < inventory.services.size(); ++i) {
    const ServiceEntry& service = inventory.services[i];
    const auto old =
        std::find_if(in_force->services.begin(), in_force->services.end(),
                     [&service](const ServiceEntry& entry) {
                       return entry.name == service.name;
                     });
    if (old == in_force->services.end()) continue;
    if (old->shard_count == service.shard_count) continue;
    findings.push_back({{},
                        "",
                        ServicePath(i, "shard_count"),
                        std::to_string(service.shard_count),
                        "a service keeps its number of shards, which is " +
                            std::to_string(old->shard_count)});
  }
  return findings;
}

constexpr std::array kInventoryChecks = {
    ContentCheck<Inventory>{"no_daemons", Severity::kWarning,
                            FindMissingDaemons},
    ContentCheck<Inventory>{"service_without_upstreams", Severity::kWarning,
                            FindEmptyServices},
    ContentCheck<Inventory>{"shard_count_changed", Severity::kError,
                            FindChangedShardCounts}};

/// Rules name services and upstreams of an inventory, which is another
/// document, so a rules document alone shows no more than its format.
constexpr std::array<ContentCheck<Rules>, 0> kRulesChecks{};

/// A kind of document that `Parse` reads.
template <typename Value, auto Parse, const auto& kChecks>
class OwnKind : public DocumentKind {
 public:
  OwnKind(std::string_view kind_name, std::vector<std::string> field_names)
      : name(kind_name), fields(std::move(field_names)) {}

  std::string_view Name() const override { return this->name; }

  bool Recognizes(const DocumentLines& document) const override {
    return std::any_of(
        this->fields.begin(), this->fields.end(),
        [&](const std::string& field) { return document.Has(field); });
  }

  Findings FindFormatFaults(const std::string& text) const override {
    const auto value = Parse(text);
    return value ? Findings{} : ToFindings(value.error());
  }

  Findings FindContradictions(
      const std::string& text,
      const std::optional<std::string>& in_force) const override {
    const Value value = *Parse(text);
    std::optional<Value> old;
    if (in_force) old = *Parse(*in_force);
    Findings findings;
    for (const ContentCheck<Value>& check : kChecks) {
      for (Finding& finding : check.find(value, old ? &*old : nullptr)) {
        finding.code = check.code;
        finding.severity = check.severity;
        findings.push_back(std::move(finding));
      }
    }
    return findings;
  }

  std::vector<DiffEntry> Compare(const std::string& before,
                                 const std::string& after) const override {
    return Diff(*Parse(before), *Parse(after));
  }

 private:
  std::string_view name;
  std::vector<std::string> fields;
};

/// Returns the faults of syntax and, if there are none, of the format.
Findings FindFaults(const DocumentKind& kind, const std::string& text) {
  const DocumentLines lines(text);
  Findings findings = lines.Faults();
  if (!findings.empty()) return findings;
  findings = kind.FindFormatFaults(text);
  for (Finding& finding : findings) finding.line = lines.LineOf(finding.path);
  return findings;
}

const DocumentKind* FindKind(const DocumentKinds& kinds,
                             const CheckRequest& request,
                             const DocumentLines& lines) {
  const auto found =
      std::find_if(kinds.begin(), kinds.end(), [&](const DocumentKind* kind) {
        return request.kind.empty() ? kind->Recognizes(lines)
                                    : kind->Name() == request.kind;
      });
  return found == kinds.end() ? nullptr : *found;
}

}  // namespace

const DocumentKind& InventoryKind() {
  static const OwnKind<Inventory, ParseInventory, kInventoryChecks> kind(
      "inventory", {"daemons"});
  return kind;
}

const DocumentKind& RulesKind() {
  static const OwnKind<Rules, ParseRules, kRulesChecks> kind(
      "rules", {"drained_upstreams", "services"});
  return kind;
}

CheckReport CheckDocument(const DocumentKinds& kinds,
                          const CheckRequest& request) {
  const DocumentLines lines(request.text);
  const DocumentKind* kind = FindKind(kinds, request, lines);
  CheckReport report;
  if (kind != nullptr) report.kind = kind->Name();
  if (!lines.IsJson()) {
    report.findings = lines.Faults();
    return report;
  }
  if (kind == nullptr) {
    report.findings.push_back({Severity::kError, "unknown_kind", "", "",
                               "the fields do not tell what kind of document "
                               "this is"});
    return report;
  }
  report.findings = FindFaults(*kind, request.text);
  if (!report.findings.empty()) return report;
  if (request.in_force) {
    for (Finding fault : FindFaults(*kind, *request.in_force)) {
      fault.code = "in_force_" + fault.code;
      fault.message = "in the document in force: " + fault.message;
      report.findings.push_back(std::move(fault));
    }
    if (!report.findings.empty()) return report;
    report.differences = kind->Compare(*request.in_force, request.text);
  }
  report.findings = kind->FindContradictions(request.text, request.in_force);
  for (Finding& finding : report.findings) {
    finding.line = lines.LineOf(finding.path);
  }
  return report;
}

}  // namespace bamboorack::operators
