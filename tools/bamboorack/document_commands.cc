#include <array>
#include <iostream>
#include <memory>

#include "bamboorack/core/config_codec.h"
#include "bamboorack/operator/settings.h"
#include "command.h"

namespace bamboorack::tools {
namespace {

/// Drops the value: validation needs the problems only.
template <typename Value>
ConfigProblems ProblemsOf(const tl::expected<Value, ConfigProblems>& read) {
  return read ? ConfigProblems{} : read.error();
}

/// A kind of document and how it is checked.
struct DocumentKind {
  const char* option;
  const char* description;
  ConfigProblems (*check)(std::string_view json);
};

constexpr std::array kKinds = {
    DocumentKind{
        "--inventory", "an inventory file",
        [](std::string_view json) { return ProblemsOf(ParseInventory(json)); }},
    DocumentKind{
        "--rules", "a rules file",
        [](std::string_view json) { return ProblemsOf(ParseRules(json)); }},
    DocumentKind{"--settings", "a daemon's settings file",
                 [](std::string_view json) {
                   return ProblemsOf(operators::ParseSettings(json));
                 }}};

ExitCode Validate(const DocumentKind& kind, const std::string& path) {
  const auto json = ReadFile(path);
  if (!json) return ExitCode::kWrongInput;
  const ConfigProblems problems = kind.check(*json);
  if (problems.empty()) {
    std::cout << path << ": ok\n";
    return ExitCode::kOk;
  }
  std::cerr << operators::ToText(problems);
  return Fail(ExitCode::kWrongInput,
              path + " has " + std::to_string(problems.size()) + " problems");
}

}  // namespace

void AddDocumentCommands(CLI::App& app, CommandContext& context) {
  CLI::App* command = app.add_subcommand(
      "validate", "Checks a document and lists all its problems");
  CLI::Option_group* group = command->add_option_group("document");
  for (const DocumentKind& kind : kKinds) {
    group->add_option_function<std::string>(
        kind.option,
        [&context, &kind](const std::string& path) {
          context.exit_code = Validate(kind, path);
        },
        kind.description);
  }
  group->require_option(1);
}

}  // namespace bamboorack::tools
