#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "bamboorack/operator/document_check.h"
#include "command.h"
#include "platform/configuration_check.h"

namespace bamboorack::tools {
namespace {

struct CheckOptions {
  std::string file;
  std::string file_in_force;
  std::string kind;
};

/// In the order in which they are tried.
const operators::DocumentKinds& Kinds() {
  static const operators::DocumentKinds kinds = {&operators::InventoryKind(),
                                                 &platform::DesiredStateKind(),
                                                 &operators::RulesKind()};
  return kinds;
}

std::vector<std::string> KindNames() {
  std::vector<std::string> names;
  for (const operators::DocumentKind* kind : Kinds()) {
    names.emplace_back(kind->Name());
  }
  return names;
}

ExitCode Check(const CommandContext& context, const CheckOptions& options) {
  auto text = ReadFile(options.file);
  if (!text) return ExitCode::kWrongInput;
  operators::CheckRequest request;
  request.text = std::move(*text);
  request.kind = options.kind;
  if (!options.file_in_force.empty()) {
    request.in_force = ReadFile(options.file_in_force);
    if (!request.in_force) return ExitCode::kWrongInput;
  }
  const auto report = operators::CheckDocument(Kinds(), request);
  std::cout << (context.json ? ToJson(report) + "\n"
                             : ToText(report, options.file));
  return report.CountOf(operators::Severity::kError) == 0
             ? ExitCode::kOk
             : ExitCode::kWrongInput;
}

}  // namespace

void AddCheckCommands(CLI::App& app, CommandContext& context) {
  CLI::App* command = app.add_subcommand(
      "check", "Checks a document before it is sent; nothing is sent");
  auto options = std::make_shared<CheckOptions>();
  command->add_option("file", options->file, "the document")->required();
  command->add_option("--against", options->file_in_force,
                      "the document in force; shows the differences");
  command
      ->add_option("--kind", options->kind,
                   "the kind of the document, if its fields do not tell")
      ->check(CLI::IsMember(KindNames()));
  command->callback(
      [&context, options] { context.exit_code = Check(context, *options); });
}

}  // namespace bamboorack::tools
