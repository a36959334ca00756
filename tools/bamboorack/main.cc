#include <iostream>

#include "command.h"

int main(int argc, char** argv) {
  using bamboorack::tools::CommandContext;
  using bamboorack::tools::ExitCode;
  CommandContext context;
  CLI::App app("bamboorack: publishes and explains the state of the router");
  app.footer(
      "Exit codes: 0 done, 1 refused or not in force in time, 2 wrong command "
      "line or document, 3 outcome unknown or peer unreachable.");
  app.set_version_flag("--version", "bamboorack " BAMBOORACK_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_flag("--json", context.json, "print results as JSON");
  bamboorack::tools::AddEndpointOption(app, "--log", context.log,
                                       "the platform's log service");
  bamboorack::tools::AddDocumentCommands(app, context);
  bamboorack::tools::AddCheckCommands(app, context);
  bamboorack::tools::AddPublishCommands(app, context);
  bamboorack::tools::AddLogCommands(app, context);
  bamboorack::tools::AddDaemonCommands(app, context);
  bamboorack::tools::RefuseEmptyValues(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const bool is_failure = app.exit(error) != 0;
    return static_cast<int>(is_failure ? ExitCode::kWrongInput : ExitCode::kOk);
  } catch (const std::exception& error) {
    std::cerr << "bamboorack: " << error.what() << '\n';
    return static_cast<int>(ExitCode::kUnknown);
  }
  return static_cast<int>(context.exit_code);
}
