#include "command.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "bamboorack/core/json_fields.h"

namespace bamboorack::tools {

CLI::Option* AddEndpointOption(CLI::App& app, const std::string& name,
                               std::optional<Endpoint>& target,
                               const std::string& description) {
  return app
      .add_option_function<std::string>(
          name,
          [&target, name](const std::string& text) {
            target = EndpointFromText(text);
            if (!target) {
              throw CLI::ValidationError(
                  name, "\"" + text + "\" is not an IP address and port");
            }
          },
          description)
      ->type_name("ADDRESS:PORT");
}

void RefuseEmptyValues(CLI::App& app) {
  const CLI::Validator not_empty(
      [](const std::string& value) {
        return value.empty() ? std::string("\"\" is not a value")
                             : std::string();
      },
      "");
  for (CLI::Option* option : app.get_options()) {
    if (option->get_items_expected_max() > 0) option->check(not_empty);
  }
  // The filter also selects option groups, which are unnamed commands.
  for (CLI::App* command :
       app.get_subcommands([](CLI::App*) { return true; })) {
    RefuseEmptyValues(*command);
  }
}

ExitCode Fail(ExitCode code, const std::string& message) {
  std::cerr << "bamboorack: " << message << '\n';
  return code;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    Fail(ExitCode::kWrongInput, "cannot read file \"" + path + "\"");
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace bamboorack::tools
