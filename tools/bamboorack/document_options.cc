#include "document_options.h"

#include <iostream>
#include <utility>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/operator/settings.h"
#include "command.h"

namespace bamboorack::tools {
namespace {

class InventoryDocument : public PublishedDocument {
 public:
  explicit InventoryDocument(Inventory read) : inventory(std::move(read)) {}

  Revision InForce(const ClusterState& state) const override {
    return state.inventory_revision;
  }
  Revision InForce(const operators::RevisionsInForce& status) const override {
    return status.inventory;
  }
  std::vector<operators::DiffEntry> DiffTo(
      const ClusterState& state) const override {
    return operators::Diff(state.inventory, this->inventory);
  }
  RecordBody MakeBody(Revision base) const override {
    return InventoryPublished{base, this->inventory};
  }

 private:
  Inventory inventory;
};

class RulesDocument : public PublishedDocument {
 public:
  explicit RulesDocument(Rules read) : rules(std::move(read)) {}

  Revision InForce(const ClusterState& state) const override {
    return state.rules_revision;
  }
  Revision InForce(const operators::RevisionsInForce& status) const override {
    return status.rules;
  }
  std::vector<operators::DiffEntry> DiffTo(
      const ClusterState& state) const override {
    return operators::Diff(state.rules, this->rules);
  }
  RecordBody MakeBody(Revision base) const override {
    return RulesPublished{base, this->rules};
  }

 private:
  Rules rules;
};

/// Wraps what `Parse` reads in a `Document`, or prints the problems.
template <typename Document, auto Parse>
std::unique_ptr<PublishedDocument> Load(const std::string& path) {
  const auto json = ReadFile(path);
  if (!json) return nullptr;
  auto read = Parse(*json);
  if (read) return std::make_unique<Document>(std::move(*read));
  std::cerr << operators::ToText(read.error());
  Fail(ExitCode::kWrongInput,
       path + " has " + std::to_string(read.error().size()) + " problems");
  return nullptr;
}

}  // namespace

void AddDocumentOptions(CLI::App& command, DocumentOptions& options) {
  CLI::Option_group* group = command.add_option_group("document");
  group->add_option("--inventory", options.inventory_file, "an inventory file");
  group->add_option("--rules", options.rules_file, "a rules file");
  group->require_option(1);
}

std::unique_ptr<PublishedDocument> LoadDocument(
    const DocumentOptions& options) {
  if (!options.inventory_file.empty()) {
    return Load<InventoryDocument, ParseInventory>(options.inventory_file);
  }
  return Load<RulesDocument, ParseRules>(options.rules_file);
}

}  // namespace bamboorack::tools
