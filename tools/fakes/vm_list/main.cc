#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>

#include "common/signals.h"
#include "fakes/common/http_fake.h"
#include "fakes/vm_list/fake_vm_list.h"

int main(int argc, char** argv) {
  std::uint16_t port = 0;
  std::string file;
  CLI::App app("Stand-in for the platform's VM list");
  app.add_option("--port", port, "port on 127.0.0.1; 0 chooses a free one");
  app.add_option("--file", file, "JSON file with the list, read on change")
      ->check(CLI::ExistingFile);
  CLI11_PARSE(app, argc, argv);
  const sigset_t signals = bamboorack::tools::BlockSignals({SIGTERM, SIGINT});
  const bamboorack::fakes::FakeVmList list(port, file);
  bamboorack::fakes::PrintPort(list.Port());
  bamboorack::tools::WaitForSignal(signals);
  return 0;
}
