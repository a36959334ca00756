#include <CLI/CLI.hpp>
#include <cstddef>
#include <cstdint>

#include "common/signals.h"
#include "fakes/common/http_fake.h"
#include "fakes/log_service/fake_log.h"

int main(int argc, char** argv) {
  std::uint16_t port = 0;
  std::size_t retention = 1'000'000;
  CLI::App app("Stand-in for the platform's log");
  app.add_option("--port", port, "port on 127.0.0.1; 0 chooses a free one");
  app.add_option("--retention-records", retention, "records that are kept")
      ->check(CLI::PositiveNumber);
  CLI11_PARSE(app, argc, argv);
  const sigset_t signals = bamboorack::tools::BlockSignals({SIGTERM, SIGINT});
  const bamboorack::fakes::FakeLog log(port, retention);
  bamboorack::fakes::PrintPort(log.Port());
  bamboorack::tools::WaitForSignal(signals);
  return 0;
}
