#include <array>
#include <chrono>
#include <iostream>
#include <memory>

#include "command.h"
#include "daemon_client.h"

namespace bamboorack::tools {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

/// A command that sends one request to a daemon and prints the answer.
struct DaemonCommand {
  const char* name;
  const char* description;
  const char* method;
  const char* path;
};

constexpr std::array kCommands = {
    DaemonCommand{"status", "Shows a daemon's status", "GET", "/status"},
    DaemonCommand{"owners", "Shows the owner of each shard, as JSON", "GET",
                  "/owners"},
    DaemonCommand{"drain", "Makes a daemon hand over its groups and stop",
                  "POST", "/drain"}};

ExitCode Run(const DaemonCommand& command, const Endpoint& daemon,
             const std::string& query) {
  const auto answer =
      AskDaemon(daemon, command.method, command.path + query, kTimeout);
  if (!answer) return Fail(ExitCode::kUnknown, answer.error());
  std::cout << answer->body << '\n';
  if (answer->status < 300) return ExitCode::kOk;
  return Fail(ExitCode::kRefused, std::string(command.name) +
                                      " was refused with status " +
                                      std::to_string(answer->status));
}

struct DaemonOptions {
  std::optional<Endpoint> daemon;
  std::string service;
};

}  // namespace

void AddDaemonCommands(CLI::App& app, CommandContext& context) {
  for (const DaemonCommand& command : kCommands) {
    CLI::App* sub = app.add_subcommand(command.name, command.description);
    auto options = std::make_shared<DaemonOptions>();
    AddEndpointOption(*sub, "--daemon", options->daemon,
                      "the daemon's operator endpoint")
        ->required();
    if (std::string_view(command.name) == "owners") {
      sub->add_option("--service", options->service, "only this service");
    }
    sub->callback([&context, &command, options] {
      const std::string query =
          options->service.empty() ? "" : "?service=" + options->service;
      context.exit_code = Run(command, *options->daemon, query);
    });
  }
}

}  // namespace bamboorack::tools
