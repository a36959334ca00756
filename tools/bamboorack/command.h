#ifndef BAMBOORACK_TOOLS_BAMBOORACK_COMMAND_H_
#define BAMBOORACK_TOOLS_BAMBOORACK_COMMAND_H_

#include <CLI/CLI.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "bamboorack/core/ids.h"

namespace bamboorack::tools {

/// The exit codes of the command line tool; `docs/OPERATIONS.md` lists them.
enum class ExitCode : int {
  kOk = 0,
  /// The log refused the change, or it was not in force in time.
  kRefused = 1,
  /// The command line or a document is wrong.
  kWrongInput = 2,
  /// A peer cannot be reached, or whether an append took effect is unknown.
  kUnknown = 3,
};

/// What all commands share.
struct CommandContext {
  std::optional<Endpoint> log;
  bool json = false;
  /// Set by the command that ran.
  ExitCode exit_code = ExitCode::kOk;
};

/// Each function adds its commands to `app`. `context` outlives `app`.
void AddDocumentCommands(CLI::App& app, CommandContext& context);
void AddCheckCommands(CLI::App& app, CommandContext& context);
void AddLogCommands(CLI::App& app, CommandContext& context);
void AddPublishCommands(CLI::App& app, CommandContext& context);
void AddDaemonCommands(CLI::App& app, CommandContext& context);

/// Adds an option that takes `ADDRESS:PORT`.
CLI::Option* AddEndpointOption(CLI::App& app, const std::string& name,
                               std::optional<Endpoint>& target,
                               const std::string& description);

/// Makes an empty value of any option of `app` and its commands an error. For
/// an optional number, such as `--base`, CLI11 takes it as an absent option.
void RefuseEmptyValues(CLI::App& app);

/// Prints `message` to the standard error stream and returns `code`.
ExitCode Fail(ExitCode code, const std::string& message);

/// Returns the content of the file, or prints an error and returns nothing.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace bamboorack::tools

#endif  // BAMBOORACK_TOOLS_BAMBOORACK_COMMAND_H_
