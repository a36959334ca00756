#include <CLI/CLI.hpp>
#include <cstdint>

#include "common/signals.h"
#include "fakes/common/http_fake.h"
#include "fakes/platform_store/platform_store.h"

/// Serves until SIGTERM or SIGINT.
int main(int argc, char** argv) {
  CLI::App app("stand-in for the platform's store");
  std::uint16_t port = 0;
  app.add_option("--port", port, "port on loopback, 0 for a free one");
  CLI11_PARSE(app, argc, argv);
  const sigset_t signals = bamboorack::tools::BlockSignals({SIGTERM, SIGINT});
  bamboorack::fakes::PlatformStore store;
  store.Start(port);
  bamboorack::fakes::PrintPort(store.Port());
  bamboorack::tools::WaitForSignal(signals);
  store.Stop();
  return 0;
}
