#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <utility>

#include "common/signals.h"
#include "fakes/common/http_fake.h"
#include "fakes/platform_upstream/platform_upstream.h"

/// Serves until SIGTERM or SIGINT. Decisions go to standard output.
int main(int argc, char** argv) {
  CLI::App app("stand-in for an upstream of the platform");
  bamboorack::fakes::PlatformUpstreamSettings settings;
  std::uint16_t port = 0;
  std::uint64_t work_ms = 20;
  app.add_option("--id", settings.id, "id in the registry")->required();
  app.add_option("--service", settings.service)->required();
  app.add_option("--zone", settings.zone)->required();
  app.add_option("--store-port", settings.store_port)->required();
  app.add_option("--port", port, "port on loopback, 0 for a free one");
  app.add_option("--advertise", settings.advertised_port,
                 "port to register, if a proxy stands before this one");
  app.add_option("--slots", settings.slots);
  app.add_option("--work-ms", work_ms);
  app.add_flag("--sharded", settings.is_sharded);
  app.add_flag("--leaving", settings.is_leaving,
               "say on all answers that it leaves, not in the registry");
  app.add_option("--pause-every", settings.pause_every,
                 "turn away one request of so many with --retry-after");
  app.add_option("--retry-after", settings.retry_after,
                 "value of Retry-After, sent as it is");
  app.add_option("--second-answer-every", settings.second_answer_every,
                 "answer one request of so many a second time, late");
  app.add_option("--own-rejection-every", settings.own_rejection_every,
                 "run one request of so many and answer 503, 429, 408 or 421");
  app.add_option("--broken-off-answer-every", settings.broken_off_answer_every,
                 "answer one upload of so many unread, and then reset");
  app.add_option("--malformed-answer-every", settings.malformed_answer_every,
                 "answer one request of so many with broken HTTP");
  CLI11_PARSE(app, argc, argv);
  settings.work = std::chrono::milliseconds(work_ms);
  const sigset_t signals = bamboorack::tools::BlockSignals({SIGTERM, SIGINT});
  bamboorack::fakes::PlatformUpstream upstream(std::move(settings), std::cout);
  upstream.Start(port);
  bamboorack::fakes::PrintPort(upstream.Port());
  bamboorack::tools::WaitForSignal(signals);
  upstream.Stop();
  return 0;
}
