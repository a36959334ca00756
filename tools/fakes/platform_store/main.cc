#include <CLI/CLI.hpp>
#include <cstdint>

#include "fakes/common/http_fake.h"
#include "fakes/platform_store/platform_store.h"

/// Serves until SIGTERM or SIGINT.
int main(int argc, char** argv) {
  CLI::App app("stand-in for the platform's store");
  std::uint16_t port = 0;
  app.add_option("--port", port, "port on loopback, 0 for a free one");
  CLI11_PARSE(app, argc, argv);
  bamboorack::fakes::BlockStopSignals();
  bamboorack::fakes::PlatformStore store;
  store.Start(port);
  bamboorack::fakes::PrintPort(store.Port());
  bamboorack::fakes::WaitForStopSignal();
  store.Stop();
  return 0;
}
